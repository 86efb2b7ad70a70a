//! Placement of attempts, and records of how they went.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use super::{PlacedAttempt, RelayCore, RelayLimits};
use crate::relay::decide::group_search::place_prompt;
use crate::relay::decide::host_contact::HostCheck;
use crate::relay::decide::placement::{
    PermitPolicy, Placement, PlacementQuery, PromptNeed, TargetScope, place_call,
};
use crate::relay::decide::retry_delay::until_usable;
use crate::relay::decide::service_scope::ServiceScope;
use crate::relay::decide::stream_load::{StreamKey, StreamLoad};
use crate::relay::decide::target_notice::TargetNotice;
use crate::relay::decide::targets::{TargetFault, TargetInstance};
use crate::relay::peers::peer_message::PeerMessage;
use crate::time::Tick;

impl RelayCore {
    /// Chooses the targets of a request, `None` if no target can take it.
    pub fn place<'a>(
        &mut self,
        service: impl Into<ServiceScope<'a>>,
        need: Option<&PromptNeed>,
        scope: TargetScope<'_>,
        now: Tick,
    ) -> Option<Placement> {
        self.place_with_policy(service.into(), need, scope, PermitPolicy::Immediate, now)
    }

    /// Chooses the targets of a request that can wait for a permit of a rate-limited target,
    /// `None` if no target can take it.
    pub fn place_with_permit<'a>(
        &mut self,
        service: impl Into<ServiceScope<'a>>,
        need: Option<&PromptNeed>,
        scope: TargetScope<'_>,
        now: Tick,
    ) -> Option<Placement> {
        self.place_with_policy(service.into(), need, scope, PermitPolicy::MayWait, now)
    }

    fn place_with_policy(
        &mut self,
        service: ServiceScope<'_>,
        need: Option<&PromptNeed>,
        scope: TargetScope<'_>,
        permit: PermitPolicy,
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
        let query = PlacementQuery { service, failure_domain, scope, permit, entry, policy };
        match need {
            Some(need) => place_prompt(&self.targets, &query, need, now),
            None => place_call(&self.targets, &query, now),
        }
    }

    /// Records that a request is being sent as it was placed.
    pub fn begin_attempt(
        &mut self,
        placement: &Placement,
        need: Option<&PromptNeed>,
        now: Tick,
    ) -> PlacedAttempt {
        self.next_number += 1;
        let stream_key = StreamKey { entry: self.entry, number: self.next_number };
        if let Some(target) = self.targets.get_mut(&placement.target) {
            target.record_sent(now);
        }
        if let Some(need) = need {
            self.begin_stream(placement, need, stream_key, now);
        }
        PlacedAttempt {
            target: placement.target.clone(),
            instance: self.instance_of(&placement.target),
            is_suspect: false,
            helpers: placement.helpers.clone(),
            stream_key,
            send_before: placement.send_before,
        }
    }

    fn begin_stream(
        &mut self,
        placement: &Placement,
        need: &PromptNeed,
        key: StreamKey,
        now: Tick,
    ) {
        let Some(model) = self.targets.get(&placement.target).and_then(|t| t.model.as_ref()) else {
            return;
        };
        let shards = placement.helpers.len() + 1;
        let prefill = model.rates().prefill_time(need.prompt_tokens);
        let holders = placement.reservations.len() + 1;
        let first_event_us = placement.first_event.as_micros() as u64;
        let passes = model.rates().passes(need.answer_tokens);
        let own_load =
            StreamLoad { first_event_us, ..need.to_load(prefill, shards, holders, passes) };
        let shard_load = StreamLoad { first_event_us, ..need.to_helper_load(prefill, shards) };
        self.add_load(&placement.target, key, own_load, now);
        for (index, helper) in placement.helpers.iter().enumerate() {
            let load = if index < placement.reservations.len() { own_load } else { shard_load };
            self.add_load(helper, key, load, now);
        }
    }

    fn add_load(&mut self, name: &Arc<str>, key: StreamKey, load: StreamLoad, now: Tick) {
        let target = self.targets.get_mut(name);
        if let Some(model) = target.and_then(|target| target.model.as_mut()) {
            model.add(key, load, now);
            self.outbox.push(PeerMessage::StreamPlaced { target: name.clone(), key, load });
        }
    }

    /// Records that an attempt has ended, whatever its outcome, and releases what it occupied.
    pub fn end_attempt(&mut self, attempt: &PlacedAttempt) {
        let is_same = self.instance_of(&attempt.target) == attempt.instance;
        if let Some(target) = self.targets.get_mut(&attempt.target).filter(|_| is_same) {
            target.record_finished();
        }
        if let Some(instance) = attempt.instance.as_ref().filter(|_| attempt.is_suspect) {
            self.quarantine.record_finished(instance);
        }
        for name in std::iter::once(&attempt.target).chain(&attempt.helpers) {
            let target = self.targets.get_mut(name);
            if let Some(model) = target.and_then(|target| target.model.as_mut()) {
                model.remove(attempt.stream_key);
                self.outbox.push(PeerMessage::StreamEnded {
                    target: name.clone(),
                    key: attempt.stream_key,
                });
            }
        }
    }

    /// Records that bytes of an answer were received.
    pub fn record_received(&mut self, target: &str, now: Tick) {
        if let Some(target) = self.targets.get_mut(target) {
            target.record_received(now);
        }
    }

    /// Predicts the time until the prompt of an attempt is prefilled, from the known prefill work
    /// of its engines.
    pub fn time_to_prefill(&mut self, attempt: &PlacedAttempt, now: Tick) -> Duration {
        let mut longest = Duration::ZERO;
        for name in std::iter::once(&attempt.target).chain(&attempt.helpers) {
            if let Some(model) = self.model(name) {
                model.advance(now);
                longest = longest.max(model.time_to_prefill(attempt.stream_key, now));
            }
        }
        longest
    }

    /// Predicts the time until the current forward pass of an engine ends.
    pub fn time_to_pass_end(&mut self, target: &str, now: Tick) -> Duration {
        self.model(target).map_or(Duration::ZERO, |model| model.time_to_pass_end(now))
    }

    /// Records the first event of a stream: its prompt is prefilled.
    pub fn record_first_event(&mut self, attempt: &PlacedAttempt, now: Tick) {
        for name in std::iter::once(&attempt.target).chain(&attempt.helpers) {
            if let Some(model) = self.model(name) {
                model.record_first_event(attempt.stream_key, now);
            }
        }
    }

    /// Records an event that its engine sent at the end of a forward pass.
    pub fn record_pass_end(&mut self, target: &str, now: Tick) {
        if let Some(model) = self.model(target) {
            model.record_pass_end(now);
        }
    }

    /// Records a request that its target served.
    pub fn record_success(&mut self, target: &str) {
        if let Some(target) = self.targets.get_mut(target) {
            target.record_success();
        }
    }

    /// Records a failure of a target. Returns the duration of its ejection, if it is ejected.
    pub fn record_failure(
        &mut self,
        target: &str,
        fault: TargetFault,
        now: Tick,
    ) -> Option<Duration> {
        self.targets.get_mut(target)?.record_failure(fault, now)
    }

    /// Applies what an answer states about the target instance that gave it, except for its rate
    /// ([`RelayCore::apply_rate`]).
    pub fn apply_notice(&mut self, instance: &TargetInstance, notice: &TargetNotice, now: Tick) {
        let target = self.targets.get_mut(&instance.incarnation);
        let target = target.filter(|target| target.record.to_instance() == *instance);
        if target.is_some_and(|target| target.apply_notice(notice, now)) {
            // In a large fleet another engine takes its place.
            self.choose_engines(now);
        } else if notice.warmup.is_some() {
            self.update_rate_limits(now);
        }
    }

    /// Returns `true` if an attempt may still be sent as it was placed. Its targets may have asked
    /// for back-off since.
    #[must_use]
    pub fn may_send(&self, attempt: &PlacedAttempt, now: Tick) -> bool {
        if self.instance_of(&attempt.target) != attempt.instance {
            return false;
        }
        let Some(target) = self.targets.get(&attempt.target) else { return false };
        let has_permit = match attempt.send_before {
            Some(until) => now <= until,
            None => target.rate.is_none(),
        };
        let is_accepting =
            |name: &Arc<str>| self.targets.get(name).is_some_and(|target| target.is_accepting(now));
        has_permit && is_accepting(&attempt.target) && attempt.helpers.iter().all(is_accepting)
    }

    /// Returns the time until a target of a service accepts requests again, `None` if one does
    /// now or if no target is known.
    #[must_use]
    pub fn time_to_target<'a>(
        &self,
        service: impl Into<ServiceScope<'a>>,
        now: Tick,
    ) -> Option<Duration> {
        until_usable(&self.targets, service, now)
    }

    /// Records that a helper was the cause of a refusal of `target`, which counts as a failure of
    /// the helper. Returns `true` if a target with this address is known.
    pub fn record_helper_failure(&mut self, target: &str, helper: SocketAddr, now: Tick) -> bool {
        let mut targets = self.targets.iter_mut();
        let found = targets
            .find(|other| other.record.address == helper && &*other.record.incarnation != target);
        let Some(found) = found else { return false };
        // Its ejection is logged when a request to the helper itself fails.
        let _ = found.record_failure(TargetFault::Broken, now);
        true
    }

    /// Records that the agent at `host` reports its engine as down.
    pub fn record_down(&mut self, host: IpAddr, now: Tick) {
        let engines = self.targets.iter_mut().filter(|target| target.model.is_some());
        for target in engines.filter(|target| target.record.address.ip() == host) {
            target.record_down(now);
        }
    }

    /// Records that subscriptions are sent to the agents of the engines that this entry uses.
    pub fn record_subscriptions(&mut self, now: Tick) {
        for target in self.targets.iter_mut().filter(|target| target.is_used) {
            target.contact.record_query(now);
        }
    }

    /// Records that a target is overdue. Returns what to do about the agent on its host; a query is
    /// taken to be sent.
    pub fn check_host(&mut self, target: &str, now: Tick) -> HostCheck {
        let Some(target) = self.targets.get_mut(target) else { return HostCheck::Wait };
        let check = target.contact.record_overdue(now);
        if check == HostCheck::Query {
            target.contact.record_query(now);
        }
        check
    }

    /// Returns `true` if the host of a target answers nothing.
    #[must_use]
    pub fn is_host_silent(&self, target: &str, now: Tick) -> bool {
        self.targets.get(target).is_some_and(|target| target.contact.is_silent(now))
    }

    /// Applies the report of another entry that the host of a target answers nothing.
    pub fn apply_host_silence(&mut self, instance: &TargetInstance, now: Tick) {
        let target = self.targets.get_mut(&instance.incarnation);
        if let Some(target) = target.filter(|target| target.record.to_instance() == *instance) {
            target.contact.record_report(now);
        }
    }
}
