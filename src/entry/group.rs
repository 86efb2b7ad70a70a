//! Groups of engines for a prompt that does not fit into the memory of one engine.
//!
//! The entry reserves memory at one member after the other, in the order of their names, and
//! waits for each hold. All groups reserve in the same order, so there is no deadlock. Each agent
//! serves waiting groups in the order of their arrival, so that large prompts do not starve.
//! A hold that is not renewed expires.

use std::sync::Arc;

use super::core::{EntryCore, Timer};
use super::decision_log::DecisionStep;
use super::event::{Effect, FailureCode};
use super::request::{Member, Offer, Phase};
use crate::id::AttemptKey;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{Hold, ToAgent};

/// Fraction of an engine's memory that a group may take.
const MAX_FILL: f64 = 0.95;

/// Number of renewals within the time to live of a hold.
const RENEWALS_PER_TTL: u32 = 3;

/// Maximum number of probe rounds for a group if too few engines answer.
const MAX_GROUP_ROUNDS: u16 = 40;

impl EntryCore {
    /// Chooses the members among the offers and reserves memory at the first one.
    pub(super) fn form_group(&mut self, number: u64, offers: &[Offer], now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let total = request.need.total();
        let mut members: Vec<Member> = Vec::new();
        let mut available = 0;
        // Offers are sorted with the best one last.
        for offer in offers.iter().rev() {
            if available >= total {
                break;
            }
            let tokens = (offer.answer.capacity_tokens as f64 * MAX_FILL) as u64;
            available += tokens;
            let target = offer.target.clone();
            members.push(Member { target, tokens, engine: None, held_at: now });
        }
        if available < total {
            self.back_off_group(number, now);
            return;
        }
        scale_shares(&mut members, total, available);
        members.sort_by(|a, b| a.target.cmp(&b.target));
        let targets = members.iter().map(|member| member.target.clone()).collect();
        request.log.push(now, DecisionStep::Grouped { targets });
        request.members = members;
        request.attempt += 1;
        request.phase = Phase::Holding { next: 0, since: now };
        let attempt = request.attempt;
        self.counts.groups += 1;
        let renewal = self.tuning.hold_ttl / RENEWALS_PER_TTL;
        self.timers.subscribe(now + renewal, Timer::Renew(number, attempt));
        self.hold_next(number, now);
    }

    fn back_off_group(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.tried.clear();
        if request.rounds >= MAX_GROUP_ROUNDS {
            let text = "too few engines answered for a prompt of this length";
            self.fail(number, FailureCode::Overloaded, text, now);
            return;
        }
        self.back_off(number, "too few engines answered for a group", now);
    }

    fn hold_next(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Holding { next, since } = &mut request.phase else {
            return;
        };
        let Some(member) = request.members.get(*next) else {
            let leader = request.members[0].target.clone();
            self.dispatch(number, &leader, "first of the group that holds its memory".into(), now);
            return;
        };
        *since = now;
        let wait = self.tuning.hold_timeout;
        let hold = Hold {
            attempt: AttemptKey(number, request.attempt),
            tokens: member.tokens,
            expires_us: (wait + self.tuning.hold_ttl).as_micros() as u64,
            is_renewal: false,
        };
        let timer = Timer::Hold(number, request.attempt);
        self.timers.subscribe(now + wait, timer);
        self.effects.push(Effect::Send(member.target.clone(), ToAgent::Hold(hold)));
    }

    pub(super) fn on_held(
        &mut self,
        target: &Arc<str>,
        key: AttemptKey,
        engine: Arc<str>,
        now: Tick,
    ) {
        let Some(request) = self.requests.get_mut(&key.0) else {
            // The request has ended.
            self.effects.push(Effect::Send(target.clone(), ToAgent::Release(key)));
            return;
        };
        let is_current = request.key() == key;
        let member = request.members.iter_mut().find(|member| member.target == *target);
        let Some(member) = member.filter(|_| is_current) else {
            self.effects.push(Effect::Send(target.clone(), ToAgent::Release(key)));
            return;
        };
        member.held_at = now;
        if member.engine.replace(engine).is_some() {
            return;
        }
        if let Phase::Holding { next, .. } = &mut request.phase {
            *next += 1;
            self.hold_next(key.0, now);
        }
    }

    pub(super) fn on_not_held(&mut self, target: &Arc<str>, key: AttemptKey, now: Tick) {
        let Some(request) = self.requests.get(&key.0) else {
            return;
        };
        let is_member = request.members.iter().any(|member| member.target == *target);
        if request.key() == key && is_member {
            self.end_group(key.0, target, now);
        }
    }

    /// Ends a group that lost a member, or could not reserve memory at one.
    fn end_group(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let reason = format!("{target} holds no memory for the group");
        if request.attempt_target().is_some() {
            self.cancel_attempt(number);
            self.on_attempt_failed(number, Verdict::MayHaveRun, &reason, now);
            return;
        }
        self.release_members(number);
        self.back_off(number, &reason, now);
    }

    /// Handles the loss of the connection to a member: renews the holds at once, to learn whether
    /// its memory is still held.
    pub(super) fn on_member_lost(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(member) = request.members.iter().find(|member| member.target == *target) else {
            return;
        };
        let is_leader = request.attempt_target().is_some_and(|(name, _)| name == target);
        if is_leader {
            return;
        }
        if member.engine.is_none() {
            if matches!(request.phase, Phase::Holding { .. }) {
                self.end_group(number, target, now);
            }
            return;
        }
        self.renew_holds(number);
    }

    fn renew_holds(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let leader = request.attempt_target().map(|(target, _)| target.clone());
        let key = request.key();
        let expires_us = self.tuning.hold_ttl.as_micros() as u64;
        for member in &request.members {
            if member.engine.is_none() || Some(&member.target) == leader.as_ref() {
                continue;
            }
            let hold = Hold { attempt: key, tokens: member.tokens, expires_us, is_renewal: true };
            self.effects.push(Effect::Send(member.target.clone(), ToAgent::Hold(hold)));
        }
    }

    pub(super) fn on_renew_due(&mut self, number: u64, attempt: u16, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.attempt != attempt || request.members.is_empty() {
            return;
        }
        let leader = request.attempt_target().map(|(target, _)| target.clone());
        let ttl = self.tuning.hold_ttl;
        let lost = request.members.iter().find(|member| {
            let is_held = member.engine.is_some() && Some(&member.target) != leader.as_ref();
            is_held && now.since(member.held_at) > ttl
        });
        if let Some(target) = lost.map(|member| member.target.clone()) {
            self.end_group(number, &target, now);
            return;
        }
        self.renew_holds(number);
        self.timers.subscribe(now + ttl / RENEWALS_PER_TTL, Timer::Renew(number, attempt));
    }

    pub(super) fn on_hold_due(&mut self, number: u64, attempt: u16, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Phase::Holding { next, since } = &request.phase else {
            return;
        };
        if request.attempt != attempt || now.since(*since) < self.tuning.hold_timeout {
            return;
        }
        if let Some(target) = request.members.get(*next).map(|member| member.target.clone()) {
            self.end_group(number, &target, now);
        }
    }

    /// Releases the memory that members hold for the live attempt.
    pub(super) fn release_members(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let key = request.key();
        for member in std::mem::take(&mut request.members) {
            self.effects.push(Effect::Send(member.target, ToAgent::Release(key)));
        }
    }
}

/// Scales the members' tokens down from `available`, their sum, to `total`, the required number.
fn scale_shares(members: &mut [Member], total: u64, available: u64) {
    for member in members {
        let share = member.tokens as f64 * total as f64 / available as f64;
        member.tokens = share.ceil() as u64;
    }
}
