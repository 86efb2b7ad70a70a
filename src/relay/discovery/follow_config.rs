//! Follows the configuration: reads and watches it, and keeps it proven current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::proof_sync::{PeerVerdict, ProofSync};
use super::source::{ConfigOrigin, ConfigRead, ConfigWatch, DiscoverySource};
use super::store_revision::StoreRevision;
use super::target_list_sync::UpdateAnnouncer;
use super::watch_timing::{MIN_WATCH_INTERVAL, WatchEnd, delay_after};
use crate::error::{Error, Result};
use crate::relay::counts::StoreCall;
use crate::relay::peers::config_copy::fetch_copy;
use crate::relay::peers::peer_message::PeerMessage;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Longest wait for the answers of agents that are asked for the newest proof, and for the entry
/// that has it: some round trips between failure domains.
const PEER_TIMEOUT: Duration = Duration::from_millis(40);

/// Delay between two reads while the store does not answer: short compared to the validity of a
/// proof, long compared to the cost of each read.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Interval between two reads while others prove the configuration for this entry. This entry
/// learns of no change meanwhile, and has to within the bound for changes once the store is back:
/// the interval is well under that bound, and long enough that the reads stay cheap.
const TURNED_AWAY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two reads of a store that may have lost the newest version.
const LACKING_INTERVAL: Duration = Duration::from_millis(300);

/// Follows the configuration for as long as the process runs.
pub(crate) async fn follow_config(shared: Rc<RelayShared>, source: Rc<DiscoverySource>) {
    let mut is_reachable = true;
    let mut watcher: Option<ConfigWatcher> = None;
    loop {
        // If the watch has ended, or belongs to the store before it was restored from a backup, a
        // read comes first.
        let is_watcher = shared.core.borrow().target_list_sync().is_watching();
        watcher = watcher.filter(|watch| is_watcher && watch.is_open(&shared));
        let has_updates = watcher.is_some() || !is_watcher;
        let may_share = is_reachable && has_updates && shared.knows_config(shared.now());
        if may_share && query_peers(&shared).await == ProofQueryResult::Proven {
            let due = next_refresh(&shared);
            apply_updates_until(&shared, due).await;
            continue;
        }
        let sent_at = shared.now();
        let read = shared.run_until_cut_ends(read_proof(&shared, &source)).await;
        let Some(read) = read else { continue };
        let read = match read {
            Ok(read) => read,
            Err(error) => {
                record_lost_store(&shared, is_reachable, &error);
                is_reachable = false;
                shared.run_until_cut_ends(wait_after_failure(&shared)).await;
                continue;
            }
        };
        if !is_reachable {
            shared.log.dependency_changed("store", true, "");
            // What a watch reported during the outage is not reliable, and its connection may hang.
            shared.store_recoveries.send_modify(|count| *count += 1);
            watcher = None;
        }
        is_reachable = true;
        // Without a configuration there are no rules yet: nothing is proven, and no request is
        // admitted.
        if let Some(read) = read {
            let starts_at = read.store_revision;
            shared.record_epoch(starts_at.epoch);
            // A watch that did not report this change may have a hung connection.
            let is_hung = read.config.is_some();
            shared.apply_read(read, sent_at);
            announce_change(&shared);
            shared.report_suspects();
            shared.finish_start();
            watcher = watcher.filter(|watch| watch.is_open(&shared) && !is_hung);
            if shared.core.borrow().target_list_sync().is_watching() {
                watcher.get_or_insert_with(|| ConfigWatcher::start(&shared, &source, starts_at));
            }
        }
        // Lets other entries adopt this proof instead of reading the store.
        shared.link.send_subscriptions(&mut shared.core.borrow_mut(), shared.now());
        apply_updates_until(&shared, next_refresh(&shared)).await;
    }
}

/// Reads the configuration and which failure domains are out of service: one proof covers both.
/// Applies the domains and returns the configuration.
pub(super) async fn read_proof(
    shared: &RelayShared,
    source: &DiscoverySource,
) -> Result<Option<ConfigRead>> {
    let sent_at = shared.now();
    let known = {
        let core = shared.core.borrow();
        // An update from another entry is compared with the store's configuration.
        if core.is_config_confirmed() { core.config_revision() } else { StoreRevision::default() }
    };
    let reading = (source.read_config)(known);
    if shared.core.borrow().limits().evacuate_bound.is_none() {
        let read = reading.await;
        shared.counts.borrow().record_store_call(StoreCall::ConfigRead);
        return read;
    }
    let (read, list) = tokio::join!(reading, (source.read_evacuations)());
    shared.counts.borrow().record_store_call(StoreCall::ConfigRead);
    shared.counts.borrow().record_store_call(StoreCall::EvacuationRead);
    let (read, list) = (read?, list?);
    if read.as_ref().is_some_and(|read| read.store_revision.epoch != list.epoch) {
        return Err(Error::from_response(
            200,
            "the store was restored from a backup during the read",
        ));
    }
    shared.apply_evacuations(list, sent_at);
    Ok(read)
}

/// Waits until the store is to be read again after a failure. If the store turns away only this
/// entry, other entries prove the configuration for it.
async fn wait_after_failure(shared: &RelayShared) {
    if renew_proof_from_peers(shared).await {
        tokio::time::sleep(TURNED_AWAY_INTERVAL).await;
    } else {
        wait_for_store(shared).await;
    }
}

/// Waits until this entry has to call the store again: as one of the probing entries, or because
/// another entry has reached it.
async fn wait_for_store(shared: &RelayShared) {
    loop {
        tokio::time::sleep(RETRY_DELAY).await;
        shared.store_failed_at.set(Some(shared.now()));
        if shared.core.borrow().should_probe_store() || renew_proof_from_peers(shared).await {
            return;
        }
    }
}

/// Returns when the proof is to be renewed.
fn next_refresh(shared: &RelayShared) -> Tick {
    let core = shared.core.borrow();
    if core.is_store_behind() {
        // A read proves nothing until the configuration is written again, which the watch reports.
        // Without this interval one entry made 45 reads in two seconds.
        return shared.now() + TURNED_AWAY_INTERVAL;
    }
    if core.may_lack_version(shared.now()) {
        return shared.now() + LACKING_INTERVAL;
    }
    let lease = core.lease();
    lease.proven_at().unwrap_or(shared.now()) + ProofSync::refresh_age(lease.duration())
}

/// The result of querying another entry for its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProofQueryResult {
    /// The answer renewed the local proof.
    Proven,
    /// The entry at this address has a later configuration.
    Behind(SocketAddr),
    /// No entry with a newer proof is known, or there was no answer.
    NoProof,
}

/// Queries the entry that is reported to have the newest proof.
async fn query_peers(shared: &RelayShared) -> ProofQueryResult {
    shared.link.query_agents(&shared.core.borrow(), shared.now());
    tokio::time::sleep(PEER_TIMEOUT).await;
    let query = shared.core.borrow_mut().request_proof(shared.now());
    let Some((address, query)) = query else { return ProofQueryResult::NoProof };
    shared.peer_verdict.set(PeerVerdict::Useless);
    shared.link.send_to(address, &query);
    // Without an answer the store is read.
    drop(tokio::time::timeout(PEER_TIMEOUT, shared.proof_received.notified()).await);
    match shared.peer_verdict.get() {
        PeerVerdict::ProvenAt(_) => {
            shared.counts.borrow_mut().shared_proofs += 1;
            ProofQueryResult::Proven
        }
        PeerVerdict::Behind => ProofQueryResult::Behind(address),
        PeerVerdict::Useless => ProofQueryResult::NoProof,
    }
}

/// Renews the proof through other entries while the store turns this one away.
async fn renew_proof_from_peers(shared: &RelayShared) -> bool {
    let entry = match query_peers(shared).await {
        ProofQueryResult::Proven => return true,
        ProofQueryResult::Behind(entry) => entry,
        ProofQueryResult::NoProof => return false,
    };
    match fetch_copy(shared, entry).await {
        Ok(copy) => {
            let mut core = shared.core.borrow_mut();
            if core.apply_copy(&copy, shared.now()) {
                shared.record_config_change(&core, ConfigOrigin::Copy);
            }
            let is_held = core.lease().is_held(shared.now());
            drop(core);
            shared.finish_start();
            is_held
        }
        Err(error) => {
            shared.log.dependency_changed("copy of the configuration", false, &error.to_string());
            false
        }
    }
}

/// Applies the updates of the watch until the next read is due, or the watch has ended.
async fn apply_updates_until(shared: &RelayShared, due: Tick) {
    loop {
        let rest = due.since(shared.now());
        if tokio::time::timeout(rest, shared.config_changed.notified()).await.is_err() {
            return;
        }
        let update = shared.config_update.borrow_mut().take();
        let Some(update) = update else { return };
        shared.log.quarantine_unreadable(&update.unreadable, shared.now());
        let mut core = shared.core.borrow_mut();
        if core.apply_update(*update, shared.now()) {
            shared.record_config_change(&core, ConfigOrigin::Watch);
        }
        drop(core);
        announce_change(shared);
        shared.report_suspects();
    }
}

/// Sends the last change from the store to other entries, if this entry is a watcher that announces
/// changes.
fn announce_change(shared: &RelayShared) {
    let delta = shared.core.borrow_mut().take_config_change();
    let core = shared.core.borrow();
    let sync = core.target_list_sync();
    let is_announcer = sync.is_watching() && sync.should_announce(rand::random());
    let Some(delta) = delta.filter(|_| is_announcer) else { return };
    if !shared.link.broadcast(
        &core,
        &PeerMessage::ConfigChanged(Box::new(delta)),
        UpdateAnnouncer::AllWatchers,
    ) {
        slog::debug!(shared.log.logger(), "configuration update too long to be announced");
    }
}

/// A watch of the configuration, which ends when this is dropped.
struct ConfigWatcher {
    task: tokio::task::JoinHandle<()>,
    /// Epoch of the store in which it started.
    epoch: u64,
}

impl ConfigWatcher {
    fn start(shared: &Rc<RelayShared>, source: &Rc<DiscoverySource>, after: StoreRevision) -> Self {
        let task = tokio::task::spawn_local(watch_config(shared.clone(), source.clone(), after));
        ConfigWatcher { task, epoch: after.epoch }
    }

    fn is_open(&self, shared: &RelayShared) -> bool {
        !self.task.is_finished() && self.epoch == shared.core.borrow().store_epoch()
    }
}

impl Drop for ConfigWatcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn record_lost_store(shared: &RelayShared, was_reachable: bool, error: &crate::Error) {
    shared.counts.borrow_mut().store_failures += 1;
    shared.store_failed_at.set(Some(shared.now()));
    shared.abort_start();
    if was_reachable {
        shared.log.dependency_changed("store", false, &error.to_string());
    }
}

/// Passes on changes of the configuration until the store does not answer or has forgotten its
/// history. A watch that ends without a change proves nothing.
async fn watch_config(
    shared: Rc<RelayShared>,
    source: Rc<DiscoverySource>,
    mut revision: StoreRevision,
) {
    let (reason, lasted) = loop {
        let started_at = shared.now();
        let result = (source.watch_config)(revision, shared.watch_timeout()).await;
        shared.counts.borrow().record_store_call(StoreCall::ConfigWatch);
        match result {
            Ok(ConfigWatch::Changes(_, next)) if next.epoch != revision.epoch => {
                shared.record_epoch(next.epoch);
                break (WatchEnd::Forgotten, shared.now().since(started_at));
            }
            Ok(ConfigWatch::Changes(update, next)) => {
                revision = next;
                if update.is_some() {
                    *shared.config_update.borrow_mut() = update;
                    shared.config_changed.notify_one();
                    tokio::time::sleep(MIN_WATCH_INTERVAL).await;
                }
            }
            Ok(ConfigWatch::Forgotten) => {
                break (WatchEnd::Forgotten, shared.now().since(started_at));
            }
            Err(error) => {
                shared.log.dependency_changed("configuration watch", false, &error.to_string());
                break (WatchEnd::Failed, shared.now().since(started_at));
            }
        }
    };
    tokio::time::sleep(delay_after(reason, lasted)).await;
    // Whatever the reason, only a read shows the present state.
    shared.config_changed.notify_one();
}
