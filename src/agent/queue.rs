//! Scheduling order at one target: ranks by urgency and fair shares of accounts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Urgency;
use crate::time::Tick;

/// Head start of an interactive request over a normal one, and of a normal
/// one over a batch one. A request that has waited for that much longer goes
/// first, so no request starves.
const URGENCY_HEAD_START: Duration = Duration::from_secs(2);

/// Maximum rank penalty of an account that received more than its fair share.
const MAX_LAG: Duration = Duration::from_secs(4);

/// Position in the scheduling order, in microseconds: the lowest goes first.
pub type Rank = i64;

/// Work charged to each account, for weighted fair sharing.
#[derive(Debug, Default)]
pub struct FairShare {
    served: HashMap<Arc<str>, u64>,
    /// Work, in microseconds divided by the account's weight, from which lags are counted.
    floor: u64,
}

impl FairShare {
    /// Charges an account for work that was started.
    pub fn charge(&mut self, account: &Arc<str>, weight: u32, work: Duration) {
        let start = self.served.get(account).copied().unwrap_or(0).max(self.floor);
        let cost = work.as_micros() as u64 / u64::from(weight.max(1));
        self.served.insert(account.clone(), start + cost);
    }

    /// Raises the floor to the least work charged to any account that waits now,
    /// so that an idle account accumulates no credit.
    pub fn raise_floor<'a>(&mut self, waiting: impl Iterator<Item = &'a Arc<str>>) {
        let least = waiting.map(|account| self.served.get(account).copied().unwrap_or(0)).min();
        let Some(least) = least else { return };
        self.floor = self.floor.max(least);
        let floor = self.floor;
        self.served.retain(|_, served| *served > floor);
    }

    /// Returns how much more work than the floor an account has received.
    #[must_use]
    pub fn lag(&self, account: &str) -> Duration {
        let served = self.served.get(account).copied().unwrap_or(0);
        Duration::from_micros(served.saturating_sub(self.floor)).min(MAX_LAG)
    }
}

/// Ranks work that has waited since `since`; `penalty` is added to the
/// penalty for its urgency.
#[must_use]
pub fn to_rank(urgency: Urgency, penalty: Duration, since: Tick, now: Tick) -> Rank {
    let steps = match urgency {
        Urgency::Interactive => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    };
    let penalty = URGENCY_HEAD_START * steps + penalty;
    penalty.as_micros() as i64 - now.since(since).as_micros() as i64
}
