//! Splitting of event streams into complete events.

use shalelane::relay::proxy::event_stream::EventSplitter;

use crate::fixture::check;

#[test]
fn events_are_complete_for_any_chunk_boundaries() {
    fn property(count: u8, chunk_lens: Vec<u8>) -> bool {
        let events = (0..count).map(|id| format!("id: {id}\nversions: 1\ndata: x{id}\n\n"));
        let text = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let (mut forwarded, mut remaining) = (Vec::new(), text.as_bytes());
        for chunk_len in chunk_lens.into_iter().chain(std::iter::repeat(7)) {
            if remaining.is_empty() {
                break;
            }
            let (chunk, more) = remaining.split_at(usize::from(chunk_len).min(remaining.len()));
            remaining = more;
            if let Some(events) = splitter.push(chunk).unwrap() {
                if !events.ends_with(b"\n\n") {
                    return false;
                }
                forwarded.extend_from_slice(&events);
            }
        }
        forwarded == text.as_bytes() && splitter.last_id() == count.checked_sub(1).map(u64::from)
    }
    check(property as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn a_repeated_event_id_is_a_fault() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\ndata: a\n\n").unwrap();
    assert!(splitter.push(b"id: 4\ndata: a\n\n").is_err());
}

#[test]
fn an_answer_that_continues_a_stream_discards_a_partial_event() {
    let mut first = EventSplitter::default();
    first.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert!(first.has_partial_event());
    let mut splitter = first.resume();
    assert!(!splitter.has_partial_event());
    assert!(first.resume().push(b"id: 1\ndata: a\n\n").is_err(), "an event is repeated");
    let events = splitter.push(b"id: 2\ndata: b\n\n").unwrap().unwrap();
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
}

/// Comments and empty events neither count as progress nor get lost, wherever chunks end.
#[test]
fn comments_and_empty_events_come_with_the_next_event() {
    fn property(draws: Vec<u8>, chunk_len: u8) -> bool {
        const EMPTY: [&str; 4] = [": more\n\n", "\n\n", "data:\n\n", "event\n: x\n\n"];
        let before: String = draws.into_iter().map(|draw| EMPTY[usize::from(draw % 4)]).collect();
        let text = format!("{before}id: 1\ndata: a\n\n{before}");
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        for chunk in text.as_bytes().chunks(usize::from(chunk_len.max(1))) {
            let events = splitter.push(chunk).unwrap();
            if events.as_ref().is_some_and(|_| splitter.last_id() != Some(1)) {
                return false;
            }
            forwarded.extend(events.into_iter().flatten());
        }
        let is_whole = !splitter.has_partial_event();
        forwarded.extend(splitter.take_empty().into_iter().flatten());
        is_whole && forwarded == text.as_bytes()
    }
    check(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn comments_without_end_are_a_fault() {
    let mut splitter = EventSplitter::default();
    let comments = ": more\n\n".repeat(1_000);
    let is_fault = (0..100).any(|_| splitter.push(comments.as_bytes()).is_err());
    assert!(is_fault, "800 kB of comments were kept");
}
