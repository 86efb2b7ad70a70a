//! This entry's part of the slack: the retries that all entries may make beyond the ratio.

use std::time::Duration;

use super::shared_retry_budget::RetryDeposit;
use crate::time::Tick;

/// Time from the first agent's answer to the first deposit: longer than the interval of
/// subscriptions, so that entries which make deposits have heard of one another.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Interval of deposits.
const DEPOSIT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time for which one deposit pays. An entry that was frozen does not make up for it.
pub const MAX_DEPOSIT_TIME: Duration = Duration::from_millis(1_500);

/// Part of its share that an entry deposits: what it knows of the number of entries may be a
/// little late.
const DEPOSITED_PART: f64 = 0.95;

/// Divides the slack evenly among the entries. The share accrues while the process runs, so a
/// restart adds nothing.
#[derive(Debug, Default)]
pub struct SlackShare {
    /// Largest number of entries known since the process settled.
    entries: usize,
    /// When this process has settled, `None` before the first agent answered.
    settled_at: Option<Tick>,
    /// Time up to which its share was deposited.
    deposited_at: Tick,
}

impl SlackShare {
    /// Records the number of entries in the fleet.
    pub fn record_entries(&mut self, entries: usize, now: Tick) {
        let settled_at = self.settled_at.unwrap_or_else(|| {
            self.deposited_at = now;
            now + SETTLE_TIME
        });
        self.settled_at = Some(settled_at);
        // Few agents have answered before, and an estimate from those may be far too large.
        self.entries = if now < settled_at { entries } else { self.entries.max(entries) };
    }

    /// Takes the deposit that is due: what has accrued since the last one. `None` if none is due,
    /// or before the process has settled.
    pub fn take_deposit(&mut self, entry: u64, now: Tick) -> Option<RetryDeposit> {
        let is_settled = self.settled_at.is_some_and(|at| now >= at);
        let accrued = now.since(self.deposited_at);
        if !is_settled || accrued < DEPOSIT_INTERVAL {
            return None;
        }
        self.deposited_at = now;
        let time = accrued.min(MAX_DEPOSIT_TIME).mul_f64(DEPOSITED_PART);
        let share = time / u32::try_from(self.entries).ok()?.max(1);
        Some(RetryDeposit { entry, sent_at: now, share_us: share.as_micros() as u32 })
    }
}
