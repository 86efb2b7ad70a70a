//! Fragments of messages that are longer than a datagram.

use bytes::Bytes;
use shalelane::relay::discovery::source::TargetChange;
use shalelane::relay::discovery::target_list_sync::TargetListUpdate;
use shalelane::relay::peers::message_fragments::{FragmentBuffer, MessageFragment};
use shalelane::relay::peers::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use shalelane::relay::peers::subscriber_set::SubscriberSet;

use crate::fixture::{at, check, record, revision};

/// The update for a release that replaces `count` engines between two answers of a watch.
fn release(count: u16) -> PeerMessage {
    let listed = |number: u16| TargetChange::Listed(record(&format!("i-0123456789{number}"), 1));
    let changes = (0..count).map(listed).collect();
    PeerMessage::TargetListChanged(TargetListUpdate {
        since: revision(1),
        revision: revision(2),
        age_ms: 0,
        changes,
        is_difference: false,
    })
}

fn split(message: &PeerMessage, id: u64) -> Vec<MessageFragment> {
    MessageFragment::split(&Bytes::from(message.to_bytes().unwrap()), id).expect("fragments")
}

fn join(fragments: impl IntoIterator<Item = MessageFragment>) -> Vec<PeerMessage> {
    let mut buffer = FragmentBuffer::default();
    let complete = fragments.into_iter().filter_map(|fragment| buffer.insert(fragment, at(0)));
    complete.map(|bytes| PeerMessage::from_bytes(&bytes).unwrap()).collect()
}

/// Guards against this failure: the changes of a release of 19 engines between two answers of a
/// watch do not fit a datagram and are not sent, so that 402 entries read the whole list.
#[test]
fn updates_of_releases_of_any_size_are_split_and_joined() {
    for replaced in [19, 38, 76] {
        let message = release(2 * replaced);
        let fragments = split(&message, 7);
        assert!(fragments.len() > 1);
        for fragment in &fragments {
            let bytes = PeerMessage::Fragment(fragment.clone()).to_bytes().unwrap();
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        }
        assert_eq!(join(fragments), [message]);
    }
}

#[test]
fn fragments_in_any_order_and_duplicated_make_one_message() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(order: Vec<u8>) -> bool {
        let (message, other) = (release(40), release(25));
        let fragments: Vec<_> = split(&message, 7).into_iter().chain(split(&other, 8)).collect();
        let mut all = fragments.clone();
        for (at, with) in order.iter().enumerate() {
            let with = usize::from(*with) % all.len();
            let at = at % all.len();
            all.swap(at, with);
        }
        all.extend(fragments);
        let mut messages = join(all);
        messages.sort_by_key(|message| message.to_bytes().unwrap().len());
        messages == [other, message]
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_message_with_a_missing_fragment_is_not_returned() {
    let mut fragments = split(&release(40), 7);
    fragments.remove(1);
    assert_eq!(join(fragments), []);
}

#[test]
fn invalid_fragments_are_ignored() {
    let mut buffer = FragmentBuffer::default();
    let fragment = |number, count| MessageFragment { id: 1, number, count, bytes: Bytes::new() };
    for fragment in
        [fragment(0, 0), fragment(3, 3), fragment(0, u16::MAX), fragment(u16::MAX, u16::MAX)]
    {
        assert_eq!(buffer.insert(fragment, at(0)), None);
    }
    assert_eq!(buffer.insert(fragment(0, 2), at(0)), None);
    assert_eq!(buffer.insert(fragment(2, 3), at(0)), None, "another count for the same message");
}

/// Fragments of messages that are never completed take bounded memory.
#[test]
fn fragments_of_incomplete_messages_expire() {
    let mut buffer = FragmentBuffer::default();
    for id in 0..10_000 {
        buffer.insert(MessageFragment { id, number: 0, count: 2, bytes: Bytes::new() }, at(0));
    }
    let message = release(40);
    let late = split(&message, u64::MAX)
        .into_iter()
        .filter_map(|fragment| buffer.insert(fragment, at(2_500)));
    assert_eq!(late.count(), 1);
}

#[test]
fn a_message_that_is_too_long_is_not_split() {
    assert!(MessageFragment::split(&Bytes::from(vec![0; 100_000]), 1).is_none());
}

#[test]
fn agents_relay_fragments_to_the_other_entries() {
    let mut set = SubscriberSet::default();
    let address = |number: u8| ([10, 0, 0, number], 7_000).into();
    for number in 1..=3 {
        let entry = number.into();
        let message = PeerMessage::Subscribe {
            entry,
            proof_age_ms: None,
            watched_revision: None,
            confirmed_revision: None,
            version_in_force: None,
        };
        set.on_message(&message, address(number), 100, at(0));
    }
    let fragment = PeerMessage::Fragment(split(&release(40), 7).remove(0));
    let mut out = set.on_message(&fragment, address(1), 100, at(1));
    out.sort_by_key(|out| out.to);
    assert_eq!(out.iter().map(|out| out.to).collect::<Vec<_>>(), [address(2), address(3)]);
    assert!(out.iter().all(|out| out.message == fragment));
}
