//! When callers that are refused are told to come back.

use std::time::Duration;

use rand::Rng;

use super::placement::{Placement, PromptNeed};
use super::service_scope::ServiceScope;
use super::targets::TargetSet;
use crate::time::Tick;

/// Least time to come back after a refusal for overload, in times to the first
/// event: short answers take some two seconds, so a good part of the places is
/// free again; long prompts come in bursts that last longer.
const BUSY_OBJECTIVES: std::ops::Range<f64> = 2.7..8.0;

/// Part of the time that a caller has left within which it comes back: callers
/// wait no longer than a third.
const LEFT_PART: f64 = 0.33;

/// How much less than that it may be, at random, so that those who are refused
/// together do not come back together.
const SPREAD: std::ops::Range<f64> = 0.6..1.0;

/// Time to come back where all targets of a service are leaving: those that take their place
/// list themselves within about a second of their start.
const REPLACED_AFTER: Duration = Duration::from_secs(1);

/// Time to come back where all targets are in failure domains that are out of service: nobody
/// knows when these are back, and entries hear of it within about that time.
const RETURNED_AFTER: Duration = Duration::from_secs(2);

/// How much later than the moment at which a target takes requests again, at random: callers
/// that were refused together would fill it at once.
const REOPENED_SPREAD: std::ops::Range<f64> = 1.0..1.1;

/// Time until a target of a service takes requests again, none where one does now, or where
/// none is listed.
#[must_use]
pub fn until_usable<'a>(
    set: &TargetSet,
    service: impl Into<ServiceScope<'a>>,
    now: Tick,
) -> Option<Duration> {
    let scope = service.into();
    // Where a request may run in some domains only, others take none of it.
    let mut shortest = scope.domains.map(|_| REPLACED_AFTER);
    for target in scope.targets(set).filter(|target| target.is_current()) {
        if target.is_usable(now) {
            return None;
        }
        let wait = if target.is_evacuated() {
            RETURNED_AFTER
        } else if target.is_leaving() {
            REPLACED_AFTER
        } else {
            target.backoff(now).max(target.closed_for(now))
        };
        shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
    }
    shortest
}

/// Time until there may be a turn at a target that takes few requests and would take one now,
/// zero where there may be one at once, none where there is no such target.
#[must_use]
pub fn until_turn<'a>(
    set: &TargetSet,
    service: impl Into<ServiceScope<'a>>,
    now: Tick,
) -> Option<Duration> {
    let scope = service.into();
    // Those that take any number are placed at without a turn, or were tried already.
    let scarce = scope.targets(set).filter(|target| target.rate.is_some());
    let willing = scarce.filter(|target| target.is_willing(now));
    willing.map(|target| target.closed_for(now)).min()
}

/// Time to come back for a caller that is refused until then.
#[must_use]
pub fn after_reopening(wait: Duration, random: &mut impl Rng) -> Duration {
    wait.mul_f64(random.random_range(REOPENED_SPREAD))
}

/// Time to come back for a prompt that engines are too busy for: not before they
/// should have read what is in line now.
#[must_use]
pub fn after_overload(placement: &Placement, need: &PromptNeed, random: &mut impl Rng) -> Duration {
    let wanted = need.first_limit.mul_f64(random.random_range(BUSY_OBJECTIVES));
    let most = need.time_left.mul_f64(LEFT_PART * random.random_range(SPREAD));
    wanted.max(placement.first).min(most)
}
