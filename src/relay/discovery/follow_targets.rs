//! Follows the list of targets: by an own watch, or by the news of others.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use super::feed::{PlatformFeed, TargetWatch};
use super::list_share::{ListNews, NewsTeller};
use super::store_revision::StoreRevision;
use super::watch_pace::{MAX_WATCH_WAIT, list_rest};
use crate::relay::core::target_list::WatchedChanges;
use crate::relay::counts::StoreCall;
use crate::relay::peers::load_note::LoadNote;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Longest time after which the list is read again while the store is away;
/// the read of the configuration, which is tried more often, ends the wait.
const LIST_RETRY: Duration = Duration::from_secs(1);

/// Time without an answer after which entries of the list may have lapsed.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Longest wait for changes that were missed: they are there already.
const CATCH_UP_WAIT: Duration = Duration::from_millis(20);

/// Longest time in which the store tells a watch that waits of a change.
const TELL_SPAN: Duration = Duration::from_millis(100);

/// Up to where the list is known.
#[derive(Clone, Copy, Debug)]
struct ListPosition {
    /// Revision to watch from.
    revision: StoreRevision,
    /// An earlier one, after which the list did not change until then: news lead on from
    /// there, so that who knows no later revision takes them as well.
    mark: StoreRevision,
    /// When the store was heard of last to have nothing later: what comes next was taken
    /// after that.
    known_at: Tick,
}

/// Follows the list of targets for as long as the process runs.
pub(crate) async fn follow_targets(shared: Rc<RelayShared>, feed: Rc<PlatformFeed>) {
    let mut heard_at = shared.now();
    let mut known_at = heard_at;
    let mut outages = shared.outages.subscribe();
    loop {
        outages.mark_unchanged();
        let Some(mut position) = read_list(&shared, &feed, heard_at, known_at).await else {
            wait_for_list(&shared, &mut outages).await;
            continue;
        };
        loop {
            (heard_at, known_at) = (shared.now(), position.known_at);
            let next = tokio::select! {
                next = hear_once(&shared, &feed, position) => next,
                // The connection of the watch may hang since an outage.
                _ = outages.changed() => None,
            };
            let Some(next) = next else { break };
            position = next;
        }
    }
}

/// Waits until the list is to be read again after a failure.
async fn wait_for_list(shared: &RelayShared, outages: &mut watch::Receiver<u64>) {
    loop {
        let told = tokio::time::timeout(LIST_RETRY, outages.changed()).await;
        if told.is_ok() || shared.core.borrow().probes_store() {
            return;
        }
    }
}

/// Hears of changes for a while, by an own watch or by the news of others. Returns
/// the next position, none where the list has to be read anew.
async fn hear_once(
    shared: &RelayShared,
    feed: &PlatformFeed,
    position: ListPosition,
) -> Option<ListPosition> {
    let is_watching = shared.core.borrow().list_share().is_watching();
    let watching = async {
        if is_watching {
            return watch_once(shared, feed, position).await;
        }
        std::future::pending().await
    };
    tokio::select! {
        next = watching => next,
        () = shared.list_due.notified() => {
            let is_behind = shared.core.borrow().list_share().is_behind(shared.now());
            // All up to the mark is known.
            let next = {
                let core = shared.core.borrow();
                let revision = position.revision.max(core.list_share().known());
                let mark = position.mark.max(core.list_share().mark());
                ListPosition { revision, mark, ..position }
            };
            match (is_behind, is_watching) {
                (false, _) => Some(next),
                // The own watch is silent.
                (true, true) => None,
                (true, false) => catch_up(shared, feed, next).await,
            }
        }
    }
}

/// Asks the store once for what this entry has missed: one call, where the whole list takes one
/// for each page. Returns the next position, none where the list has to be read anew.
async fn catch_up(
    shared: &RelayShared,
    feed: &PlatformFeed,
    position: ListPosition,
) -> Option<ListPosition> {
    let next = watch_for(shared, feed, position, CATCH_UP_WAIT).await?;
    // What had happened before would have been told at once.
    shared.core.borrow_mut().note_caught_up(next.revision);
    let is_behind = shared.core.borrow().list_share().is_behind(shared.now());
    (!is_behind).then_some(next)
}

/// Reads the whole list. Returns up to where it is known, none where that failed.
async fn read_list(
    shared: &RelayShared,
    feed: &PlatformFeed,
    heard_at: Tick,
    known_at: Tick,
) -> Option<ListPosition> {
    let sent_at = shared.now();
    let result = (feed.list_targets)().await;
    shared.counts.borrow().note_store_call(StoreCall::ListRead);
    let now = shared.now();
    match result {
        Ok(list) => {
            let revision = list.revision;
            shared.note_epoch(revision.epoch);
            if revision.epoch < shared.core.borrow().store_epoch() {
                // It was under way while the store came back from a copy.
                return None;
            }
            let is_after_outage = now.since(heard_at) > MAX_WATCH_WAIT + OUTAGE;
            let is_after_outage = is_after_outage || shared.was_away(now);
            shared.log.entries_unreadable(&list.unreadable, now);
            let (change, news) =
                shared.core.borrow_mut().take_reread(list, is_after_outage, known_at, now);
            shared.log.targets_changed(&change);
            shared.note_started();
            if let Some(news) = news {
                tell_others(shared, news);
            }
            Some(ListPosition { revision, mark: revision, known_at: sent_at })
        }
        Err(error) => {
            shared.away_at.set(Some(now));
            shared.counts.borrow_mut().store_failures += 1;
            shared.note_turned_away();
            shared.log.dependency("target list", false, &error.to_string());
            None
        }
    }
}

/// Waits for one answer of a watch. Returns the next position, none where the
/// list has to be read anew.
async fn watch_once(
    shared: &RelayShared,
    feed: &PlatformFeed,
    position: ListPosition,
) -> Option<ListPosition> {
    watch_for(shared, feed, position, shared.watch_wait()).await
}

async fn watch_for(
    shared: &RelayShared,
    feed: &PlatformFeed,
    position: ListPosition,
    wait: Duration,
) -> Option<ListPosition> {
    let ListPosition { revision, mark, known_at } = position;
    let begun = shared.now();
    let result = (feed.watch_targets)(revision, wait).await;
    shared.counts.borrow().note_store_call(StoreCall::ListWatch);
    match result {
        Ok(TargetWatch::Changes(news)) if news.revision.epoch != revision.epoch => {
            shared.note_epoch(news.revision.epoch);
            None
        }
        Ok(TargetWatch::Changes(news)) => {
            let now = shared.now();
            let next = news.revision;
            let (changes, unreadable) = news.into_changes();
            shared.log.entries_unreadable(&unreadable, now);
            let away = shared.was_away(now);
            // What is told at once may be older than the watch.
            let is_late = now.since(begun) > TELL_SPAN;
            let known_at = if is_late { now - TELL_SPAN } else { known_at };
            let is_changed = !changes.is_empty();
            let watched = WatchedChanges { changes, since: mark, mark: next, known_at };
            let (change, news) = shared.core.borrow_mut().take_watched(watched, away, now);
            shared.log.targets_changed(&change);
            // Most entries of a large fleet watch no more once they know its targets.
            follow_list_share(shared, now);
            if let Some(news) = news {
                tell_others(shared, news);
            }
            if is_changed {
                tokio::time::sleep(watch_step(shared, now)).await;
            }
            let mark = if is_changed { next } else { mark };
            Some(ListPosition { revision: next, mark, known_at: now })
        }
        Ok(TargetWatch::Forgotten) => None,
        Err(error) => {
            shared.log.dependency("target watch", false, &error.to_string());
            None
        }
    }
}

/// Tells others of changes, where this entry is one of those who watch for them.
fn tell_others(shared: &RelayShared, news: ListNews) {
    let mut core = shared.core.borrow_mut();
    let share = core.list_share();
    if !share.is_watching() || !share.tells(rand::random()) {
        return;
    }
    let (count, mark) = (news.changes.len(), news.mark);
    // Others may rest, and hear of it later.
    if !shared.link.tell_others(&core, &LoadNote::ListChanged(news), NewsTeller::Alone) {
        slog::debug!(shared.log.logger(), "changes of the list too many to be told"; "changes" => count);
    }
    core.note_list_announced(mark);
}

/// Time until the next answer of the watch is asked for.
fn watch_step(shared: &RelayShared, now: Tick) -> Duration {
    // Ticks count from the start of the process.
    list_rest(now.since(Tick::default()), shared.core.borrow().limits().drain_bound)
}

/// Decides whether this entry watches for others, and tells the tasks that follow the store
/// what they have to do differently.
pub(crate) fn follow_list_share(shared: &RelayShared, now: Tick) {
    let mut core = shared.core.borrow_mut();
    let is_changed = core.decide_watching(now);
    if is_changed {
        shared.log.watching_changed(core.list_share().is_watching());
    }
    if is_changed || core.list_share().is_behind(now) {
        shared.list_due.notify_one();
    }
    if is_changed || core.is_config_behind(now) {
        shared.config_changed.notify_one();
    }
}
