//! Limits the requests sent to a target that is still warming up.
//!
//! This guards against an overload on recovery: the targets of a failure domain return together
//! and cold while callers keep sending. All of them are idle, so all entries select them at once,
//! and a target crashes at a rate that it can handle when warm. So all entries together send a
//! cold target a limited rate, by permits of its agent; the rest goes to warm targets or is
//! refused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::permit_issuer::{COMBINED_FACTOR, EXTRA_PERMITS};
use super::rate_limit::RateLimit;
use crate::time::Tick;

/// Window in which requests count together against the bound.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// What a service declares about its targets while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupRule {
    /// Time after its start for which a target is cold.
    #[serde(rename = "span")]
    pub duration: Duration,
    /// Requests per second that it can handle meanwhile.
    pub per_second: f64,
}

/// Tolerance above the warm-up rate that a service declares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBound {
    /// Factor on the declared rate.
    pub overrun: f64,
    /// Requests in each second beyond that.
    pub slack: f64,
}

impl Default for WarmupBound {
    fn default() -> Self {
        WarmupBound { overrun: 1.0, slack: 0.0 }
    }
}

impl WarmupBound {
    /// Returns the rate of permits at which no second has more requests than the bound allows.
    ///
    /// Each request of a second uses a permit that is due within that second or `permit_ttl`,
    /// the validity of a permit, before it.
    #[must_use]
    pub fn to_rate(self, rule: WarmupRule, permit_ttl: Duration) -> RateLimit {
        let max = rule.per_second * self.overrun + self.slack;
        let window = (COUNT_WINDOW + permit_ttl).as_secs_f64() * COMBINED_FACTOR;
        let rate = (max - EXTRA_PERMITS).max(0.0) / window;
        RateLimit::from_per_second(rate).unwrap_or_default()
    }
}

/// The limit of a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// How long the target is cold if it states nothing else.
    pub duration: Duration,
    /// Requests per second from all entries together.
    pub rate: RateLimit,
}

/// Whether a target is cold, by the latest statement of its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmupState {
    /// When the target is warm by its own statement.
    warm_at: Tick,
    /// When the target appeared or returned to service, if it has stated nothing since.
    unknown_since: Option<Tick>,
}

impl WarmupState {
    /// Records the time for which the target states that it is cold, zero if it is warm.
    pub fn record_left(&mut self, left: Duration, now: Tick) {
        self.warm_at = now + left;
        self.unknown_since = None;
    }

    /// Records that the target may have started, or turned cold, unobserved.
    pub fn mark_unknown(&mut self, now: Tick) {
        self.unknown_since = Some(now);
    }

    /// Returns the time until the target is warm. A target that has stated nothing is taken to
    /// be cold for `duration`.
    #[must_use]
    pub fn time_left(&self, duration: Duration, now: Tick) -> Duration {
        let unknown_until = self.unknown_since.map_or(Tick::default(), |since| since + duration);
        self.warm_at.max(unknown_until).since(now)
    }
}
