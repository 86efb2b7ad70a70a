//! The routes, services and client accounts of a configuration, in the form that the relay uses.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::relay::decide::engine_rates::EngineRates;
use crate::relay::decide::part_ledger::PartRecord;
use crate::relay::decide::quarantine_list::QuarantineRecord;
use crate::relay::decide::urgency::{RankTable, UrgencyRank};
use crate::relay::decide::warmup::WarmupRule;

/// Whether and how a request of a route may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// Any number of targets may run it.
    Repeatable,
    /// At most one target may run it.
    Once,
    /// Its answer is an event stream, which another target may continue after any event.
    Resumable,
}

impl RepeatRule {
    /// Returns `true` if a second target may run the request.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        self != RepeatRule::Once
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Host name of the request.
    pub host: Arc<str>,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether a request may be sent again.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Longest time for an answer, from the request's arrival.
    pub time_limit: Duration,
    /// Latency objective: time for the whole answer, or for the first event of a stream.
    pub objective: Duration,
    /// Longest pause between events that still meets the objective.
    pub longest_pause: Duration,
    /// Services that serve it.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets that one request may be sent to.
    pub max_targets: usize,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions in which its requests may run, empty for all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
    /// Urgency of its requests; zero is the most urgent.
    #[serde(default, skip_serializing_if = "is_most_urgent")]
    pub rank: u8,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
fn is_most_urgent(rank: &u8) -> bool {
    *rank == 0
}

/// A service: interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: Arc<str>,
    /// Performance of its engines, `None` for a plain service.
    pub engine: Option<Rc<EngineRates>>,
    /// What its targets accept while they are cold, `None` if there is no special rule.
    #[serde(default)]
    pub warmup: Option<WarmupRule>,
}

/// A client account and its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountRule {
    /// Name of the account.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Regions in which its requests may run, empty for all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
    /// Urgency of its requests, which goes before that of their routes; zero is the most urgent.
    #[serde(default, skip_serializing_if = "is_most_urgent")]
    pub rank: u8,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Longest time for a head to arrive.
    pub head_limit: Duration,
    /// Longest idle time of a connection between two requests.
    pub idle_limit: Duration,
}

impl Default for CallerLimits {
    /// The limits that apply until a configuration is known.
    fn default() -> Self {
        CallerLimits {
            max_head: 16 * 1024,
            max_body: 4 * 1024 * 1024,
            head_limit: Duration::from_secs(3),
            idle_limit: Duration::from_secs(15),
        }
    }
}

/// A whole configuration as the relay reads it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayConfig {
    /// Version, which only increases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// All client accounts; if there are none, no route asks for a key.
    pub accounts: Vec<AccountRule>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Quarantined requests, which the entries write beside the configuration.
    #[serde(default)]
    pub quarantine: Vec<QuarantineRecord>,
    /// Quarantined parts of prompts, which the entries write there as well.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub part_quarantine: Vec<PartRecord>,
}

impl RelayConfig {
    /// Returns a hash that two configurations share only if they have the same content, in any
    /// order.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let routes = self.routes.iter().map(hash_item);
        let services = self.services.iter().map(hash_item);
        let accounts = self.accounts.iter().map(hash_item);
        let rest = hash_item(&(self.version, self.limits, &self.quarantine));
        let parts = self.part_quarantine.iter().map(hash_item);
        routes.chain(services).chain(accounts).chain(parts).fold(rest, u64::wrapping_add)
    }

    /// Returns `true` if two configurations of the same version differ in their quarantines at most.
    #[must_use]
    pub fn has_rules_of(&self, other: &RelayConfig) -> bool {
        let digest_rules = |config: &RelayConfig| {
            let (quarantine, part_quarantine) = (Vec::new(), Vec::new());
            RelayConfig { quarantine, part_quarantine, ..config.clone() }.digest()
        };
        self.version == other.version && digest_rules(self) == digest_rules(other)
    }
}

/// A configuration and its digest, which is costly for a large one.
#[derive(Clone, Debug, PartialEq)]
pub struct DigestedConfig {
    /// The configuration.
    pub config: RelayConfig,
    /// Its digest.
    pub digest: u64,
}

impl DigestedConfig {
    /// Computes the digest of a configuration.
    #[must_use]
    pub fn new(config: RelayConfig) -> Self {
        DigestedConfig { digest: config.digest(), config }
    }
}

fn hash_item(item: &impl Serialize) -> u64 {
    let mut bytes = Vec::new();
    // An adapter decodes only items that can be encoded; an item that could not would be left out
    // of the hash at all entries alike.
    drop(ciborium::into_writer(item, &mut bytes));
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessFault {
    /// No route matches this host and path.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
}

/// The route and account of an admitted request.
#[derive(Clone, Debug)]
pub struct Access {
    /// Its route.
    pub route: Rc<RouteRule>,
    /// The account that its key belongs to, `None` on a public route.
    pub account: Option<Rc<AccountRule>>,
}

impl Access {
    /// Returns `true` if its targets may be in a region, with `None` for an unknown region: the
    /// restrictions of the route and of the account both apply.
    #[must_use]
    pub fn permits_region(&self, region: Option<&str>) -> bool {
        let account = self.account.as_ref().map_or(&[][..], |account| &account.regions);
        [&self.route.regions[..], account].into_iter().all(|regions| {
            regions.is_empty() || regions.iter().any(|allowed| Some(&**allowed) == region)
        })
    }

    /// Returns `true` if its targets may be in any region.
    #[must_use]
    pub fn permits_all_regions(&self) -> bool {
        let account = self.account.as_ref().is_none_or(|account| account.regions.is_empty());
        account && self.route.regions.is_empty()
    }
}

/// Index of one configuration by host, path and key.
#[derive(Debug, Default)]
pub struct RuleTable {
    version: u64,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Rc<RouteRule>>>,
    services: HashMap<Arc<str>, ServiceRule>,
    keys: HashMap<Arc<str>, Rc<AccountRule>>,
    has_accounts: bool,
    limits: CallerLimits,
    ranks: RankTable,
}

impl RuleTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn from_config(config: RelayConfig) -> Self {
        let mut table = RuleTable {
            version: config.version,
            has_accounts: !config.accounts.is_empty(),
            limits: config.limits,
            ranks: RankTable::from_config(&config),
            ..RuleTable::default()
        };
        for route in config.routes {
            let paths = table.hosts.entry(route.host.clone()).or_default();
            paths.insert(route.path_prefix.clone(), Rc::new(route));
        }
        for service in config.services {
            table.services.insert(service.name.clone(), service);
        }
        for account in config.accounts.into_iter().map(Rc::new) {
            for key in &account.keys {
                table.keys.insert(key.clone(), account.clone());
            }
        }
        table
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the urgency of an admitted request.
    #[must_use]
    pub fn rank_of(&self, access: &Access) -> UrgencyRank {
        let account = access.account.as_ref().map(|account| account.rank);
        self.ranks.rank_of(access.route.rank, account)
    }

    /// Returns the ranks of the requests of each service.
    #[must_use]
    pub fn ranks(&self) -> &RankTable {
        &self.ranks
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// Finds the route of a request and the account of its key.
    ///
    /// # Errors
    ///
    /// No route matches the request, or its key is not in the configuration.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Access, AccessFault> {
        let route = self.find_route(host, path).ok_or(AccessFault::NoRoute)?;
        let account = key.and_then(|key| self.keys.get(key)).cloned();
        if self.has_accounts && !route.is_public && account.is_none() {
            return Err(AccessFault::BadKey);
        }
        Ok(Access { route, account })
    }

    /// Returns the route with the longest prefix of `path`.
    fn find_route(&self, host: &str, path: &str) -> Option<Rc<RouteRule>> {
        let paths = self.hosts.get(host)?;
        let mut slashes = path.rmatch_indices('/').map(|(at, _)| at);
        slashes.find_map(|at| paths.get(&path[..=at])).cloned()
    }
}
