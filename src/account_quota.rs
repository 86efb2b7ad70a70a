//! Quota of a client account beyond the shares of the entries, granted by one agent per account.
//!
//! This guards against a burst: hundreds of entries, none of which has admitted a request of an
//! account for a while, receive its requests at the same moment. If the limit were divided by
//! the number of entries and rounded up, each of them would admit one. Therefore an entry admits
//! only whole requests of its share, and queries an agent for the remainder. All entries derive
//! the same agent from the account.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Tick;

/// Maximum burst of an account, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// Time after the start of an agent in which it admits nothing, because entries first report
/// the requests that its previous incarnation admitted.
const STARTUP_DELAY: Duration = Duration::from_secs(1);

/// Retry delay for an account that has too many requests in flight, or that exceeds
/// [`MAX_ACCOUNTS`].
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);

/// Maximum number of accounts that one agent tracks.
const MAX_ACCOUNTS: usize = 4_096;

/// Share of a client account's limits, for all entries together or for one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Requests per second.
    #[serde(rename = "r")]
    pub per_second: f64,
    /// Requests in flight.
    #[serde(rename = "c")]
    pub concurrent: u64,
}

impl AccountShare {
    /// Returns `true` if the share admits no request.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.per_second <= 0.0 || self.concurrent == 0
    }
}

/// Token bucket that tracks the used part of a share.
#[derive(Debug)]
pub struct ShareUsage {
    /// Requests that may be admitted now.
    credit: f64,
    refilled_at: Tick,
}

impl ShareUsage {
    /// Creates an empty bucket that fills up from `known_since` on: earlier admissions are
    /// unknown.
    #[must_use]
    pub fn new(known_since: Tick) -> Self {
        ShareUsage { credit: 0.0, refilled_at: known_since }
    }

    /// Creates a full bucket, for a share of which nothing was admitted recently.
    #[must_use]
    pub fn full() -> Self {
        ShareUsage { credit: f64::INFINITY, refilled_at: Tick::default() }
    }

    /// Admits a request while `in_flight` others are in flight.
    ///
    /// # Errors
    ///
    /// The share is used up. The error is the time after which to try again.
    pub fn admit(
        &mut self,
        share: AccountShare,
        in_flight: u64,
        now: Tick,
    ) -> Result<(), Duration> {
        let burst = (share.per_second * BURST_SECONDS).max(1.0);
        let earned = now.since(self.refilled_at).as_secs_f64() * share.per_second;
        self.credit = (self.credit + earned).min(burst);
        self.refilled_at = now;
        if self.credit < 1.0 {
            let wait = Duration::try_from_secs_f64((1.0 - self.credit) / share.per_second);
            return Err(wait.unwrap_or(IN_FLIGHT_RETRY));
        }
        if in_flight >= share.concurrent {
            return Err(IN_FLIGHT_RETRY);
        }
        self.credit -= 1.0;
        Ok(())
    }
}

/// State of one client account.
#[derive(Debug)]
struct AccountState {
    usage: ShareUsage,
    in_flight: u64,
}

/// Quotas that an agent grants to client accounts. `H` identifies a request.
#[derive(Debug)]
pub struct AccountQuota<H> {
    accounts: HashMap<Arc<str>, AccountState>,
    /// Admitted requests, with their accounts.
    holders: HashMap<H, Arc<str>>,
    started_at: Option<Tick>,
}

impl<H> Default for AccountQuota<H> {
    fn default() -> Self {
        AccountQuota { accounts: HashMap::new(), holders: HashMap::new(), started_at: None }
    }
}

impl<H: Copy + Eq + Hash> AccountQuota<H> {
    /// Admits a request of an account, out of the remainder that the shares of the entries
    /// leave over.
    ///
    /// # Errors
    ///
    /// The request is not admitted. The error is the time after which to ask again.
    pub fn admit(
        &mut self,
        account: &Arc<str>,
        remainder: AccountShare,
        holder: H,
        now: Tick,
    ) -> Result<(), Duration> {
        let admits_from = self.admits_from(now);
        if now < admits_from {
            return Err(admits_from.since(now));
        }
        let Some(state) = self.account_mut(account, admits_from) else {
            return Err(IN_FLIGHT_RETRY);
        };
        state.usage.admit(remainder, state.in_flight, now)?;
        self.add_holder(account, holder);
        Ok(())
    }

    /// Records a request that an earlier incarnation of this agent admitted.
    pub fn record_admitted(&mut self, account: &Arc<str>, holder: H, now: Tick) {
        let admits_from = self.admits_from(now);
        if self.account_mut(account, admits_from).is_some() {
            self.add_holder(account, holder);
        }
    }

    /// Releases a request that has ended, or whose entry is disconnected.
    pub fn release(&mut self, holder: &H) {
        let account = self.holders.remove(holder);
        let state = account.and_then(|account| self.accounts.get_mut(&account));
        if let Some(state) = state {
            state.in_flight -= 1;
        }
    }

    /// Releases all requests for which `is_connected` returns `false`.
    pub fn retain(&mut self, is_connected: impl Fn(&H) -> bool) {
        let disconnected: Vec<H> =
            self.holders.keys().filter(|holder| !is_connected(holder)).copied().collect();
        for holder in disconnected {
            self.release(&holder);
        }
    }

    /// Returns the time from which requests are admitted.
    fn admits_from(&mut self, now: Tick) -> Tick {
        *self.started_at.get_or_insert(now) + STARTUP_DELAY
    }

    /// Counts a request as in flight, unless it is counted already.
    fn add_holder(&mut self, account: &Arc<str>, holder: H) {
        let state = self.accounts.get_mut(account);
        if let Some(state) = state
            && self.holders.insert(holder, account.clone()).is_none()
        {
            state.in_flight += 1;
        }
    }

    /// Returns the state of an account, or `None` if too many accounts are tracked.
    fn account_mut(&mut self, account: &Arc<str>, known_since: Tick) -> Option<&mut AccountState> {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(account) {
            return None;
        }
        let fresh = || AccountState { usage: ShareUsage::new(known_since), in_flight: 0 };
        Some(self.accounts.entry(account.clone()).or_insert_with(fresh))
    }
}
