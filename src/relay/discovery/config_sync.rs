//! One watch of the configuration on behalf of many entries.
//!
//! If each of hundreds of entries watches the configuration, each change costs as many store calls
//! as there are entries, and so does each expiry of the watches. Therefore only the entries that
//! watch the list of targets watch the configuration as well; they send the others what changed
//! ([`super::config_delta`]).
//!
//! An update from another entry is in force at once, but unconfirmed: no proof of an earlier
//! revision applies to it, and the entry announces nothing based on it, until a read of the store
//! or the proof of an entry with a confirmed copy shows the same revision. A false update therefore
//! lasts no longer than a lease. An entry that missed an update notices it by the revisions that
//! agents announce, and reads the store.

use std::time::Duration;

use super::store_revision::StoreRevision;
use crate::time::Tick;

/// How much later than an announced revision its update may arrive: copies of updates come through
/// several agents.
const UPDATE_LAG: Duration = Duration::from_millis(150);

/// How long a watching entry may lag behind others: longer than the delay between two answers of
/// its watch.
const SILENT_WATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// What this entry knows about the configuration of other entries.
#[derive(Debug, Default)]
pub struct ConfigSync {
    /// Newest revision that is known to exist.
    newest_announced: StoreRevision,
    /// When that revision was first known to be newer than the local one.
    behind_since: Option<Tick>,
    /// When another entry sent the configuration in force, if it is not confirmed.
    unconfirmed_since: Option<Tick>,
}

impl ConfigSync {
    /// Records that another entry has a revision; `own` is the local one.
    pub fn record_announced(&mut self, revision: StoreRevision, own: StoreRevision, now: Tick) {
        self.newest_announced = self.newest_announced.max(revision);
        if self.newest_announced > own {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that the local revision is now `own`, from the store or from another entry.
    pub fn record_own(&mut self, own: StoreRevision) {
        if self.newest_announced <= own {
            self.behind_since = None;
        }
    }

    /// Records a read of the store: nothing later than `own` exists.
    pub fn record_read(&mut self, own: StoreRevision) {
        self.newest_announced = own;
        self.behind_since = None;
    }

    /// Returns `true` if an update was missed, so that the store has to be read.
    #[must_use]
    pub fn is_behind(&self, is_watching: bool, now: Tick) -> bool {
        let lag = if is_watching { SILENT_WATCH_TIMEOUT } else { UPDATE_LAG };
        self.behind_since.is_some_and(|at| now.since(at) >= lag)
    }

    /// Records that the configuration in force came from another entry.
    pub fn mark_unconfirmed(&mut self, now: Tick) {
        self.unconfirmed_since = Some(now);
    }

    /// Records that the configuration in force is the one in the store.
    pub fn mark_confirmed(&mut self) {
        self.unconfirmed_since = None;
    }

    /// Returns `true` if the configuration in force is known to be the one in the store.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed_since.is_none()
    }

    /// Returns `true` if a read that was sent at `sent_at` and shows an earlier revision refutes
    /// the update of another entry.
    #[must_use]
    pub fn is_refuted(&self, sent_at: Tick) -> bool {
        self.unconfirmed_since.is_some_and(|since| sent_at >= since)
    }
}
