//! One watch of the configuration for many entries.
//!
//! The load that it answers: hundreds of entries, each of which watched the configuration, so
//! that each change cost as many calls as there are entries, as did each time that a watch
//! lasts. Now those that watch the list of targets watch the configuration as well, and tell
//! the others what changed ([`super::config_delta`]).
//!
//! What another entry tells is in force at once, and unconfirmed: no proof of an earlier
//! revision holds for it, and others are told nothing by it, until a read of the store or the
//! proof of an entry that has confirmed it shows the same revision. So what is told falsely
//! lasts no longer than a lease. Who missed something sees it by the revisions that agents
//! tell, and reads the store.

use std::time::Duration;

use super::store_revision::StoreRevision;
use crate::time::Tick;

/// How long news may come later than a revision that is told: copies of them come through
/// several agents.
const NEWS_LAG: Duration = Duration::from_millis(150);

/// How long an entry that watches may be behind others: longer than it rests between two
/// answers of its watch.
const SILENT_WATCH: Duration = Duration::from_millis(800);

/// What is known of the configuration by other entries.
#[derive(Debug, Default)]
pub struct ConfigShare {
    /// Newest revision that is known to exist.
    told: StoreRevision,
    /// Since when it is known to be newer than the own one.
    behind_since: Option<Tick>,
    /// When another entry told the one in force, where that is not confirmed.
    unconfirmed_since: Option<Tick>,
}

impl ConfigShare {
    /// Notes that another entry has a revision; `own` is the one that is known here.
    pub fn note_told(&mut self, mark: StoreRevision, own: StoreRevision, now: Tick) {
        self.told = self.told.max(mark);
        if self.told > own {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Notes that the own revision is `own` now, by the store or by another entry.
    pub fn note_own(&mut self, own: StoreRevision) {
        if self.told <= own {
            self.behind_since = None;
        }
    }

    /// Notes that the store was read: nothing later than `own` exists.
    pub fn note_read(&mut self, own: StoreRevision) {
        self.told = own;
        self.behind_since = None;
    }

    /// Returns true where a change was missed, so that the store is to be read.
    #[must_use]
    pub fn is_behind(&self, is_watching: bool, now: Tick) -> bool {
        let lag = if is_watching { SILENT_WATCH } else { NEWS_LAG };
        self.behind_since.is_some_and(|at| now.since(at) >= lag)
    }

    /// Notes that the configuration in force was told by another entry.
    pub fn note_unconfirmed(&mut self, now: Tick) {
        self.unconfirmed_since = Some(now);
    }

    /// Notes that it is the store's.
    pub fn note_confirmed(&mut self) {
        self.unconfirmed_since = None;
    }

    /// Returns true where it is the store's.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed_since.is_none()
    }

    /// Returns true where a read that was sent at `sent_at` and shows an earlier revision says
    /// that what another entry told is not so.
    #[must_use]
    pub fn is_refuted(&self, sent_at: Tick) -> bool {
        self.unconfirmed_since.is_some_and(|since| sent_at >= since)
    }
}
