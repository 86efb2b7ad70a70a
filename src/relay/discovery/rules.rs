//! What a configuration says of routes, services and client accounts, in the
//! form that the relay decides by.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::relay::decide::engine_rates::EngineRates;
use crate::relay::decide::hold_list::QuarantineRecord;
use crate::relay::decide::warmup::WarmupRule;

/// Whether and how a request of a route may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// Any number of targets may run it.
    Repeatable,
    /// At most one target may run it.
    Once,
    /// An event stream that another target may continue after any event.
    Resumable,
}

impl RepeatRule {
    /// Returns true where a second target may run the request.
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
    /// Share against the other services of the route.
    pub weight: u32,
}

/// A route: which requests it takes and what they may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Host name of the request.
    pub host: Arc<str>,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether a request may be sent again.
    pub repeat: RepeatRule,
    /// True where the answer is a stream of events.
    pub is_stream: bool,
    /// Longest time for an answer, from the request's arrival.
    pub time_limit: Duration,
    /// Time for the whole answer, or for the first event of a stream.
    pub objective: Duration,
    /// Longest pause between events that is still in time.
    pub longest_pause: Duration,
    /// Services that serve it.
    pub services: Vec<WeightedService>,
    /// Most targets that one request may be sent to.
    pub max_targets: usize,
    /// True where no key is asked for.
    pub is_public: bool,
    /// Regions in which its requests may run, empty for all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

/// A service: targets that can stand in for one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: Arc<str>,
    /// How its engines work, none for a plain service.
    pub engine: Option<Rc<EngineRates>>,
    /// What its targets take while they are cold, none where that is nothing special.
    #[serde(default)]
    pub warmup: Option<WarmupRule>,
}

/// A client account and the keys it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountRule {
    /// Name of the account.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Regions in which its requests may run, empty for all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Longest time for a head to arrive.
    pub head_limit: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_limit: Duration,
}

impl Default for CallerLimits {
    /// What holds until a configuration is known.
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
    /// Version, which only grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// All client accounts; without any, no route asks for a key.
    pub accounts: Vec<AccountRule>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Requests that are held back, which the entries note beside the configuration.
    #[serde(default)]
    pub quarantine: Vec<QuarantineRecord>,
}

impl RelayConfig {
    /// A number that two configurations share only where they hold the same, in any order.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let routes = self.routes.iter().map(hash_of);
        let services = self.services.iter().map(hash_of);
        let accounts = self.accounts.iter().map(hash_of);
        let rest = hash_of(&(self.version, self.limits, &self.quarantine));
        routes.chain(services).chain(accounts).fold(rest, u64::wrapping_add)
    }
}

fn hash_of(item: &impl Serialize) -> u64 {
    let mut bytes = Vec::new();
    // What an adapter decodes can be encoded; an item that could not would be left out alike
    // at all entries.
    drop(ciborium::into_writer(item, &mut bytes));
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessFault {
    /// No route takes this host and path.
    NoRoute,
    /// The key is missing or not known.
    BadKey,
}

/// What a request was found to be.
#[derive(Clone, Debug)]
pub struct Access {
    /// Its route.
    pub route: Rc<RouteRule>,
    /// The account that its key belongs to, none on a public route.
    pub account: Option<Rc<AccountRule>>,
}

impl Access {
    /// Returns true where its targets may be in a region, none for one that is not known:
    /// both the route and the account bind.
    #[must_use]
    pub fn permits_region(&self, region: Option<&str>) -> bool {
        let account = self.account.as_ref().map_or(&[][..], |account| &account.regions);
        [&self.route.regions[..], account].into_iter().all(|regions| {
            regions.is_empty() || regions.iter().any(|allowed| Some(&**allowed) == region)
        })
    }

    /// Returns true where its targets may be anywhere.
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
}

impl RuleTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn from_config(config: RelayConfig) -> Self {
        let mut table = RuleTable {
            version: config.version,
            has_accounts: !config.accounts.is_empty(),
            limits: config.limits,
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

    /// The version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// Finds the route of a request and the account of its key.
    ///
    /// # Errors
    ///
    /// No route takes it, or its key is not one of the configuration.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Access, AccessFault> {
        let route = self.find_route(host, path).ok_or(AccessFault::NoRoute)?;
        let account = key.and_then(|key| self.keys.get(key)).cloned();
        if self.has_accounts && !route.is_public && account.is_none() {
            return Err(AccessFault::BadKey);
        }
        Ok(Access { route, account })
    }

    /// The route with the longest prefix of `path`.
    fn find_route(&self, host: &str, path: &str) -> Option<Rc<RouteRule>> {
        let paths = self.hosts.get(host)?;
        let mut slashes = path.rmatch_indices('/').map(|(at, _)| at);
        slashes.find_map(|at| paths.get(&path[..=at])).cloned()
    }
}
