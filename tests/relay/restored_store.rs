//! A store that is back from an old copy gives out its revisions again. What compares them has
//! to know in which epoch of the store each was given out.

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::hold_list::QuarantineRecord;
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::decide::targets::{TargetRecord, TargetSet};
use shalelane::relay::discovery::feed::{ConfigRead, TargetList};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::list_share::{ListNews, ListShare, NewsVerdict};
use shalelane::relay::discovery::proof_share::{PeerProof, PeerVerdict, ProofShare};
use shalelane::relay::discovery::rules::RelayConfig;
use shalelane::relay::discovery::store_revision::StoreRevision;
use shalelane::relay::peers::config_copy::ConfigCopy;
use shalelane::time::Tick;

use crate::fixture::{at, config_news, limits, ms, name, record};

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
    core.take_config(Some(config(version)), at(1_000));
    core.set_config_revision(revision);
    core
}

fn copy_of(core: &RelayCore) -> ConfigCopy {
    let bytes = core.config_copy().unwrap().to_bytes().unwrap();
    ConfigCopy::from_bytes(&bytes).unwrap()
}

/// What a proof of a revision is worth to an entry that has another one.
fn verdict(own: StoreRevision, told: StoreRevision) -> PeerVerdict {
    let mut share = ProofShare::default();
    share.note_source(([10, 0, 0, 1], 80).into(), at(9_000));
    share.ask(7, at(1_000), at(9_500)).unwrap();
    let proof = PeerProof {
        nonce: 7,
        revision: told,
        config_digest: 0,
        age: ms(100),
        evacuated: Vec::new(),
    };
    share.take_answer(&proof, own)
}

#[test]
fn proofs_of_the_last_epoch_prove_nothing_in_this_one() {
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
fn copies_are_taken_from_the_next_epoch_and_not_from_the_last() {
    let (mut old, mut new) = (core_at(before(9), 3), core_at(after(5), 4));
    assert!(!new.take_copy(&copy_of(&old), at(2_000)));
    assert_eq!((new.config_revision().epoch, new.config_revision().number), (2, 5));
    assert!(old.take_copy(&copy_of(&new), at(2_000)));
    assert_eq!((old.config_revision().epoch, old.config_revision().number), (2, 5));
    assert_eq!(old.rules().version(), 4);
}

#[test]
fn the_known_revision_goes_back_with_the_store_and_not_without_it() {
    let mut core = core_at(before(9), 3);
    core.set_config_revision(after(5));
    assert_eq!((core.config_revision().epoch, core.config_revision().number), (2, 5));
    core.set_config_revision(before(20));
    assert_eq!((core.config_revision().epoch, core.config_revision().number), (2, 5));
}

fn news(since: StoreRevision, mark: StoreRevision) -> ListNews {
    ListNews { since, mark, age_ms: 0, changes: Vec::new() }
}

fn share_at(mark: StoreRevision) -> ListShare {
    let mut share = ListShare::default();
    share.note_list(mark, mark);
    share
}

#[test]
fn the_mark_of_the_list_goes_back_with_the_store() {
    let mut share = share_at(before(90));
    share.note_list(after(60), after(55));
    assert_eq!((share.mark().epoch, share.mark().number), (2, 55));
}

#[test]
fn news_lead_from_a_mark_to_a_mark_of_the_same_epoch() {
    let mut share = share_at(before(90));
    assert_eq!(share.take_news(&news(after(50), after(60)), at(0)), NewsVerdict::Gap);
    assert_eq!(share.take_news(&news(before(80), after(60)), at(0)), NewsVerdict::Gap);
    let mut share = share_at(after(60));
    assert_eq!(share.take_news(&news(before(90), before(95)), at(0)), NewsVerdict::Known);
    assert_eq!(share.take_news(&news(after(60), after(61)), at(0)), NewsVerdict::Next);
}

#[test]
fn a_mark_of_the_next_epoch_that_agents_tell_has_the_list_read() {
    let mut share = share_at(before(90));
    share.note_agent(8, Some(after(60)), at(0));
    assert!(share.is_behind(at(5_000)));
    share.note_list(after(61), after(60));
    assert!(!share.is_behind(at(5_000)));
}

/// What is read anew after the store came back says nothing of what others know of before.
#[test]
fn nobody_is_told_of_changes_from_one_epoch_to_the_next() {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let both = TargetList {
        records: vec![record("a", 1), record("b", 2)],
        changed_at: before(90),
        ..TargetList::new(before(90))
    };
    core.take_reread(both, false, at(0), at(0));
    let one = TargetList {
        records: vec![record("a", 1)],
        changed_at: after(60),
        ..TargetList::new(after(60))
    };
    let (change, news) = core.take_reread(one, false, at(0), at(10));
    assert_eq!(change.removed, [name("b")]);
    assert_eq!(news, None);
}

fn listed(name: &str, at: StoreRevision) -> TargetRecord {
    TargetRecord { listed_at: at, ..record(name, 1) }
}

/// Two targets at one address: the later one has it, also where its number is lower.
#[test]
fn a_target_of_this_epoch_displaces_one_of_the_last() {
    let mut set = TargetSet::default();
    set.take_list(vec![listed("old", before(150))], false, at(0));
    set.take_change(listed("new", after(60)), at(10));
    let usable: Vec<_> = set.usable("engines", at(10)).collect();
    assert_eq!(usable.len(), 1);
    assert_eq!(usable[0].record.incarnation, name("new"));
}

#[test]
fn an_earlier_version_is_no_proof_of_a_later_one() {
    let mut core = core_at(before(9), 3);
    core.take_read(read(after(5), Some(2)), at(3_000));
    core.take_read(read(after(5), None), at(3_500));
    assert_eq!(core.rules().version(), 3, "versions do not step back");
    assert_eq!(core.lease().proven_at(), Some(at(1_000)));
    assert!(core.config_copy().is_none(), "it is not what the store holds");
    core.take_read(read(after(6), Some(3)), at(4_000));
    assert_eq!(core.lease().proven_at(), Some(at(4_000)), "it was written again");
}

/// An answer that a watch overtook holds an earlier version, and still proves that no later
/// one than that of the watch was in force.
#[test]
fn a_read_that_was_overtaken_proves_and_changes_nothing() {
    let mut core = core_at(after(9), 3);
    core.take_news(config_news(after(12), config(4)), at(2_000));
    assert!(!core.take_read(read(after(9), Some(3)), at(1_900)));
    assert_eq!(core.lease().proven_at(), Some(at(1_900)));
    assert!(!core.is_store_behind());
    assert_eq!((core.rules().version(), core.config_revision()), (4, after(12)));
}

#[test]
fn an_answer_of_the_last_epoch_proves_nothing() {
    let mut core = core_at(after(5), 3);
    assert!(!core.take_read(read(before(20), Some(9)), at(5_000)));
    assert!(!core.take_news(config_news(before(20), config(9)), at(5_000)));
    assert_eq!(core.lease().proven_at(), Some(at(1_000)));
    assert_eq!(core.rules().version(), 3);
}

/// What was proven before the store came back is not told with a revision of after.
#[test]
fn a_proof_is_told_in_the_epoch_in_which_it_was_made() {
    let mut core = core_at(before(9), 3);
    core.take_read(read(before(9), None), at(2_000));
    assert!(core.tell_proof(7, at(2_100)).is_some());
    core.take_read(read(after(5), Some(2)), at(2_200));
    assert_eq!(core.tell_proof(7, at(2_300)), None);
    core.take_read(read(after(6), Some(3)), at(2_400));
    assert!(core.tell_proof(7, at(2_500)).is_some());
}

fn read(revision: StoreRevision, version: Option<u64>) -> ConfigRead {
    let (store_revision, config) = (revision, version.map(config));
    ConfigRead { revision, store_revision, config, unreadable: Vec::new() }
}

/// An entry that knows no configuration takes what there is.
#[test]
fn a_process_that_starts_takes_what_the_copy_holds() {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    assert!(core.take_config(Some(config(2)), at(3_000)));
    assert!(core.lease().is_held(at(3_001)));
}

fn held() -> QuarantineRecord {
    let digest = RequestDigest::of(None, "h.example", "/x", b"body");
    QuarantineRecord { digest, since_ms: 1_000, renewals: 0 }
}

/// A write at a revision may meet the same number of the next epoch, with another content.
#[test]
fn a_write_that_met_the_next_epoch_leaves_the_configuration_unknown() {
    let mut core = core_at(before(9), 3);
    core.note_written(&[held()], after(10), at(2_000));
    assert_eq!((core.config_revision().epoch, core.config_revision().number), (1, 9));
}

#[test]
fn what_the_copy_does_not_hold_back_is_written_again() {
    let mut core = core_at(before(9), 3);
    let known = RelayConfig { quarantine: vec![held()], ..config(3) };
    core.take_config(Some(known), at(1_500));
    assert_eq!(core.quarantine_to_write(at(9_000)), None);
    core.take_config(Some(config(3)), at(10_000));
    let due: Tick = at(10_000) + ms(3_100);
    assert_eq!(core.quarantine_to_write(due).map(|records| records.len()), Some(1));
}

/// A target that had left stands in the copy as ready, until that it left is written again. One
/// that is listed anew has another place in the count, and is taken at once.
#[test]
fn a_target_that_had_gone_before_the_copy_shows_it_is_left_alone() {
    let mut set = TargetSet::default();
    set.take_list(vec![listed("a", before(50))], false, at(0));
    set.take_removal("a", None, at(1_000));
    set.take_list(vec![listed("a", after(50))], true, at(2_000));
    assert!(!set.get("a").unwrap().is_usable(at(5_900)));
    assert!(set.get("a").unwrap().is_usable(at(6_000)), "it is there after all");
    let mut set = TargetSet::default();
    set.take_list(vec![listed("a", before(50))], false, at(0));
    set.take_removal("a", None, at(1_000));
    set.take_list(vec![listed("a", after(61))], true, at(2_000));
    assert!(set.get("a").unwrap().is_usable(at(2_000)), "it lists itself again");
    let mut set = TargetSet::default();
    set.take_list(vec![listed("a", before(50))], false, at(0));
    set.take_removal("a", None, at(1_000));
    set.take_list(vec![listed("a", before(50))], true, at(2_000));
    assert!(set.get("a").unwrap().is_usable(at(2_000)), "the same store shows it again");
}
