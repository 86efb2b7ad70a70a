//! Notes that are longer than a datagram.

use bytes::Bytes;
use shalelane::relay::discovery::feed::TargetChange;
use shalelane::relay::discovery::list_share::ListNews;
use shalelane::relay::peers::load_note::{LoadNote, MAX_NOTE};
use shalelane::relay::peers::note_parts::{FragmentBuffer, MessageFragment};
use shalelane::relay::peers::subscriber_set::SubscriberSet;

use crate::fixture::{at, check, record, revision};

/// News of a release that replaces `count` engines between two answers of a watch.
fn release(count: u16) -> LoadNote {
    let listed = |number: u16| TargetChange::Listed(record(&format!("i-0123456789{number}"), 1));
    let changes = (0..count).map(listed).collect();
    LoadNote::ListChanged(ListNews { since: revision(1), mark: revision(2), age_ms: 0, changes })
}

fn split(note: &LoadNote, id: u64) -> Vec<MessageFragment> {
    MessageFragment::split(&Bytes::from(note.to_bytes().unwrap()), id).expect("parts")
}

fn join(parts: impl IntoIterator<Item = MessageFragment>) -> Vec<LoadNote> {
    let mut buffer = FragmentBuffer::default();
    let whole = parts.into_iter().filter_map(|part| buffer.insert(part, at(0)));
    whole.map(|bytes| LoadNote::from_bytes(&bytes).unwrap()).collect()
}

/// Past failure: what a release of 19 engines changed between two answers of a watch did not
/// fit a datagram and was told to nobody, so that 402 entries read the whole list.
#[test]
fn news_of_a_release_at_the_size_of_the_fleet_and_twice_that_are_told() {
    for replaced in [19, 38, 76] {
        let note = release(2 * replaced);
        let parts = split(&note, 7);
        assert!(parts.len() > 1);
        for part in &parts {
            let bytes = LoadNote::Part(part.clone()).to_bytes().unwrap();
            assert!(bytes.len() <= MAX_NOTE, "{} bytes", bytes.len());
        }
        assert_eq!(join(parts), [note]);
    }
}

#[test]
fn parts_in_any_order_and_twice_make_one_note() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(order: Vec<u8>) -> bool {
        let (note, other) = (release(40), release(25));
        let parts: Vec<_> = split(&note, 7).into_iter().chain(split(&other, 8)).collect();
        let mut all = parts.clone();
        for (at, with) in order.iter().enumerate() {
            let with = usize::from(*with) % all.len();
            let at = at % all.len();
            all.swap(at, with);
        }
        all.extend(parts);
        let mut notes = join(all);
        notes.sort_by_key(|note| note.to_bytes().unwrap().len());
        notes == [other, note]
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_note_with_a_part_missing_is_not_taken() {
    let mut parts = split(&release(40), 7);
    parts.remove(1);
    assert_eq!(join(parts), []);
}

#[test]
fn parts_that_can_not_be_are_left_out() {
    let mut buffer = FragmentBuffer::default();
    let part = |number, count| MessageFragment { id: 1, number, count, bytes: Bytes::new() };
    for part in [part(0, 0), part(3, 3), part(0, u16::MAX), part(u16::MAX, u16::MAX)] {
        assert_eq!(buffer.insert(part, at(0)), None);
    }
    assert_eq!(buffer.insert(part(0, 2), at(0)), None);
    assert_eq!(buffer.insert(part(2, 3), at(0)), None, "another count under the same name");
}

/// Parts of notes that never become whole take no more than a bounded memory.
#[test]
fn parts_that_are_never_whole_are_forgotten() {
    let mut buffer = FragmentBuffer::default();
    for id in 0..10_000 {
        buffer.insert(MessageFragment { id, number: 0, count: 2, bytes: Bytes::new() }, at(0));
    }
    let note = release(40);
    let late = split(&note, u64::MAX).into_iter().filter_map(|part| buffer.insert(part, at(2_500)));
    assert_eq!(late.count(), 1);
}

#[test]
fn what_is_too_long_is_not_split() {
    assert!(MessageFragment::split(&Bytes::from(vec![0; 100_000]), 1).is_none());
}

#[test]
fn agents_pass_parts_on_to_the_others() {
    let mut set = SubscriberSet::default();
    let address = |number: u8| ([10, 0, 0, number], 7_000).into();
    for number in 1..=3 {
        let entry = number.into();
        let note =
            LoadNote::Subscribe { entry, proof_age_ms: None, list_mark: None, config_mark: None };
        set.on_note(&note, address(number), 100, at(0));
    }
    let part = LoadNote::Part(split(&release(40), 7).remove(0));
    let mut out = set.on_note(&part, address(1), 100, at(1));
    out.sort_by_key(|out| out.to);
    assert_eq!(out.iter().map(|out| out.to).collect::<Vec<_>>(), [address(2), address(3)]);
    assert!(out.iter().all(|out| out.note == part));
}
