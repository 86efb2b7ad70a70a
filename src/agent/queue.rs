//! The order of work at one target.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Urgency;
use crate::time::Tick;

/// Head start of an interactive request over a normal one, and of a normal
/// one over a batch one. Whoever has waited that much longer goes first, so
/// nothing waits for ever.
const URGENCY_STEP: Duration = Duration::from_secs(2);

/// How far an account that had more than its share can fall back.
const MAX_LAG: Duration = Duration::from_secs(4);

/// Place in the order of work: the lowest goes first. In microseconds.
pub type Rank = i64;

/// Work done for each account, for fair shares.
#[derive(Debug, Default)]
pub struct FairShare {
    served: HashMap<Arc<str>, u64>,
    floor: u64,
}

impl FairShare {
    /// Notes work that was begun for an account.
    pub fn charge(&mut self, account: &Arc<str>, weight: u32, work: Duration) {
        let start = self.served.get(account).copied().unwrap_or(0).max(self.floor);
        let cost = work.as_micros() as u64 / u64::from(weight.max(1));
        self.served.insert(account.clone(), start + cost);
    }

    /// Raises the floor to the least served of the accounts that wait now, so
    /// that a silent account saves up no claim.
    pub fn settle<'a>(&mut self, waiting: impl Iterator<Item = &'a Arc<str>>) {
        let least = waiting.map(|account| self.served.get(account).copied().unwrap_or(0)).min();
        let Some(least) = least else { return };
        self.floor = self.floor.max(least);
        let floor = self.floor;
        self.served.retain(|_, served| *served > floor);
    }

    /// How much more than the least served waiting account this one had.
    #[must_use]
    pub fn lag(&self, account: &str) -> Duration {
        let served = self.served.get(account).copied().unwrap_or(0);
        Duration::from_micros(served.saturating_sub(self.floor)).min(MAX_LAG)
    }
}

/// Ranks work that has waited since `since`, and goes behind by `penalty`
/// beside what its urgency costs it.
#[must_use]
pub fn to_rank(urgency: Urgency, penalty: Duration, since: Tick, now: Tick) -> Rank {
    let steps = match urgency {
        Urgency::Interactive => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    };
    let penalty = URGENCY_STEP * steps + penalty;
    penalty.as_micros() as i64 - now.since(since).as_micros() as i64
}
