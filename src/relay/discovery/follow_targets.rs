//! Follows the target list: by a watch of the store, or by the updates of other entries.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use super::source::{DiscoverySource, TargetWatch};
use super::store_revision::StoreRevision;
use super::target_list_sync::{TargetListUpdate, UpdateAnnouncer};
use super::watch_timing::{MAX_WATCH_TIMEOUT, list_watch_delay};
use crate::relay::core::target_list::WatchedChanges;
use crate::relay::counts::StoreCall;
use crate::relay::peers::peer_message::PeerMessage;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Longest delay before the list is read again while the store is unreachable; the read of the
/// configuration, which is tried more often, can end the delay early.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time without an answer after which entries of the list may have expired.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Longest wait for missed changes: they are already in the store.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(20);

/// Longest time in which the store reports a change to a waiting watch.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Position up to which the list is known.
#[derive(Clone, Copy, Debug)]
struct ListPosition {
    /// Revision to watch from.
    revision: StoreRevision,
    /// An earlier revision, after which the list did not change up to `revision`. Updates start
    /// from it, so that entries that know no later revision apply them as well.
    unchanged_since: StoreRevision,
    /// When the store last showed that nothing later existed: the next change was written after
    /// that.
    known_at: Tick,
}

/// Follows the target list for as long as the process runs.
pub(crate) async fn follow_targets(shared: Rc<RelayShared>, source: Rc<DiscoverySource>) {
    let mut received_at = shared.now();
    let mut known_at = received_at;
    let mut outages = shared.store_recoveries.subscribe();
    loop {
        outages.mark_unchanged();
        let read = read_list(&shared, &source, received_at, known_at);
        let Some(position) = shared.run_until_cut_ends(read).await else { continue };
        let Some(mut position) = position else {
            shared.run_until_cut_ends(wait_for_list(&shared, &mut outages)).await;
            continue;
        };
        loop {
            (received_at, known_at) = (shared.now(), position.known_at);
            let next = tokio::select! {
                next = shared.run_until_cut_ends(receive_changes(&shared, &source, position)) => {
                    next.flatten()
                }
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
        let ended = tokio::time::timeout(LIST_RETRY_DELAY, outages.changed()).await;
        if ended.is_ok() || shared.core.borrow().should_probe_store() {
            return;
        }
    }
}

/// Receives changes for a while, by a watch of the store or by the updates of others. Returns the
/// next position, `None` if the list has to be read again.
async fn receive_changes(
    shared: &RelayShared,
    source: &DiscoverySource,
    position: ListPosition,
) -> Option<ListPosition> {
    let is_watching = shared.core.borrow().target_list_sync().is_watching();
    let watch = async {
        if is_watching {
            return watch_once(shared, source, position).await;
        }
        std::future::pending().await
    };
    tokio::select! {
        next = watch => next,
        () = shared.list_due.notified() => {
            let is_behind = shared.core.borrow().target_list_sync().is_behind(shared.now());
            // All changes up to this revision are known.
            let next = {
                let core = shared.core.borrow();
                let revision = position.revision.max(core.target_list_sync().known_up_to());
                let unchanged_since = position.unchanged_since.max(core.target_list_sync().changed_at());
                ListPosition { revision, unchanged_since, ..position }
            };
            match (is_behind, is_watching) {
                (false, _) => Some(next),
                // The watch of this entry hangs.
                (true, true) => None,
                (true, false) => catch_up(shared, source, next).await,
            }
        }
    }
}

/// Asks the store once for what this entry has missed: one call, while the whole list takes one for
/// each page. Returns the next position, `None` if the list has to be read again.
async fn catch_up(
    shared: &RelayShared,
    source: &DiscoverySource,
    position: ListPosition,
) -> Option<ListPosition> {
    let next = watch_for(shared, source, position, CATCH_UP_TIMEOUT).await?;
    // Earlier changes would have been returned at once.
    shared.core.borrow_mut().record_caught_up(next.revision);
    let is_behind = shared.core.borrow().target_list_sync().is_behind(shared.now());
    (!is_behind).then_some(next)
}

/// Reads the whole list. Returns the position up to which it is known, `None` if that failed.
async fn read_list(
    shared: &RelayShared,
    source: &DiscoverySource,
    received_at: Tick,
    known_at: Tick,
) -> Option<ListPosition> {
    let sent_at = shared.now();
    let result = (source.list_targets)().await;
    shared.counts.borrow().record_store_call(StoreCall::ListRead);
    let now = shared.now();
    match result {
        Ok(list) => {
            let revision = list.revision;
            shared.record_epoch(revision.epoch);
            if revision.epoch < shared.core.borrow().store_epoch() {
                // The read was under way while the store was restored from a backup.
                return None;
            }
            let is_after_outage = now.since(received_at) > MAX_WATCH_TIMEOUT + OUTAGE_THRESHOLD;
            let is_after_outage = is_after_outage || shared.was_store_unreachable(now);
            shared.log.entries_unreadable(&list.unreadable, now);
            let (change, update) =
                shared.core.borrow_mut().apply_reread(list, is_after_outage, known_at, now);
            shared.log.targets_changed(&change);
            shared.finish_start();
            if let Some(update) = update {
                announce_update(shared, update);
            }
            Some(ListPosition { revision, unchanged_since: revision, known_at: sent_at })
        }
        Err(error) => {
            shared.store_failed_at.set(Some(now));
            shared.counts.borrow_mut().store_failures += 1;
            shared.abort_start();
            shared.log.dependency_changed("target list", false, &error.to_string());
            None
        }
    }
}

/// Waits for one answer of a watch. Returns the next position, `None` if the list has to be read
/// again.
async fn watch_once(
    shared: &RelayShared,
    source: &DiscoverySource,
    position: ListPosition,
) -> Option<ListPosition> {
    watch_for(shared, source, position, shared.watch_timeout()).await
}

async fn watch_for(
    shared: &RelayShared,
    source: &DiscoverySource,
    position: ListPosition,
    wait: Duration,
) -> Option<ListPosition> {
    let ListPosition { revision, unchanged_since, known_at } = position;
    let started_at = shared.now();
    let result = (source.watch_targets)(revision, wait).await;
    shared.counts.borrow().record_store_call(StoreCall::ListWatch);
    match result {
        Ok(TargetWatch::Changes(update)) if update.revision.epoch != revision.epoch => {
            shared.record_epoch(update.revision.epoch);
            None
        }
        Ok(TargetWatch::Changes(update)) => {
            let now = shared.now();
            let next = update.revision;
            let (changes, unreadable) = update.into_changes();
            shared.log.entries_unreadable(&unreadable, now);
            let is_after_outage = shared.was_store_unreachable(now);
            // A change that is reported at once may be older than the watch.
            let is_late = now.since(started_at) > REPORT_DELAY;
            let known_at = if is_late { now - REPORT_DELAY } else { known_at };
            let is_changed = !changes.is_empty();
            let watched =
                WatchedChanges { changes, since: unchanged_since, revision: next, known_at };
            let (change, update) =
                shared.core.borrow_mut().apply_watched(watched, is_after_outage, now);
            shared.log.targets_changed(&change);
            // Most entries of a large fleet stop watching once they know its targets.
            update_watching(shared, now);
            if let Some(update) = update {
                announce_update(shared, update);
            }
            if is_changed {
                tokio::time::sleep(watch_delay(shared, now)).await;
            }
            let unchanged_since = if is_changed { next } else { unchanged_since };
            Some(ListPosition { revision: next, unchanged_since, known_at: now })
        }
        Ok(TargetWatch::Forgotten) => None,
        Err(error) => {
            shared.log.dependency_changed("target watch", false, &error.to_string());
            None
        }
    }
}

/// Sends changes to other entries, if this entry is a watcher that announces changes.
fn announce_update(shared: &RelayShared, update: TargetListUpdate) {
    let mut core = shared.core.borrow_mut();
    let sync = core.target_list_sync();
    if !sync.is_watching() || !sync.should_announce(rand::random()) {
        return;
    }
    let (count, revision) = (update.changes.len(), update.revision);
    // Others may wait between two answers, and would see the change later.
    if !shared.link.broadcast(
        &core,
        &PeerMessage::TargetListChanged(update),
        UpdateAnnouncer::OneEntry,
    ) {
        slog::debug!(shared.log.logger(), "target list update too long to be announced";
            "changes" => count);
    }
    core.record_list_announced(revision);
}

/// Returns the delay before the next answer of the watch is requested.
fn watch_delay(shared: &RelayShared, now: Tick) -> Duration {
    // Ticks count from the start of the process.
    list_watch_delay(now.since(Tick::default()), shared.core.borrow().limits().drain_bound)
}

/// Decides whether this entry watches for others, and wakes the tasks that follow the store if they
/// have to act on it.
pub(crate) fn update_watching(shared: &RelayShared, now: Tick) {
    let mut core = shared.core.borrow_mut();
    let is_changed = core.decide_watching(now);
    if is_changed {
        shared.log.watching_changed(core.target_list_sync().is_watching());
    }
    if is_changed || core.target_list_sync().is_behind(now) {
        shared.list_due.notify_one();
    }
    if is_changed || core.is_config_behind(now) {
        shared.config_changed.notify_one();
    }
}
