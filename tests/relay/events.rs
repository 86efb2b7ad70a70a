//! Whole events of a stream.

use shalelane::relay::proxy::event_stream::EventSplitter;

use crate::fixture::check;

#[test]
fn events_are_whole_however_the_bytes_come() {
    fn property(count: u8, cuts: Vec<u8>) -> bool {
        let events = (0..count).map(|id| format!("id: {id}\nversions: 1\ndata: x{id}\n\n"));
        let text = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let (mut given, mut rest) = (Vec::new(), text.as_bytes());
        for cut in cuts.into_iter().chain(std::iter::repeat(7)) {
            if rest.is_empty() {
                break;
            }
            let (part, more) = rest.split_at(usize::from(cut).min(rest.len()));
            rest = more;
            if let Some(events) = splitter.push(part).unwrap() {
                if !events.ends_with(b"\n\n") {
                    return false;
                }
                given.extend_from_slice(&events);
            }
        }
        given == text.as_bytes() && splitter.last_id() == count.checked_sub(1).map(u64::from)
    }
    check(property as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn an_event_that_comes_again_is_a_fault() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\ndata: a\n\n").unwrap();
    assert!(splitter.push(b"id: 4\ndata: a\n\n").is_err());
}

#[test]
fn part_of_an_event_is_dropped_with_its_target() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert!(splitter.has_rest());
    splitter.clear_rest();
    let events = splitter.push(b"id: 2\ndata: b\n\n").unwrap().unwrap();
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
}
