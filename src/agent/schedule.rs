//! Which waiting run goes next, and how long a new one would wait.

use std::time::Duration;

use super::core::AgentCore;
use super::event::{Effect, StartRun};
use super::lease::{LeaseUse, MemoryLease};
use super::queue::{Rank, to_rank};
use super::run::{Run, RunState};
use crate::config::Urgency;
use crate::id::AttemptId;
use crate::time::Tick;
use crate::wire::Refusal;

/// Share of the time that is left to prefill a prompt by which it goes behind
/// shorter ones.
const LENGTH_SHARE: f64 = 0.25;

/// Most that a prompt goes behind for its length.
const MAX_LENGTH_PENALTY: Duration = Duration::from_secs(10);

/// Calls that a plain service takes at a time.
const PLAIN_CONCURRENT: usize = 256;

impl AgentCore {
    /// Starts every run that may start now.
    pub(super) fn schedule(&mut self, now: Tick) {
        if !self.is_ready() {
            return;
        }
        self.serve_claims();
        self.drop_hopeless(now);
        if !self.backoff(now).is_zero() {
            return;
        }
        let waiting = self.runs.values().filter(|run| run.is_waiting());
        self.share.settle(waiting.map(|run| &run.dispatch.account));
        while let Some(id) = self.pick(now) {
            if !self.advance(&id, now) {
                return;
            }
        }
    }

    /// Refuses what waits and could not be done in its time any more, so that
    /// the engine works on what can.
    fn drop_hopeless(&mut self, now: Tick) {
        let start = now.max(self.backoff_until);
        let hopeless = self.runs.iter().filter(|(_, run)| {
            // How long a plain call works is not known.
            let work = if run.is_plain() {
                Duration::ZERO
            } else {
                self.rates.prefill(run.left_to_prefill())
                    + self.rates.answer(run.dispatch.need.answer)
            };
            run.state == RunState::Queued && start + work > run.deadline
        });
        let hopeless: Vec<_> = hopeless.map(|(id, _)| id.clone()).collect();
        for id in hopeless {
            self.give_up_as(&id, Refusal::TooLate, "it could not be done in its time", now);
        }
    }

    fn pick(&self, now: Tick) -> Option<AttemptId> {
        let waiting = self.runs.iter().filter(|(_, run)| run.is_waiting());
        let mut ranked: Vec<_> = waiting.map(|(id, run)| (self.rank(run, now), id, run)).collect();
        ranked.sort_by_key(|(rank, id, _)| (*rank, *id));
        let in_prefill: u64 = self.runs.values().map(Run::in_prefill).sum();
        let at_target = self.runs.values().filter(|run| run.is_at_target()).count();
        let long_count = self.long_count();
        let mut is_blocked = false;
        for (_, id, run) in ranked {
            if run.is_plain() {
                return (at_target < PLAIN_CONCURRENT).then(|| id.clone());
            }
            let piece = self.next_piece(run);
            if in_prefill > 0 && in_prefill + piece > self.tuning.prefill_tokens {
                return None;
            }
            if run.state == RunState::Paused {
                return Some(id.clone());
            }
            if is_blocked && !self.leases.is_held(id) {
                continue;
            }
            if self.is_long(run) && long_count >= self.tuning.max_long {
                continue;
            }
            let has_room = at_target < self.facts().max_batch;
            if has_room && self.leases.is_held(id) {
                return Some(id.clone());
            }
            let fits = run.local_tokens() <= self.leases.free() && !self.claim_is_due(now);
            if has_room && fits {
                return Some(id.clone());
            }
            // Nothing that needs memory passes one that has waited long. Runs
            // that have theirs go on, or they would never give it back.
            is_blocked |= now.since(run.since) > self.tuning.patience;
        }
        None
    }

    /// Lets a run go on, false where its memory could not be taken.
    fn advance(&mut self, id: &AttemptId, now: Tick) -> bool {
        let in_prefill: u64 = self.runs.values().map(Run::in_prefill).sum();
        let Some(run) = self.runs.get(id) else { return false };
        let piece = self.next_piece(run);
        let is_last = piece >= run.left_to_prefill();
        let granted = run.prefilled + piece;
        let limit = (!is_last).then_some(granted);
        let resumes = run.state == RunState::Paused;
        let work = self.rates.prefill(piece);
        let (account, weight) = (run.dispatch.account.clone(), run.dispatch.weight);
        if !resumes && !self.take_lease(id) {
            return false;
        }
        self.share.charge(&account, weight, work);
        let Some(run) = self.runs.get_mut(id) else {
            return false;
        };
        run.granted = granted;
        run.alone = in_prefill == 0;
        run.state = RunState::Prefilling;
        run.since = now;
        if resumes {
            self.out.push(Effect::Resume(id.clone(), limit));
            return true;
        }
        run.started = Some(now);
        let start = StartRun {
            id: id.clone(),
            call: run.dispatch.call.clone(),
            account,
            urgency: run.dispatch.urgency,
            body: std::mem::take(&mut run.body),
            prefill_limit: limit,
            answer_tokens: run.dispatch.need.answer,
            shards: run.dispatch.shards.clone(),
            remaining: run.deadline.since(now),
        };
        let waited = now.since(run.arrived);
        let detail = format!("waited {} ms, cached {} tokens", waited.as_millis(), run.cached);
        let marks = run.dispatch.marks.clone();
        self.cache.note_run(id, &marks);
        self.out.push(Effect::Start(Box::new(start)));
        self.record(id, "started", detail);
        self.counts.started += 1;
        true
    }

    /// Returns true where a group has waited long enough for this memory.
    fn claim_is_due(&self, now: Tick) -> bool {
        let oldest = self.claims.first();
        oldest.is_some_and(|claim| now.since(claim.since) > self.tuning.claim_patience)
    }

    /// Takes the run's memory; a plain service has none to lease.
    fn take_lease(&mut self, id: &AttemptId) -> bool {
        let Some(run) = self.runs.get(id) else {
            return false;
        };
        if run.is_plain() {
            return true;
        }
        let expires = run.deadline + self.tuning.ledger_margin;
        if self.leases.convert(id, expires) {
            self.holders.remove(id);
            return true;
        }
        let lease = MemoryLease { tokens: run.local_tokens(), expires, usage: LeaseUse::Run };
        self.leases.reserve(id.clone(), lease)
    }

    fn next_piece(&self, run: &Run) -> u64 {
        run.left_to_prefill().min(self.tuning.piece_tokens)
    }

    fn is_long(&self, run: &Run) -> bool {
        run.left_to_prefill() > self.tuning.piece_tokens
    }

    /// Long runs whose prompt is being prefilled.
    fn long_count(&self) -> usize {
        let in_prompt = self.runs.values().filter(|run| {
            let is_begun = matches!(run.state, RunState::Prefilling | RunState::Paused);
            let uncached = run.dispatch.need.prompt - run.cached;
            is_begun && uncached > self.tuning.piece_tokens
        });
        in_prompt.count()
    }

    fn rank(&self, run: &Run, now: Tick) -> Rank {
        let lag = self.share.lag(&run.dispatch.account);
        let length = self.rates.prefill(run.left_to_prefill()).mul_f64(LENGTH_SHARE);
        let penalty = lag + length.min(MAX_LENGTH_PENALTY);
        let rank = to_rank(run.dispatch.urgency, penalty, run.since, now);
        if run.state != RunState::Paused {
            return rank;
        }
        // A long prompt spreads what time it has to spare over its pieces.
        let left = run.left_to_prefill();
        let slack = run.deadline.since(now).saturating_sub(self.rates.prefill(left) * 2);
        let pieces = left.div_ceil(self.tuning.piece_tokens).max(1);
        let spare = slack.as_micros() as i64 / pieces as i64;
        rank.min(spare - now.since(run.since).as_micros() as i64)
    }

    /// Predicts how long a new run would wait here.
    pub(super) fn predict_wait(
        &self,
        local_tokens: u64,
        urgency: Urgency,
        account: &str,
        now: Tick,
    ) -> Duration {
        // An account that had more than its share is told of a longer wait, so
        // that it is refused first.
        let own = to_rank(urgency, self.share.lag(account), now, now);
        let ahead: u64 = self
            .runs
            .values()
            .map(|run| match run.state {
                RunState::Prefilling => run.in_prefill(),
                RunState::Receiving | RunState::Queued if self.rank(run, now) <= own => {
                    self.next_piece(run)
                }
                RunState::Paused => self.next_piece(run),
                _ => 0,
            })
            .sum();
        self.rates.prefill(ahead).max(self.predict_memory(local_tokens, now))
    }

    /// Predicts when so many tokens of memory are free.
    fn predict_memory(&self, tokens: u64, now: Tick) -> Duration {
        let queued = self.runs.values().filter(|run| run.state == RunState::Queued);
        let claimed: u64 = queued.map(Run::local_tokens).sum();
        let claimed = claimed + self.claims.iter().map(|claim| claim.tokens).sum::<u64>();
        let mut free = self.leases.free() as i64 - claimed as i64;
        if free >= tokens as i64 {
            return Duration::ZERO;
        }
        let mut ends: Vec<_> = self.runs.values().filter(|run| run.is_at_target()).collect();
        ends.sort_by_key(|run| self.time_to_end(run, now));
        for run in ends {
            free += run.local_tokens() as i64;
            if free >= tokens as i64 {
                return self.time_to_end(run, now);
            }
        }
        // More than the engine has: a group asks each member for its part.
        Duration::ZERO
    }

    fn time_to_end(&self, run: &Run, now: Tick) -> Duration {
        let answer = run.dispatch.need.answer.saturating_sub(run.parts);
        let left = self.rates.prefill(run.left_to_prefill()) + self.rates.decode(answer);
        left.min(run.deadline.since(now))
    }
}
