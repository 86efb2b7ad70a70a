//! One target: its listed record and its observed state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::engine_rates::EngineRates;
use super::host_contact::HostContact;
use super::pass_model::PassModel;
use super::rate_limit::RateLimit;
use super::target_notice::{NoticeState, TargetNotice};
use super::warmup::{WarmupLimit, WarmupState};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// Duration of the first ejection of a target.
const FIRST_EJECTION: Duration = Duration::from_millis(400);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Duration of an ejection after the agent of a target reports it as down. The agent repeats
/// the report while the target is down, and up to two reports in a row may be lost.
const DOWN_DURATION: Duration = Duration::from_secs(1);

/// Time after the last bytes of a target in which it counts as alive whatever its agent
/// reports. An agent on a slow host may miss reports of its target.
const ALIVE_WINDOW: Duration = Duration::from_millis(400);

/// Time for which connections to a target must be refused before it counts as crashed.
const CRASH_DELAY: Duration = Duration::from_millis(50);

/// Number of consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 2;

/// One instance of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetInstance {
    /// Name under which the target is listed. A target may keep it when it restarts.
    #[serde(rename = "i")]
    pub incarnation: Arc<str>,
    /// Start time in Unix milliseconds; zero if the platform does not provide it.
    #[serde(rename = "b")]
    pub started_ms: u64,
}

impl TargetInstance {
    /// A hash of the instance that is the same in all processes.
    #[must_use]
    pub fn seed(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(self.incarnation.as_bytes(), self.started_ms)
    }
}

/// A target as listed by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name of the target. Another instance has another name or a later start.
    #[serde(rename = "i")]
    pub incarnation: Arc<str>,
    /// Start time of this instance in Unix milliseconds; zero if the platform does not provide
    /// it.
    #[serde(rename = "b", default)]
    pub started_ms: u64,
    /// Service of the target.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Address that it listens on.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Failure domain of the target.
    #[serde(rename = "d")]
    pub failure_domain: Arc<str>,
    /// Requests that it runs at the same time.
    #[serde(rename = "c")]
    pub capacity: usize,
    /// Whether it accepts no new requests.
    #[serde(rename = "l")]
    pub is_leaving: bool,
    /// Revision of the store at which it was first listed.
    #[serde(rename = "t")]
    pub listed_at: StoreRevision,
    /// Remaining warm-up time in milliseconds; `None` if the list does not provide it.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub warmup_ms: Option<u32>,
}

impl TargetRecord {
    /// The listed instance.
    #[must_use]
    pub fn to_instance(&self) -> TargetInstance {
        TargetInstance { incarnation: self.incarnation.clone(), started_ms: self.started_ms }
    }

    /// Remaining warm-up time, if the list provides it.
    #[must_use]
    pub fn warmup_left(&self) -> Option<Duration> {
        self.warmup_ms.map(|remaining| Duration::from_millis(remaining.into()))
    }
}

/// How a target failed a request, as far as it concerns the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// The target refused the connection.
    Unreachable,
    /// The connection broke.
    Broken,
    /// A kept connection ended before anything of the answer arrived. The target may have closed it
    /// while it was idle, or after it had read the request.
    Closed,
    /// The target did not answer in time.
    TimedOut,
    /// The answer is malformed.
    Malformed,
    /// The target answered with an error.
    Error,
    /// The target refused the request because it is full.
    Full,
    /// Another instance of the target uses the address.
    Replaced,
}

/// State of one target.
#[expect(clippy::struct_excessive_bools, reason = "independent flags of a target")]
#[derive(Debug)]
pub struct TargetState {
    /// The record in the target list.
    pub record: TargetRecord,
    /// Model of its passes; `None` for a plain service.
    pub model: Option<PassModel>,
    /// Whether this process uses the target. It uses a subset of a large fleet.
    pub is_used: bool,
    /// Number of subscribed entries that its agent last reported; zero if it reported none.
    pub subscribers: usize,
    /// When its agent last acknowledged a subscription.
    pub acknowledged_at: Option<Tick>,
    /// Contact with that agent.
    pub contact: HostContact,
    /// Number of requests of this process on the target.
    pub in_flight: usize,
    /// When the target last sent anything.
    pub received_at: Tick,
    /// When the oldest request since then was sent.
    pub waiting_since: Option<Tick>,
    /// Start of the uninterrupted period in which the target refuses connections.
    unreachable_since: Option<Tick>,
    failures: u32,
    ejections: u32,
    ejected_until: Tick,
    /// State that its answers announced.
    pub(super) announced: NoticeState,
    /// Rate that the target accepts from all entries together, if it is rate-limited.
    pub rate: Option<RateLimit>,
    /// Rate limit during its warm-up.
    pub warmup_limit: Option<WarmupLimit>,
    /// Progress of its warm-up.
    pub(super) warmup: WarmupState,
    /// Whether its failure domain is out of service.
    pub(super) is_evacuated: bool,
    /// Earliest time of a permit, if the target is rate-limited.
    closed_until: Tick,
    /// When the agent that issues its permits did not answer.
    pub permit_unanswered_at: Option<Tick>,
    /// When the target is removed, if it is missing from the list.
    pub(super) remove_at: Option<Tick>,
    pub(super) is_superseded: bool,
    /// Whether the configuration names its service.
    pub(super) is_configured: bool,
}

impl TargetState {
    pub(super) fn new(record: TargetRecord, now: Tick) -> Self {
        TargetState {
            record,
            model: None,
            is_used: true,
            subscribers: 0,
            acknowledged_at: None,
            contact: HostContact::default(),
            in_flight: 0,
            received_at: now,
            waiting_since: None,
            unreachable_since: None,
            failures: 0,
            ejections: 0,
            ejected_until: Tick::default(),
            announced: NoticeState::default(),
            rate: None,
            warmup_limit: None,
            warmup: WarmupState::default(),
            is_evacuated: false,
            closed_until: Tick::default(),
            permit_unanswered_at: None,
            remove_at: None,
            is_superseded: false,
            is_configured: true,
        }
    }

    /// Sets the rates of its engine. `observer` is this entry's incarnation.
    pub fn set_rates(&mut self, rates: &Rc<EngineRates>, observer: u64) {
        match &mut self.model {
            Some(model) => model.set_rates(rates),
            None => self.model = Some(PassModel::new(rates.clone(), observer)),
        }
    }

    /// Returns `true` if requests may be sent to the target now.
    #[must_use]
    pub fn is_usable(&self, now: Tick) -> bool {
        self.is_accepting(now) && self.closed_for(now).is_zero()
    }

    /// Returns `true` if the target accepts requests, whether a permit is available or not.
    #[must_use]
    pub fn is_accepting(&self, now: Tick) -> bool {
        let is_in_service = self.is_current() && !self.is_evacuated && !self.is_leaving();
        is_in_service && self.backoff(now).is_zero()
    }

    /// Returns `true` if its failure domain is out of service.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Rate limit of its warm-up and the remaining time; `None` if the target is warm.
    #[must_use]
    pub fn warmup(&self, now: Tick) -> Option<(RateLimit, Duration)> {
        let limit = self.warmup_limit?;
        let remaining = self.warmup.time_left(limit.duration, now);
        (!remaining.is_zero()).then_some((limit.rate, remaining))
    }

    /// Time until a permit may be available.
    #[must_use]
    pub fn closed_for(&self, now: Tick) -> Duration {
        self.rate.map_or(Duration::ZERO, |_| self.closed_until.since(now))
    }

    /// Records that no permit is available before `until`. The earliest of several answers
    /// applies.
    pub fn close_until(&mut self, until: Tick, now: Tick) {
        let is_closed = self.closed_until > now;
        self.closed_until = if is_closed { self.closed_until.min(until) } else { until };
    }

    /// Returns `true` if the target is the current one of its address and the configuration names
    /// its service.
    #[must_use]
    pub fn is_current(&self) -> bool {
        !self.is_superseded && self.is_configured
    }

    /// Returns `true` if the target accepts no new requests, by the list or by its own
    /// announcement. The announcement is kept apart from the record, since only the record is
    /// passed on to other entries.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.announced.is_leaving
    }

    /// Time for which the target asks for back-off.
    #[must_use]
    pub fn backoff(&self, now: Tick) -> Duration {
        self.announced.backoff_until.since(now)
    }

    /// Applies what an answer of this instance announces. Returns `true` if the target stops
    /// accepting requests by it.
    pub fn apply_notice(&mut self, notice: &TargetNotice, now: Tick) -> bool {
        let was_accepting = self.is_accepting(now);
        self.announced.merge(notice, now);
        if let Some(remaining) = notice.warmup {
            self.warmup.record_left(remaining, now);
        }
        was_accepting && !self.is_accepting(now)
    }

    /// The instance that crashed if the target vanishes now; `None` if it has announced that it
    /// leaves.
    pub(super) fn to_crashed(&self) -> Option<TargetInstance> {
        (!self.is_leaving()).then(|| self.record.to_instance())
    }

    /// Returns `true` while the target is ejected after failures.
    #[must_use]
    pub fn is_ejected(&self, now: Tick) -> bool {
        now < self.ejected_until
    }

    /// Records a request that is sent to the target.
    pub fn record_sent(&mut self, now: Tick) {
        self.in_flight += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Records that a request is no longer on the target.
    pub fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.waiting_since = None;
        }
    }

    /// Records received bytes of an answer.
    pub fn record_received(&mut self, now: Tick) {
        self.received_at = now;
        self.contact.record_sign_of_life();
        self.unreachable_since = None;
        self.waiting_since = (self.in_flight > 0).then_some(now);
    }

    /// Time for which the target has sent nothing although requests are pending.
    #[must_use]
    pub fn silence(&self, now: Tick) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Records a request that the target served.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Tick::default();
    }

    /// Records a refused connection. Returns `true` if refusals have lasted: a target with too
    /// many connections refuses some as well.
    pub fn record_unreachable(&mut self, now: Tick) -> bool {
        let since = *self.unreachable_since.get_or_insert(now);
        now.since(since) >= CRASH_DELAY
    }

    /// Records that its agent reports the target as down.
    pub fn record_down(&mut self, now: Tick) {
        let is_alive = self.in_flight > 0 && now.since(self.received_at) < ALIVE_WINDOW;
        if !is_alive {
            self.ejected_until = self.ejected_until.max(now + DOWN_DURATION);
        }
    }

    /// Records a failure. Returns the duration of the ejection that follows, if any.
    pub fn record_failure(&mut self, fault: TargetFault, now: Tick) -> Option<Duration> {
        match fault {
            TargetFault::Full => return None,
            TargetFault::Replaced => {
                self.announced.is_leaving = true;
                return None;
            }
            TargetFault::Unreachable | TargetFault::Broken | TargetFault::TimedOut => {
                self.failures += EJECTION_FAILURES;
            }
            TargetFault::Closed | TargetFault::Malformed | TargetFault::Error => {
                self.failures += 1;
            }
        }
        if self.failures < EJECTION_FAILURES || self.is_ejected(now) {
            return None;
        }
        let duration = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + duration;
        Some(duration)
    }
}
