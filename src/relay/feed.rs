//! Keeps what the platform's store says current: configuration and targets.
//!
//! The adapter says how the store is read; when and what for is decided here.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use super::rules::RelayConfig;
use super::server::RelayShared;
use super::targets::TargetRecord;
use crate::Result;

/// Time between two reads of the configuration. A change has to be in force
/// within two seconds of its acknowledgement, and the proof of freshness ages.
const CONFIG_STEP: Duration = Duration::from_millis(1_000);

/// Time between two reads while the store does not answer.
const RETRY_STEP: Duration = Duration::from_millis(250);

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time between two events of a watch that are read: events come in groups,
/// and each answer is priced.
const WATCH_STEP: Duration = Duration::from_millis(250);

/// Time without an answer after which entries of the list may have lapsed.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// A read of the configuration.
#[derive(Debug)]
pub struct ConfigRead {
    /// Revision of the object.
    pub revision: u64,
    /// The configuration, none where the revision is the one that is known.
    pub config: Option<RelayConfig>,
}

/// A read of the whole list of targets.
#[derive(Debug)]
pub struct TargetList {
    /// All targets.
    pub records: Vec<TargetRecord>,
    /// Revision up to which this is true.
    pub revision: u64,
}

/// One change of the list.
#[derive(Debug)]
pub enum TargetChange {
    /// A target is new or changed.
    Listed(TargetRecord),
    /// A target is no longer listed.
    Removed(std::sync::Arc<str>),
}

/// What a watch brought.
#[derive(Debug)]
pub enum TargetWatch {
    /// Changes, up to a revision.
    Changes(Vec<TargetChange>, u64),
    /// The store has forgotten changes since then: the list is to be read anew.
    Forgotten,
}

type Call<T> = LocalBoxFuture<'static, Result<T>>;

/// How the platform's store is read.
pub struct PlatformFeed {
    /// Reads the configuration linearizably; the argument is the revision that
    /// is known. None where there is no configuration yet.
    pub read_config: Box<dyn Fn(u64) -> Call<Option<ConfigRead>>>,
    /// Reads the whole list of targets linearizably.
    pub list_targets: Box<dyn Fn() -> Call<TargetList>>,
    /// Waits for changes of the list after a revision.
    pub watch_targets: Box<dyn Fn(u64, Duration) -> Call<TargetWatch>>,
}

/// Follows the configuration for as long as the process runs.
pub(super) async fn follow_config(shared: Rc<RelayShared>, feed: Rc<PlatformFeed>) {
    let mut known = 0;
    let mut is_there = true;
    loop {
        let sent_at = shared.now();
        let result = (feed.read_config)(known).await;
        shared.counts.borrow_mut().store_calls += 1;
        match result {
            Ok(Some(read)) => {
                known = read.revision;
                let mut core = shared.core.borrow_mut();
                if core.take_config(read.config, sent_at) {
                    shared.log.config_changed(core.rules().version());
                }
            }
            // Nothing to obey yet: nothing is proven, and nobody is let in.
            Ok(None) => {}
            Err(error) => {
                shared.counts.borrow_mut().store_failures += 1;
                shared.away_at.set(Some(shared.now()));
                if is_there {
                    shared.log.dependency("store", false, &error.to_string());
                }
                is_there = false;
                tokio::time::sleep(RETRY_STEP).await;
                continue;
            }
        }
        if !is_there {
            shared.log.dependency("store", true, "");
        }
        is_there = true;
        let spent = shared.now().since(sent_at);
        tokio::time::sleep(CONFIG_STEP.saturating_sub(spent)).await;
    }
}

/// Follows the list of targets for as long as the process runs.
pub(super) async fn follow_targets(shared: Rc<RelayShared>, feed: Rc<PlatformFeed>) {
    let mut heard_at = shared.now();
    loop {
        let Some(mut revision) = read_list(&shared, &feed, heard_at).await else {
            tokio::time::sleep(RETRY_STEP).await;
            continue;
        };
        heard_at = shared.now();
        while let Some(next) = watch_once(&shared, &feed, revision).await {
            heard_at = shared.now();
            revision = next;
        }
    }
}

/// Reads the whole list. Returns its revision, none where that failed.
async fn read_list(
    shared: &RelayShared,
    feed: &PlatformFeed,
    heard_at: crate::time::Tick,
) -> Option<u64> {
    let result = (feed.list_targets)().await;
    shared.counts.borrow_mut().store_calls += 1;
    let now = shared.now();
    match result {
        Ok(list) => {
            let is_after_outage = now.since(heard_at) > WATCH_WAIT + OUTAGE;
            let change = {
                let mut core = shared.core.borrow_mut();
                core.take_list(list.records, is_after_outage || shared.was_away(now), now)
            };
            shared.log.targets_changed(&change);
            Some(list.revision)
        }
        Err(error) => {
            shared.away_at.set(Some(now));
            shared.counts.borrow_mut().store_failures += 1;
            shared.log.dependency("target list", false, &error.to_string());
            None
        }
    }
}

/// Waits for one answer of a watch. Returns the next revision, none where the
/// list has to be read anew.
async fn watch_once(shared: &RelayShared, feed: &PlatformFeed, revision: u64) -> Option<u64> {
    let result = (feed.watch_targets)(revision, WATCH_WAIT).await;
    shared.counts.borrow_mut().store_calls += 1;
    match result {
        Ok(TargetWatch::Changes(changes, next)) => {
            let is_empty = changes.is_empty();
            for change in changes {
                take_change(shared, change);
            }
            if !is_empty {
                tokio::time::sleep(WATCH_STEP).await;
            }
            Some(next)
        }
        Ok(TargetWatch::Forgotten) => None,
        Err(error) => {
            shared.log.dependency("target watch", false, &error.to_string());
            None
        }
    }
}

fn take_change(shared: &RelayShared, change: TargetChange) {
    let now = shared.now();
    let mut core = shared.core.borrow_mut();
    let change = match change {
        TargetChange::Listed(record) => core.take_change(record, now),
        TargetChange::Removed(name) => core.targets.take_removal(&name, shared.was_away(now), now),
    };
    shared.log.targets_changed(&change);
}
