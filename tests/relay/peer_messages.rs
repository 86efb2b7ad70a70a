//! Messages that agents relay between entries.

use std::net::SocketAddr;

use shalelane::relay::decide::stream_load::StreamKey;
use shalelane::relay::peers::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use shalelane::relay::peers::subscriber_set::{OutboundMessage, SubscriberSet};

use crate::fixture::{at, check, name, short_load};

fn entry(number: u8) -> SocketAddr {
    ([10, 0, 1, number], 7000).into()
}

fn placed(entry: u64, number: u64) -> PeerMessage {
    let key = StreamKey { entry, number };
    PeerMessage::StreamPlaced { target: name("t"), key, load: short_load() }
}

fn subscribe(set: &mut SubscriberSet, number: u8, millis: u64) -> Vec<OutboundMessage> {
    let message = PeerMessage::Subscribe {
        entry: u64::from(number),
        proof_age_ms: None,
        watched_revision: None,
        confirmed_revision: None,
        version_in_force: None,
    };
    set.on_message(&message, entry(number), 100, at(millis))
}

#[test]
fn a_message_reaches_all_other_entries_and_later_subscribers() {
    let mut set = SubscriberSet::default();
    subscribe(&mut set, 1, 0);
    subscribe(&mut set, 2, 0);
    let out = set.on_message(&placed(1, 7), entry(1), 100, at(1));
    assert_eq!(out, [OutboundMessage { to: entry(2), message: placed(1, 7) }]);
    let out = subscribe(&mut set, 3, 2);
    assert!(out.contains(&OutboundMessage { to: entry(3), message: placed(1, 7) }));
    assert_eq!(subscribe(&mut set, 3, 3).len(), 1, "streams are sent once");
}

#[test]
fn an_expired_entry_is_dropped_with_its_streams() {
    let mut set = SubscriberSet::default();
    subscribe(&mut set, 1, 0);
    set.on_message(&placed(1, 7), entry(1), 100, at(1));
    subscribe(&mut set, 2, 2_400);
    let gone = PeerMessage::EntryGone { target: name("t"), entry: 1 };
    assert_eq!(set.expire(at(2_600)), [OutboundMessage { to: entry(2), message: gone }]);
    assert!(!set.is_busy());
}

#[test]
fn a_restarted_entry_counts_as_a_new_one() {
    let mut set = SubscriberSet::default();
    subscribe(&mut set, 1, 0);
    subscribe(&mut set, 2, 0);
    set.on_message(&placed(1, 7), entry(1), 100, at(1));
    let message = PeerMessage::Subscribe {
        entry: 9,
        proof_age_ms: None,
        watched_revision: None,
        confirmed_revision: None,
        version_in_force: None,
    };
    let out = set.on_message(&message, entry(1), 100, at(10));
    let gone = PeerMessage::EntryGone { target: name("t"), entry: 1 };
    assert!(out.contains(&OutboundMessage { to: entry(2), message: gone }));
}

#[test]
fn a_message_fits_a_datagram() {
    let long = "i".repeat(64);
    let key = StreamKey { entry: u64::MAX, number: u64::MAX };
    let message = PeerMessage::StreamPlaced { target: name(&long), key, load: short_load() };
    let bytes = message.to_bytes().unwrap();
    assert!(bytes.len() < MAX_DATAGRAM_BYTES);
    assert_eq!(PeerMessage::from_bytes(&bytes).unwrap(), message);
}

#[test]
fn invalid_bytes_do_not_panic() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(bytes: Vec<u8>) -> bool {
        let _ = PeerMessage::from_bytes(&bytes);
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn an_acknowledgement_reports_the_newest_proof_of_the_others() {
    let mut set = SubscriberSet::default();
    let proof = |entry, proof_age_ms| PeerMessage::Subscribe {
        entry,
        proof_age_ms,
        watched_revision: None,
        confirmed_revision: None,
        version_in_force: None,
    };
    set.on_message(&proof(1, Some(300)), entry(1), 100, at(1_000));
    set.on_message(&proof(2, None), entry(2), 100, at(1_000));
    let out = set.on_message(&proof(3, Some(10)), entry(3), 100, at(1_200));
    let PeerMessage::SubscriptionAck { proof_age_ms, .. } = out[0].message else {
        panic!("not an acknowledgement")
    };
    assert_eq!(proof_age_ms, Some(500));
}
