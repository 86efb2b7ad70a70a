//! Permits to send to a target whose rate is limited over all entries together.
//!
//! An entry knows neither what the others send nor how many there are. So one agent issues all
//! permits for a target: the agent beside it or, for a target without one, an agent that all
//! entries select in the same way. An entry without a permit sends nothing, whether it was idle,
//! has just started or is disconnected, so the sum holds for any number of entries.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate_limit::RateLimit;
use super::rate_table::{AnnouncedRates, RateTable, RateUpdate};
use super::target_state::TargetInstance;
use crate::time::Tick;

/// Maximum number of targets for which one agent issues permits.
const MAX_SCHEDULES: usize = 1_024;

/// Factor by which the second agent issues permits more slowly than the first. An entry may use
/// either, and together they stay within one and a half times the rate.
const SECOND_DIVISOR: u32 = 2;

/// Rate of both agents together, as a multiple of the target's rate.
pub(super) const COMBINED_FACTOR: f64 = 1.0 + 1.0 / SECOND_DIVISOR as f64;

/// Permits that both agents may issue in any window beyond that: each agent one unused permit
/// that it carried over, and one at the edge of the window.
pub(super) const EXTRA_PERMITS: f64 = 4.0;

/// An entry's request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the entry knows about the target's rate, as the agent may have restarted since.
    #[serde(rename = "r")]
    pub rate: RateUpdate,
    /// The limit of the target while it is cold.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupUpdate>,
    /// Maximum time that the request would wait for its permit, in milliseconds.
    #[serde(rename = "w")]
    pub max_wait_ms: u32,
    /// Whether this agent is the second, asked because the first did not answer.
    #[serde(rename = "s")]
    pub is_second: bool,
}

/// What an entry knows about a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupUpdate {
    /// Requests per second that the target accepts from all entries together.
    #[serde(rename = "r")]
    pub rate: RateLimit,
    /// Time left until it is warm, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u32,
}

/// The agent's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// One request may be sent after the given time.
    #[serde(rename = "g")]
    Granted {
        /// Milliseconds from now.
        after_ms: u32,
    },
    /// No permit is available within the maximum wait.
    #[serde(rename = "r")]
    Refused {
        /// Milliseconds until one may be available.
        wait_ms: u32,
    },
    /// The target is not rate-limited, so no permit is needed.
    #[serde(rename = "o")]
    Open,
}

/// Maximum retry delay of a refused entry: other entries may have no more requests by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// When the permits of one target are due.
#[derive(Debug)]
struct PermitSchedule {
    /// When the next permit is due.
    next_at: Tick,
    /// When the next entry that is refused may ask again; each is given a different time.
    retry_at: Tick,
    /// Time between two permits.
    interval: Duration,
}

impl PermitSchedule {
    /// Creates a schedule that has issued nothing. The permits that a former process of this
    /// agent issued are not known, so the first one is due after a whole interval.
    fn new(interval: Duration, now: Tick) -> Self {
        PermitSchedule { next_at: now + interval, retry_at: Tick::default(), interval }
    }

    fn set_interval(&mut self, interval: Duration, now: Tick) {
        if interval != self.interval {
            self.interval = interval;
            self.next_at = self.next_at.min(now + interval);
            self.retry_at = self.next_at;
        }
    }

    fn request(&mut self, max_wait: Duration, now: Tick) -> PermitReply {
        // At most one unused permit is carried over.
        self.next_at = self.next_at.max(now - self.interval);
        let wait = self.next_at.since(now);
        if wait > max_wait {
            let retry_at = self.retry_at.max(self.next_at).min(now + MAX_RETRY_DELAY);
            self.retry_at = retry_at + self.interval;
            return PermitReply::Refused { wait_ms: to_millis(retry_at.since(now)) };
        }
        self.next_at = self.next_at + self.interval;
        PermitReply::Granted { after_ms: to_millis(wait) }
    }
}

/// Converts to milliseconds, rounded up so that no request is sent too early.
fn to_millis(span: Duration) -> u32 {
    span.as_micros().div_ceil(1_000).try_into().unwrap_or(u32::MAX)
}

/// Issues the permits of an agent, by the rate limits that it knows.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    rates: RateTable,
    /// Schedules by target instance, and whether this is its second agent.
    schedules: HashMap<(TargetInstance, bool), PermitSchedule>,
    /// Targets that an entry has reported as cold.
    cold: HashMap<TargetInstance, ColdTarget>,
}

#[derive(Debug)]
struct ColdTarget {
    rate: RateLimit,
    until: Tick,
}

impl PermitIssuer {
    /// Answers the request of an entry.
    pub fn on_request(&mut self, request: &PermitRequest, now: Tick) -> PermitReply {
        self.rates.apply_update(&request.rate, now);
        let instance = &request.rate.instance;
        if let Some(warmup) = request.warmup {
            self.record_cold(instance, warmup, now);
        }
        let Some(rate) = self.rate_of(instance, now) else { return PermitReply::Open };
        let max_wait = Duration::from_millis(request.max_wait_ms.into());
        self.schedule(instance, request.is_second, rate, now).request(max_wait, now)
    }

    /// Counts a request that an entry had to send without a permit against the schedule.
    pub fn record_unpermitted(&mut self, instance: &TargetInstance, now: Tick) {
        if let Some(rate) = self.rate_of(instance, now) {
            let schedule = self.schedule(instance, false, rate, now);
            schedule.next_at = schedule.next_at.max(now - schedule.interval) + schedule.interval;
        }
    }

    /// Returns `true` if any instance of the named target is rate-limited.
    #[must_use]
    pub fn is_rate_limited(&self, name: &str) -> bool {
        self.rates.is_rate_limited(name)
    }

    /// Applies the rate limits that an entry knows.
    pub fn apply_updates(&mut self, updates: &[RateUpdate], now: Tick) {
        for update in updates {
            self.rates.apply_update(update, now);
        }
    }

    /// Returns the updates for the next message to an entry, and records them in `announced`.
    pub fn to_updates(&mut self, announced: &mut AnnouncedRates, now: Tick) -> Vec<RateUpdate> {
        self.rates.to_updates(announced, now)
    }

    /// Removes outdated rates, cold targets and schedules.
    pub fn expire(&mut self, now: Tick) {
        // Entries keep limits for longer than agents announce them.
        const JITTER: f64 = 0.0;
        self.rates.expire(JITTER, now);
        self.cold.retain(|_, cold| now < cold.until);
        let (rates, cold) = (&self.rates, &self.cold);
        self.schedules.retain(|(at, _), _| rates.rate_of(at).is_some() || cold.contains_key(at));
    }

    /// Returns the limit of a target: the one that it states or, while it is cold, its warm-up
    /// rate, whichever is lower.
    fn rate_of(&self, instance: &TargetInstance, now: Tick) -> Option<RateLimit> {
        let cold = self.cold.get(instance).filter(|cold| now < cold.until);
        RateLimit::lower(self.rates.rate_of(instance), cold.map(|cold| cold.rate))
    }

    /// Records a cold target. Its limit also binds entries that do not know that it is cold.
    fn record_cold(&mut self, instance: &TargetInstance, warmup: WarmupUpdate, now: Tick) {
        if self.cold.len() >= MAX_SCHEDULES && !self.cold.contains_key(instance) {
            self.cold.retain(|_, cold| now < cold.until);
        }
        let until = now + Duration::from_millis(warmup.left_ms.into());
        let cold =
            self.cold.entry(instance.clone()).or_insert(ColdTarget { rate: warmup.rate, until });
        *cold = ColdTarget { rate: warmup.rate, until: cold.until.max(until) };
    }

    fn schedule(
        &mut self,
        instance: &TargetInstance,
        is_second: bool,
        rate: RateLimit,
        now: Tick,
    ) -> &mut PermitSchedule {
        let interval = rate.to_interval() * if is_second { SECOND_DIVISOR } else { 1 };
        let key = (instance.clone(), is_second);
        if self.schedules.len() >= MAX_SCHEDULES && !self.schedules.contains_key(&key) {
            let idle = self.schedules.iter().min_by_key(|(_, schedule)| schedule.next_at);
            if let Some(idle) = idle.map(|(key, _)| key.clone()) {
                self.schedules.remove(&idle);
            }
        }
        let schedule =
            self.schedules.entry(key).or_insert_with(|| PermitSchedule::new(interval, now));
        schedule.set_interval(interval, now);
        schedule
    }
}
