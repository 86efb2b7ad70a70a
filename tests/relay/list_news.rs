//! How entries pass on changes of the list of targets.

use shalelane::relay::core::RelayCore;
use shalelane::relay::core::target_list::WatchedChanges;
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::discovery::feed::{TargetChange, TargetList};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::list_share::{ListNews, ListShare, NewsVerdict};
use shalelane::relay::peers::load_note::{LoadNote, MAX_NOTE};
use shalelane::time::Tick;

use crate::fixture::{at, check, limits, name, record, revision};

fn news(since: u64, mark: u64) -> ListNews {
    ListNews { since: revision(since), mark: revision(mark), age_ms: 0, changes: Vec::new() }
}

/// A share that knows all up to `mark`.
fn share(mark: u64) -> ListShare {
    let mut share = ListShare::default();
    share.note_list(revision(mark), revision(mark));
    share
}

/// A share that listens.
fn listener(mark: u64) -> ListShare {
    let mut share = share(mark);
    share.note_agent(50, None, at(0));
    assert!(share.decide(1.0, 50, 0.0, at(1_000)));
    assert!(!share.is_watching());
    share
}

fn list(number: u64, records: Vec<TargetRecord>) -> TargetList {
    TargetList { records, changed_at: revision(5), ..TargetList::new(revision(number)) }
}

/// An entry that knows two targets by a list that was read at revision 5.
fn core_of_two() -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let both = list(5, vec![record("a", 1), record("b", 2)]);
    let (_, news) = core.take_reread(both, false, at(0), at(0));
    assert_eq!(news, None, "the first list of a process is no change");
    core
}

/// What a watch from revision `since` on brings.
fn watched(changes: Vec<TargetChange>, since: u64, mark: u64, known_at: Tick) -> WatchedChanges {
    let changes = changes.into_iter().map(|change| (revision(mark), change)).collect();
    WatchedChanges { changes, since: revision(since), mark: revision(mark), known_at }
}

/// Past failure: who heard of changes from another entry before its own watch brought them told
/// them again as if they led on from there, and 402 entries that had missed the first news read the
/// list again, five times each on a quiet day. Each change is told once, by the first to hear.
#[test]
fn who_has_heard_from_another_tells_what_is_new() {
    let (mut first, mut second, mut other) = (core_of_two(), core_of_two(), core_of_two());
    let removed = vec![TargetChange::Removed(name("b"))];
    let (_, news) = first.take_watched(watched(removed, 5, 9, at(90)), false, at(100));
    let news = news.unwrap();
    second.take_list_news(&news, false, at(101));
    let again = vec![TargetChange::Removed(name("b"))];
    let (_, again) = second.take_watched(watched(again, 5, 9, at(90)), false, at(102));
    assert_eq!(again, None, "the other one has told it");
    let listed = vec![TargetChange::Listed(record("c", 3))];
    let (_, later) = second.take_watched(watched(listed, 9, 12, at(190)), false, at(200));
    let later = later.expect("what its own watch brought");
    assert_eq!((later.since, later.mark), (revision(9), revision(12)));
    assert!(other.take_list_news(&later, false, at(201)).is_empty(), "it missed the first news");
    other.take_list_news(&news, false, at(202));
    assert_eq!(other.take_list_news(&later, false, at(203)).added, [name("c")]);
}

/// Who rested between two answers of its watch hears what another has told and more: it tells
/// what is more, and each removal, which may name an earlier revision.
#[test]
fn what_another_told_during_a_rest_is_left_out() {
    let (mut first, mut second) = (core_of_two(), core_of_two());
    let leaving = TargetRecord { is_leaving: true, ..record("a", 1) };
    let changes = vec![TargetChange::Listed(leaving.clone())];
    let (_, news) = first.take_watched(watched(changes, 5, 8, at(90)), false, at(100));
    second.take_list_news(&news.unwrap(), false, at(101));
    let changes = vec![
        (revision(8), TargetChange::Listed(leaving)),
        (revision(8), TargetChange::Removed(name("b"))),
        (revision(11), TargetChange::Listed(record("c", 3))),
    ];
    let (since, mark) = (revision(5), revision(11));
    let all = WatchedChanges { changes, since, mark, known_at: at(90) };
    let news = second.take_watched(all, false, at(2_000)).1.expect("it is more than was told");
    assert_eq!((news.since, news.mark), (revision(8), revision(11)));
    let told = [TargetChange::Removed(name("b")), TargetChange::Listed(record("c", 3))];
    assert_eq!(news.changes, told);
}

/// Past failure: an entry that had asked for what it missed, and then began to watch, told the
/// revision of the whole store as its mark, and all others asked for changes that there were not.
#[test]
fn what_an_entry_asked_for_itself_is_no_change_for_others() {
    let mut share = listener(10);
    share.note_agent(3, Some(revision(11)), at(2_000));
    share.note_caught_up(revision(40));
    assert!(!share.is_behind(at(9_000)));
    assert_eq!((share.mark(), share.known()), (revision(10), revision(40)));
    assert_eq!(share.take_news(&news(10, 12), at(9_000)), NewsVerdict::Known);
    assert_eq!(share.take_news(&news(12, 41), at(9_000)), NewsVerdict::Next, "it leads on");
}

/// Past failure: an entry that had just started watched, and did not tell yet, but named its mark:
/// all others asked the store for what those would tell who rested.
#[test]
fn a_mark_that_was_told_to_nobody_is_not_named() {
    let mut core = core_of_two();
    let removed = vec![TargetChange::Removed(name("b"))];
    core.take_watched(watched(removed, 5, 9, at(90)), false, at(100));
    assert_eq!(core.list_share().mark(), revision(9));
    assert_eq!(core.list_share().announced(), revision(5));
    core.note_list_announced(revision(9));
    assert_eq!(core.list_share().announced(), revision(9));
}

/// Of any number of entries that start together, and know nothing of one another, about as
/// many watch as of a fleet of a hundred; a small fleet watches whole.
#[test]
fn the_first_watchers_are_as_few_at_twice_the_size() {
    let watching = |entries: usize, targets: usize| {
        let share = |number: usize| {
            let mut share = ListShare::default();
            assert!(!share.begin(0, 0.0, at(0)), "nothing is listed yet");
            share.begin(targets, (number as f64 + 0.5) / entries as f64, at(300));
            share.is_watching()
        };
        (0..entries).filter(|number| share(*number)).count()
    };
    assert_eq!(watching(5, 21), 5);
    for size in [100, 402, 804, 2_400] {
        assert_eq!(watching(size, size), 24, "{size} entries");
    }
}

#[test]
fn news_are_taken_in_order_and_once() {
    let mut share = share(10);
    assert_eq!(share.take_news(&news(10, 12), at(0)), NewsVerdict::Next);
    assert_eq!(share.take_news(&news(10, 12), at(0)), NewsVerdict::Known);
    assert_eq!(share.take_news(&news(11, 14), at(0)), NewsVerdict::Next, "they overlap");
    assert_eq!(share.take_news(&news(8, 13), at(0)), NewsVerdict::Known, "late ones");
    assert_eq!(share.mark(), revision(14));
}

#[test]
fn news_that_were_missed_have_the_list_read() {
    let mut share = listener(10);
    assert_eq!(share.take_news(&news(12, 14), at(2_000)), NewsVerdict::Gap);
    assert!(!share.is_behind(at(2_100)), "copies may come another way");
    assert!(share.is_behind(at(2_200)));
    share.note_list(revision(15), revision(9));
    assert!(!share.is_behind(at(2_300)));
    assert_eq!(share.mark(), revision(14), "what was told of is in a list of a later revision");
}

#[test]
fn a_mark_that_agents_tell_shows_that_news_were_lost() {
    let mut share = listener(10);
    share.note_agent(3, Some(revision(11)), at(2_000));
    assert!(share.is_behind(at(2_200)));
    assert_eq!(share.take_news(&news(10, 11), at(2_210)), NewsVerdict::Next);
    assert!(!share.is_behind(at(2_300)));
}

/// A watch on a connection that went silent for good brings nothing, and looks like
/// a watch of a list that does not change.
#[test]
fn a_watch_that_is_silent_while_others_hear_is_noticed() {
    let mut share = share(10);
    share.note_agent(3, Some(revision(11)), at(2_000));
    assert!(share.is_watching());
    assert!(!share.is_behind(at(4_000)), "it may rest between two answers");
    assert!(share.is_behind(at(4_600)));
}

#[test]
fn who_hears_of_no_watcher_watches() {
    let mut share = listener(10);
    assert!(share.decide(1.0, 50, 0.99, at(2_500)), "no agent told of any");
    assert!(share.is_watching());
}

/// After a loss of all power every entry watches, and a hundred copies of each change
/// would be told.
#[test]
fn where_many_watch_a_few_tell() {
    let mut share = share(10);
    assert!(!share.tells(0.0), "it does not know yet");
    share.note_agent(99, None, at(0));
    share.decide(1.0, 100, 0.99, at(1_000));
    let told = (0..100).filter(|throw| share.tells(f64::from(*throw) / 100.0)).count();
    assert_eq!(told, 8);
}

#[test]
fn a_small_fleet_watches_whole() {
    for others in 0..12 {
        let mut share = share(10);
        share.note_agent(others, None, at(0));
        assert!(!share.decide(1.0, 13, 0.0, at(1_000)), "{others} others");
    }
}

/// Whatever number of watchers a fleet begins with, and whichever of them are killed,
/// it comes to a few.
#[test]
fn a_fleet_comes_to_a_few_watchers() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(throws: Vec<u8>, killed: u8) -> bool {
        const ENTRIES: usize = 100;
        let throw = |at: usize| match throws.len() {
            0 => 0.5,
            length => (f64::from(throws[at % length]) + (at % 89) as f64 * 2.9) % 256.0 / 256.0,
        };
        let mut shares: Vec<_> = (0..ENTRIES).map(|_| share(10)).collect();
        for second in 1..40 {
            if second == 20 {
                // New processes begin by watching.
                let killed = usize::from(killed) % ENTRIES;
                shares[..killed].iter_mut().for_each(|share| *share = self::share(10));
            }
            let watchers = shares.iter().filter(|share| share.is_watching()).count();
            for (number, share) in shares.iter_mut().enumerate() {
                let others = watchers - usize::from(share.is_watching());
                share.note_agent(others as u32, None, at(second * 1_000));
                let throw = throw(number * 41 + second as usize);
                share.decide(1.0, ENTRIES, throw, at(second * 1_000));
            }
        }
        let watchers = shares.iter().filter(|share| share.is_watching()).count();
        (1..=30).contains(&watchers)
    }
    check(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn what_one_entry_watches_holds_at_another() {
    let (mut watcher, mut other) = (core_of_two(), core_of_two());
    let leaving = TargetRecord { is_leaving: true, ..record("a", 1) };
    let changes = vec![TargetChange::Listed(leaving), TargetChange::Removed(name("b"))];
    let (change, news) = watcher.take_watched(watched(changes, 5, 9, at(90)), false, at(100));
    assert_eq!(other.take_list_news(&news.clone().unwrap(), false, at(102)), change);
    assert!(!other.targets.get("a").unwrap().is_usable(at(103)));
    assert!(other.targets.get("b").is_none());
    assert_eq!(other.take_list_news(&news.unwrap(), false, at(103)).removed, [], "a copy");
}

/// Past failure (ghcg hunt-cfe9-39): the store had turned away two of five entries. One
/// of them told of a target that was gone as of one that may come back, and an entry that
/// had never lost the store sent it a request 2,025 ms later.
#[test]
fn who_never_lost_the_store_takes_a_removal_at_once() {
    let (mut turned_away, mut other) = (core_of_two(), core_of_two());
    let changes = vec![TargetChange::Removed(name("b"))];
    let (change, news) =
        turned_away.take_watched(watched(changes, 5, 9, at(13_000)), true, at(13_070));
    assert_eq!(change.removed, [], "it may come back");
    let change = other.take_list_news(&news.unwrap(), false, at(13_072));
    assert_eq!(change.removed, [name("b")]);
}

/// Whoever lost the store as well keeps a target from when the list can have dropped it, not
/// from when it hears so.
#[test]
fn the_grace_of_a_removal_counts_from_the_list_at_all_entries() {
    let (mut watcher, mut other) = (core_of_two(), core_of_two());
    let changes = vec![TargetChange::Removed(name("b"))];
    let (_, news) = watcher.take_watched(watched(changes, 5, 9, at(12_500)), true, at(13_000));
    let news = news.expect("a target is gone");
    assert_eq!(news.age_ms, 500);
    assert!(other.take_list_news(&news, true, at(13_100)).is_empty(), "it may come back");
    for core in [&mut watcher, &mut other] {
        assert_eq!(core.expire_targets(at(14_000)).removed, []);
    }
    assert_eq!(watcher.expire_targets(at(14_100)).removed, [name("b")]);
    assert_eq!(other.expire_targets(at(14_200)).removed, [name("b")]);
}

/// Past failure: the store had forgotten its history when a target left. Who watched the
/// list read it anew and saw that; the other 23 of 30 entries heard nothing, and sent
/// requests to the address of that target for the rest of the day.
#[test]
fn a_removal_that_is_seen_by_reading_again_shows_in_the_mark() {
    let mut watcher = core_of_two();
    watcher.note_list(revision(9), revision(5));
    let change = watcher.take_list(vec![record("a", 1)], false, at(3_000));
    assert_eq!(change.removed, [name("b")]);
    let mut other = listener(5);
    other.note_agent(7, Some(watcher.list_share().mark()), at(3_100));
    assert!(other.is_behind(at(3_300)), "it has to read the list as well");
}

/// The same where the target could still have come back, after an outage.
#[test]
fn a_removal_that_becomes_final_later_shows_in_the_mark() {
    let mut watcher = core_of_two();
    watcher.note_list(revision(9), revision(5));
    let change = watcher.take_list(vec![record("a", 1)], true, at(3_000));
    assert_eq!(change.removed, [], "it may come back");
    assert_eq!(watcher.list_share().mark(), revision(5));
    assert_eq!(watcher.expire_targets(at(5_000)).removed, [name("b")]);
    assert_eq!(watcher.list_share().mark(), revision(9));
}

/// Others need not read the list, too, where one entry can tell them what changed.
#[test]
fn what_one_entry_sees_by_reading_again_holds_at_another() {
    let (mut watcher, mut other) = (core_of_two(), core_of_two());
    let (_, news) = watcher.take_reread(list(9, vec![record("a", 1)]), false, at(0), at(3_000));
    let news = news.expect("a target is gone");
    assert_eq!((news.since, news.mark), (revision(5), revision(9)));
    assert_eq!(other.take_list_news(&news, false, at(3_001)).removed, [name("b")]);
    let (_, news) =
        watcher.take_reread(list(12, vec![record("a", 1)]), false, at(3_000), at(4_000));
    assert_eq!(news, None, "nothing changed");
}

#[test]
fn news_of_ten_targets_fit_a_datagram() {
    let changes = (0..10)
        .map(|number| TargetChange::Listed(record(&format!("i-0123456789{number}"), number)));
    let news =
        ListNews { since: revision(1), mark: revision(2), age_ms: 0, changes: changes.collect() };
    let note = LoadNote::ListChanged(news);
    let bytes = note.to_bytes().unwrap();
    assert!(bytes.len() <= MAX_NOTE, "{} bytes", bytes.len());
    assert_eq!(LoadNote::from_bytes(&bytes).unwrap(), note);
}
