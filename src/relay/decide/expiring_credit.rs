//! Credit that expires unless it is spent.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Tick;

/// Time within which deposits are merged into the earliest of them, which bounds their number.
const MERGE_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct CreditDeposit {
    at: Tick,
    amount: u64,
}

/// Deposits in the order in which they expire. The unit is the caller's.
#[derive(Clone, Debug, Default)]
pub struct ExpiringCredit {
    deposits: VecDeque<CreditDeposit>,
}

impl ExpiringCredit {
    /// Adds an amount.
    pub fn add(&mut self, amount: u64, now: Tick) {
        match self.deposits.back_mut() {
            Some(last) if now.since(last.at) < MERGE_INTERVAL => {
                last.amount = last.amount.saturating_add(amount);
            }
            _ => self.deposits.push_back(CreditDeposit { at: now, amount }),
        }
    }

    /// Returns the sum of all deposits.
    #[must_use]
    pub fn amount(&self) -> u64 {
        self.deposits.iter().fold(0, |sum, deposit| sum.saturating_add(deposit.amount))
    }

    /// Returns what is left of the deposits that are younger than `lifetime`.
    pub fn balance(&mut self, lifetime: Duration, now: Tick) -> u64 {
        while self.deposits.front().is_some_and(|first| now.since(first.at) >= lifetime) {
            self.deposits.pop_front();
        }
        self.amount()
    }

    /// Spends an amount of the oldest deposits that are younger than `lifetime`. Returns `false`
    /// and spends nothing if less is left.
    pub fn take(&mut self, amount: u64, lifetime: Duration, now: Tick) -> bool {
        let is_enough = self.balance(lifetime, now) >= amount;
        if is_enough {
            drop(self.withdraw(amount, lifetime, now));
        }
        is_enough
    }

    /// Removes up to an amount of the oldest deposits that are younger than `lifetime`.
    #[must_use]
    pub fn withdraw(&mut self, amount: u64, lifetime: Duration, now: Tick) -> ExpiringCredit {
        let mut left = amount.min(self.balance(lifetime, now));
        let mut withdrawn = ExpiringCredit::default();
        while left > 0
            && let Some(first) = self.deposits.front_mut()
        {
            let part = left.min(first.amount);
            withdrawn.deposits.push_back(CreditDeposit { at: first.at, amount: part });
            first.amount -= part;
            left -= part;
            if first.amount == 0 {
                self.deposits.pop_front();
            }
        }
        withdrawn
    }

    /// Returns withdrawn deposits, which expire as if they had stayed.
    pub fn put_back(&mut self, withdrawn: ExpiringCredit) {
        self.deposits.extend(withdrawn.deposits);
        self.deposits.make_contiguous().sort_by_key(|deposit| deposit.at);
    }
}
