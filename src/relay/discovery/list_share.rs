//! One watch of the list of targets for many entries.
//!
//! The load that it answers: hundreds of entries, each of which watched the same
//! list. Each change woke all of them, and each then asked the store again, most of
//! all in the seconds in which engines come and go.
//!
//! A few entries watch the list and pass on what they hear; the others listen. Nobody
//! is chosen: agents say how many watchers they know, and an entry begins to watch
//! where there are too few, and ends where there are too many, by a throw of its own.
//! An entry that hears of no watcher watches, so a small fleet, a fleet that has just
//! started and an entry that its peers can not reach all do so.
//!
//! A *mark* is the revision of the last change of the list that is known. News say from
//! which revision to which they lead, so one that is lost is seen: by the next news, or by
//! the marks of watchers that agents tell. Then the store is asked for what was missed.
//! Other changes of the store raise its revision as well, so up to where the list is known
//! is kept apart from the mark: told as one, it would have all others ask for nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::feed::TargetChange;
use super::store_revision::StoreRevision;
use crate::time::Tick;

/// Entries that watch the list, over the whole fleet: with a third of the fleet cut
/// off from the store at the same moment, one of eight is left but for once in 6,000.
const WATCHERS: f64 = 8.0;

/// Watchers below which more of them are wanted.
const FEWEST_WATCHERS: f64 = 5.0;

/// Watchers above which some are to end. Far enough from the other bound that what
/// each agent happens to see does not make entries go to and fro.
const MOST_WATCHERS: f64 = 13.0;

/// Entries that watch from their start, before they have heard of any other: about so many of
/// a fleet that has about as many entries as targets. A process that starts alone mostly
/// listens to those who watch.
const FIRST_WATCHERS: f64 = 24.0;

/// Time between two decisions on that: agents are heard of about as often.
const DECISION_STEP: Duration = Duration::from_secs(1);

/// How long news may come later than a mark that is told: copies of them come through
/// several agents.
const NEWS_LAG: Duration = Duration::from_millis(150);

/// How long an entry that watches may be behind others: longer than it rests between
/// two answers of its watch. From then on its connection is taken to be silent.
const SILENT_WATCH: Duration = Duration::from_millis(2_500);

/// Copies of a change that the middle entry is told: with six, one of 400 hears of none.
const COPIES: f64 = 6.0;

/// Part of them that each of those tells who hear of a change at the same moment.
const JOINT_PART: f64 = 4.0 / WATCHERS;

/// Fewest agents that pass on what one entry tells, for those who hear of few watchers.
const FEWEST_TELLERS: usize = 6;

/// Who hears of a change beside the one that tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsTeller {
    /// All that watch, at the same moment.
    Joint,
    /// This one alone: others rest, or have not watched.
    Alone,
}

impl NewsTeller {
    /// Agents that pass on what it tells, where an entry uses `used` of all `engines`. An agent
    /// reaches the entries that use its engine: the larger the fleet, the smaller a part of it.
    #[must_use]
    pub fn agents(self, used: usize, engines: usize) -> usize {
        let reach = used.max(1) as f64 / engines.max(1) as f64;
        let copies = match self {
            NewsTeller::Joint => COPIES * JOINT_PART,
            NewsTeller::Alone => COPIES,
        };
        ((copies / reach).ceil() as usize).max(FEWEST_TELLERS)
    }
}

/// Changes of the list that one entry tells others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListNews {
    /// They begin at this mark.
    #[serde(rename = "s")]
    pub since: StoreRevision,
    /// They end at this mark.
    #[serde(rename = "m")]
    pub mark: StoreRevision,
    /// Longest time since the store can have taken them, in milliseconds.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// The changes.
    #[serde(rename = "c")]
    pub changes: Vec<TargetChange>,
}

/// What news are worth to the one who hears them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsVerdict {
    /// They are the next ones.
    Next,
    /// They are known.
    Known,
    /// Others before them were missed.
    Gap,
}

/// What this entry knows of the list, and whether it watches it.
#[derive(Debug)]
pub struct ListShare {
    is_watching: bool,
    /// Whether it was decided who watches at the start of a large fleet.
    has_begun: bool,
    mark: StoreRevision,
    /// Up to where all changes are known.
    known: StoreRevision,
    /// Mark up to which others were told, by this entry or another.
    announced: StoreRevision,
    /// Revision of the last list that was read.
    read_at: StoreRevision,
    /// Newest mark that is known to exist.
    told: StoreRevision,
    /// Since when it is known to be newer.
    behind_since: Option<Tick>,
    /// Watchers that agents told since the last decision, and how many told.
    watchers: u32,
    agents: u32,
    decided_at: Tick,
    /// Watchers beside this entry by the last decision, none before the first.
    others: Option<f64>,
}

impl Default for ListShare {
    fn default() -> Self {
        ListShare {
            is_watching: true,
            has_begun: false,
            mark: StoreRevision::default(),
            known: StoreRevision::default(),
            announced: StoreRevision::default(),
            read_at: StoreRevision::default(),
            told: StoreRevision::default(),
            behind_since: None,
            watchers: 0,
            agents: 0,
            decided_at: Tick::default(),
            others: None,
        }
    }
}

impl ListShare {
    /// Returns true while this entry watches the list.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// The revision of the last change that is known here.
    #[must_use]
    pub fn mark(&self) -> StoreRevision {
        self.mark
    }

    /// The mark up to which others were told. A later one is not named to them: all would ask
    /// the store for what the next one who hears of it tells.
    #[must_use]
    pub fn announced(&self) -> StoreRevision {
        self.announced
    }

    /// Notes that others were told of all changes up to a mark.
    pub fn note_announced(&mut self, mark: StoreRevision) {
        self.announced = self.announced.max(mark);
    }

    /// The revision up to which all changes are known here.
    #[must_use]
    pub fn known(&self) -> StoreRevision {
        self.known
    }

    /// Notes a list that was read and is true at `revision`; its targets changed last
    /// at `changed_at`.
    pub fn note_list(&mut self, revision: StoreRevision, changed_at: StoreRevision) {
        // What others tell of is in the list, unless it is later than that.
        let told = if self.told <= revision { self.told } else { StoreRevision::default() };
        self.read_at = revision;
        self.mark = self.mark.max(changed_at).max(told);
        self.note_announced(self.mark);
        self.note_caught_up(revision);
    }

    /// Notes that the last list that was read showed a change. A target that is gone
    /// leaves no revision in the list, so the mark has to say so to others.
    pub fn note_difference(&mut self) {
        self.set_mark(self.read_at);
        self.note_announced(self.read_at);
    }

    /// Begins once many targets are listed: of a large fleet a few entries watch, by a throw
    /// from 0 to 1, until others have been heard of. A fleet that starts lists its targets one
    /// by one. Returns true where this entry watches no more.
    pub fn begin(&mut self, targets: usize, throw: f64, now: Tick) -> bool {
        let is_large = targets as f64 > FIRST_WATCHERS;
        if !is_large || self.has_begun {
            return false;
        }
        self.has_begun = true;
        self.decided_at = now;
        (self.watchers, self.agents) = (0, 0);
        // Of so many, each tells.
        self.others = Some(WATCHERS - 1.0);
        self.is_watching = throw * (targets as f64) < FIRST_WATCHERS;
        !self.is_watching
    }

    /// Notes that all changes up to `revision` are known, by the own watch.
    pub fn note_watched(&mut self, revision: StoreRevision) {
        self.set_mark(revision);
    }

    /// Notes that the store has told all changes up to `revision`. What others tell of later
    /// ones may be on its way.
    pub fn note_caught_up(&mut self, revision: StoreRevision) {
        self.known = self.known.max(revision).max(self.mark);
        self.behind_since = None;
    }

    /// Weighs news, and takes their mark where they are the next ones.
    pub fn take_news(&mut self, news: &ListNews, now: Tick) -> NewsVerdict {
        if news.mark <= self.known {
            return NewsVerdict::Known;
        }
        // What is told over the return of the store from a copy leaves out what was lost.
        let is_of_epoch = [news.since.epoch, news.mark.epoch] == [self.known.epoch; 2];
        if news.since > self.known || !is_of_epoch {
            self.note_told(news.mark, now);
            return NewsVerdict::Gap;
        }
        self.set_mark(news.mark);
        self.note_announced(news.mark);
        NewsVerdict::Next
    }

    /// Notes what an agent tells of the watchers that it knows.
    pub fn note_agent(&mut self, watchers: u32, mark: Option<StoreRevision>, now: Tick) {
        self.agents += 1;
        self.watchers += watchers;
        if let Some(mark) = mark {
            self.note_told(mark, now);
        }
    }

    /// Returns true where changes have been missed, so that the list is to be read.
    #[must_use]
    pub fn is_behind(&self, now: Tick) -> bool {
        let lag = if self.is_watching { SILENT_WATCH } else { NEWS_LAG };
        self.behind_since.is_some_and(|at| now.since(at) >= lag)
    }

    /// Returns true where news are to be told, by a throw from 0 to 1: where many watch,
    /// as after a start of the whole fleet, a few tell. A process that has just started
    /// does not know how many do.
    #[must_use]
    pub fn tells(&self, throw: f64) -> bool {
        self.others.is_some_and(|others| throw < WATCHERS / (others + 1.0))
    }

    /// Decides from time to time whether to watch. `part` is the part of the fleet
    /// that an agent sees, `entries` how many there are, `throw` from 0 to 1.
    /// Returns true where that changed.
    pub fn decide(&mut self, part: f64, entries: usize, throw: f64, now: Tick) -> bool {
        if now.since(self.decided_at) < DECISION_STEP {
            return false;
        }
        self.decided_at = now;
        let (watchers, agents) = (self.watchers, self.agents);
        (self.watchers, self.agents) = (0, 0);
        let was_watching = self.is_watching;
        // Agents name the other watchers only.
        let others = f64::from(watchers) / f64::from(agents.max(1)) / part.clamp(0.01, 1.0);
        self.others = Some(others);
        self.is_watching = if others <= 0.0 {
            true
        } else if was_watching {
            // One who knows that there is news hears it out.
            let is_many = others + 1.0 > MOST_WATCHERS && self.behind_since.is_none();
            !is_many || throw >= 1.0 - WATCHERS / (others + 1.0)
        } else {
            let rest = (entries as f64 - others).max(1.0);
            others < FEWEST_WATCHERS && throw < (WATCHERS - others) / rest
        };
        self.is_watching != was_watching
    }

    fn note_told(&mut self, mark: StoreRevision, now: Tick) {
        self.told = self.told.max(mark);
        if self.told > self.known {
            self.behind_since.get_or_insert(now);
        }
    }

    fn set_mark(&mut self, mark: StoreRevision) {
        self.mark = self.mark.max(mark);
        self.known = self.known.max(self.mark);
        if self.told <= self.known {
            self.behind_since = None;
        }
    }
}
