//! Probing: asks targets what they predict for a request, and chooses one.

use std::sync::Arc;
use std::time::Duration;

use super::core::{EntryCore, Timer};
use super::decision_log::DecisionStep;
use super::event::{Effect, FailureCode};
use super::request::{Offer, Phase};
use super::retry::to_backoff;
use super::route::RouteQuery;
use crate::time::Tick;
use crate::wire::{Call, Probe, ProbeAnswer, Refusal, ToAgent};

/// Time for which a target that reported itself closed is not probed.
pub(super) const CLOSED_TTL: Duration = Duration::from_secs(5);

/// Maximum number of probe rounds if targets refuse for lack of time or queue space.
const MAX_BUSY_ROUNDS: u16 = 2;

/// Maximum number of probe rounds for any other reason.
const MAX_ROUNDS: u16 = 8;

impl EntryCore {
    pub(super) fn probe_targets(&mut self, number: u64, now: Tick) {
        if self.refuse_if_cut_off(number, now) {
            return;
        }
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.rounds += 1;
        let is_wide = request.need.prompt >= self.tuning.wide_tokens;
        let count = if is_wide { self.tuning.wide_candidates } else { self.tuning.candidates };
        // For a long prompt a new connection is worthwhile, even if its prefix has not been seen.
        let is_long = request.need.prompt > super::direct::MAX_DIRECT_TOKENS;
        let long_prefix = request.arrival.prefix_hashes.peek_first().filter(|_| is_long);
        let query = RouteQuery {
            service: &request.arrival.service,
            prefix: request.prefix.or(long_prefix),
            failure_domain: &self.failure_domain,
            entry: &self.id.name,
            tried: &request.tried,
            count,
        };
        let pick = self.tuning.policy.pick.as_ref().filter(|_| !is_wide);
        let targets = match pick {
            Some(pick) => self.table.pick(&query, now, pick).into_iter().collect(),
            // After a busy or silent target, the choice is no longer limited to the subset.
            None if request.rounds > 1 || is_wide => {
                self.table.candidates(&query, now, &mut self.rng)
            }
            None => self.table.subset_candidates(&query, now, &mut self.rng),
        };
        if targets.is_empty() {
            if self.resume_silent(number, now) {
                return;
            }
            self.fail(number, FailureCode::NoTarget, "no target of the service is known", now);
            return;
        }
        let model = match &request.arrival.call {
            Call::Model { model, .. } => model.clone(),
            Call::Plain { .. } => "".into(),
        };
        let mut unanswered = Vec::with_capacity(targets.len());
        for target in &targets {
            let probe = Probe {
                number: self.next_probe,
                model: model.clone(),
                need: request.need,
                urgency: request.arrival.policy.urgency,
                prefix_hashes: request.arrival.prefix_hashes.clone(),
            };
            unanswered.push((probe.number, target.clone()));
            self.probes.insert(probe.number, number);
            self.next_probe += 1;
            self.counts.probes += 1;
            self.effects.push(Effect::Send(target.clone(), ToAgent::Probe(probe)));
        }
        request.log.push(now, DecisionStep::Asked { targets });
        request.phase = Phase::Probing { unanswered, offers: Vec::new(), since: now };
        let round = request.rounds;
        self.timers.subscribe(now + self.tuning.probe_soft_timeout, Timer::Probe(number, round));
        self.timers.subscribe(now + self.tuning.probe_timeout, Timer::Probe(number, round));
    }

    pub(super) fn on_probe_answer(&mut self, target: &Arc<str>, answer: ProbeAnswer, now: Tick) {
        self.learn_version(answer.config_version);
        self.history.set_wait(target, Duration::from_micros(answer.wait_us), now);
        if !answer.is_available {
            self.table.mark_closed(target, now + CLOSED_TTL);
        }
        let Some(number) = self.probes.remove(&answer.number) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Probing { unanswered, offers, since } = &mut request.phase else {
            return;
        };
        unanswered.retain(|(probe, _)| *probe != answer.number);
        let step = DecisionStep::Offered { target: target.clone(), answer: answer.clone() };
        request.log.push(now, step);
        let is_open = answer.is_available;
        if is_open {
            offers.push(Offer { target: target.clone(), answer });
        }
        let is_late = now.since(*since) >= self.tuning.probe_soft_timeout;
        if unanswered.is_empty() || (is_late && is_open) {
            self.choose_offer(number, now);
        }
    }

    pub(super) fn on_probe_due(&mut self, number: u64, round: u16, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Probing { unanswered, offers, since } = &mut request.phase else {
            return;
        };
        if request.rounds != round {
            return;
        }
        let is_over = now.since(*since) >= self.tuning.probe_timeout;
        if is_over {
            let until = now + self.tuning.suspect_duration;
            for (_, target) in unanswered.iter() {
                self.table.mark_suspect(target, until);
            }
        }
        if is_over || !offers.is_empty() {
            self.choose_offer(number, now);
        }
    }

    /// Chooses the best offer, or forms a group if the request is too large for one engine.
    pub(super) fn choose_offer(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Probing { offers, .. } = &mut request.phase else {
            return;
        };
        let mut offers = std::mem::take(offers);
        let phase = std::mem::replace(&mut request.phase, Phase::Backoff { until: now });
        let total = request.need.total();
        let is_model = matches!(request.arrival.call, Call::Model { .. });
        // Of two equal predictions, the target with fewer attempts of this entry wins: its
        // prediction may not include yet what was dispatched to it a moment ago.
        offers.sort_by_cached_key(|offer| {
            let own_attempts = self.attempts_at(&offer.target);
            std::cmp::Reverse((predicted_us(&offer.answer), own_attempts, offer.target.clone()))
        });
        let capacity = offers.iter().map(|offer| offer.answer.capacity_tokens).max();
        let is_too_large = is_model && capacity.is_some_and(|max| total > max);
        self.forget_probes(&phase);
        if is_too_large {
            if self.resume_silent(number, now) {
                return;
            }
            self.form_group(number, &offers, now);
            return;
        }
        if let Some(request) = self.requests.get_mut(&number) {
            request.spare_offers = offers;
        }
        self.dispatch_next(number, now);
    }

    /// Dispatches the request to the next best target, or backs off if no offer is left.
    pub(super) fn dispatch_next(&mut self, number: u64, now: Tick) {
        if self.refuse_if_cut_off(number, now) {
            return;
        }
        loop {
            let Some(request) = self.requests.get_mut(&number) else {
                return;
            };
            if request.dispatches >= self.tuning.max_attempts {
                if !self.resume_silent(number, now) {
                    self.fail_overloaded(number, now);
                }
                return;
            }
            let Some(offer) = request.spare_offers.pop() else {
                break;
            };
            if !self.links.contains_key(&offer.target) {
                continue;
            }
            if !self.end_silent(number, now) {
                self.resume_silent(number, now);
                return;
            }
            let Some(request) = self.requests.get_mut(&number) else {
                return;
            };
            request.attempt += 1;
            let reason = format!(
                "least predicted time to first token, {} ms",
                predicted_us(&offer.answer) / 1000
            );
            self.dispatch(number, &offer.target, reason, now);
            return;
        }
        self.back_off_or_fail(number, now);
    }

    pub(super) fn back_off_or_fail(&mut self, number: u64, now: Tick) {
        if self.resume_silent(number, now) {
            return;
        }
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let is_busy = matches!(request.refusal, Some((Refusal::TooLate | Refusal::QueueFull, _)));
        let max = if is_busy { MAX_BUSY_ROUNDS } else { MAX_ROUNDS };
        if request.rounds >= max {
            self.fail_overloaded(number, now);
            return;
        }
        self.back_off(number, "all targets that were asked refused or were silent", now);
    }

    /// Fails a request that no target accepts, without further waiting and with a retry-after time.
    pub(super) fn fail_overloaded(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let text = match request.refusal {
            Some((refusal, _)) => format!("no target could take it: {refusal}"),
            None => "no target answered".to_owned(),
        };
        self.fail(number, FailureCode::Overloaded, &text, now);
    }

    pub(super) fn back_off(&mut self, number: u64, cause: &str, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let wait = to_backoff(self.tuning.backoff, request.rounds, &mut self.rng);
        let until = now + wait;
        request.phase = Phase::Backoff { until };
        let span_ms = wait.as_millis() as u64;
        request.log.push(now, DecisionStep::Waited { cause: cause.to_owned(), span_ms });
        self.timers.subscribe(until, Timer::Backoff(number));
    }
}

/// Predicted time to the first token, in microseconds.
fn predicted_us(answer: &ProbeAnswer) -> u64 {
    answer.wait_us + answer.prefill_us
}
