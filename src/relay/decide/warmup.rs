//! How much a target is sent that has just come into use.
//!
//! The load that it answers: the targets of a failure domain come back together, cold,
//! while callers press. Each is free, so that all entries turn to it at once, and it ends
//! at a rate that a warm one bears. So a cold target takes a bounded rate from all entries
//! together, by permits of its agent; the rest goes to warm ones or is refused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::permit_desk::{LEAST_SPARE, SUM_PART};
use super::rate_limit::RateLimit;
use crate::time::Tick;

/// Time within which requests count together against the bound.
const COUNT_SPAN: Duration = Duration::from_secs(1);

/// What a service declares of its targets while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupRule {
    /// How long a target is cold after its start.
    pub span: Duration,
    /// Requests a second that it can take meanwhile.
    pub per_second: f64,
}

/// What a cold target may get beyond what its service declares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBound {
    /// Factor to the declared rate.
    pub overrun: f64,
    /// Requests in each second beside that.
    pub slack: f64,
}

impl Default for WarmupBound {
    fn default() -> Self {
        WarmupBound { overrun: 1.0, slack: 0.0 }
    }
}

impl WarmupBound {
    /// The rate of permits with which no second has more requests than the bound allows:
    /// requests of a second have turns within that second and `turn_span`, the time in which
    /// a turn is used.
    #[must_use]
    pub fn to_rate(self, rule: WarmupRule, turn_span: Duration) -> RateLimit {
        let most = rule.per_second * self.overrun + self.slack;
        let span = (COUNT_SPAN + turn_span).as_secs_f64() * SUM_PART;
        let rate = (most - LEAST_SPARE).max(0.0) / span;
        RateLimit::from_per_second(rate).unwrap_or_default()
    }
}

/// What a target takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// How long it is cold where nothing else is known.
    pub span: Duration,
    /// Requests a second from all entries together.
    pub rate: RateLimit,
}

/// Whether a target is cold, by the newest word of its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmupState {
    /// When it is warm by its own word.
    warm_at: Tick,
    /// When it came into sight, or into use again, without a word since.
    unsure_since: Option<Tick>,
}

impl WarmupState {
    /// Notes its word that it is cold for so long, zero where it is warm.
    pub fn note_left(&mut self, left: Duration, now: Tick) {
        self.warm_at = now + left;
        self.unsure_since = None;
    }

    /// Notes that it may have started, or turned cold, unseen.
    pub fn note_unsure(&mut self, now: Tick) {
        self.unsure_since = Some(now);
    }

    /// Time until it is warm. It takes `span` where it has said nothing.
    #[must_use]
    pub fn left(&self, span: Duration, now: Tick) -> Duration {
        let unsure_until = self.unsure_since.map_or(Tick::default(), |since| since + span);
        self.warm_at.max(unsure_until).since(now)
    }
}
