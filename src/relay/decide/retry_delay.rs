//! Computes the delay after which refused callers may retry.

use std::time::Duration;

use rand::Rng;

use super::placement::{Placement, PromptNeed};
use super::service_scope::ServiceScope;
use super::targets::TargetSet;
use crate::time::Tick;

/// Minimum delay after a refusal for overload, in multiples of the time for the first event.
/// Short answers take about two seconds, after which many slots are free again; bursts of long
/// prompts last longer.
const OVERLOAD_DELAY_FACTOR: std::ops::Range<f64> = 2.7..8.0;

/// Maximum delay as a fraction of the caller's remaining time. Callers wait no longer than a
/// third of it.
const TIME_LEFT_FRACTION: f64 = 0.33;

/// Random factor on that maximum, so that callers that are refused together do not retry
/// together.
const RETRY_JITTER: std::ops::Range<f64> = 0.6..1.0;

/// Minimum delay until a target accepts requests again. Callers that were refused just before it
/// does would otherwise return at once.
const MIN_REOPENING_DELAY: Duration = Duration::from_millis(50);

/// Delay if all targets of a service are leaving. Their replacements are listed within about a
/// second of their start.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

/// Delay if all targets are in failure domains that are out of service. The time of their
/// return is unknown, and entries learn of it within about this delay.
const EVACUATION_DELAY: Duration = Duration::from_secs(2);

/// Random factor on the time until a target accepts requests again. Callers that were refused
/// together would otherwise fill it at once.
const REOPENING_JITTER: std::ops::Range<f64> = 1.0..1.1;

/// Time until a target of a service accepts requests again; `None` if one does now, or if none
/// is listed.
#[must_use]
pub fn until_usable<'a>(
    set: &TargetSet,
    service: impl Into<ServiceScope<'a>>,
    now: Tick,
) -> Option<Duration> {
    let scope = service.into();
    // For a request that is restricted to failure domains, targets elsewhere do not count.
    let mut shortest = scope.domains.map(|_| REPLACEMENT_DELAY);
    for target in scope.targets(set).filter(|target| target.is_current()) {
        if target.is_usable(now) {
            return None;
        }
        let wait = if target.is_evacuated() {
            EVACUATION_DELAY
        } else if target.is_leaving() {
            REPLACEMENT_DELAY
        } else {
            target.backoff(now).max(target.closed_for(now))
        };
        shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
    }
    shortest
}

/// Time until a rate-limited target that accepts requests may have a permit; zero if it may
/// have one now, `None` if there is no such target.
#[must_use]
pub fn until_permit<'a>(
    set: &TargetSet,
    service: impl Into<ServiceScope<'a>>,
    now: Tick,
) -> Option<Duration> {
    let scope = service.into();
    // Targets without a rate limit need no permit; they were tried already.
    let rate_limited = scope.targets(set).filter(|target| target.rate.is_some());
    let accepting = rate_limited.filter(|target| target.is_accepting(now));
    accepting.map(|target| target.closed_for(now)).min()
}

/// Delay for a caller that is refused until a target accepts requests again in `wait`.
#[must_use]
pub fn after_reopening(wait: Duration, random: &mut impl Rng) -> Duration {
    wait.max(MIN_REOPENING_DELAY).mul_f64(random.random_range(REOPENING_JITTER))
}

/// Delay for a prompt that the engines are too busy for. It is at least the predicted time to
/// the first event, in which the engines prefill their queues, but no more than the caller
/// waits.
#[must_use]
pub fn after_overload(placement: &Placement, need: &PromptNeed, random: &mut impl Rng) -> Duration {
    let min_delay = need.first_event_limit.mul_f64(random.random_range(OVERLOAD_DELAY_FACTOR));
    let max_delay = need.time_left.mul_f64(TIME_LEFT_FRACTION * random.random_range(RETRY_JITTER));
    min_delay.max(placement.first_event).min(max_delay)
}
