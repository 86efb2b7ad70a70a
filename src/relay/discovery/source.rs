//! The operations on the platform's store, which its adapter implements. The `follow_*` modules
//! decide when and why they are called.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use super::rules::RelayConfig;
use super::store_revision::StoreRevision;
use crate::Result;
use crate::relay::decide::quarantine::QuarantineRecords;
use crate::relay::decide::targets::TargetRecord;

/// Where an entry has received a configuration from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ConfigOrigin {
    /// A read of the store.
    #[display("read")]
    Read,
    /// A watch of the store.
    #[display("watch")]
    Watch,
    /// A change that another entry announced.
    #[display("change")]
    Change,
    /// A copy from another entry.
    #[display("copy")]
    Copy,
}

/// A read of the configuration.
#[derive(Debug)]
pub struct ConfigRead {
    /// Revision of the object.
    pub revision: StoreRevision,
    /// Revision of the whole store as of which this is current.
    pub store_revision: StoreRevision,
    /// The configuration, `None` if its revision is the known one.
    pub config: Option<RelayConfig>,
    /// Why quarantine records beside the configuration cannot be read.
    pub unreadable: Vec<String>,
}

/// A change of the configuration that a watch reported.
#[derive(Debug)]
pub struct ConfigUpdate {
    /// Revision of the object.
    pub revision: StoreRevision,
    /// The configuration.
    pub config: RelayConfig,
    /// Why quarantine records beside the configuration cannot be read.
    pub unreadable: Vec<String>,
}

/// The answer to a watch of the configuration.
#[derive(Debug)]
pub enum ConfigWatch {
    /// The newest change, if any, up to a revision of the store.
    Changes(Option<Box<ConfigUpdate>>, StoreRevision),
    /// The store has forgotten changes since the start position: it has to be read again.
    Forgotten,
}

/// A read of the failure domains that are out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// Their names.
    pub domains: Vec<Arc<str>>,
    /// Epoch of the store that returned them.
    pub epoch: u64,
}

/// A read of the whole target list.
#[derive(Debug, Default)]
pub struct TargetList {
    /// All targets.
    pub records: Vec<TargetRecord>,
    /// Revision as of which this is current.
    pub revision: StoreRevision,
    /// Revision of the last change of one of the targets.
    pub changed_at: StoreRevision,
    /// Store entries that describe no target: other programs may write there.
    pub unreadable: Vec<UnreadableEntry>,
}

impl TargetList {
    /// Creates a list that is current as of a revision, and empty so far.
    #[must_use]
    pub fn new(revision: StoreRevision) -> Self {
        let changed_at = StoreRevision { number: 0, ..revision };
        TargetList { revision, changed_at, ..TargetList::default() }
    }
}

/// A store entry of the list that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Its name, if that can be read.
    pub name: Option<Arc<str>>,
    /// The reason, in a few words.
    pub reason: String,
}

/// The answer to a watch of the list.
#[derive(Debug)]
pub struct TargetUpdate {
    /// The events in order, each with its revision.
    pub events: Vec<(StoreRevision, TargetEvent)>,
    /// Revision to continue from.
    pub revision: StoreRevision,
}

/// What happened to one store entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEvent {
    /// It changed, or was removed.
    Changed(TargetChange),
    /// It cannot be read any more.
    Unreadable(UnreadableEntry),
}

impl TargetUpdate {
    /// Splits the answer into changes, each with its revision, and the store entries that cannot
    /// be read. Such an entry describes no target, so a target that was listed under its name is
    /// removed.
    #[must_use]
    pub fn into_changes(self) -> (Vec<(StoreRevision, TargetChange)>, Vec<UnreadableEntry>) {
        let (mut changes, mut unreadable) = (Vec::new(), Vec::new());
        for (revision, event) in self.events {
            match event {
                TargetEvent::Changed(change) => changes.push((revision, change)),
                TargetEvent::Unreadable(entry) => {
                    let removed = entry.name.clone().map(TargetChange::Removed);
                    changes.extend(removed.map(|change| (revision, change)));
                    unreadable.push(entry);
                }
            }
        }
        (changes, unreadable)
    }
}

/// The result of a write that is conditional on the known revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is done, and the object has this revision.
    Done(StoreRevision),
    /// The object has another revision: it has to be read again.
    Conflict,
}

/// One change of the target list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target is new or changed.
    #[serde(rename = "l")]
    Listed(TargetRecord),
    /// A target is no longer listed.
    #[serde(rename = "r")]
    Removed(Arc<str>),
}

/// The answer to a watch of the target list.
#[derive(Debug)]
pub enum TargetWatch {
    /// The changes.
    Changes(TargetUpdate),
    /// The store has forgotten changes since the start position: the list has to be read again.
    Forgotten,
}

type StoreFuture<T> = LocalBoxFuture<'static, Result<T>>;

/// The operations on the platform's store.
pub struct DiscoverySource {
    /// Reads the configuration linearizably; the argument is the known revision. Returns `None` if
    /// there is no configuration yet.
    pub read_config: Box<dyn Fn(StoreRevision) -> StoreFuture<Option<ConfigRead>>>,
    /// Reads linearizably which failure domains are out of service.
    pub read_evacuations: Box<dyn Fn() -> StoreFuture<EvacuationList>>,
    /// Reads the whole target list linearizably.
    pub list_targets: Box<dyn Fn() -> StoreFuture<TargetList>>,
    /// Waits until the configuration has changed after a revision of the store, or the time is up.
    pub watch_config: Box<dyn Fn(StoreRevision, Duration) -> StoreFuture<ConfigWatch>>,
    /// Waits for changes of the target list after a revision.
    pub watch_targets: Box<dyn Fn(StoreRevision, Duration) -> StoreFuture<TargetWatch>>,
    /// Writes the quarantine, beside the configuration of a revision.
    pub write_quarantine:
        Box<dyn Fn(StoreRevision, QuarantineRecords) -> StoreFuture<WriteOutcome>>,
}
