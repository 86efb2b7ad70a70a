//! What a client account may have beside the shares of the entries: one agent gives it.
//!
//! The load that it answers: hundreds of entries, each of which has let in nothing of an
//! account for a while, get its requests at the same moment. A limit that is divided by the
//! entries and rounded up lets in one at each. So an entry lets in its whole share only, and
//! asks the agent that all entries choose alike by the account for what is left.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Tick;

/// Seconds of its rate that an account may save up.
const BURST_SECONDS: f64 = 1.0;

/// Time after the start of an agent within which it gives nothing: entries tell it meanwhile
/// what its former life gave.
const START_REST: Duration = Duration::from_secs(1);

/// Time after which an account that has too many requests in flight may come again.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);

/// Most accounts that one agent counts.
const MOST_ACCOUNTS: usize = 4_096;

/// What an account may have over all entries, or at one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Requests a second.
    #[serde(rename = "r")]
    pub per_second: f64,
    /// Requests in flight.
    #[serde(rename = "c")]
    pub concurrent: u64,
}

impl AccountShare {
    /// Returns true where it lets nothing in.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.per_second <= 0.0 || self.concurrent == 0
    }
}

/// What has been let in of a share.
#[derive(Debug)]
pub struct ShareUsage {
    credit: f64,
    filled: Tick,
}

impl ShareUsage {
    /// A usage of which nothing is known before `known_since`.
    #[must_use]
    pub fn new(known_since: Tick) -> Self {
        ShareUsage { credit: 0.0, filled: known_since }
    }

    /// A usage of which nothing was let in for long.
    #[must_use]
    pub fn full() -> Self {
        ShareUsage { credit: f64::INFINITY, filled: Tick::default() }
    }

    /// Lets a request in, where `in_flight` others are.
    ///
    /// # Errors
    ///
    /// The time after which there is room again.
    pub fn admit(
        &mut self,
        share: AccountShare,
        in_flight: u64,
        now: Tick,
    ) -> Result<(), Duration> {
        let burst = (share.per_second * BURST_SECONDS).max(1.0);
        let earned = now.since(self.filled).as_secs_f64() * share.per_second;
        self.credit = (self.credit + earned).min(burst);
        self.filled = now;
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

#[derive(Debug)]
struct GateAccount {
    usage: ShareUsage,
    in_flight: u64,
}

/// What an agent gives of the limits of client accounts. `H` names a request.
#[derive(Debug)]
pub struct AccountGate<H> {
    accounts: HashMap<Arc<str>, GateAccount>,
    /// The accounts of the requests that it let in.
    holders: HashMap<H, Arc<str>>,
    started_at: Option<Tick>,
}

impl<H> Default for AccountGate<H> {
    fn default() -> Self {
        AccountGate { accounts: HashMap::new(), holders: HashMap::new(), started_at: None }
    }
}

impl<H: Copy + Eq + Hash> AccountGate<H> {
    /// Lets a request of an account in, of what is left to it beside the entries' shares.
    ///
    /// # Errors
    ///
    /// The time after which there may be room.
    pub fn ask(
        &mut self,
        account: &Arc<str>,
        rest: AccountShare,
        holder: H,
        now: Tick,
    ) -> Result<(), Duration> {
        let open_at = self.open_at(now);
        if now < open_at {
            return Err(open_at.since(now));
        }
        let Some(known) = self.account(account, open_at) else { return Err(IN_FLIGHT_RETRY) };
        known.usage.admit(rest, known.in_flight, now)?;
        self.hold(account, holder);
        Ok(())
    }

    /// Notes a request that a former life of this agent let in.
    pub fn note_held(&mut self, account: &Arc<str>, holder: H, now: Tick) {
        let open_at = self.open_at(now);
        if self.account(account, open_at).is_some() {
            self.hold(account, holder);
        }
    }

    /// Notes that a request has ended, or that its entry is gone.
    pub fn release(&mut self, holder: &H) {
        let account = self.holders.remove(holder);
        let known = account.and_then(|account| self.accounts.get_mut(&account));
        if let Some(known) = known {
            known.in_flight -= 1;
        }
    }

    /// Forgets all requests but those of entries that are there.
    pub fn retain(&mut self, is_there: impl Fn(&H) -> bool) {
        let gone: Vec<H> =
            self.holders.keys().filter(|holder| !is_there(holder)).copied().collect();
        for holder in gone {
            self.release(&holder);
        }
    }

    /// When it begins to let requests in.
    fn open_at(&mut self, now: Tick) -> Tick {
        *self.started_at.get_or_insert(now) + START_REST
    }

    fn hold(&mut self, account: &Arc<str>, holder: H) {
        let known = self.accounts.get_mut(account);
        if let Some(known) = known
            && self.holders.insert(holder, account.clone()).is_none()
        {
            known.in_flight += 1;
        }
    }

    fn account(&mut self, account: &Arc<str>, known_since: Tick) -> Option<&mut GateAccount> {
        if self.accounts.len() >= MOST_ACCOUNTS && !self.accounts.contains_key(account) {
            return None;
        }
        let fresh = || GateAccount { usage: ShareUsage::new(known_since), in_flight: 0 };
        Some(self.accounts.entry(account.clone()).or_insert_with(fresh))
    }
}
