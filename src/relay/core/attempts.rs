//! What the core decides of attempts, and notes of how they went.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use super::{AttemptShare, RelayCore, RelayLimits};
use crate::relay::decide::group_search::place_prompt;
use crate::relay::decide::placement::{
    Placement, PlacementQuery, PromptNeed, TargetScope, TurnPolicy, place_call,
};
use crate::relay::decide::retry_budget::RetryBudget;
use crate::relay::decide::return_time::until_usable;
use crate::relay::decide::service_scope::{DomainSet, ServiceScope};
use crate::relay::decide::stream_load::{StreamKey, StreamLoad};
use crate::relay::decide::target_notice::TargetNotice;
use crate::relay::decide::targets::{TargetFault, TargetLife};
use crate::relay::peers::load_note::LoadNote;
use crate::time::Tick;

impl RelayCore {
    /// Counts a caller's request against the budget of second attempts.
    pub fn note_request(&mut self, service: &Arc<str>, now: Tick) {
        self.budget(service).note_request(now);
    }

    /// Takes a second attempt of this entry's own share, false where none is left.
    pub fn take_retry(&mut self, service: &Arc<str>, now: Tick) -> bool {
        self.budget(service).take(now)
    }

    /// Returns true where a second attempt could be made now at a target that was not tried,
    /// and that has a turn for sure.
    pub fn could_retry(
        &mut self,
        service: &Arc<str>,
        domains: Option<&DomainSet>,
        tried: &[Arc<str>],
        now: Tick,
    ) -> bool {
        let is_new = |name| !tried.contains(name);
        let scope = ServiceScope { service, domains };
        let has_other = scope.targets(&self.targets).any(|target| {
            let is_open = target.is_usable(now) && target.rate.is_none();
            target.is_used && is_open && is_new(&target.record.incarnation)
        });
        let budget = self.budget(service);
        has_other && (budget.is_left(now) || budget.may_ask(now))
    }

    pub(super) fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let bound = self.limits.retry_bound;
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(bound))
    }

    /// Chooses where a request goes, none where no target can take it.
    pub fn place<'a>(
        &mut self,
        service: impl Into<ServiceScope<'a>>,
        need: Option<&PromptNeed>,
        scope: TargetScope<'_>,
        now: Tick,
    ) -> Option<Placement> {
        self.place_at(service.into(), need, scope, TurnPolicy::AtOnce, now)
    }

    /// Chooses where a request goes that would wait for its turn, none where no target can
    /// take it.
    pub fn place_for_turn<'a>(
        &mut self,
        service: impl Into<ServiceScope<'a>>,
        need: Option<&PromptNeed>,
        scope: TargetScope<'_>,
        now: Tick,
    ) -> Option<Placement> {
        self.place_at(service.into(), need, scope, TurnPolicy::Waits, now)
    }

    fn place_at(
        &mut self,
        service: ServiceScope<'_>,
        need: Option<&PromptNeed>,
        scope: TargetScope<'_>,
        turn: TurnPolicy,
        now: Tick,
    ) -> Option<Placement> {
        self.remove_missing(now);
        for target in self.targets.iter_mut().filter(|target| target.is_used) {
            if let Some(model) = &mut target.model {
                model.advance(now);
            }
        }
        let RelayLimits { failure_domain, policy, .. } = &self.limits;
        let entry = self.entry;
        let query = PlacementQuery { service, failure_domain, scope, turn, entry, policy };
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
        AttemptShare {
            target: placement.target.clone(),
            life: self.life_of(&placement.target),
            is_suspect: false,
            helpers: placement.helpers.clone(),
            key,
            turn_until: placement.turn_until,
        }
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
        let is_same = self.life_of(&share.target) == share.life;
        if let Some(target) = self.targets.get_mut(&share.target).filter(|_| is_same) {
            target.note_ended();
        }
        if let Some(life) = share.life.as_ref().filter(|_| share.is_suspect) {
            self.quarantine.note_over(life);
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

    /// Takes what an answer says of the life of a target that gave it, but for its rate
    /// ([`RelayCore::take_rate`]).
    pub fn take_notice(&mut self, life: &TargetLife, notice: &TargetNotice, now: Tick) {
        let target = self.targets.get_mut(&life.incarnation);
        let target = target.filter(|target| target.record.to_life() == *life);
        if target.is_some_and(|target| target.take_notice(notice, now)) {
            // Of a large fleet, another one takes its place.
            self.choose_engines(now);
        } else if notice.warmup.is_some() {
            self.mark_rates(now);
        }
    }

    /// Returns true where an attempt may still be sent as it was placed: its targets may have
    /// asked for nothing more since.
    #[must_use]
    pub fn may_send(&self, share: &AttemptShare, now: Tick) -> bool {
        if self.life_of(&share.target) != share.life {
            return false;
        }
        let Some(target) = self.targets.get(&share.target) else { return false };
        let is_in_turn = match share.turn_until {
            Some(until) => now <= until,
            None => target.rate.is_none(),
        };
        let is_willing =
            |name: &Arc<str>| self.targets.get(name).is_some_and(|target| target.is_willing(now));
        is_in_turn && is_willing(&share.target) && share.helpers.iter().all(is_willing)
    }

    /// Time until a target of a service may be sent requests again, none where one may be now
    /// or none is known.
    #[must_use]
    pub fn time_to_target<'a>(
        &self,
        service: impl Into<ServiceScope<'a>>,
        now: Tick,
    ) -> Option<Duration> {
        until_usable(&self.targets, service, now)
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
}
