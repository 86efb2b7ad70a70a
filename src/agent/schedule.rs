//! Scheduling of waiting runs, and prediction of how long a new run would wait.

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

/// Fraction of a prompt's remaining prefill time by which the prompt ranks behind
/// shorter ones.
const LENGTH_PENALTY_FACTOR: f64 = 0.25;

/// Maximum rank penalty of a prompt for its length.
const MAX_LENGTH_PENALTY: Duration = Duration::from_secs(10);

/// Maximum number of concurrent calls to a plain service.
const MAX_PLAIN_CALLS: usize = 256;

impl AgentCore {
    /// Starts or resumes every run that may proceed now.
    pub(super) fn schedule(&mut self, now: Tick) {
        if !self.is_ready() {
            return;
        }
        self.grant_holds();
        self.refuse_infeasible(now);
        if !self.backoff(now).is_zero() {
            return;
        }
        let waiting = self.runs.values().filter(|run| run.is_waiting());
        self.share.raise_floor(waiting.map(|run| &run.dispatch.account));
        while let Some(id) = self.pick(now) {
            if !self.advance(&id, now) {
                return;
            }
        }
    }

    /// Refuses queued runs that can no longer finish before their deadline, so
    /// that the engine works on those that can.
    fn refuse_infeasible(&mut self, now: Tick) {
        let start = now.max(self.backoff_until);
        let infeasible = self.runs.iter().filter(|(_, run)| {
            // The duration of a plain service's call is not known.
            let work = if run.is_plain() {
                Duration::ZERO
            } else {
                self.rates.prefill(run.left_to_prefill())
                    + self.rates.answer(run.dispatch.need.answer)
            };
            run.state == RunState::Queued && start + work > run.deadline
        });
        let infeasible: Vec<_> = infeasible.map(|(id, _)| id.clone()).collect();
        for id in infeasible {
            self.abort_queued_as(
                &id,
                Refusal::TooLate,
                "it could not finish before its deadline",
                now,
            );
        }
    }

    /// Returns the run to start or resume next, by rank; `None` if none may proceed now.
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
                return (at_target < MAX_PLAIN_CALLS).then(|| id.clone());
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
            let fits = run.local_tokens() <= self.leases.free() && !self.is_hold_overdue(now);
            if has_room && fits {
                return Some(id.clone());
            }
            // No run that needs memory overtakes one that has waited for longer
            // than the bypass window. Runs that already hold theirs continue, or
            // they would never release it.
            is_blocked |= now.since(run.phase_start) > self.tuning.bypass_window;
        }
        None
    }

    /// Starts or resumes a run. Returns `false` if its memory could not be leased.
    fn advance(&mut self, id: &AttemptId, now: Tick) -> bool {
        let in_prefill: u64 = self.runs.values().map(Run::in_prefill).sum();
        let Some(run) = self.runs.get(id) else { return false };
        let piece = self.next_piece(run);
        let is_last = piece >= run.left_to_prefill();
        let granted = run.prefilled + piece;
        let limit = (!is_last).then_some(granted);
        let is_resumed = run.state == RunState::Paused;
        let work = self.rates.prefill(piece);
        let (account, weight) = (run.dispatch.account.clone(), run.dispatch.weight);
        if !is_resumed && !self.take_lease(id) {
            return false;
        }
        self.share.charge(&account, weight, work);
        let Some(run) = self.runs.get_mut(id) else {
            return false;
        };
        run.granted = granted;
        run.prefills_alone = in_prefill == 0;
        run.state = RunState::Prefilling;
        run.phase_start = now;
        if is_resumed {
            self.effects.push(Effect::Resume(id.clone(), limit));
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
        let hashes = run.dispatch.prefix_hashes.clone();
        self.cache.track_run(id, &hashes);
        self.effects.push(Effect::Start(Box::new(start)));
        self.record(id, "started", detail);
        self.counts.started += 1;
        true
    }

    /// Returns `true` if the oldest pending hold has waited for longer than its bypass window.
    fn is_hold_overdue(&self, now: Tick) -> bool {
        let oldest = self.pending_holds.first();
        oldest.is_some_and(|hold| now.since(hold.requested_at) > self.tuning.hold_bypass_window)
    }

    /// Leases the memory of a run; a plain service has none to lease.
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

    /// Returns the number of runs that are prefilling a long prompt.
    fn long_count(&self) -> usize {
        let long_runs = self.runs.values().filter(|run| {
            let has_begun = matches!(run.state, RunState::Prefilling | RunState::Paused);
            let uncached = run.dispatch.need.prompt - run.cached;
            has_begun && uncached > self.tuning.piece_tokens
        });
        long_runs.count()
    }

    fn rank(&self, run: &Run, now: Tick) -> Rank {
        let lag = self.share.lag(&run.dispatch.account);
        let length = self.rates.prefill(run.left_to_prefill()).mul_f64(LENGTH_PENALTY_FACTOR);
        let penalty = lag + length.min(MAX_LENGTH_PENALTY);
        let rank = to_rank(run.dispatch.urgency, penalty, run.phase_start, now);
        if run.state != RunState::Paused {
            return rank;
        }
        // A long prompt distributes its spare time over its remaining pieces.
        let left = run.left_to_prefill();
        let spare_time = run.deadline.since(now).saturating_sub(self.rates.prefill(left) * 2);
        let pieces = left.div_ceil(self.tuning.piece_tokens).max(1);
        let spare_per_piece = spare_time.as_micros() as i64 / pieces as i64;
        rank.min(spare_per_piece - now.since(run.phase_start).as_micros() as i64)
    }

    /// Predicts how long a new run would wait at this target.
    pub(super) fn predict_wait(
        &self,
        local_tokens: u64,
        urgency: Urgency,
        account: &str,
        now: Tick,
    ) -> Duration {
        // For an account that received more than its fair share the predicted
        // wait is longer, so that its requests are refused first.
        let own_rank = to_rank(urgency, self.share.lag(account), now, now);
        let ahead: u64 = self
            .runs
            .values()
            .map(|run| match run.state {
                RunState::Prefilling => run.in_prefill(),
                RunState::Receiving | RunState::Queued if self.rank(run, now) <= own_rank => {
                    self.next_piece(run)
                }
                RunState::Paused => self.next_piece(run),
                _ => 0,
            })
            .sum();
        self.rates.prefill(ahead).max(self.predict_memory(local_tokens, now))
    }

    /// Predicts the time until `tokens` of memory are free.
    fn predict_memory(&self, tokens: u64, now: Tick) -> Duration {
        let queued = self.runs.values().filter(|run| run.state == RunState::Queued);
        let demanded: u64 = queued.map(Run::local_tokens).sum();
        let demanded = demanded + self.pending_holds.iter().map(|hold| hold.tokens).sum::<u64>();
        let mut free = self.leases.free() as i64 - demanded as i64;
        if free >= tokens as i64 {
            return Duration::ZERO;
        }
        let mut running: Vec<_> = self.runs.values().filter(|run| run.is_at_target()).collect();
        running.sort_by_key(|run| self.time_to_end(run, now));
        for run in running {
            free += run.local_tokens() as i64;
            if free >= tokens as i64 {
                return self.time_to_end(run, now);
            }
        }
        // The need exceeds the engine's memory: the run will be sharded, and each
        // engine is asked for its shard only.
        Duration::ZERO
    }

    fn time_to_end(&self, run: &Run, now: Tick) -> Duration {
        let answer = run.dispatch.need.answer.saturating_sub(run.answer_chunks);
        let left = self.rates.prefill(run.left_to_prefill()) + self.rates.decode(answer);
        left.min(run.deadline.since(now))
    }
}
