//! How often and when requests are tried again.

use std::time::Duration;

use rand::Rng;

/// Retries that can be saved up.
const MAX_CREDIT: f64 = 50.0;

/// Longest wait before another attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Share of the traffic that may be repeated after failures, so that a fault
/// that hits everything does not multiply the load.
#[derive(Debug)]
pub(super) struct RetryBudget {
    credit: f64,
    share: f64,
}

impl RetryBudget {
    pub(super) fn new(share: f64) -> Self {
        RetryBudget { credit: MAX_CREDIT / 5.0, share }
    }

    /// Notes a request, which earns its share of a retry.
    pub(super) fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
    }

    /// Spends a retry, false where none is left.
    pub(super) fn spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Wait before wave number `wave`, with full jitter.
pub(super) fn to_backoff(base: Duration, wave: u16, rng: &mut impl Rng) -> Duration {
    let most = (base * 2u32.pow(u32::from(wave.min(8)))).min(MAX_BACKOFF);
    most.mul_f64(rng.random::<f64>())
}
