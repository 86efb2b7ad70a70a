//! What the relay of one entry knows and decides, without input or output.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::decide::engine_subset::{SubsetQuery, mark_used};
use super::decide::pass_model::{StreamKey, StreamLoad};
use super::decide::placement::{
    Placement, PlacementQuery, PromptNeed, TargetScope, place_call, place_prompt,
};
use super::decide::policy::RelayPolicy;
use super::decide::retry_budget::{RetryBound, RetryBudget};
use super::decide::targets::{ListChange, TargetFault, TargetRecord, TargetSet};
use super::discovery::feed::TargetChange;
use super::discovery::freshness::{FreshnessLease, StalePolicy};
use super::discovery::list_share::{ListNews, ListShare, NewsVerdict};
use super::discovery::proof_share::{PeerProof, PeerVerdict, ProofShare};
use super::discovery::rules::{Access, AccessFault, RelayConfig, RouteRule, RuleTable};
use super::peers::config_copy::ConfigCopy;
use super::peers::load_note::LoadNote;
use crate::time::Tick;

/// What does not change while the process runs.
#[derive(Clone, Debug)]
pub struct RelayLimits {
    /// Failure domain of this process.
    pub failure_domain: Arc<str>,
    /// Longest time between the removal of a key and its last use.
    pub revoke_bound: Duration,
    /// What is done while the configuration can not be proven current.
    pub stale_policy: StalePolicy,
    /// Longest time in which a target that is leaving may still get requests.
    pub drain_bound: Duration,
    /// Bound on second attempts over all entries.
    pub retry_bound: RetryBound,
    /// What is weighed when a request is placed.
    pub policy: RelayPolicy,
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
    /// The targets that help.
    pub helpers: Vec<Arc<str>>,
    /// The name of its stream.
    pub key: StreamKey,
}

/// State and decisions of the relay.
#[derive(Debug)]
pub struct RelayCore {
    limits: RelayLimits,
    entry: u64,
    next_number: u64,
    rules: Rc<RuleTable>,
    lease: FreshnessLease,
    proof_share: ProofShare,
    list_share: ListShare,
    /// Revision of the configuration in the store.
    config_revision: u64,
    /// The configuration in force, to be passed on.
    config: Option<Rc<RelayConfig>>,
    /// The targets.
    pub targets: TargetSet,
    budgets: HashMap<Arc<str>, RetryBudget>,
    /// Most entries that an agent was seen to tell.
    entries: Option<usize>,
    notes: Vec<LoadNote>,
}

impl RelayCore {
    /// A relay that knows nothing yet. `entry` is its incarnation.
    #[must_use]
    pub fn new(limits: RelayLimits, entry: u64) -> Self {
        RelayCore {
            lease: FreshnessLease::new(limits.revoke_bound, limits.stale_policy),
            limits,
            entry,
            next_number: 0,
            rules: Rc::default(),
            proof_share: ProofShare::default(),
            list_share: ListShare::default(),
            config_revision: 0,
            config: None,
            targets: TargetSet::default(),
            budgets: HashMap::new(),
            entries: None,
            notes: Vec::new(),
        }
    }

    /// Takes changed limits. What was proven and spent before stays so.
    pub fn set_limits(&mut self, limits: RelayLimits) {
        self.lease.set_bound(limits.revoke_bound, limits.stale_policy);
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

    /// Takes the result of a linearizable read that was sent at `sent_at`;
    /// `config` is none where it is the one that is known. Returns true where
    /// another version came into force.
    pub fn take_config(&mut self, config: Option<RelayConfig>, sent_at: Tick) -> bool {
        self.lease.renew(sent_at);
        config.is_some_and(|config| self.take_news(config))
    }

    /// Takes a configuration that a watch told of, which proves nothing about
    /// later ones. Returns true where it came into force.
    pub fn take_news(&mut self, config: RelayConfig) -> bool {
        // A lower version than the one in force would be a step back.
        if config.version <= self.rules.version() {
            return false;
        }
        self.rules = Rc::new(RuleTable::from_config(config.clone()));
        self.config = Some(Rc::new(config));
        self.set_rates();
        true
    }

    /// The configuration in force, for another entry.
    #[must_use]
    pub fn config_copy(&self) -> Option<ConfigCopy> {
        let config = self.config.clone()?;
        Some(ConfigCopy { revision: self.config_revision, config })
    }

    /// Takes the configuration of another entry, and the proof for which it was asked.
    /// Returns true where it came into force.
    pub fn take_copy(&mut self, copy: &ConfigCopy) -> bool {
        if copy.revision <= self.config_revision {
            return false;
        }
        let is_new = self.take_news((*copy.config).clone());
        self.set_config_revision(copy.revision);
        if let Some(proven_at) = self.proof_share.take_ahead(copy.revision) {
            self.lease.renew(proven_at);
        }
        is_new
    }

    /// Revision that the configuration in force has in the store, zero for none.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.config_revision
    }

    /// Notes the revision that the configuration in force has in the store.
    pub fn set_config_revision(&mut self, revision: u64) {
        self.config_revision = self.config_revision.max(revision);
    }

    /// Returns true where this entry asks a store again that did not answer.
    #[must_use]
    pub fn probes_store(&self) -> bool {
        ProofShare::probes(self.fleet_entries().unwrap_or(1), rand::random())
    }

    /// The entry that is to be asked for its proof, and the question: none where
    /// none is known whose proof is enough newer.
    pub fn ask_proof(&mut self, now: Tick) -> Option<(SocketAddr, LoadNote)> {
        let nonce = rand::random();
        let address = self.proof_share.ask(nonce, self.lease.proven_at()?, now)?;
        Some((address, LoadNote::AskProof { nonce }))
    }

    /// Answers another entry's question, where there is anything to tell.
    #[must_use]
    pub fn tell_proof(&self, nonce: u64, now: Tick) -> Option<LoadNote> {
        const ROUNDING: u32 = 1;
        let age = self.lease.age(now).filter(|_| self.lease.is_held(now))?;
        let proof_age_ms = u32::try_from(age.as_millis()).ok()? + ROUNDING;
        Some(LoadNote::TellProof { nonce, revision: self.config_revision, proof_age_ms })
    }

    /// Takes another entry's answer, and renews the lease by it where it may.
    pub fn take_proof(&mut self, proof: PeerProof) -> PeerVerdict {
        let verdict = self.proof_share.take_answer(proof, self.config_revision);
        if let PeerVerdict::ProvenAt(at) = verdict {
            self.lease.renew(at);
        }
        verdict
    }

    /// Takes a whole list of targets.
    pub fn take_list(
        &mut self,
        records: Vec<TargetRecord>,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        let change = self.targets.take_list(records, is_after_outage, now);
        self.set_rates();
        self.choose_engines(now);
        change
    }

    /// Chooses anew which engines this entry uses.
    pub fn choose_engines(&mut self, now: Tick) {
        let RelayLimits { failure_domain, policy, .. } = &self.limits;
        let query = SubsetQuery { entry: self.entry, failure_domain, most: policy.most_engines };
        let services: Vec<_> = self.engine_services().into_iter().collect();
        mark_used(&mut self.targets, &services, query, now);
    }

    /// Gives each target the rates of its service. Configuration and list are
    /// read separately, and either may come first.
    fn set_rates(&mut self) {
        for target in self.targets.iter_mut() {
            let service = self.rules.service(&target.record.service);
            if let Some(rates) = service.and_then(|service| service.engine.as_ref()) {
                target.set_rates(rates, self.entry);
                if let Some(model) = &mut target.model {
                    model.set_grace(Duration::from_millis(self.limits.policy.pass_grace_ms));
                }
            }
        }
    }

    /// Takes a change of one target.
    pub fn take_change(&mut self, record: TargetRecord, now: Tick) -> ListChange {
        let change = self.targets.take_change(record, now);
        self.set_rates();
        self.choose_engines(now);
        change
    }

    /// What is known of the list of targets, and who watches it.
    #[must_use]
    pub fn list_share(&self) -> &ListShare {
        &self.list_share
    }

    /// Notes a list that was read and is true at `revision`; its targets changed last
    /// at `changed_at`.
    pub fn note_list(&mut self, revision: u64, changed_at: u64) {
        self.list_share.note_list(revision, changed_at);
    }

    /// Takes changes that the own watch brought, up to `revision`. Returns what others
    /// are to be told, none where they changed nothing.
    pub fn take_watched(
        &mut self,
        changes: Vec<TargetChange>,
        revision: u64,
        is_after_outage: bool,
        now: Tick,
    ) -> (ListChange, Option<ListNews>) {
        if changes.is_empty() {
            return (ListChange::default(), None);
        }
        let change = self.take_changes(&changes, is_after_outage, now);
        let since = self.list_share.note_watched(revision);
        let news = ListNews { since, mark: self.list_share.mark(), changes };
        (change, Some(news))
    }

    /// Takes changes that another entry tells. Whether the store was away is for each
    /// to say for itself: it may have turned away the other one only.
    pub fn take_list_news(
        &mut self,
        news: &ListNews,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        match self.list_share.take_news(news, now) {
            NewsVerdict::Next => self.take_changes(&news.changes, is_after_outage, now),
            NewsVerdict::Known | NewsVerdict::Gap => ListChange::default(),
        }
    }

    fn take_changes(
        &mut self,
        changes: &[TargetChange],
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        let mut all = ListChange::default();
        for change in changes {
            all.join(match change {
                TargetChange::Listed(record) => self.take_change(record.clone(), now),
                TargetChange::Removed(name) => {
                    self.targets.take_removal(name, is_after_outage, now)
                }
            });
        }
        all
    }

    /// Decides from time to time whether this entry watches the list. Returns true
    /// where that changed.
    pub fn decide_watching(&mut self, now: Tick) -> bool {
        let engines = || self.targets.iter().filter(|target| target.model.is_some());
        let used = engines().filter(|target| target.is_used).count();
        let part = used as f64 / engines().count().max(1) as f64;
        let entries = self.fleet_entries().unwrap_or(1);
        self.list_share.decide(part, entries, rand::random(), now)
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

    /// Counts a caller's request against the budget of second attempts.
    pub fn note_request(&mut self, service: &Arc<str>, now: Tick) {
        self.budget(service).note_request(now);
    }

    /// Takes a second attempt from the budget, false where none is left.
    pub fn take_retry(&mut self, service: &Arc<str>, now: Tick) -> bool {
        let entries = self.fleet_entries();
        self.budget(service).take(now, entries)
    }

    /// Returns true where a second attempt could be made now at a target that
    /// was not tried.
    pub fn could_retry(&mut self, service: &Arc<str>, tried: &[Arc<str>], now: Tick) -> bool {
        let is_new = |name| !tried.contains(name);
        let has_other = self
            .targets
            .usable(service)
            .any(|target| target.is_used && is_new(&target.record.incarnation));
        let entries = self.fleet_entries();
        has_other && self.budget(service).is_left(now, entries)
    }

    /// Entries of the whole fleet. An agent counts those that use its engine, which
    /// are a part of all where each uses a part of the engines.
    fn fleet_entries(&self) -> Option<usize> {
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

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let bound = self.limits.retry_bound;
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(bound))
    }

    /// Chooses where a request goes, none where no target can take it.
    pub fn place(
        &mut self,
        service: &str,
        need: Option<&PromptNeed>,
        scope: TargetScope<'_>,
        now: Tick,
    ) -> Option<Placement> {
        drop(self.targets.expire(now));
        for target in self.targets.iter_mut().filter(|target| target.is_used) {
            if let Some(model) = &mut target.model {
                model.advance(now);
            }
        }
        let RelayLimits { failure_domain, policy, .. } = &self.limits;
        let query = PlacementQuery { service, failure_domain, scope, entry: self.entry, policy };
        match need {
            Some(need) => place_prompt(&self.targets, &query, need, now),
            None => place_call(&self.targets, &query, now),
        }
    }

    /// Notes that a request is being sent as it was placed.
    pub fn begin(
        &mut self,
        placement: &Placement,
        need: Option<&PromptNeed>,
        now: Tick,
    ) -> AttemptShare {
        self.next_number += 1;
        let key = StreamKey { entry: self.entry, number: self.next_number };
        if let Some(target) = self.targets.get_mut(&placement.target) {
            target.note_sent(now);
        }
        if let Some(need) = need {
            self.begin_stream(placement, need, key, now);
        }
        AttemptShare { target: placement.target.clone(), helpers: placement.helpers.clone(), key }
    }

    fn begin_stream(
        &mut self,
        placement: &Placement,
        need: &PromptNeed,
        key: StreamKey,
        now: Tick,
    ) {
        let Some(rates) = self.targets.get(&placement.target).and_then(|t| t.model.as_ref()) else {
            return;
        };
        let parts = placement.helpers.len() + 1;
        let read = rates.rates().read_time(need.prompt);
        let holders = placement.seats.len() + 1;
        let start_us = placement.first.as_micros() as u64;
        let passes = rates.rates().passes(need.answer);
        let own = StreamLoad { start_us, ..need.to_load(read, parts, holders, passes) };
        let part = StreamLoad { start_us, ..need.to_helper_load(read, parts) };
        self.add_load(&placement.target, key, own, now);
        for (at, helper) in placement.helpers.iter().enumerate() {
            let load = if at < placement.seats.len() { own } else { part };
            self.add_load(helper, key, load, now);
        }
    }

    fn add_load(&mut self, name: &Arc<str>, key: StreamKey, load: StreamLoad, now: Tick) {
        let target = self.targets.get_mut(name);
        if let Some(model) = target.and_then(|target| target.model.as_mut()) {
            model.add(key, load, now);
            self.notes.push(LoadNote::Placed { target: name.clone(), key, load });
        }
    }

    /// Notes that an attempt has ended, however it did.
    pub fn end(&mut self, share: &AttemptShare) {
        if let Some(target) = self.targets.get_mut(&share.target) {
            target.note_ended();
        }
        for name in std::iter::once(&share.target).chain(&share.helpers) {
            let target = self.targets.get_mut(name);
            if let Some(model) = target.and_then(|target| target.model.as_mut()) {
                model.remove(share.key);
                self.notes.push(LoadNote::Ended { target: name.clone(), key: share.key });
            }
        }
    }

    /// Notes bytes of an answer.
    pub fn note_heard(&mut self, target: &str, now: Tick) {
        if let Some(target) = self.targets.get_mut(target) {
            target.note_heard(now);
        }
    }

    /// Time until the prompt of an attempt should be read, as far as it is known
    /// what else its engines have to read.
    pub fn time_to_read(&mut self, share: &AttemptShare, now: Tick) -> Duration {
        let mut longest = Duration::ZERO;
        for name in std::iter::once(&share.target).chain(&share.helpers) {
            if let Some(model) = self.model(name) {
                model.advance(now);
                longest = longest.max(model.time_to_read(share.key, now));
            }
        }
        longest
    }

    /// Time until the pass that an engine has under way should end.
    pub fn time_to_pass_end(&mut self, target: &str, now: Tick) -> Duration {
        self.model(target).map_or(Duration::ZERO, |model| model.time_to_pass_end(now))
    }

    /// Notes the first event of a stream: its prompt has been read.
    pub fn note_first(&mut self, share: &AttemptShare, now: Tick) {
        for name in std::iter::once(&share.target).chain(&share.helpers) {
            if let Some(model) = self.model(name) {
                model.note_first(share.key, now);
            }
        }
    }

    /// Notes an event that its engine sent at the end of a pass.
    pub fn note_pass(&mut self, target: &str, now: Tick) {
        if let Some(model) = self.model(target) {
            model.note_pass(now);
        }
    }

    /// Notes a request that its target served.
    pub fn note_success(&mut self, target: &str) {
        if let Some(target) = self.targets.get_mut(target) {
            target.note_success();
        }
    }

    /// Notes a failure of a target. Returns for how long it is left alone.
    pub fn note_failure(
        &mut self,
        target: &str,
        fault: TargetFault,
        now: Tick,
    ) -> Option<Duration> {
        self.targets.get_mut(target)?.note_failure(fault, now)
    }

    /// Notes that a helper was the cause of a refusal of `target`. Returns
    /// true where it was one: it is left alone for a while then.
    pub fn note_helper_failure(&mut self, target: &str, helper: SocketAddr, now: Tick) -> bool {
        let mut targets = self.targets.iter_mut();
        let found = targets
            .find(|other| other.record.address == helper && &*other.record.incarnation != target);
        let Some(found) = found else { return false };
        // How long it is left alone is logged where it fails itself.
        let _ = found.note_failure(TargetFault::Broken, now);
        true
    }

    /// Notes that the agent at `host` says that the engine there is down.
    pub fn note_down(&mut self, host: IpAddr, now: Tick) {
        let engines = self.targets.iter_mut().filter(|target| target.model.is_some());
        for target in engines.filter(|target| target.record.address.ip() == host) {
            target.note_down(now);
        }
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
            } => {
                self.list_share.note_agent(watchers, list_mark, now);
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
