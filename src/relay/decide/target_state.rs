//! One target: how it is listed, and what is believed of it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::engine_rates::EngineRates;
use super::pass_model::PassModel;
use super::rate_limit::RateLimit;
use super::target_notice::{KeptNotice, TargetNotice};
use super::warmup::{WarmupLimit, WarmupState};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// Time that a target is left alone after its first failure.
const FIRST_EJECTION: Duration = Duration::from_millis(400);

/// Longest time that a target is left alone.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Time that a target is left alone whose agent says that it is down. It says so
/// again while that is true, so that two notes in a row may be lost.
const DOWN_SPAN: Duration = Duration::from_secs(1);

/// Time since bytes of a target for which it works, whatever its agent says: an
/// agent on a slow host may miss reports.
const ALIVE_SPAN: Duration = Duration::from_millis(400);

/// Time for which nobody listens at a target until it has ended.
const UNREACHABLE_SPAN: Duration = Duration::from_millis(50);

/// Failures in a row after which a target is left alone.
const TOLERATED_FAILURES: u32 = 2;

/// One life of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetLife {
    /// The name by which it is listed, which a target may keep when it starts again.
    #[serde(rename = "i")]
    pub incarnation: Arc<str>,
    /// When it started, in Unix milliseconds; zero where the platform does not say.
    #[serde(rename = "b")]
    pub born_ms: u64,
}

impl TargetLife {
    /// A number of its own, the same in all processes.
    #[must_use]
    pub fn seed(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(self.incarnation.as_bytes(), self.born_ms)
    }
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Names the target. Another life has another name, or a later start.
    #[serde(rename = "i")]
    pub incarnation: Arc<str>,
    /// When this life started, in Unix milliseconds; zero where the platform does not say.
    #[serde(rename = "b", default)]
    pub born_ms: u64,
    /// The service it belongs to.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub failure_domain: Arc<str>,
    /// Requests it runs at the same time.
    #[serde(rename = "c")]
    pub capacity: usize,
    /// True where it takes nothing new.
    #[serde(rename = "l")]
    pub is_leaving: bool,
    /// Revision of the store at which it was listed first.
    #[serde(rename = "t")]
    pub listed_at: StoreRevision,
    /// For how long it is cold, in milliseconds; none where the list does not say.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub warmup_ms: Option<u32>,
}

impl TargetRecord {
    /// The life that it lists.
    #[must_use]
    pub fn to_life(&self) -> TargetLife {
        TargetLife { incarnation: self.incarnation.clone(), born_ms: self.born_ms }
    }

    /// For how long it is cold, where the list says so.
    #[must_use]
    pub fn warmup_left(&self) -> Option<Duration> {
        self.warmup_ms.map(|left| Duration::from_millis(left.into()))
    }
}

/// Why a target failed a request, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// Nobody listens there.
    Unreachable,
    /// The connection broke.
    Broken,
    /// It did not answer in time.
    Silent,
    /// What it sent is not the answer.
    Garbled,
    /// It answered with an error of its own.
    Error,
    /// It refused for want of room.
    Full,
    /// Another life of the target has the address.
    Replaced,
}

/// What is known of one target.
#[expect(clippy::struct_excessive_bools, reason = "independent marks of a target")]
#[derive(Debug)]
pub struct TargetState {
    /// Its entry in the list.
    pub record: TargetRecord,
    /// Its passes, none for a plain service.
    pub model: Option<PassModel>,
    /// Whether this process uses it: of a large fleet it uses a part.
    pub is_used: bool,
    /// Entries that its agent told last, zero where it told nothing.
    pub subscribers: usize,
    /// Requests of this process that it has.
    pub in_flight: usize,
    /// When it last sent anything.
    pub heard_at: Tick,
    /// When the oldest request since then was sent.
    pub waiting_since: Option<Tick>,
    /// Since when nobody has listened there.
    unreachable_since: Option<Tick>,
    failures: u32,
    ejections: u32,
    ejected_until: Tick,
    /// What its answers have said of it.
    pub(super) said: KeptNotice,
    /// The rate that it takes from all entries together, where it is bounded.
    pub rate: Option<RateLimit>,
    /// What bounds it while it is cold.
    pub warmup_limit: Option<WarmupLimit>,
    /// Whether it is cold.
    pub(super) warmup: WarmupState,
    /// Whether its failure domain is out of service.
    pub(super) is_evacuated: bool,
    /// When there may be a permit to send there, where it has a rate.
    closed_until: Tick,
    /// When the agent that gives permits for it did not answer.
    pub unheard_at: Option<Tick>,
    /// When it is removed, where it is missing in the list.
    pub(super) gone_at: Option<Tick>,
    pub(super) is_superseded: bool,
    /// Whether the configuration names its service.
    pub(super) is_named: bool,
}

impl TargetState {
    pub(super) fn new(record: TargetRecord, now: Tick) -> Self {
        TargetState {
            record,
            model: None,
            is_used: true,
            subscribers: 0,
            in_flight: 0,
            heard_at: now,
            waiting_since: None,
            unreachable_since: None,
            failures: 0,
            ejections: 0,
            ejected_until: Tick::default(),
            said: KeptNotice::default(),
            rate: None,
            warmup_limit: None,
            warmup: WarmupState::default(),
            is_evacuated: false,
            closed_until: Tick::default(),
            unheard_at: None,
            gone_at: None,
            is_superseded: false,
            is_named: true,
        }
    }

    /// Takes the rates of its engine. `observer` is this entry's incarnation.
    pub fn set_rates(&mut self, rates: &Rc<EngineRates>, observer: u64) {
        match &mut self.model {
            Some(model) => model.set_rates(rates),
            None => self.model = Some(PassModel::new(rates.clone(), observer)),
        }
    }

    /// Returns true where requests may be sent there.
    #[must_use]
    pub fn is_usable(&self, now: Tick) -> bool {
        self.is_willing(now) && self.closed_for(now).is_zero()
    }

    /// Returns true where it wants requests, whether there is a permit for one or not.
    #[must_use]
    pub fn is_willing(&self, now: Tick) -> bool {
        let is_in_service = self.is_current() && !self.is_evacuated && !self.is_leaving();
        is_in_service && self.backoff(now).is_zero()
    }

    /// Returns true where its failure domain is out of service.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// The rate that it takes while it is cold, and for how long, none where it is warm.
    #[must_use]
    pub fn warmup(&self, now: Tick) -> Option<(RateLimit, Duration)> {
        let limit = self.warmup_limit?;
        let left = self.warmup.left(limit.span, now);
        (!left.is_zero()).then_some((limit.rate, left))
    }

    /// Time until there may be a permit to send there.
    #[must_use]
    pub fn closed_for(&self, now: Tick) -> Duration {
        self.rate.map_or(Duration::ZERO, |_| self.closed_until.since(now))
    }

    /// Notes that there is no permit until then. Of several answers the earliest time holds.
    pub fn close(&mut self, until: Tick, now: Tick) {
        let is_closed = self.closed_until > now;
        self.closed_until = if is_closed { self.closed_until.min(until) } else { until };
    }

    /// Returns true where it stands for its address and a service that is known.
    #[must_use]
    pub fn is_current(&self) -> bool {
        !self.is_superseded && self.is_named
    }

    /// Returns true where it takes nothing new, by the list or by its own word. What it said
    /// is kept apart from its record: others are told what the list says.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.said.is_leaving
    }

    /// Time for which it wants nothing.
    #[must_use]
    pub fn backoff(&self, now: Tick) -> Duration {
        self.said.backoff_until.since(now)
    }

    /// Takes what an answer of this life says of it. Returns true where it can be sent less
    /// than before.
    pub fn take_notice(&mut self, notice: &TargetNotice, now: Tick) -> bool {
        let was_willing = self.is_willing(now);
        self.said.take(notice, now);
        if let Some(left) = notice.warmup {
            self.warmup.note_left(left, now);
        }
        was_willing && !self.is_willing(now)
    }

    /// The life that has ended with it, none where it had said that it would leave.
    pub(super) fn to_ended(&self) -> Option<TargetLife> {
        (!self.is_leaving()).then(|| self.record.to_life())
    }

    /// Returns true while it is left alone after failures.
    #[must_use]
    pub fn is_ejected(&self, now: Tick) -> bool {
        now < self.ejected_until
    }

    /// Notes a request sent there.
    pub fn note_sent(&mut self, now: Tick) {
        self.in_flight += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Notes that a request is no longer there.
    pub fn note_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.waiting_since = None;
        }
    }

    /// Notes bytes of an answer.
    pub fn note_heard(&mut self, now: Tick) {
        self.heard_at = now;
        self.unreachable_since = None;
        self.waiting_since = (self.in_flight > 0).then_some(now);
    }

    /// How long it has sent nothing while it should have.
    #[must_use]
    pub fn silence(&self, now: Tick) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Notes a request that it served.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Tick::default();
    }

    /// Notes that nobody listens there. Returns true where that has lasted: one that has
    /// too many connections turns some away as well.
    pub fn note_unreachable(&mut self, now: Tick) -> bool {
        let since = *self.unreachable_since.get_or_insert(now);
        now.since(since) >= UNREACHABLE_SPAN
    }

    /// Notes that the agent beside it says it is down.
    pub fn note_down(&mut self, now: Tick) {
        let was_heard = self.in_flight > 0 && now.since(self.heard_at) < ALIVE_SPAN;
        if !was_heard {
            self.ejected_until = self.ejected_until.max(now + DOWN_SPAN);
        }
    }

    /// Notes a failure. Returns the time for which it is left alone, if any.
    pub fn note_failure(&mut self, fault: TargetFault, now: Tick) -> Option<Duration> {
        match fault {
            TargetFault::Full => return None,
            TargetFault::Replaced => {
                self.said.is_leaving = true;
                return None;
            }
            TargetFault::Unreachable | TargetFault::Broken | TargetFault::Silent => {
                self.failures += TOLERATED_FAILURES;
            }
            TargetFault::Garbled | TargetFault::Error => self.failures += 1,
        }
        if self.failures < TOLERATED_FAILURES || self.is_ejected(now) {
            return None;
        }
        let span = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + span;
        Some(span)
    }
}
