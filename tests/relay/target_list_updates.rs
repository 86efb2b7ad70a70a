//! Updates of the target list between entries.

use shalelane::relay::core::RelayCore;
use shalelane::relay::core::target_list::WatchedChanges;
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::source::{TargetChange, TargetList};
use shalelane::relay::discovery::target_list_sync::{
    TargetListSync, TargetListUpdate, UpdateVerdict,
};
use shalelane::relay::peers::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use shalelane::time::Tick;

use crate::fixture::{at, check, limits, name, record, revision};

fn update(since: u64, until: u64) -> TargetListUpdate {
    TargetListUpdate {
        since: revision(since),
        revision: revision(until),
        age_ms: 0,
        changes: Vec::new(),
        is_difference: false,
    }
}

/// The state of an entry that knows all changes up to revision `number`.
fn sync_at(number: u64) -> TargetListSync {
    let mut sync = TargetListSync::default();
    sync.record_list(revision(number), revision(number), at(0));
    sync
}

/// The state of an entry that listens.
fn listener_at(number: u64) -> TargetListSync {
    let mut sync = sync_at(number);
    sync.record_agent_report(50, None, at(0));
    assert!(sync.decide_watching(1.0, 50, 0.0, at(1_000)));
    assert!(!sync.is_watching());
    sync
}

fn target_list(number: u64, records: Vec<TargetRecord>) -> TargetList {
    TargetList { records, changed_at: revision(5), ..TargetList::new(revision(number)) }
}

/// An entry that knows two targets from a list that was read at revision 5.
fn entry_with_two_targets() -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let both = target_list(5, vec![record("a", 1), record("b", 2)]);
    let (_, update) = core.apply_reread(both, false, at(0), at(0));
    assert_eq!(update, None, "the first list of a process is no change");
    core
}

/// The result of a watch from revision `since` on.
fn watched(changes: Vec<TargetChange>, since: u64, until: u64, known_at: Tick) -> WatchedChanges {
    let changes = changes.into_iter().map(|change| (revision(until), change)).collect();
    WatchedChanges { changes, since: revision(since), revision: revision(until), known_at }
}

/// Guards against this failure: an entry receives changes from another entry before its own watch
/// shows them, and announces them again as if they started from there. 402 entries that missed the
/// first update then read the list again, five times each in a quiet run. Each change has to be
/// announced once, by the first entry that sees it.
#[test]
fn a_watcher_announces_only_changes_that_no_other_has_announced() {
    let (mut first, mut other_watcher, mut other) =
        (entry_with_two_targets(), entry_with_two_targets(), entry_with_two_targets());
    let removed = vec![TargetChange::Removed(name("b"))];
    let (_, update) = first.apply_watched(watched(removed, 5, 9, at(90)), false, at(100));
    let update = update.unwrap();
    other_watcher.apply_list_update(&update, false, at(101));
    let repeated = vec![TargetChange::Removed(name("b"))];
    let (_, repeated) =
        other_watcher.apply_watched(watched(repeated, 5, 9, at(90)), false, at(102));
    assert_eq!(repeated, None, "the first watcher has announced it");
    let listed = vec![TargetChange::Listed(record("c", 3))];
    let (_, later) = other_watcher.apply_watched(watched(listed, 9, 12, at(190)), false, at(200));
    let later = later.expect("changes of its own watch");
    assert_eq!((later.since, later.revision), (revision(9), revision(12)));
    assert!(
        other.apply_list_update(&later, false, at(201)).is_empty(),
        "it missed the first update"
    );
    other.apply_list_update(&update, false, at(202));
    assert_eq!(other.apply_list_update(&later, false, at(203)).added, [name("c")]);
}

/// After the delay between two answers of its watch, an entry sees changes that another has
/// announced, and later ones. It announces the later ones, and each removal, which may have an
/// earlier revision.
#[test]
fn changes_announced_during_a_watch_delay_are_left_out() {
    let (mut first, mut other_watcher) = (entry_with_two_targets(), entry_with_two_targets());
    let leaving = TargetRecord { is_leaving: true, ..record("a", 1) };
    let changes = vec![TargetChange::Listed(leaving.clone())];
    let (_, update) = first.apply_watched(watched(changes, 5, 8, at(90)), false, at(100));
    other_watcher.apply_list_update(&update.unwrap(), false, at(101));
    let changes = vec![
        (revision(8), TargetChange::Listed(leaving)),
        (revision(8), TargetChange::Removed(name("b"))),
        (revision(11), TargetChange::Listed(record("c", 3))),
    ];
    let (since, until) = (revision(5), revision(11));
    let all = WatchedChanges { changes, since, revision: until, known_at: at(90) };
    let update =
        other_watcher.apply_watched(all, false, at(2_000)).1.expect("it has later changes");
    assert_eq!((update.since, update.revision), (revision(8), revision(11)));
    let announced = [TargetChange::Removed(name("b")), TargetChange::Listed(record("c", 3))];
    assert_eq!(update.changes, announced);
}

/// Guards against this failure: an entry that has asked for missed changes and then starts to watch
/// announces the revision of the whole store, and all other entries ask the store for changes that
/// do not exist.
#[test]
fn catching_up_announces_no_change_to_others() {
    let mut sync = listener_at(10);
    sync.record_agent_report(3, Some(revision(11)), at(2_000));
    sync.record_caught_up(revision(40));
    assert!(!sync.is_behind(at(9_000)));
    assert_eq!((sync.changed_at(), sync.known_up_to()), (revision(10), revision(40)));
    assert_eq!(sync.apply_update(&update(10, 12), at(9_000)), UpdateVerdict::Known);
    assert_eq!(
        sync.apply_update(&update(12, 41), at(9_000)),
        UpdateVerdict::Next,
        "it continues from the known revision"
    );
}

/// Guards against this failure: an entry that has just started watches without announcing changes,
/// but reports its revision. All other entries then ask the store for changes that delayed watchers
/// are about to send.
#[test]
fn a_revision_that_was_not_announced_is_not_reported() {
    let mut core = entry_with_two_targets();
    let removed = vec![TargetChange::Removed(name("b"))];
    core.apply_watched(watched(removed, 5, 9, at(90)), false, at(100));
    assert_eq!(core.target_list_sync().changed_at(), revision(9));
    assert_eq!(core.target_list_sync().announced(), revision(5));
    core.record_list_announced(revision(9));
    assert_eq!(core.target_list_sync().announced(), revision(9));
}

/// If entries start together and know nothing of one another, the number of watchers does not grow
/// with the fleet beyond a hundred entries; in a small fleet all watch.
#[test]
fn the_number_of_initial_watchers_does_not_grow_with_the_fleet() {
    let watching = |entries: usize, targets: usize| {
        let is_watching = |number: usize| {
            let mut sync = TargetListSync::default();
            assert!(!sync.choose_initial_watchers(0, 0.0, at(0)), "nothing is listed yet");
            sync.choose_initial_watchers(targets, (number as f64 + 0.5) / entries as f64, at(300));
            sync.is_watching()
        };
        (0..entries).filter(|number| is_watching(*number)).count()
    };
    assert_eq!(watching(5, 21), 5);
    for size in [100, 402, 804, 2_400] {
        assert_eq!(watching(size, size), 24, "{size} entries");
    }
}

/// Guards against listeners that count as watchers without a watch once the list has grown.
#[test]
fn a_list_that_grows_large_makes_no_listener_a_watcher() {
    for (number, targets) in [(0, 25), (1, 30), (2, 402), (3, 2_400)] {
        let mut sync = listener_at(10);
        let jitter = f64::from(number) / 1_000.0;
        assert!(!sync.choose_initial_watchers(20, jitter, at(1_100)), "the list is small");
        let is_changed = sync.choose_initial_watchers(targets, jitter, at(1_200));
        assert!(!is_changed && !sync.is_watching(), "{targets} targets");
        sync.record_agent_report(0, None, at(2_000));
        assert!(sync.decide_watching(1.0, 45, 0.99, at(2_300)), "nobody watches any more");
        assert!(sync.is_watching());
    }
}

#[test]
fn updates_are_applied_in_order_and_once() {
    let mut sync = sync_at(10);
    assert_eq!(sync.apply_update(&update(10, 12), at(0)), UpdateVerdict::Next);
    assert_eq!(sync.apply_update(&update(10, 12), at(0)), UpdateVerdict::Known);
    assert_eq!(sync.apply_update(&update(11, 14), at(0)), UpdateVerdict::Next, "they overlap");
    assert_eq!(sync.apply_update(&update(8, 13), at(0)), UpdateVerdict::Known, "late update");
    assert_eq!(sync.changed_at(), revision(14));
}

#[test]
fn missed_updates_cause_a_read_of_the_list() {
    let mut sync = listener_at(10);
    assert_eq!(sync.apply_update(&update(12, 14), at(2_000)), UpdateVerdict::Gap);
    assert!(!sync.is_behind(at(2_100)), "copies may arrive through other agents");
    assert!(sync.is_behind(at(2_200)));
    sync.record_list(revision(15), revision(9), at(0));
    assert!(!sync.is_behind(at(2_300)));
    assert_eq!(
        sync.changed_at(),
        revision(14),
        "announced changes are in a list of a later revision"
    );
}

#[test]
fn a_revision_reported_by_agents_reveals_lost_updates() {
    let mut sync = listener_at(10);
    sync.record_agent_report(3, Some(revision(11)), at(2_000));
    assert!(sync.is_behind(at(2_200)));
    assert_eq!(sync.apply_update(&update(10, 11), at(2_210)), UpdateVerdict::Next);
    assert!(!sync.is_behind(at(2_300)));
}

/// A watch on a hung connection brings nothing, and looks like a watch of a list that does not
/// change.
#[test]
fn a_hung_watch_is_noticed_by_the_reports_of_agents() {
    let mut sync = sync_at(10);
    sync.record_agent_report(3, Some(revision(11)), at(2_000));
    assert!(sync.is_watching());
    assert!(!sync.is_behind(at(4_000)), "its watch may be delayed between two answers");
    assert!(sync.is_behind(at(4_600)));
}

#[test]
fn an_entry_that_learns_of_no_watcher_watches() {
    let mut sync = listener_at(10);
    assert!(sync.decide_watching(1.0, 50, 0.99, at(2_500)), "no agent reported a watcher");
    assert!(sync.is_watching());
}

/// After a power loss of the whole fleet every entry watches, and would send a hundred copies of
/// each change.
#[test]
fn few_of_many_watchers_announce() {
    let mut sync = sync_at(10);
    assert!(!sync.should_announce(0.0), "it does not know the number of watchers yet");
    sync.record_agent_report(99, None, at(0));
    sync.decide_watching(1.0, 100, 0.99, at(1_000));
    let announced =
        (0..100).filter(|jitter| sync.should_announce(f64::from(*jitter) / 100.0)).count();
    assert_eq!(announced, 8);
}

#[test]
fn all_entries_of_a_small_fleet_watch() {
    for others in 0..12 {
        let mut sync = sync_at(10);
        sync.record_agent_report(others, None, at(0));
        assert!(!sync.decide_watching(1.0, 13, 0.0, at(1_000)), "{others} others");
    }
}

/// Whatever number of watchers a fleet starts with, and whichever of them are killed, it converges
/// to a few.
#[test]
fn a_fleet_converges_to_a_few_watchers() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(samples: Vec<u8>, killed: u8) -> bool {
        const ENTRIES: usize = 100;
        let jitter = |at: usize| match samples.len() {
            0 => 0.5,
            length => (f64::from(samples[at % length]) + (at % 89) as f64 * 2.9) % 256.0 / 256.0,
        };
        let mut syncs: Vec<_> = (0..ENTRIES).map(|_| sync_at(10)).collect();
        for second in 1..40 {
            if second == 20 {
                // New processes start as watchers.
                let killed = usize::from(killed) % ENTRIES;
                syncs[..killed].iter_mut().for_each(|sync| *sync = self::sync_at(10));
            }
            let watchers = syncs.iter().filter(|sync| sync.is_watching()).count();
            for (number, sync) in syncs.iter_mut().enumerate() {
                let others = watchers - usize::from(sync.is_watching());
                sync.record_agent_report(others as u32, None, at(second * 1_000));
                let jitter = jitter(number * 41 + second as usize);
                sync.decide_watching(1.0, ENTRIES, jitter, at(second * 1_000));
            }
        }
        let watchers = syncs.iter().filter(|sync| sync.is_watching()).count();
        (1..=30).contains(&watchers)
    }
    check(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn an_update_of_one_watcher_applies_at_another_entry() {
    let (mut watcher, mut other) = (entry_with_two_targets(), entry_with_two_targets());
    let leaving = TargetRecord { is_leaving: true, ..record("a", 1) };
    let changes = vec![TargetChange::Listed(leaving), TargetChange::Removed(name("b"))];
    let (change, update) = watcher.apply_watched(watched(changes, 5, 9, at(90)), false, at(100));
    assert_eq!(other.apply_list_update(&update.clone().unwrap(), false, at(102)), change);
    assert!(!other.targets.get("a").unwrap().is_usable(at(103)));
    assert!(other.targets.get("b").is_none());
    assert_eq!(
        other.apply_list_update(&update.unwrap(), false, at(103)).removed,
        [],
        "a second copy"
    );
}

/// Guards against this failure: the store turns away two of five entries. One of them announces a
/// removed target as one that may come back, and an entry that never lost the store sends it a
/// request 2,025 ms later.
#[test]
fn an_entry_that_never_lost_the_store_applies_a_removal_at_once() {
    let (mut refused, mut other) = (entry_with_two_targets(), entry_with_two_targets());
    let changes = vec![TargetChange::Removed(name("b"))];
    let (change, update) =
        refused.apply_watched(watched(changes, 5, 9, at(13_000)), true, at(13_070));
    assert_eq!(change.removed, [], "it may come back");
    let change = other.apply_list_update(&update.unwrap(), false, at(13_072));
    assert_eq!(change.removed, [name("b")]);
}

/// An entry that lost the store as well keeps a target from the time at which the list can have
/// dropped it, not from the arrival of the update.
#[test]
fn the_grace_period_of_a_removal_starts_with_the_list_at_all_entries() {
    let (mut watcher, mut other) = (entry_with_two_targets(), entry_with_two_targets());
    let changes = vec![TargetChange::Removed(name("b"))];
    let (_, update) = watcher.apply_watched(watched(changes, 5, 9, at(12_500)), true, at(13_000));
    let update = update.expect("a target is gone");
    assert_eq!(update.age_ms, 500);
    assert!(other.apply_list_update(&update, true, at(13_100)).is_empty(), "it may come back");
    for core in [&mut watcher, &mut other] {
        assert_eq!(core.expire_targets(at(14_000)).removed, []);
    }
    assert_eq!(watcher.expire_targets(at(14_100)).removed, [name("b")]);
    assert_eq!(other.expire_targets(at(14_200)).removed, [name("b")]);
}

/// Guards against this failure: the store has forgotten its history when a target leaves. The
/// entries that watch the list read it again and see the removal, but the other 23 of 30 entries
/// receive nothing, and send requests to the address of that target for the rest of the run.
#[test]
fn a_removal_found_by_a_read_advances_the_announced_revision() {
    let mut watcher = entry_with_two_targets();
    watcher.record_list(revision(9), revision(5), at(0));
    let change = watcher.apply_list(vec![record("a", 1)], false, at(3_000));
    assert_eq!(change.removed, [name("b")]);
    let mut other = listener_at(5);
    other.record_agent_report(7, Some(watcher.target_list_sync().changed_at()), at(3_100));
    assert!(other.is_behind(at(3_300)), "it has to read the list as well");
}

/// The same if the target could still have come back, after an outage.
#[test]
fn a_removal_that_becomes_final_later_advances_the_announced_revision() {
    let mut watcher = entry_with_two_targets();
    watcher.record_list(revision(9), revision(5), at(0));
    let change = watcher.apply_list(vec![record("a", 1)], true, at(3_000));
    assert_eq!(change.removed, [], "it may come back");
    assert_eq!(watcher.target_list_sync().changed_at(), revision(5));
    assert_eq!(watcher.expire_targets(at(5_000)).removed, [name("b")]);
    assert_eq!(watcher.target_list_sync().changed_at(), revision(9));
}

/// Other entries need not read the list either, if one entry can announce what changed.
#[test]
fn changes_found_by_a_read_apply_at_another_entry() {
    let (mut watcher, mut other) = (entry_with_two_targets(), entry_with_two_targets());
    let (_, update) =
        watcher.apply_reread(target_list(9, vec![record("a", 1)]), false, at(0), at(3_000));
    let update = update.expect("a target is gone");
    assert_eq!((update.since, update.revision), (revision(5), revision(9)));
    assert_eq!(other.apply_list_update(&update, false, at(3_001)).removed, [name("b")]);
    let (_, update) =
        watcher.apply_reread(target_list(12, vec![record("a", 1)]), false, at(3_000), at(4_000));
    assert_eq!(update, None, "nothing changed");
}

#[test]
fn an_update_of_ten_targets_fits_a_datagram() {
    let changes = (0..10)
        .map(|number| TargetChange::Listed(record(&format!("i-0123456789{number}"), number)));
    let update = TargetListUpdate {
        since: revision(1),
        revision: revision(2),
        age_ms: 0,
        changes: changes.collect(),
        is_difference: false,
    };
    let message = PeerMessage::TargetListChanged(update);
    let bytes = message.to_bytes().unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::from_bytes(&bytes).unwrap(), message);
}
