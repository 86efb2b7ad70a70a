//! Retry budget and backoff.

use std::time::Duration;

use rand::Rng;

/// Maximum balance of the budget, in retries.
const MAX_BALANCE: f64 = 50.0;

/// Maximum backoff before another attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Limits retries to a fraction of the traffic, so that a fault that hits all requests does not
/// multiply the load.
#[derive(Debug)]
pub(super) struct RetryBudget {
    balance: f64,
    ratio: f64,
}

impl RetryBudget {
    pub(super) fn new(ratio: f64) -> Self {
        RetryBudget { balance: MAX_BALANCE / 5.0, ratio }
    }

    /// Adds a fraction of a retry for a request.
    pub(super) fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Returns `true` if one retry can be withdrawn.
    pub(super) fn has_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    pub(super) fn withdraw(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Exponential backoff after probe round number `round`, with full jitter.
pub(super) fn to_backoff(base: Duration, round: u16, rng: &mut impl Rng) -> Duration {
    let max = (base * 2u32.pow(u32::from(round.min(8)))).min(MAX_BACKOFF);
    max.mul_f64(rng.random::<f64>())
}
