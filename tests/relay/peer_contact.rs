//! When a process counts as cut off from its peers.

use std::time::Duration;

use shalelane::relay::decide::peer_contact::PeerContact;
use shalelane::time::Tick;

fn at(ms: u64) -> Tick {
    Tick::default() + Duration::from_millis(ms)
}

#[test]
fn a_process_that_has_heard_no_peer_yet_is_not_cut_off() {
    let mut contact = PeerContact::default();
    assert!(!contact.is_cut_off(at(60_000)));
    assert_eq!(contact.record_heard(at(60_000)), None);
}

#[test]
fn a_lost_message_is_no_cut() {
    let mut contact = PeerContact::default();
    for number in 0..10 {
        assert_eq!(contact.record_heard(at(number * 950)), None);
    }
}

#[test]
fn a_cut_ends_once_with_the_first_message_after_it() {
    let mut contact = PeerContact::default();
    contact.record_heard(at(500));
    assert!(!contact.is_cut_off(at(1_499)));
    assert!(contact.is_cut_off(at(1_500)));
    assert_eq!(contact.record_heard(at(5_600)), Some(at(500)));
    assert!(!contact.is_cut_off(at(5_700)));
    assert_eq!(contact.record_heard(at(5_700)), None);
}
