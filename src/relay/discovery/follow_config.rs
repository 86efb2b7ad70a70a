//! Follows the configuration: when it is read, and how it is proven current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::feed::{ConfigRead, ConfigWatch, PlatformFeed};
use super::list_share::NewsTeller;
use super::proof_share::{PeerVerdict, ProofShare};
use super::store_revision::StoreRevision;
use super::watch_pace::{NEWS_STEP, WatchEnd, delay_after};
use crate::error::{Error, Result};
use crate::relay::counts::StoreCall;
use crate::relay::peers::config_copy::read_copy;
use crate::relay::peers::load_note::LoadNote;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Longest wait for agents that are asked who has the newest proof, and for the
/// entry that has it: some round trips between failure domains.
const PEER_WAIT: Duration = Duration::from_millis(40);

/// Time between two reads while the store does not answer: short against the
/// time for which a proof holds, long against the price of each.
const RETRY_STEP: Duration = Duration::from_millis(400);

/// Time between two reads while others prove the configuration for this entry. It hears
/// of no change meanwhile, and has to within the bound for changes once the store is
/// back: reads are well under that, and well over the price of each.
const TURNED_AWAY_STEP: Duration = Duration::from_secs(1);

/// Follows the configuration for as long as the process runs.
pub(crate) async fn follow_config(shared: Rc<RelayShared>, feed: Rc<PlatformFeed>) {
    let mut is_there = true;
    let mut watching: Option<ConfigWatcher> = None;
    loop {
        // A watch that has ended, or is one of the store before it came back from a copy,
        // begins anew with a read.
        let is_watcher = shared.core.borrow().list_share().is_watching();
        watching = watching.filter(|watch| is_watcher && watch.is_open(&shared));
        let is_heard = watching.is_some() || !is_watcher;
        let may_share = is_there && is_heard && shared.knows_config(shared.now());
        if may_share && ask_peers(&shared).await == PeerEnd::Proven {
            let due = next_refresh(&shared);
            take_news_until(&shared, due).await;
            continue;
        }
        let sent_at = shared.now();
        let read = match read_proof(&shared, &feed).await {
            Ok(read) => read,
            Err(error) => {
                note_lost(&shared, is_there, &error);
                is_there = false;
                // Where only this entry is turned away, others prove for it.
                if is_proven_without_store(&shared).await {
                    tokio::time::sleep(TURNED_AWAY_STEP).await;
                } else {
                    wait_for_store(&shared).await;
                }
                continue;
            }
        };
        if !is_there {
            shared.log.dependency("store", true, "");
            // What a watch heard during the outage can not be relied on, and its
            // connection may hang.
            shared.outages.send_modify(|count| *count += 1);
            watching = None;
        }
        is_there = true;
        // Without a configuration there is nothing to obey yet: nothing is
        // proven, and nobody is let in.
        if let Some(read) = read {
            let begins_at = read.store_revision;
            shared.note_epoch(begins_at.epoch);
            // A watch that did not tell of a change may be deaf.
            let is_deaf = read.config.is_some();
            shared.take_read(read, sent_at);
            tell_change(&shared);
            shared.tell_suspects();
            shared.note_started();
            watching = watching.filter(|watch| watch.is_open(&shared) && !is_deaf);
            if shared.core.borrow().list_share().is_watching() {
                watching.get_or_insert_with(|| ConfigWatcher::start(&shared, &feed, begins_at));
            }
        }
        // Others need not read what has just been read here.
        shared.link.announce(&shared.core.borrow(), shared.now());
        take_news_until(&shared, next_refresh(&shared)).await;
    }
}

/// Reads the configuration, and which failure domains are out of service: one proof holds for
/// both. The domains are taken here, the configuration is returned.
pub(super) async fn read_proof(
    shared: &RelayShared,
    feed: &PlatformFeed,
) -> Result<Option<ConfigRead>> {
    let sent_at = shared.now();
    let known = {
        let core = shared.core.borrow();
        // What another entry told is to be compared with the store's.
        if core.is_config_confirmed() { core.config_revision() } else { StoreRevision::default() }
    };
    let reading = (feed.read_config)(known);
    if shared.core.borrow().limits().evacuate_bound.is_none() {
        let read = reading.await;
        shared.counts.borrow().note_store_call(StoreCall::ConfigRead);
        return read;
    }
    let (read, list) = tokio::join!(reading, (feed.read_evacuations)());
    shared.counts.borrow().note_store_call(StoreCall::ConfigRead);
    shared.counts.borrow().note_store_call(StoreCall::EvacuationRead);
    let (read, list) = (read?, list?);
    if read.as_ref().is_some_and(|read| read.store_revision.epoch != list.epoch) {
        return Err(Error::from_answer(200, "the store came back from a copy meanwhile"));
    }
    shared.take_evacuations(list, sent_at);
    Ok(read)
}

/// Waits until the store is to be asked again: by this entry for others, or since
/// another one has reached it.
async fn wait_for_store(shared: &RelayShared) {
    loop {
        tokio::time::sleep(RETRY_STEP).await;
        shared.away_at.set(Some(shared.now()));
        if shared.core.borrow().probes_store() || is_proven_without_store(shared).await {
            return;
        }
    }
}

/// When the proof is to be renewed.
fn next_refresh(shared: &RelayShared) -> Tick {
    let core = shared.core.borrow();
    if core.is_store_behind() {
        // A read proves nothing until the configuration is written again, which the watch
        // tells: 45 reads in two seconds without this step (one entry, test by processes).
        return shared.now() + TURNED_AWAY_STEP;
    }
    let lease = core.lease();
    lease.proven_at().unwrap_or(shared.now()) + ProofShare::refresh_age(lease.span())
}

/// How it ended to ask another entry for its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerEnd {
    /// It renewed the own one.
    Proven,
    /// The entry there has a later configuration.
    Behind(SocketAddr),
    /// Nobody is known who has a newer one, or there was no answer.
    Nobody,
}

/// Asks the entry that is said to have the newest proof.
async fn ask_peers(shared: &RelayShared) -> PeerEnd {
    shared.link.ask_around(&shared.core.borrow(), shared.now());
    tokio::time::sleep(PEER_WAIT).await;
    let question = shared.core.borrow_mut().ask_proof(shared.now());
    let Some((address, question)) = question else { return PeerEnd::Nobody };
    shared.peer_verdict.set(PeerVerdict::Useless);
    shared.link.send_to(address, &question);
    // Where nobody answers, the store is read.
    drop(tokio::time::timeout(PEER_WAIT, shared.proof_told.notified()).await);
    match shared.peer_verdict.get() {
        PeerVerdict::ProvenAt(_) => {
            shared.counts.borrow_mut().shared_proofs += 1;
            PeerEnd::Proven
        }
        PeerVerdict::Behind => PeerEnd::Behind(address),
        PeerVerdict::Useless => PeerEnd::Nobody,
    }
}

/// Renews the proof through other entries while the store turns this one away.
async fn is_proven_without_store(shared: &RelayShared) -> bool {
    let entry = match ask_peers(shared).await {
        PeerEnd::Proven => return true,
        PeerEnd::Behind(entry) => entry,
        PeerEnd::Nobody => return false,
    };
    match read_copy(shared, entry).await {
        Ok(copy) => {
            let mut core = shared.core.borrow_mut();
            if core.take_copy(&copy, shared.now()) {
                shared.log.config_changed(core.rules().version());
            }
            let is_held = core.lease().is_held(shared.now());
            drop(core);
            shared.note_started();
            is_held
        }
        Err(error) => {
            shared.log.dependency("copy of the configuration", false, &error.to_string());
            false
        }
    }
}

/// Takes what the watch tells until the next read is due, or the watch has
/// nothing more to tell.
async fn take_news_until(shared: &RelayShared, due: Tick) {
    loop {
        let rest = due.since(shared.now());
        if tokio::time::timeout(rest, shared.config_changed.notified()).await.is_err() {
            return;
        }
        let news = shared.config_news.borrow_mut().take();
        let Some(news) = news else { return };
        shared.log.notes_unreadable(&news.unreadable, shared.now());
        let mut core = shared.core.borrow_mut();
        if core.take_news(*news, shared.now()) {
            shared.log.config_changed(core.rules().version());
        }
        drop(core);
        tell_change(shared);
        shared.tell_suspects();
    }
}

/// Tells others what the store has told this entry, where it is one of those who watch for
/// them.
fn tell_change(shared: &RelayShared) {
    let delta = shared.core.borrow_mut().take_config_change();
    let core = shared.core.borrow();
    let share = core.list_share();
    let is_told = share.is_watching() && share.tells(rand::random());
    let Some(delta) = delta.filter(|_| is_told) else { return };
    if !shared.link.tell_others(&core, &LoadNote::ConfigChanged(Box::new(delta)), NewsTeller::Joint)
    {
        slog::debug!(shared.log.logger(), "change of the configuration too long to be told");
    }
}

/// A watch of the configuration, which ends when this is dropped.
struct ConfigWatcher {
    task: tokio::task::JoinHandle<()>,
    /// Epoch of the store in which it began.
    epoch: u64,
}

impl ConfigWatcher {
    fn start(shared: &Rc<RelayShared>, feed: &Rc<PlatformFeed>, after: StoreRevision) -> Self {
        let task = tokio::task::spawn_local(watch_config(shared.clone(), feed.clone(), after));
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

fn note_lost(shared: &RelayShared, was_there: bool, error: &crate::Error) {
    shared.counts.borrow_mut().store_failures += 1;
    shared.away_at.set(Some(shared.now()));
    shared.note_turned_away();
    if was_there {
        shared.log.dependency("store", false, &error.to_string());
    }
}

/// Tells of changes of the configuration until the store does not answer or
/// has forgotten what happened. A watch that brings nothing proves nothing.
async fn watch_config(
    shared: Rc<RelayShared>,
    feed: Rc<PlatformFeed>,
    mut revision: StoreRevision,
) {
    let (end, lasted) = loop {
        let begun = shared.now();
        let result = (feed.watch_config)(revision, shared.watch_wait()).await;
        shared.counts.borrow().note_store_call(StoreCall::ConfigWatch);
        match result {
            Ok(ConfigWatch::Changes(_, next)) if next.epoch != revision.epoch => {
                shared.note_epoch(next.epoch);
                break (WatchEnd::Forgotten, shared.now().since(begun));
            }
            Ok(ConfigWatch::Changes(news, next)) => {
                revision = next;
                if news.is_some() {
                    *shared.config_news.borrow_mut() = news;
                    shared.config_changed.notify_one();
                    tokio::time::sleep(NEWS_STEP).await;
                }
            }
            Ok(ConfigWatch::Forgotten) => {
                break (WatchEnd::Forgotten, shared.now().since(begun));
            }
            Err(error) => {
                shared.log.dependency("configuration watch", false, &error.to_string());
                break (WatchEnd::Failed, shared.now().since(begun));
            }
        }
    };
    tokio::time::sleep(delay_after(end, lasted)).await;
    // Whatever the reason, only a read tells what holds now.
    shared.config_changed.notify_one();
}
