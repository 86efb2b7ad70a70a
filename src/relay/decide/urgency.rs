//! Urgency: the ranks that operators give to accounts and routes.
//!
//! Zero is the most urgent. The rank of an account goes before that of a route: routes decide among
//! requests of accounts of one rank. Where the requests of a service differ in urgency, each
//! carries to its target the number of more urgent ranks of the service, and the target admits the
//! more urgent ones first. Where all are alike, none carries any, and targets serve them in order
//! of arrival.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::loss::{PAUSE_RISK_FROM, URGENT_PAUSE_RISK_FROM};
use crate::relay::discovery::rules::RelayConfig;

/// Factor on the value of a request for each more urgent rank of its service. All decisions in
/// which one request costs another something weigh them by their value: a caller is set back only
/// if that helps more urgent callers of half the value.
const RANK_FACTOR: f32 = 0.5;

/// Smallest factor. The least urgent must be served at least a quarter as often as all.
const MIN_FACTOR: f32 = 0.25;

/// Urgency of a request. Ranks are compared by the account first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UrgencyRank {
    /// Rank of the account; on a public route that of the least urgent account.
    pub account: u8,
    /// Rank of the route.
    pub route: u8,
}

/// The ranks of the requests of each service.
#[derive(Debug, Default)]
pub struct RankTable {
    services: HashMap<Arc<str>, BTreeSet<UrgencyRank>>,
    /// Rank of the least urgent account, zero if there is none.
    least_urgent_account: u8,
}

impl RankTable {
    /// Collects the ranks of a configuration. Any account may use any route.
    #[must_use]
    pub fn from_config(config: &RelayConfig) -> Self {
        let mut accounts: BTreeSet<u8> =
            config.accounts.iter().map(|account| account.rank).collect();
        let least_urgent_account = accounts.last().copied().unwrap_or_default();
        accounts.insert(least_urgent_account);
        let mut table = RankTable { least_urgent_account, ..RankTable::default() };
        for route in &config.routes {
            for service in &route.services {
                let ranks = table.services.entry(service.service.clone()).or_default();
                let accounts = accounts.iter();
                ranks.extend(accounts.map(|&account| UrgencyRank { account, route: route.rank }));
            }
        }
        table
    }

    /// Returns the rank of a request. A request without an account is no more urgent than that of
    /// any account.
    #[must_use]
    pub fn rank_of(&self, route: u8, account: Option<u8>) -> UrgencyRank {
        UrgencyRank { account: account.unwrap_or(self.least_urgent_account), route }
    }

    /// Returns the number of more urgent ranks of a service, `None` if all its requests are
    /// equally urgent.
    #[must_use]
    pub fn more_urgent(&self, service: &str, rank: UrgencyRank) -> Option<u8> {
        let ranks = self.services.get(service).filter(|ranks| ranks.len() > 1)?;
        Some(ranks.range(..rank).count().try_into().unwrap_or(u8::MAX))
    }

    /// Returns the ranks of the routes of a service; none if they are alike.
    fn route_ranks(&self, service: &str) -> BTreeSet<u8> {
        let ranks = self.services.get(service).into_iter().flatten();
        let ranks: BTreeSet<u8> = ranks.map(|rank| rank.route).collect();
        if ranks.len() > 1 { ranks } else { BTreeSet::new() }
    }

    /// Returns the factor on the value of a request: one for the most urgent routes of its
    /// service. The rank of its account decides at the target only: one account of a higher rank
    /// would otherwise set all others back.
    #[must_use]
    pub fn value_factor(&self, service: &str, rank: UrgencyRank) -> f32 {
        let more_urgent = self.route_ranks(service).range(..rank.route).count();
        RANK_FACTOR.powi(more_urgent as i32).max(MIN_FACTOR)
    }

    /// Returns the fraction of its longest pause from which a pass counts as a risk for a request:
    /// prompts of less urgent routes leave a margin to those that are more urgent.
    #[must_use]
    pub fn pause_risk_from(&self, service: &str, rank: UrgencyRank) -> f32 {
        let has_less_urgent =
            self.route_ranks(service).last().is_some_and(|last| *last > rank.route);
        if has_less_urgent { URGENT_PAUSE_RISK_FROM } else { PAUSE_RISK_FROM }
    }
}
