//! The log of claims on callers' idempotency keys, without a store.

use shalelane::claim::{
    ClaimHead, ClaimKey, ClaimLog, ClaimRecord, ClaimSegment, RETENTION_SECONDS,
};

fn claim(key: &str, request: &str) -> ClaimRecord {
    let key = ClaimKey::new("account", "service", key);
    ClaimRecord { key, request: request.into(), is_release: false }
}

fn release(key: &str, request: &str) -> ClaimRecord {
    ClaimRecord { is_release: true, ..claim(key, request) }
}

fn segment(at: u64, records: Vec<ClaimRecord>) -> ClaimSegment {
    ClaimSegment { token: String::new(), at, records }
}

fn owner<'a>(log: &'a ClaimLog, key: &str) -> Option<&'a str> {
    log.owner(&ClaimKey::new("account", "service", key))
}

#[test]
fn the_first_claim_wins_within_a_batch_and_over_segments() {
    let mut log = ClaimLog::new(ClaimHead::default());
    let batch = [claim("a", "one"), claim("a", "two"), claim("b", "two")];
    let selected = log.select(&batch);
    assert_eq!(selected, [claim("a", "one"), claim("b", "two")]);
    log.push(&segment(10, selected));
    assert!(log.select(&[claim("a", "three")]).is_empty());
    // A later claim in another writer's segment has no effect.
    log.push(&segment(11, vec![claim("a", "three")]));
    assert_eq!((owner(&log, "a"), log.next()), (Some("one"), 3));
}

#[test]
fn only_the_owner_releases_a_key() {
    let mut log = ClaimLog::new(ClaimHead::default());
    log.push(&segment(10, vec![claim("a", "one")]));
    assert!(log.select(&[release("a", "two")]).is_empty());
    log.push(&segment(11, vec![release("a", "two")]));
    assert_eq!(owner(&log, "a"), Some("one"));
    log.push(&segment(12, vec![release("a", "one")]));
    assert_eq!(owner(&log, "a"), None);
    assert_eq!(log.select(&[claim("a", "two")]).len(), 1);
}

#[test]
fn claims_expire_after_the_retention_and_the_head_advances() {
    let mut log = ClaimLog::new(ClaimHead { first: 5, epoch: 0 });
    log.push(&segment(100, vec![claim("a", "one")]));
    log.push(&segment(200, vec![claim("b", "one")]));
    assert_eq!(log.expire(100 + RETENTION_SECONDS), None);
    assert_eq!(log.expire(101 + RETENTION_SECONDS), Some(6));
    assert_eq!((owner(&log, "a"), owner(&log, "b")), (None, Some("one")));
    assert_eq!(log.len(), 1);
}

#[test]
fn accounts_and_services_do_not_share_keys() {
    let keys = [
        ClaimKey::new("a", "b", "c"),
        ClaimKey::new("ab", "", "c"),
        ClaimKey::new("a", "bc", ""),
        ClaimKey::new("b", "b", "c"),
    ];
    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[..index].contains(key));
    }
}
