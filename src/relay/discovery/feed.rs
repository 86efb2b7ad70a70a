//! How the platform's store is read, which the adapter says. When and what for
//! is decided in `follow`.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use super::rules::RelayConfig;
use super::store_revision::StoreRevision;
use crate::Result;
use crate::relay::decide::hold_list::QuarantineRecord;
use crate::relay::decide::targets::TargetRecord;

/// A read of the configuration.
#[derive(Debug)]
pub struct ConfigRead {
    /// Revision of the object.
    pub revision: StoreRevision,
    /// Revision of the whole store up to which this is true.
    pub store_revision: StoreRevision,
    /// The configuration, none where the revision is the one that is known.
    pub config: Option<RelayConfig>,
    /// Why notes that stand beside it can not be read.
    pub unreadable: Vec<String>,
}

/// A change of the configuration that a watch told of.
#[derive(Debug)]
pub struct ConfigNews {
    /// Revision of the object.
    pub revision: StoreRevision,
    /// The configuration.
    pub config: RelayConfig,
    /// Why notes that stand beside it can not be read.
    pub unreadable: Vec<String>,
}

/// What a watch of the configuration brought.
#[derive(Debug)]
pub enum ConfigWatch {
    /// The newest change, if any, up to a revision of the store.
    Changes(Option<Box<ConfigNews>>, StoreRevision),
    /// The store has forgotten changes since then: it is to be read anew.
    Forgotten,
}

/// A read of the failure domains that are out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// Their names.
    pub domains: Vec<Arc<str>>,
    /// Epoch of the store that gave them out.
    pub epoch: u64,
}

/// A read of the whole list of targets.
#[derive(Debug, Default)]
pub struct TargetList {
    /// All targets.
    pub records: Vec<TargetRecord>,
    /// Revision up to which this is true.
    pub revision: StoreRevision,
    /// Revision of the last change of one of them.
    pub changed_at: StoreRevision,
    /// Entries that list no target: others than targets may write there.
    pub unreadable: Vec<UnreadableEntry>,
}

impl TargetList {
    /// A list that is true up to a revision, and empty so far.
    #[must_use]
    pub fn new(revision: StoreRevision) -> Self {
        let changed_at = StoreRevision { number: 0, ..revision };
        TargetList { revision, changed_at, ..TargetList::default() }
    }
}

/// An entry of the list that can not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Its name, where that can be read.
    pub name: Option<Arc<str>>,
    /// Why, in a few words.
    pub why: String,
}

/// What a watch of the list told.
#[derive(Debug)]
pub struct TargetNews {
    /// What happened, in order, and at which revision.
    pub events: Vec<(StoreRevision, TargetEvent)>,
    /// Revision to go on from.
    pub revision: StoreRevision,
}

/// What happened to one entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEvent {
    /// It changed, or is gone.
    Changed(TargetChange),
    /// It can not be read any more.
    Unreadable(UnreadableEntry),
}

impl TargetNews {
    /// Splits it into what it changes, and at which revision, and the entries that can not be
    /// read. Such an entry lists no target, so one that was listed under its name is gone.
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

/// How a write ended that holds only at the revision that was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEnd {
    /// It is done, and the object has this revision.
    Done(StoreRevision),
    /// The object has another revision: it is to be read anew.
    Conflict,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target is new or changed.
    #[serde(rename = "l")]
    Listed(TargetRecord),
    /// A target is no longer listed.
    #[serde(rename = "r")]
    Removed(Arc<str>),
}

/// What a watch brought.
#[derive(Debug)]
pub enum TargetWatch {
    /// What changed.
    Changes(TargetNews),
    /// The store has forgotten changes since then: the list is to be read anew.
    Forgotten,
}

type Call<T> = LocalBoxFuture<'static, Result<T>>;

/// How the platform's store is read.
pub struct PlatformFeed {
    /// Reads the configuration linearizably; the argument is the revision that
    /// is known. None where there is no configuration yet.
    pub read_config: Box<dyn Fn(StoreRevision) -> Call<Option<ConfigRead>>>,
    /// Reads linearizably which failure domains are out of service.
    pub read_evacuations: Box<dyn Fn() -> Call<EvacuationList>>,
    /// Reads the whole list of targets linearizably.
    pub list_targets: Box<dyn Fn() -> Call<TargetList>>,
    /// Waits until the configuration has changed after a revision of the store,
    /// or the time is up.
    pub watch_config: Box<dyn Fn(StoreRevision, Duration) -> Call<ConfigWatch>>,
    /// Waits for changes of the list after a revision.
    pub watch_targets: Box<dyn Fn(StoreRevision, Duration) -> Call<TargetWatch>>,
    /// Writes which requests are held back, beside the configuration of a revision.
    pub write_quarantine: Box<dyn Fn(StoreRevision, Vec<QuarantineRecord>) -> Call<WriteEnd>>,
}
