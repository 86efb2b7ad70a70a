//! What the relay of one entry knows and decides, without input or output.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::relay::decide::evacuation::EvacuationSet;
use crate::relay::decide::policy::RelayPolicy;
use crate::relay::decide::quarantine::QuarantineLedger;
use crate::relay::decide::rate_book::{RateBook, RateTold};
use crate::relay::decide::retry_budget::{RetryBound, RetryBudget};
use crate::relay::decide::service_scope::DomainSet;
use crate::relay::decide::stream_load::StreamKey;
use crate::relay::decide::targets::{ListChange, TargetLife, TargetSet};
use crate::relay::decide::warmup::WarmupBound;
use crate::relay::discovery::config_share::ConfigShare;
use crate::relay::discovery::freshness::{FreshnessLease, StalePolicy};
use crate::relay::discovery::list_share::ListShare;
use crate::relay::discovery::proof_share::ProofShare;
use crate::relay::discovery::rules::{Access, AccessFault, RelayConfig, RouteRule, RuleTable};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::peers::config_copy::ConfigCopy;
use crate::relay::peers::load_note::LoadNote;
use crate::time::Tick;

mod attempts;
mod configuration;
mod evacuation;
pub mod permits;
mod quarantine;
pub mod target_list;

/// Places among entries that write the same, by the random part of an incarnation.
const PLACES: u64 = 1 << 10;

fn spread_of(entry: u64) -> f64 {
    (entry % PLACES) as f64 / PLACES as f64
}

/// What does not change while the process runs.
#[derive(Clone, Debug)]
pub struct RelayLimits {
    /// Failure domain of this process.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Longest time between the removal of a key and its last use.
    pub revoke_bound: Duration,
    /// Longest time in which the targets of a failure domain that is taken out of service may
    /// still get requests, none where none is ever taken out.
    pub evacuate_bound: Option<Duration>,
    /// What cold targets may get.
    pub warmup_bound: WarmupBound,
    /// What is done while the configuration can not be proven current.
    pub stale_policy: StalePolicy,
    /// Longest time in which a target that is leaving may still get requests.
    pub drain_bound: Duration,
    /// How long the store remembers what changed.
    pub store_history: Duration,
    /// Bound on second attempts over all entries.
    pub retry_bound: RetryBound,
    /// What is weighed when a request is placed.
    pub policy: RelayPolicy,
}

impl RelayLimits {
    /// How old what is served by may be: the configuration, and which failure domains are out
    /// of service.
    #[must_use]
    pub fn proof_bound(&self) -> Duration {
        self.evacuate_bound.map_or(self.revoke_bound, |bound| bound.min(self.revoke_bound))
    }
}

/// Why a request is refused before anything is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known, or it can not be proven current.
    NotFresh,
    /// No route takes it.
    NoRoute,
    /// Its key is not known.
    BadKey,
}

/// What an attempt holds at targets, to be given back.
#[derive(Clone, Debug)]
pub struct AttemptShare {
    /// The target that answers.
    pub target: Arc<str>,
    /// Its life, none where it is gone.
    pub life: Option<TargetLife>,
    /// Whether targets ended under the request before.
    pub is_suspect: bool,
    /// The targets that help.
    pub helpers: Vec<Arc<str>>,
    /// The name of its stream.
    pub key: StreamKey,
    /// Latest time at which it is sent, none where its target took any number.
    pub turn_until: Option<Tick>,
}

/// State and decisions of the relay.
#[derive(Debug)]
pub struct RelayCore {
    limits: RelayLimits,
    entry: u64,
    next_number: u64,
    rules: Rc<RuleTable>,
    /// Epoch of the store that held them last.
    rules_epoch: u64,
    lease: FreshnessLease,
    proof_share: ProofShare,
    list_share: ListShare,
    /// Revision of the configuration in the store.
    config_revision: StoreRevision,
    config_share: ConfigShare,
    /// Digest of the configuration in force.
    config_digest: u64,
    /// The newest one that the store itself has told this entry.
    store_copy: Option<ConfigCopy>,
    /// When the newest read was sent that showed no earlier configuration.
    read_at: Tick,
    /// Whether what the store holds there is earlier than the configuration in force.
    is_store_behind: bool,
    /// Epoch of the store in which the configuration was proven last.
    proven_epoch: u64,
    /// Newest epoch of the store that is known, none before its first answer.
    store_epoch: Option<u64>,
    /// The configuration in force, to be passed on.
    config: Option<Rc<RelayConfig>>,
    /// The targets.
    pub targets: TargetSet,
    evacuations: EvacuationSet,
    /// Targets that were removed and not told of yet.
    expired: ListChange,
    budgets: HashMap<Arc<str>, RetryBudget>,
    /// Most entries that an agent was seen to tell.
    entries: Option<usize>,
    notes: Vec<LoadNote>,
    quarantine: QuarantineLedger,
    rates: RateBook,
    /// What agents were told of rates.
    rates_told: RateTold,
    /// Unix time of tick zero, in milliseconds.
    epoch_ms: u64,
}

impl RelayCore {
    /// A relay that knows nothing yet. `entry` is its incarnation.
    #[must_use]
    pub fn new(limits: RelayLimits, entry: u64) -> Self {
        RelayCore {
            lease: FreshnessLease::new(limits.proof_bound(), limits.stale_policy),
            limits,
            entry,
            next_number: 0,
            rules: Rc::default(),
            rules_epoch: 0,
            proof_share: ProofShare::default(),
            list_share: ListShare::default(),
            config_revision: StoreRevision::default(),
            config_share: ConfigShare::default(),
            config_digest: 0,
            store_copy: None,
            read_at: Tick::default(),
            is_store_behind: false,
            proven_epoch: 0,
            store_epoch: None,
            config: None,
            targets: TargetSet::default(),
            evacuations: EvacuationSet::default(),
            expired: ListChange::default(),
            budgets: HashMap::new(),
            entries: None,
            notes: Vec::new(),
            quarantine: QuarantineLedger::new(spread_of(entry)),
            rates: RateBook::default(),
            rates_told: RateTold::default(),
            epoch_ms: 0,
        }
    }

    /// Takes changed limits. What was proven and spent before stays so.
    pub fn set_limits(&mut self, limits: RelayLimits) {
        self.lease.set_bound(limits.proof_bound(), limits.stale_policy);
        for budget in self.budgets.values_mut() {
            budget.set_bound(limits.retry_bound);
        }
        self.limits = limits;
    }

    /// What does not change with configuration and targets.
    #[must_use]
    pub fn limits(&self) -> &RelayLimits {
        &self.limits
    }

    /// The rules in force here.
    #[must_use]
    pub fn rules(&self) -> Rc<RuleTable> {
        self.rules.clone()
    }

    /// The lease on the configuration.
    #[must_use]
    pub fn lease(&self) -> &FreshnessLease {
        &self.lease
    }

    /// Incarnation of this entry.
    #[must_use]
    pub fn entry(&self) -> u64 {
        self.entry
    }

    /// Returns true where requests can be served, and others would not serve them
    /// better.
    #[must_use]
    pub fn is_ready(&self, now: Tick) -> bool {
        let is_let_in = self.lease.permits_keys(now) && !self.lease.is_behind(now);
        is_let_in && self.targets.has_list()
    }

    /// Returns true once a configuration was in force and a list of targets was read.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.lease.permits_public() && self.targets.has_list()
    }

    /// Place of this entry among all, from 0 to 1, at random but always the same.
    fn spread(&self) -> f64 {
        spread_of(self.entry)
    }

    /// Hosts of all engines, by the address of one engine each, in the order of `rank` of
    /// their names: the same for all entries, whichever engines these use.
    pub(crate) fn ranked_hosts(&self, rank: impl Fn(&str) -> u64) -> Vec<SocketAddr> {
        let engines = self.targets.iter().filter(|target| target.model.is_some());
        let mut hosts: Vec<_> = engines.map(|target| target.record.address).collect();
        hosts.sort_by_key(|address| (address.ip(), address.port()));
        hosts.dedup_by_key(|address| address.ip());
        hosts.sort_by_cached_key(|address| rank(&address.ip().to_string()));
        hosts
    }

    /// Finds the route and account of a request that was read at `now`.
    ///
    /// # Errors
    ///
    /// The configuration does not allow it, or is not known to be current where
    /// it has to be.
    pub fn admit(
        &mut self,
        host: &str,
        path: &str,
        key: Option<&str>,
        now: Tick,
    ) -> Result<Access, Refusal> {
        if !self.lease.permits_public() {
            return Err(Refusal::NotFresh);
        }
        match self.rules.admit(host, path, key) {
            Ok(access) if self.may_serve(&access.route, now) => Ok(access),
            Ok(_) => Err(Refusal::NotFresh),
            // A newer configuration may know the route or the key.
            Err(_) if !self.lease.is_held(now) => Err(Refusal::NotFresh),
            Err(AccessFault::NoRoute) => Err(Refusal::NoRoute),
            Err(AccessFault::BadKey) => Err(Refusal::BadKey),
        }
    }

    /// The failure domains whose targets may run a request, none where all may.
    #[must_use]
    pub fn home_domains(&self, access: &Access) -> Option<Rc<DomainSet>> {
        if access.permits_all_regions() {
            return None;
        }
        let regions = self.limits.regions.iter();
        let homes = regions.filter(|(_, region)| access.permits_region(Some(region)));
        Some(Rc::new(homes.map(|(domain, _)| domain.clone()).collect()))
    }

    /// Returns true where a request of a route that was admitted may be served.
    #[must_use]
    pub fn may_serve(&self, route: &RouteRule, now: Tick) -> bool {
        self.lease.permits_keys(now) || (route.is_public && self.lease.permits_public())
    }

    /// The service that a request of a route goes to, by a number that stays
    /// the same for the request.
    #[must_use]
    pub fn pick_service(route: &RouteRule, number: u64) -> Option<Arc<str>> {
        let total: u64 = route.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut rest = number.checked_rem(total)?;
        for share in &route.services {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(share.service.clone());
            }
            rest -= weight;
        }
        None
    }

    /// Entries of the whole fleet. An agent counts those that use its engine, which
    /// are a part of all where each uses a part of the engines.
    #[must_use]
    pub fn fleet_entries(&self) -> Option<usize> {
        let engines = || self.targets.iter().filter(|target| target.model.is_some());
        let used: Vec<_> = engines().filter(|target| target.is_used).collect();
        if used.len() == engines().count() {
            return self.entries;
        }
        let told: Vec<_> =
            used.iter().map(|target| target.subscribers).filter(|n| *n > 0).collect();
        let all = told.iter().sum::<usize>() * engines().count();
        (!told.is_empty()).then(|| all.div_ceil(told.len() * used.len()))
    }

    /// Takes a note from an agent.
    pub fn take_note(&mut self, note: LoadNote, now: Tick) {
        match note {
            LoadNote::Welcome {
                target,
                entries,
                pace_percent,
                proof_age_ms,
                proof_from,
                watchers,
                list_mark,
                config_mark,
            } => {
                self.list_share.note_agent(watchers, list_mark, now);
                if let Some(mark) = config_mark {
                    self.config_share.note_told(mark, self.config_revision, now);
                }
                self.entries = Some(self.entries.unwrap_or(0).max(entries as usize));
                if let Some(target) = self.targets.get_mut(&target) {
                    target.subscribers = entries as usize;
                }
                if let Some(age) = proof_age_ms {
                    let proven_at = now - Duration::from_millis(age.into());
                    self.lease.note_other(proven_at);
                    if let Some(address) = proof_from {
                        self.proof_share.note_source(address, proven_at);
                    }
                }
                if self.limits.policy.follows_pace
                    && let Some(model) = self.model(&target)
                {
                    model.set_pace(f64::from(pace_percent) / 100.0);
                }
            }
            LoadNote::Placed { target, key, load } if key.entry != self.entry => {
                if let Some(model) = self.model(&target) {
                    model.add(key, load, now);
                }
            }
            LoadNote::Ended { target, key } if key.entry != self.entry => {
                if let Some(model) = self.model(&target) {
                    model.remove(key);
                }
            }
            LoadNote::EntryGone { target, entry } if entry != self.entry => {
                if let Some(model) = self.model(&target) {
                    model.remove_entry(entry);
                }
            }
            _ => {}
        }
    }

    fn model(&mut self, target: &str) -> Option<&mut super::decide::pass_model::PassModel> {
        self.targets.get_mut(target)?.model.as_mut()
    }

    /// Takes the notes that are to be sent to agents.
    pub fn take_notes(&mut self) -> Vec<LoadNote> {
        let notes = std::mem::take(&mut self.notes);
        if self.limits.policy.sends_notes { notes } else { Vec::new() }
    }

    /// Names of the services that have engines.
    #[must_use]
    pub fn engine_services(&self) -> HashSet<Arc<str>> {
        let services = self.rules.services().filter(|service| service.engine.is_some());
        services.map(|service| service.name.clone()).collect()
    }
}
