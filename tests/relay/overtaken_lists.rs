//! Lists of targets and their changes at entries that know more, or less, than their senders.

use shalelane::relay::core::RelayCore;
use shalelane::relay::core::target_list::WatchedChanges;
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::source::{TargetChange, TargetList};
use shalelane::relay::discovery::target_list_sync::TargetListUpdate;
use shalelane::time::Tick;

use crate::fixture::{at, limits, name, record, revision};

fn list(number: u64, records: Vec<TargetRecord>) -> TargetList {
    TargetList { records, changed_at: revision(5), ..TargetList::new(revision(number)) }
}

/// An entry that read a list of one target at revision 5.
fn entry() -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    core.apply_reread(list(5, vec![record("a", 1)]), false, at(0), at(0));
    core
}

/// The only change of a watch from `since` to `until`.
fn watched(change: TargetChange, since: u64, until: u64, known_at: Tick) -> WatchedChanges {
    let changes = vec![(revision(until), change)];
    WatchedChanges { changes, since: revision(since), revision: revision(until), known_at }
}

/// The update of a watcher that saw one change.
fn update(change: TargetChange, since: u64, until: u64) -> TargetListUpdate {
    let mut watcher = entry();
    let (_, update) = watcher.apply_watched(watched(change, since, until, at(90)), false, at(100));
    update.expect("a change")
}

/// Returns `true` if an entry asks the store for changes, sooner or later.
fn is_asking(core: &RelayCore) -> bool {
    core.target_list_sync().is_behind(at(60_000))
}

/// Guards against a target that stays listed for good: it came and went between two reads of the
/// entry that announces their difference.
#[test]
fn a_difference_of_two_lists_is_not_applied_to_a_list_between_them() {
    let mut reader = entry();
    let after = list(9, vec![record("a", 1), record("c", 3)]);
    let (_, difference) = reader.apply_reread(after, false, at(0), at(3_000));
    let difference = difference.expect("a target is new");
    let mut core = entry();
    core.apply_list_update(&update(TargetChange::Listed(record("b", 2)), 5, 7), false, at(101));
    assert!(core.apply_list_update(&difference, false, at(3_001)).is_empty());
    assert!(is_asking(&core), "the store has the removal of the target between");
    assert_eq!(core.target_list_sync().known_up_to(), revision(7));
    let mut other = entry();
    assert_eq!(other.apply_list_update(&difference, false, at(3_001)).added, [name("c")]);
    assert!(!is_asking(&other), "it knows the list that the difference begins with");
}

/// Guards against a removal that is lost for good: it was announced while an older list was read.
#[test]
fn changes_after_a_list_that_was_overtaken_are_asked_for() {
    let mut core = entry();
    core.apply_list_update(&update(TargetChange::Listed(record("b", 2)), 5, 6), false, at(101));
    let removal = update(TargetChange::Removed(name("a")), 6, 9);
    assert_eq!(core.apply_list_update(&removal, false, at(110)).removed, [name("a")]);
    let overtaken = list(7, vec![record("a", 1), record("b", 2)]);
    let (_, announced) = core.apply_reread(overtaken, false, at(90), at(120));
    assert_eq!(announced, None, "the others know later changes");
    assert_eq!(core.target_list_sync().known_up_to(), revision(7), "the removal is not known");
    assert!(is_asking(&core));
    assert_eq!(core.apply_list_update(&removal, false, at(130)).removed, [name("a")]);
    assert!(!is_asking(&core));
}

/// Guards against the same where the first page of a list is older than the last one.
#[test]
fn changes_between_the_pages_of_a_list_are_asked_for() {
    let mut core = entry();
    let pages = TargetList { changed_at: revision(9), ..list(6, vec![record("a", 1)]) };
    core.apply_reread(pages, false, at(0), at(100));
    assert_eq!(core.target_list_sync().known_up_to(), revision(6));
    assert!(is_asking(&core));
    let removal = update(TargetChange::Removed(name("a")), 6, 8);
    assert_eq!(core.apply_list_update(&removal, false, at(110)).removed, [name("a")]);
}

/// Guards against a target that is listed again by an answer that an update has overtaken.
#[test]
fn an_answer_of_a_watch_that_was_overtaken_is_not_applied() {
    let mut core = entry();
    core.apply_list_update(&update(TargetChange::Removed(name("a")), 5, 9), false, at(110));
    let relisted = watched(TargetChange::Listed(record("a", 1)), 5, 8, at(90));
    let (change, update) = core.apply_watched(relisted, false, at(120));
    assert!(change.is_empty() && update.is_none());
    assert!(core.targets.get("a").is_none());
    assert!(!is_asking(&core), "all up to that update is known");
}
