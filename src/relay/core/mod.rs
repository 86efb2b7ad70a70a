//! State and decisions of an entry's relay. This module does no input or output.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::relay::decide::evacuation::EvacuationSet;
use crate::relay::decide::policy::RelayPolicy;
use crate::relay::decide::quarantine::QuarantineLedger;
use crate::relay::decide::rate_table::{AnnouncedRates, RateTable};
use crate::relay::decide::retry_budget::{RetryBound, RetryBudget};
use crate::relay::decide::service_scope::DomainSet;
use crate::relay::decide::slack_share::SlackShare;
use crate::relay::decide::stream_load::StreamKey;
use crate::relay::decide::targets::{ListChange, TargetInstance, TargetSet};
use crate::relay::decide::warmup::WarmupBound;
use crate::relay::discovery::config_sync::ConfigSync;
use crate::relay::discovery::freshness::{FreshnessLease, StalePolicy};
use crate::relay::discovery::proof_sync::ProofSync;
use crate::relay::discovery::rules::{Access, AccessFault, RelayConfig, RouteRule, RuleTable};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::discovery::target_list_sync::TargetListSync;
use crate::relay::peers::config_copy::ConfigCopy;
use crate::relay::peers::peer_message::PeerMessage;
use crate::time::Tick;

mod attempts;
pub mod configuration;
mod evacuation;
mod part_quarantine;
pub mod permits;
mod quarantine;
pub mod retries;
pub mod target_list;

/// Draws the number that identifies one run of an entry among all runs of all entries.
///
/// All of it is random: the entries of a fleet may start within the same microsecond, so that a
/// time and a few random bits are not unique.
#[must_use]
pub fn draw_entry_number() -> u64 {
    rand::random()
}

/// Number of distinct jitter values, which are taken from the low bits of an entry's number.
const JITTER_STEPS: u64 = 1 << 10;

fn jitter_of(entry: u64) -> f64 {
    (entry % JITTER_STEPS) as f64 / JITTER_STEPS as f64
}

/// Settings that the core works within. They change only when the settings file is reloaded.
#[derive(Clone, Debug)]
pub struct RelayLimits {
    /// Failure domain of this process.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain, by the domain's name.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Longest time between the removal of a key and its last use.
    pub revoke_bound: Duration,
    /// Longest time during which the targets of an evacuated failure domain may still get
    /// requests. `None` if the platform never evacuates a domain.
    pub evacuate_bound: Option<Duration>,
    /// Bound on the requests that cold targets may get.
    pub warmup_bound: WarmupBound,
    /// Policy while the configuration cannot be proven current.
    pub stale_policy: StalePolicy,
    /// Longest time during which a target that is leaving may still get requests.
    pub drain_bound: Duration,
    /// How long the store keeps its history of changes.
    pub store_history: Duration,
    /// Bound on retries over all entries.
    pub retry_bound: RetryBound,
    /// Weights and switches of the placement of requests.
    pub policy: RelayPolicy,
}

impl RelayLimits {
    /// Maximum age of the proof by which requests are served: of the configuration, and of the
    /// list of failure domains that are out of service.
    #[must_use]
    pub fn proof_bound(&self) -> Duration {
        self.evacuate_bound.map_or(self.revoke_bound, |bound| bound.min(self.revoke_bound))
    }
}

/// Reason for which a request is refused before it is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known, or it cannot be proven current.
    ConfigUnproven,
    /// No route matches the request.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
}

/// A sent attempt with the resources that it occupies at targets, which [`RelayCore::end_attempt`]
/// releases.
#[derive(Clone, Debug)]
pub struct PlacedAttempt {
    /// The target that answers.
    pub target: Arc<str>,
    /// The instance of that target, `None` if the target is no longer listed.
    pub instance: Option<TargetInstance>,
    /// Whether targets crashed under this request before.
    pub is_suspect: bool,
    /// The targets that prefill shards of the prompt.
    pub helpers: Vec<Arc<str>>,
    /// Key of the stream in the load models of its engines.
    pub stream_key: StreamKey,
    /// Latest time at which the attempt may be sent, `None` if its target is not rate-limited.
    pub send_before: Option<Tick>,
}

/// State and decisions of the relay of one entry.
#[derive(Debug)]
pub struct RelayCore {
    limits: RelayLimits,
    entry: u64,
    next_number: u64,
    rules: Rc<RuleTable>,
    /// Epoch of the store that last held these rules.
    rules_epoch: u64,
    lease: FreshnessLease,
    proof_sync: ProofSync,
    target_list_sync: TargetListSync,
    /// Revision of the configuration in the store.
    config_revision: StoreRevision,
    config_sync: ConfigSync,
    /// Digest of the configuration in force.
    config_digest: u64,
    /// The newest configuration that this entry received from the store itself.
    store_copy: Option<ConfigCopy>,
    /// When the newest read was sent that did not return an earlier configuration.
    read_at: Tick,
    /// Whether the store holds an earlier configuration than the one in force.
    is_store_behind: bool,
    /// Epoch of the store in which the configuration was last proven.
    proven_epoch: u64,
    /// Newest version that agents have reported of other entries, once one has answered.
    newest_version: Option<u64>,
    /// Newest known epoch of the store, `None` before its first answer.
    store_epoch: Option<u64>,
    /// The configuration in force, kept to be passed on to other entries.
    config: Option<Rc<RelayConfig>>,
    /// The known targets.
    pub targets: TargetSet,
    evacuations: EvacuationSet,
    /// Targets that were removed and have not been returned by
    /// [`RelayCore::expire_targets`] yet.
    expired: ListChange,
    budgets: HashMap<Arc<str>, RetryBudget>,
    slack_share: SlackShare,
    /// Counters by which deposits and requests for retries go to one agent after the other.
    next_deposit_agent: usize,
    next_retry_agent: usize,
    /// Largest number of subscribed entries that any agent has reported.
    max_subscribers: Option<usize>,
    outbox: Vec<PeerMessage>,
    quarantine: QuarantineLedger,
    /// Engines whose agents relay the reports about parts of prompts.
    part_holders: Vec<SocketAddr>,
    rates: RateTable,
    /// What has been announced to agents about rates.
    announced_rates: AnnouncedRates,
    /// Unix time of tick zero, in milliseconds.
    unix_origin_ms: u64,
}

impl RelayCore {
    /// Creates a relay without configuration or targets. `entry` is its incarnation.
    #[must_use]
    pub fn new(limits: RelayLimits, entry: u64) -> Self {
        RelayCore {
            lease: FreshnessLease::new(limits.proof_bound(), limits.stale_policy),
            limits,
            entry,
            next_number: 0,
            rules: Rc::default(),
            rules_epoch: 0,
            proof_sync: ProofSync::default(),
            target_list_sync: TargetListSync::default(),
            config_revision: StoreRevision::default(),
            config_sync: ConfigSync::default(),
            config_digest: 0,
            store_copy: None,
            read_at: Tick::default(),
            is_store_behind: false,
            proven_epoch: 0,
            newest_version: None,
            store_epoch: None,
            config: None,
            targets: TargetSet::default(),
            evacuations: EvacuationSet::default(),
            expired: ListChange::default(),
            budgets: HashMap::new(),
            slack_share: SlackShare::default(),
            next_deposit_agent: 0,
            next_retry_agent: 0,
            max_subscribers: None,
            outbox: Vec::new(),
            quarantine: QuarantineLedger::new(entry, jitter_of(entry)),
            part_holders: Vec::new(),
            rates: RateTable::default(),
            announced_rates: AnnouncedRates::default(),
            unix_origin_ms: 0,
        }
    }

    /// Applies changed limits. Proofs and spent budgets are kept.
    pub fn set_limits(&mut self, limits: RelayLimits) {
        self.lease.set_bound(limits.proof_bound(), limits.stale_policy);
        for budget in self.budgets.values_mut() {
            budget.set_bound(limits.retry_bound);
        }
        self.limits = limits;
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn limits(&self) -> &RelayLimits {
        &self.limits
    }

    /// Returns the rules in force.
    #[must_use]
    pub fn rules(&self) -> Rc<RuleTable> {
        self.rules.clone()
    }

    /// Returns the freshness lease of the configuration.
    #[must_use]
    pub fn lease(&self) -> &FreshnessLease {
        &self.lease
    }

    /// Returns the incarnation of this entry.
    #[must_use]
    pub fn entry(&self) -> u64 {
        self.entry
    }

    /// Returns `true` if this entry can serve requests. An entry that alone is cut off from the
    /// store is not ready, since the other entries serve its callers better.
    #[must_use]
    pub fn is_ready(&self, now: Tick) -> bool {
        let is_admitting = self.lease.permits_keys(now) && !self.lease.is_isolated(now);
        is_admitting && self.targets.has_list()
    }

    /// Returns `true` once a configuration has been in force and a target list has been read.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.lease.permits_public() && self.targets.has_list()
    }

    /// Returns the jitter of this entry, from 0 to 1. It is random, but constant for an
    /// incarnation.
    fn jitter(&self) -> f64 {
        jitter_of(self.entry)
    }

    /// Returns one engine address for each host, ordered by `rank` of the host's name. The
    /// order is the same for all entries, whichever engines they use.
    pub(crate) fn ranked_hosts(&self, rank: impl Fn(&str) -> u64) -> Vec<SocketAddr> {
        let engines = self.targets.iter().filter(|target| target.model.is_some());
        let mut hosts: Vec<_> = engines.map(|target| target.record.address).collect();
        hosts.sort_by_key(|address| (address.ip(), address.port()));
        hosts.dedup_by_key(|address| address.ip());
        hosts.sort_by_cached_key(|address| rank(&address.ip().to_string()));
        hosts
    }

    /// Finds the route and the account of a request that was read at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration does not allow the request, or if it is not
    /// proven current and the request requires that.
    pub fn admit(
        &mut self,
        host: &str,
        path: &str,
        key: Option<&str>,
        now: Tick,
    ) -> Result<Access, Refusal> {
        if !self.lease.permits_public() {
            return Err(Refusal::ConfigUnproven);
        }
        match self.rules.admit(host, path, key) {
            Ok(access) if self.may_serve(&access.route, now) => Ok(access),
            Ok(_) => Err(Refusal::ConfigUnproven),
            // A newer configuration may contain the route or the key.
            Err(_) if !self.lease.is_held(now) => Err(Refusal::ConfigUnproven),
            Err(AccessFault::NoRoute) => Err(Refusal::NoRoute),
            Err(AccessFault::BadKey) => Err(Refusal::UnknownKey),
        }
    }

    /// Returns the failure domains whose targets may run a request, `None` if all may.
    #[must_use]
    pub fn allowed_domains(&self, access: &Access) -> Option<Rc<DomainSet>> {
        if access.permits_all_regions() {
            return None;
        }
        let regions = self.limits.regions.iter();
        let homes = regions.filter(|(_, region)| access.permits_region(Some(region)));
        Some(Rc::new(homes.map(|(domain, _)| domain.clone()).collect()))
    }

    /// Returns `true` if a request on an admitted route may be served.
    #[must_use]
    pub fn may_serve(&self, route: &RouteRule, now: Tick) -> bool {
        self.lease.permits_keys(now) || (route.is_public && self.lease.permits_public())
    }

    /// Picks one of the route's services by weight. `number` has to be the same each time that
    /// the service of a request is picked.
    #[must_use]
    pub fn pick_service(route: &RouteRule, number: u64) -> Option<Arc<str>> {
        let total: u64 = route.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = number.checked_rem(total)?;
        for share in &route.services {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(share.service.clone());
            }
            remaining -= weight;
        }
        None
    }

    /// Returns the number of entries in the whole fleet, as far as it is known. An agent counts
    /// the entries that use its engine, and in a large fleet each entry uses a part of the
    /// engines only, so the number is extrapolated.
    #[must_use]
    pub fn fleet_entries(&self) -> Option<usize> {
        let engines = || self.targets.iter().filter(|target| target.model.is_some());
        let used: Vec<_> = engines().filter(|target| target.is_used).collect();
        if used.len() == engines().count() {
            return self.max_subscribers;
        }
        let reporting: Vec<_> =
            used.iter().map(|target| target.subscribers).filter(|n| *n > 0).collect();
        let subscribers = reporting.iter().sum::<usize>() * engines().count();
        (!reporting.is_empty()).then(|| subscribers.div_ceil(reporting.len() * used.len()))
    }

    /// Applies a message from an agent.
    pub fn apply_message(&mut self, message: PeerMessage, now: Tick) {
        match message {
            PeerMessage::SubscriptionAck {
                target,
                entries,
                pace_percent,
                proof_age_ms,
                proof_from,
                watchers,
                watched_revision,
                confirmed_revision,
                newest_version,
            } => {
                self.record_newest_version(newest_version);
                self.target_list_sync.record_agent_report(watchers, watched_revision, now);
                if let Some(revision) = confirmed_revision {
                    self.config_sync.record_announced(revision, self.config_revision, now);
                }
                self.max_subscribers =
                    Some(self.max_subscribers.unwrap_or(0).max(entries as usize));
                if let Some(target) = self.targets.get_mut(&target) {
                    target.subscribers = entries as usize;
                    target.acknowledged_at = Some(now);
                    target.contact.record_answer(now);
                }
                if let Some(entries) = self.fleet_entries() {
                    self.slack_share.record_entries(entries, now);
                }
                if let Some(age) = proof_age_ms {
                    let proven_at = now - Duration::from_millis(age.into());
                    self.lease.record_other_proof(proven_at);
                    if let Some(address) = proof_from {
                        self.proof_sync.record_source(address, proven_at);
                    }
                }
                if self.limits.policy.follows_pace
                    && let Some(model) = self.model(&target)
                {
                    model.set_pace(f64::from(pace_percent) / 100.0);
                }
            }
            PeerMessage::StreamPlaced { target, key, load } if key.entry != self.entry => {
                if let Some(model) = self.model(&target) {
                    model.add(key, load, now);
                }
            }
            PeerMessage::StreamEnded { target, key } if key.entry != self.entry => {
                if let Some(model) = self.model(&target) {
                    model.remove(key);
                }
            }
            PeerMessage::EntryGone { target, entry } if entry != self.entry => {
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

    /// Takes the messages that are to be sent to agents.
    pub fn take_messages(&mut self) -> Vec<PeerMessage> {
        let mut messages = std::mem::take(&mut self.outbox);
        messages.extend(self.quarantine.parts.take_messages().into_iter().map(PeerMessage::from));
        if self.limits.policy.sends_notes { messages } else { Vec::new() }
    }

    /// Returns the names of the services that have engines.
    #[must_use]
    pub fn engine_services(&self) -> HashSet<Arc<str>> {
        let services = self.rules.services().filter(|service| service.engine.is_some());
        services.map(|service| service.name.clone()).collect()
    }
}
