//! One watch of the target list on behalf of many entries.
//!
//! If each of hundreds of entries watches the same list, each change wakes all of them, and each
//! then calls the store again, mostly in the seconds in which engines start and stop.
//!
//! Instead a few entries watch the list and announce its changes; the others listen. There is no
//! election: agents report how many watchers they know, and each entry decides by a random number
//! to start watching if there are too few watchers, or to stop if there are too many. An entry that
//! learns of no watcher watches. So a small fleet, a fleet that has just started, and an entry that
//! its peers cannot reach all watch.
//!
//! An update states the revision of the last change before it and of the last change in it, so a
//! lost update is noticed: by the next update, or by the revisions of watchers that agents report.
//! Then the store is asked for what was missed. Other changes of the store raise its revision as
//! well. So the revision up to which the list is known is kept apart from the revision of its last
//! change: if the former were announced, all other entries would call the store in vain.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::source::TargetChange;
use super::store_revision::StoreRevision;
use crate::time::Tick;

/// Desired number of watchers in the whole fleet: if a third of the fleet loses the store at the
/// same moment, at least one of eight watchers keeps it in all but one of 6,000 cases.
const DESIRED_WATCHERS: f64 = 8.0;

/// Number of watchers below which more entries start to watch.
const MIN_WATCHERS: f64 = 5.0;

/// Number of watchers above which some stop. It is far enough from the lower bound that differences
/// between what the agents see do not make entries start and stop repeatedly.
const MAX_WATCHERS: f64 = 13.0;

/// Approximate number of entries that watch from their start, before they learn of any other
/// watcher, in a fleet that has about as many entries as targets. A process that starts alone
/// mostly listens to the existing watchers.
const INITIAL_WATCHERS: f64 = 24.0;

/// Interval between two decisions whether to watch: agents report about as often.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// How much later than an announced revision its update may arrive: copies of updates come through
/// several agents.
const UPDATE_LAG: Duration = Duration::from_millis(150);

/// How long a watching entry may lag behind others: longer than the delay between two answers of
/// its watch. After that its connection counts as hung.
const SILENT_WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Copies of a change that the median entry receives: with six, one of 400 entries receives none.
const COPIES_PER_ENTRY: f64 = 6.0;

/// Fraction of the copies that each announcer sends if all watchers see a change at the same
/// moment.
const JOINT_FRACTION: f64 = 4.0 / DESIRED_WATCHERS;

/// Minimum number of agents that relay an entry's update, for entries that know of few watchers.
const MIN_RELAY_AGENTS: usize = 6;

/// Which entries announce a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateAnnouncer {
    /// All watchers announce it at the same moment.
    AllWatchers,
    /// Only this entry announces it: others wait between two answers, or did not watch.
    OneEntry,
}

impl UpdateAnnouncer {
    /// Number of agents that relay an update, for an entry that uses `used` of all `engines`. An
    /// agent reaches the entries that use its engine: the larger the fleet, the smaller that
    /// fraction.
    #[must_use]
    pub fn relay_agents(self, used: usize, engines: usize) -> usize {
        let reach = used.max(1) as f64 / engines.max(1) as f64;
        let copies = match self {
            UpdateAnnouncer::AllWatchers => COPIES_PER_ENTRY * JOINT_FRACTION,
            UpdateAnnouncer::OneEntry => COPIES_PER_ENTRY,
        };
        ((copies / reach).ceil() as usize).max(MIN_RELAY_AGENTS)
    }
}

/// Changes of the target list that one entry sends to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetListUpdate {
    /// Revision of the last change before these.
    #[serde(rename = "s")]
    pub since: StoreRevision,
    /// Revision of the last of these changes.
    #[serde(rename = "m")]
    pub revision: StoreRevision,
    /// Upper bound of the time since the store applied them, in milliseconds.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// The changes.
    #[serde(rename = "c")]
    pub changes: Vec<TargetChange>,
    /// Whether these are the differences between two lists. They lack targets that came and went in
    /// between.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_difference: bool,
}

/// How an update relates to what the receiver knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateVerdict {
    /// It continues from the known revision.
    Next,
    /// All of it is known.
    Known,
    /// Earlier updates were missed.
    Gap,
}

/// What this entry knows about the list, and whether it watches it.
#[derive(Debug)]
pub struct TargetListSync {
    is_watching: bool,
    /// Whether the initial watchers of a large fleet were chosen.
    has_initial_watchers: bool,
    changed_at: StoreRevision,
    /// Revision up to which all changes are known.
    known_up_to: StoreRevision,
    /// Revision up to which changes were announced to others, by this entry or another.
    announced: StoreRevision,
    /// Revision of the last list that was read.
    read_at: StoreRevision,
    /// Newest revision of a change that is known to exist.
    newest: StoreRevision,
    /// When that revision was first known to be newer than the known ones.
    behind_since: Option<Tick>,
    /// Watchers that agents reported since the last decision, and the number of these agents.
    watchers: u32,
    agents: u32,
    decided_at: Tick,
    /// Watchers besides this entry as of the last decision, `None` before the first.
    others: Option<f64>,
}

impl Default for TargetListSync {
    fn default() -> Self {
        TargetListSync {
            is_watching: true,
            has_initial_watchers: false,
            changed_at: StoreRevision::default(),
            known_up_to: StoreRevision::default(),
            announced: StoreRevision::default(),
            read_at: StoreRevision::default(),
            newest: StoreRevision::default(),
            behind_since: None,
            watchers: 0,
            agents: 0,
            decided_at: Tick::default(),
            others: None,
        }
    }
}

impl TargetListSync {
    /// Returns `true` while this entry watches the list.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Returns the revision of the last change that is known here.
    #[must_use]
    pub fn changed_at(&self) -> StoreRevision {
        self.changed_at
    }

    /// Returns the revision up to which changes were announced to others. No later one is reported:
    /// all entries would ask the store for changes that the next announcer is about to send.
    #[must_use]
    pub fn announced(&self) -> StoreRevision {
        self.announced
    }

    /// Records that all changes up to a revision were announced to others.
    pub fn record_announced(&mut self, revision: StoreRevision) {
        self.announced = self.announced.max(revision);
    }

    /// Returns the revision up to which all changes are known here.
    #[must_use]
    pub fn known_up_to(&self) -> StoreRevision {
        self.known_up_to
    }

    /// Records a list that was read and is in force here from now on. It is current at `revision`,
    /// and its targets last changed at `changed_at`.
    pub fn record_list(&mut self, revision: StoreRevision, changed_at: StoreRevision, now: Tick) {
        // Changes that others announced are in the list, unless they are later than it.
        let announced =
            if self.newest <= revision { self.newest } else { StoreRevision::default() };
        // The list lacks later changes, also those that were known here, and only some of its pages
        // may hold them.
        let newest = self.changed_at.max(changed_at);
        self.read_at = revision;
        self.changed_at = self.changed_at.max(changed_at).max(announced).min(revision);
        self.known_up_to = revision;
        self.behind_since = None;
        self.record_announced(self.changed_at);
        if newest > revision {
            self.record_newest(newest, now);
        }
    }

    /// Records that the last list that was read showed a change. A removed target leaves no
    /// revision in the list, so the announced revision has to show the change to others.
    pub fn record_difference(&mut self) {
        self.advance_to(self.read_at);
        self.record_announced(self.read_at);
    }

    /// Chooses the initial watchers once many targets are listed: in a large fleet a few entries
    /// watch, by `jitter` from 0 to 1, until they learn of others. Targets of a starting fleet are
    /// listed one by one. An entry that listens already keeps listening. Returns `true` if this entry
    /// stops watching.
    pub fn choose_initial_watchers(&mut self, targets: usize, jitter: f64, now: Tick) -> bool {
        let is_large = targets as f64 > INITIAL_WATCHERS;
        if !is_large || self.has_initial_watchers {
            return false;
        }
        self.has_initial_watchers = true;
        if !self.is_watching {
            return false;
        }
        self.decided_at = now;
        (self.watchers, self.agents) = (0, 0);
        // This assumes the desired number of watchers, with which each of them announces changes.
        self.others = Some(DESIRED_WATCHERS - 1.0);
        self.is_watching = jitter * (targets as f64) < INITIAL_WATCHERS;
        !self.is_watching
    }

    /// Records that the watch of this entry showed all changes up to `revision`.
    pub fn record_watched(&mut self, revision: StoreRevision) {
        self.advance_to(revision);
    }

    /// Records that the store returned all changes up to `revision`. Updates about later ones may
    /// be under way.
    pub fn record_caught_up(&mut self, revision: StoreRevision) {
        self.known_up_to = self.known_up_to.max(revision).max(self.changed_at);
        self.behind_since = None;
    }

    /// Compares an update with what is known, and adopts its revision if it is the next one.
    pub fn apply_update(&mut self, update: &TargetListUpdate, now: Tick) -> UpdateVerdict {
        if update.revision <= self.known_up_to {
            return UpdateVerdict::Known;
        }
        // An update that spans the restore of the store from a backup lacks the changes that were
        // lost. A difference lacks the reverts of changes that are known here from between its lists.
        let is_of_epoch =
            [update.since.epoch, update.revision.epoch] == [self.known_up_to.epoch; 2];
        let lacks_known = update.is_difference && self.changed_at > update.since;
        if update.since > self.known_up_to || !is_of_epoch || lacks_known {
            self.record_newest(update.revision, now);
            return UpdateVerdict::Gap;
        }
        self.advance_to(update.revision);
        self.record_announced(update.revision);
        UpdateVerdict::Next
    }

    /// Records an agent's report on the watchers that it knows.
    pub fn record_agent_report(
        &mut self,
        watchers: u32,
        revision: Option<StoreRevision>,
        now: Tick,
    ) {
        self.agents += 1;
        self.watchers += watchers;
        if let Some(revision) = revision {
            self.record_newest(revision, now);
        }
    }

    /// Returns `true` if changes have been missed, so that the list has to be read.
    #[must_use]
    pub fn is_behind(&self, now: Tick) -> bool {
        let lag = if self.is_watching { SILENT_WATCH_TIMEOUT } else { UPDATE_LAG };
        self.behind_since.is_some_and(|at| now.since(at) >= lag)
    }

    /// Returns `true` if this entry announces changes, by `jitter` from 0 to 1: with many watchers,
    /// as after a start of the whole fleet, a few announce. A process that has just started does
    /// not know the number of watchers.
    #[must_use]
    pub fn should_announce(&self, jitter: f64) -> bool {
        self.others.is_some_and(|others| jitter < DESIRED_WATCHERS / (others + 1.0))
    }

    /// Decides at intervals whether to watch. `fraction` is the fraction of the fleet that an agent
    /// sees, `entries` the number of entries, `jitter` from 0 to 1. Returns `true` if the decision
    /// changed.
    pub fn decide_watching(
        &mut self,
        fraction: f64,
        entries: usize,
        jitter: f64,
        now: Tick,
    ) -> bool {
        if now.since(self.decided_at) < DECISION_INTERVAL {
            return false;
        }
        self.decided_at = now;
        let (watchers, agents) = (self.watchers, self.agents);
        (self.watchers, self.agents) = (0, 0);
        let was_watching = self.is_watching;
        // Agents report only watchers other than this entry.
        let others = f64::from(watchers) / f64::from(agents.max(1)) / fraction.clamp(0.01, 1.0);
        self.others = Some(others);
        self.is_watching = if others <= 0.0 {
            true
        } else if was_watching {
            // An entry that is behind an announced revision keeps watching until it has caught up.
            let is_surplus = others + 1.0 > MAX_WATCHERS && self.behind_since.is_none();
            !is_surplus || jitter >= 1.0 - DESIRED_WATCHERS / (others + 1.0)
        } else {
            let rest = (entries as f64 - others).max(1.0);
            others < MIN_WATCHERS && jitter < (DESIRED_WATCHERS - others) / rest
        };
        self.is_watching != was_watching
    }

    fn record_newest(&mut self, revision: StoreRevision, now: Tick) {
        self.newest = self.newest.max(revision);
        if self.newest > self.known_up_to {
            self.behind_since.get_or_insert(now);
        }
    }

    fn advance_to(&mut self, revision: StoreRevision) {
        self.changed_at = self.changed_at.max(revision);
        self.known_up_to = self.known_up_to.max(self.changed_at);
        if self.newest <= self.known_up_to {
            self.behind_since = None;
        }
    }
}
