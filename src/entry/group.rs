//! Groups of engines for a prompt that is larger than one of them.
//!
//! Memory is asked for at one member after the other, in the order of their
//! names, and waited for. Since every group asks in the same order, no two
//! can wait for each other. Each agent serves waiting groups in the order
//! they came, so the largest prompt gets its turn. A lease that is not
//! renewed expires by itself.

use std::sync::Arc;

use super::core::{EntryCore, Timer};
use super::event::{Effect, FailureCode};
use super::request::{Member, Offer, Phase};
use super::why::DecisionStep;
use crate::id::AttemptKey;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{Hold, ToAgent};

/// Share of an engine's memory that a group may take.
const FILL: f64 = 0.95;

/// Renewals within the time to live of a lease.
const RENEWALS: u32 = 3;

/// Waves of questions after which too few engines are believed to exist.
const MAX_GROUP_WAVES: u16 = 40;

impl EntryCore {
    /// Chooses members among the offers and asks the first for memory.
    pub(super) fn form_group(&mut self, number: u64, offers: &[Offer], now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let total = request.need.total();
        let mut members: Vec<Member> = Vec::new();
        let mut room = 0;
        // The best offers stand last.
        for offer in offers.iter().rev() {
            if room >= total {
                break;
            }
            let tokens = (offer.answer.capacity_tokens as f64 * FILL) as u64;
            room += tokens;
            let target = offer.target.clone();
            members.push(Member { target, tokens, engine: None, held: now });
        }
        if room < total {
            self.ask_wider(number, now);
            return;
        }
        level_shares(&mut members, total, room);
        members.sort_by(|a, b| a.target.cmp(&b.target));
        let targets = members.iter().map(|member| member.target.clone()).collect();
        request.log.push(now, DecisionStep::Grouped { targets });
        request.members = members;
        request.attempt += 1;
        request.phase = Phase::Holding { next: 0, since: now };
        let attempt = request.attempt;
        self.counts.groups += 1;
        let renewal = self.tuning.hold_ttl / RENEWALS;
        self.timers.subscribe(now + renewal, Timer::Renew(number, attempt));
        self.claim_next(number, now);
    }

    fn ask_wider(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.tried.clear();
        if request.waves >= MAX_GROUP_WAVES {
            let text = "too few engines answered for a prompt of this length";
            self.fail(number, FailureCode::Overloaded, text, now);
            return;
        }
        self.back_off(number, "too few engines answered for a group", now);
    }

    fn claim_next(&mut self, number: u64, now: Tick) {
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
        let timer = Timer::Claim(number, request.attempt);
        self.timers.subscribe(now + wait, timer);
        self.out.push(Effect::Send(member.target.clone(), ToAgent::Hold(hold)));
    }

    pub(super) fn on_held(
        &mut self,
        target: &Arc<str>,
        key: AttemptKey,
        engine: Arc<str>,
        now: Tick,
    ) {
        let Some(request) = self.requests.get_mut(&key.0) else {
            // Nobody wants it any more.
            self.out.push(Effect::Send(target.clone(), ToAgent::Release(key)));
            return;
        };
        let is_current = request.key() == key;
        let member = request.members.iter_mut().find(|member| member.target == *target);
        let Some(member) = member.filter(|_| is_current) else {
            self.out.push(Effect::Send(target.clone(), ToAgent::Release(key)));
            return;
        };
        member.held = now;
        if member.engine.replace(engine).is_some() {
            return;
        }
        if let Phase::Holding { next, .. } = &mut request.phase {
            *next += 1;
            self.claim_next(key.0, now);
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

    /// Ends a group that lost a member, or did not get one.
    fn end_group(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let reason = format!("{target} holds no memory for the group");
        if request.holder().is_some() {
            self.abandon(number);
            self.on_attempt_failed(number, Verdict::MayHaveRun, &reason, now);
            return;
        }
        self.release_members(number);
        self.back_off(number, &reason, now);
    }

    /// The link to a target was lost: asks at once whether its memory stands.
    pub(super) fn on_member_lost(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(member) = request.members.iter().find(|one| one.target == *target) else {
            return;
        };
        let is_leader = request.holder().is_some_and(|(holder, _)| holder == target);
        if is_leader {
            return;
        }
        if member.engine.is_none() {
            if matches!(request.phase, Phase::Holding { .. }) {
                self.end_group(number, target, now);
            }
            return;
        }
        self.renew(number);
    }

    fn renew(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let leader = request.holder().map(|(target, _)| target.clone());
        let key = request.key();
        let expires_us = self.tuning.hold_ttl.as_micros() as u64;
        for member in &request.members {
            if member.engine.is_none() || Some(&member.target) == leader.as_ref() {
                continue;
            }
            let hold = Hold { attempt: key, tokens: member.tokens, expires_us, is_renewal: true };
            self.out.push(Effect::Send(member.target.clone(), ToAgent::Hold(hold)));
        }
    }

    pub(super) fn on_renew_due(&mut self, number: u64, attempt: u16, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.attempt != attempt || request.members.is_empty() {
            return;
        }
        let leader = request.holder().map(|(target, _)| target.clone());
        let ttl = self.tuning.hold_ttl;
        let lost = request.members.iter().find(|member| {
            let is_held = member.engine.is_some() && Some(&member.target) != leader.as_ref();
            is_held && now.since(member.held) > ttl
        });
        if let Some(target) = lost.map(|member| member.target.clone()) {
            self.end_group(number, &target, now);
            return;
        }
        self.renew(number);
        self.timers.subscribe(now + ttl / RENEWALS, Timer::Renew(number, attempt));
    }

    pub(super) fn on_claim_due(&mut self, number: u64, attempt: u16, now: Tick) {
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

    /// Gives back what members hold for the live attempt.
    pub(super) fn release_members(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let key = request.key();
        for member in std::mem::take(&mut request.members) {
            self.out.push(Effect::Send(member.target, ToAgent::Release(key)));
        }
    }
}

/// Scales what members could give down to what is needed.
fn level_shares(members: &mut [Member], total: u64, room: u64) {
    for member in members {
        let share = member.tokens as f64 * total as f64 / room as f64;
        member.tokens = share.ceil() as u64;
    }
}
