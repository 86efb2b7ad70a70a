//! A store that was restored from a backup gives out the same revision numbers again, so each
//! comparison of revisions has to include the epoch of the store.

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::quarantine::QuarantineRecords;
use shalelane::relay::decide::quarantine_list::QuarantineRecord;
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::decide::targets::{TargetRecord, TargetSet};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::proof_sync::{PeerProof, PeerVerdict, ProofSync};
use shalelane::relay::discovery::rules::RelayConfig;
use shalelane::relay::discovery::source::{ConfigRead, TargetList};
use shalelane::relay::discovery::store_revision::StoreRevision;
use shalelane::relay::discovery::target_list_sync::{
    TargetListSync, TargetListUpdate, UpdateVerdict,
};
use shalelane::relay::peers::config_copy::ConfigCopy;
use shalelane::time::Tick;

use crate::fixture::{at, config_update, limits, ms, name, record};

const fn before(number: u64) -> StoreRevision {
    StoreRevision { epoch: 1, number }
}

const fn after(number: u64) -> StoreRevision {
    StoreRevision { epoch: 2, number }
}

fn config(version: u64) -> RelayConfig {
    RelayConfig { version, ..RelayConfig::default() }
}

fn core_at(revision: StoreRevision, version: u64) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    core.apply_config(Some(config(version)), at(1_000));
    core.set_config_revision(revision);
    core
}

fn copy_of(core: &RelayCore) -> ConfigCopy {
    let bytes = core.config_copy().unwrap().to_bytes().unwrap();
    ConfigCopy::from_bytes(&bytes).unwrap()
}

/// Verdict of an entry at revision `known` on a proof of revision `proven`.
fn verdict(known: StoreRevision, proven: StoreRevision) -> PeerVerdict {
    let mut sync = ProofSync::default();
    sync.record_source(([10, 0, 0, 1], 80).into(), at(9_000));
    sync.next_query(7, at(1_000), at(9_500)).unwrap();
    let proof = PeerProof {
        nonce: 7,
        revision: proven,
        config_digest: 0,
        age: ms(100),
        evacuated: Vec::new(),
    };
    sync.apply_answer(&proof, known)
}

#[test]
fn proofs_of_the_previous_epoch_are_useless() {
    assert_eq!(verdict(after(5), before(9)), PeerVerdict::Useless);
    assert_eq!(verdict(after(5), before(4)), PeerVerdict::Useless);
    assert_eq!(verdict(after(5), before(5)), PeerVerdict::Useless);
}

#[test]
fn proofs_of_the_next_epoch_are_ahead_whatever_their_number() {
    assert_eq!(verdict(before(9), after(5)), PeerVerdict::Behind);
    assert_eq!(verdict(before(5), after(5)), PeerVerdict::Behind);
    assert_eq!(verdict(after(5), after(4)), PeerVerdict::ProvenAt(at(9_400)));
}

#[test]
fn copies_of_the_previous_epoch_are_rejected() {
    let (mut old, mut new) = (core_at(before(9), 3), core_at(after(5), 4));
    assert!(!new.apply_copy(&copy_of(&old), at(2_000)));
    assert_eq!((new.config_revision().epoch, new.config_revision().number), (2, 5));
    assert!(old.apply_copy(&copy_of(&new), at(2_000)));
    assert_eq!((old.config_revision().epoch, old.config_revision().number), (2, 5));
    assert_eq!(old.rules().version(), 4);
}

#[test]
fn the_revision_number_decreases_only_with_a_new_epoch() {
    let mut core = core_at(before(9), 3);
    core.set_config_revision(after(5));
    assert_eq!((core.config_revision().epoch, core.config_revision().number), (2, 5));
    core.set_config_revision(before(20));
    assert_eq!((core.config_revision().epoch, core.config_revision().number), (2, 5));
}

fn update(since: StoreRevision, revision: StoreRevision) -> TargetListUpdate {
    TargetListUpdate { since, revision, age_ms: 0, changes: Vec::new(), is_difference: false }
}

fn sync_at(revision: StoreRevision) -> TargetListSync {
    let mut sync = TargetListSync::default();
    sync.record_list(revision, revision, at(0));
    sync
}

#[test]
fn the_list_revision_number_decreases_with_a_new_epoch() {
    let mut sync = sync_at(before(90));
    sync.record_list(after(60), after(55), at(0));
    assert_eq!((sync.changed_at().epoch, sync.changed_at().number), (2, 55));
}

#[test]
fn list_updates_apply_only_within_one_epoch() {
    let mut sync = sync_at(before(90));
    assert_eq!(sync.apply_update(&update(after(50), after(60)), at(0)), UpdateVerdict::Gap);
    assert_eq!(sync.apply_update(&update(before(80), after(60)), at(0)), UpdateVerdict::Gap);
    let mut sync = sync_at(after(60));
    assert_eq!(sync.apply_update(&update(before(90), before(95)), at(0)), UpdateVerdict::Known);
    assert_eq!(sync.apply_update(&update(after(60), after(61)), at(0)), UpdateVerdict::Next);
}

#[test]
fn a_list_revision_of_the_next_epoch_reported_by_agents_requires_a_read() {
    let mut sync = sync_at(before(90));
    sync.record_agent_report(8, Some(after(60)), at(0));
    assert!(sync.is_behind(at(5_000)));
    sync.record_list(after(61), after(60), at(0));
    assert!(!sync.is_behind(at(5_000)));
}

/// A list read after a restore does not continue from a revision that other entries know.
#[test]
fn changes_across_epochs_are_not_announced() {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let both = TargetList {
        records: vec![record("a", 1), record("b", 2)],
        changed_at: before(90),
        ..TargetList::new(before(90))
    };
    core.apply_reread(both, false, at(0), at(0));
    let one = TargetList {
        records: vec![record("a", 1)],
        changed_at: after(60),
        ..TargetList::new(after(60))
    };
    let (change, update) = core.apply_reread(one, false, at(0), at(10));
    assert_eq!(change.removed, [name("b")]);
    assert_eq!(update, None);
}

fn listed(name: &str, at: StoreRevision) -> TargetRecord {
    TargetRecord { listed_at: at, ..record(name, 1) }
}

/// Of two targets at one address the later one is used, even if its revision number is lower.
#[test]
fn a_target_of_this_epoch_supersedes_one_of_the_previous_epoch() {
    let mut set = TargetSet::default();
    set.apply_list(vec![listed("old", before(150))], false, at(0));
    set.apply_change(listed("new", after(60)), at(10));
    let usable: Vec<_> = set.usable("engines", at(10)).collect();
    assert_eq!(usable.len(), 1);
    assert_eq!(usable[0].record.incarnation, name("new"));
}

#[test]
fn an_earlier_version_does_not_prove_a_later_one() {
    let mut core = core_at(before(9), 3);
    core.apply_read(read(after(5), Some(2)), at(3_000));
    core.apply_read(read(after(5), None), at(3_500));
    assert_eq!(core.rules().version(), 3, "versions never decrease");
    assert_eq!(core.lease().proven_at(), Some(at(1_000)));
    assert!(core.config_copy().is_none(), "the store holds another configuration");
    core.apply_read(read(after(6), Some(3)), at(4_000));
    assert_eq!(core.lease().proven_at(), Some(at(4_000)), "the version was written again");
}

/// Guards against the rules of a lost version under the number of the one written after it.
#[test]
fn other_contents_of_a_version_that_is_written_again_come_into_force() {
    let mut core = core_at(before(9), 3);
    core.apply_read(read(after(5), Some(2)), at(3_000));
    let mut rewritten = config(3);
    rewritten.limits.max_head = 99_000;
    let rewritten = ConfigRead { config: Some(rewritten), ..read(after(6), None) };
    assert!(core.apply_read(rewritten, at(4_000)));
    assert_eq!(core.rules().limits().max_head, 99_000);
    assert!(!core.apply_read(read(after(6), None), at(5_000)));
}

/// An answer that a watch has overtaken holds an earlier version. It still proves that no
/// version later than the watch's was in force.
#[test]
fn an_overtaken_read_renews_the_proof_without_changing_the_configuration() {
    let mut core = core_at(after(9), 3);
    core.apply_update(config_update(after(12), config(4)), at(2_000));
    assert!(!core.apply_read(read(after(9), Some(3)), at(1_900)));
    assert_eq!(core.lease().proven_at(), Some(at(1_900)));
    assert!(!core.is_store_behind());
    assert_eq!((core.rules().version(), core.config_revision()), (4, after(12)));
}

#[test]
fn an_answer_of_the_previous_epoch_proves_nothing() {
    let mut core = core_at(after(5), 3);
    assert!(!core.apply_read(read(before(20), Some(9)), at(5_000)));
    assert!(!core.apply_update(config_update(before(20), config(9)), at(5_000)));
    assert_eq!(core.lease().proven_at(), Some(at(1_000)));
    assert_eq!(core.rules().version(), 3);
}

/// A proof made before a restore of the store must not be given with a revision made after it.
#[test]
fn a_proof_is_given_only_in_the_epoch_in_which_it_was_made() {
    let mut core = core_at(before(9), 3);
    core.apply_read(read(before(9), None), at(2_000));
    assert!(core.answer_proof_request(7, at(2_100)).is_some());
    core.apply_read(read(after(5), Some(2)), at(2_200));
    assert_eq!(core.answer_proof_request(7, at(2_300)), None);
    core.apply_read(read(after(6), Some(3)), at(2_400));
    assert!(core.answer_proof_request(7, at(2_500)).is_some());
}

fn read(revision: StoreRevision, version: Option<u64>) -> ConfigRead {
    let (store_revision, config) = (revision, version.map(config));
    ConfigRead { revision, store_revision, config, unreadable: Vec::new() }
}

/// An entry without a configuration applies the one that the store holds.
#[test]
fn a_starting_process_applies_the_configuration_of_the_backup() {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    assert!(core.apply_config(Some(config(2)), at(3_000)));
    assert!(core.lease().is_held(at(3_001)));
}

fn quarantined() -> QuarantineRecord {
    let digest = RequestDigest::of(None, "h.example", "/x", b"body");
    QuarantineRecord { subject: digest, since_ms: 1_000, renewals: 0, is_lifted: false }
}

/// A conditional write may succeed at the same revision number of the next epoch, where the object
/// has other content.
#[test]
fn a_write_in_the_next_epoch_does_not_advance_the_revision() {
    let mut core = core_at(before(9), 3);
    let records =
        QuarantineRecords { requests: vec![quarantined()], ..QuarantineRecords::default() };
    core.record_written(&records, after(10), at(2_000));
    assert_eq!((core.config_revision().epoch, core.config_revision().number), (1, 9));
}

#[test]
fn quarantine_records_missing_in_the_backup_are_written_again() {
    let mut core = core_at(before(9), 3);
    let known = RelayConfig { quarantine: vec![quarantined()], ..config(3) };
    core.apply_config(Some(known), at(1_500));
    assert_eq!(core.quarantine_to_write(at(9_000)), None);
    core.apply_config(Some(config(3)), at(10_000));
    let due: Tick = at(10_000) + ms(3_100);
    assert_eq!(core.quarantine_to_write(due).map(|records| records.requests.len()), Some(1));
}

/// A backup may list a target as ready that has left since, until its removal is written again.
/// A target that registers again gets another revision number and is usable at once.
#[test]
fn a_removed_target_that_the_backup_lists_again_is_unusable_for_a_while() {
    let mut set = TargetSet::default();
    set.apply_list(vec![listed("a", before(50))], false, at(0));
    set.apply_removal("a", None, at(1_000));
    set.apply_list(vec![listed("a", after(50))], true, at(2_000));
    assert!(!set.get("a").unwrap().is_usable(at(5_900)));
    assert!(set.get("a").unwrap().is_usable(at(6_000)), "the target is still listed");
    let mut set = TargetSet::default();
    set.apply_list(vec![listed("a", before(50))], false, at(0));
    set.apply_removal("a", None, at(1_000));
    set.apply_list(vec![listed("a", after(61))], true, at(2_000));
    assert!(set.get("a").unwrap().is_usable(at(2_000)), "the target registered again");
    let mut set = TargetSet::default();
    set.apply_list(vec![listed("a", before(50))], false, at(0));
    set.apply_removal("a", None, at(1_000));
    set.apply_list(vec![listed("a", before(50))], true, at(2_000));
    assert!(set.get("a").unwrap().is_usable(at(2_000)), "the epoch is the same");
}
