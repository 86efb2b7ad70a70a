//! Connections to agents: their establishment and loss, and the recovery of attempts.

use std::sync::Arc;
use std::time::Duration;

use super::core::{EntryCore, Timer};
use super::decision_log::DecisionStep;
use super::event::Effect;
use super::request::{Phase, SilentAttempt};
use super::route::RouteQuery;
use crate::id::Incarnation;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::ToAgent;

/// Interval between two attempts to resume.
const RESUME_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which another target is looked for, if the attempt may be retried elsewhere.
const SEARCH_DELAY: Duration = Duration::from_millis(600);

impl EntryCore {
    pub(super) fn on_agent_up(&mut self, target: &Arc<str>, incarnation: Incarnation, now: Tick) {
        if let Some(config) = &self.config {
            let version = ToAgent::ConfigVersion(config.version);
            self.effects.push(Effect::Send(target.clone(), version));
        }
        self.report_grants(target);
        self.links.insert(target.clone(), incarnation);
        self.extend_resumes(target, incarnation, now);
        let is_waiting = |silent: &SilentAttempt| silent.target == *target;
        let requests = self.requests.iter();
        let waiting =
            requests.filter(|(_, request)| request.silent.as_ref().is_some_and(is_waiting));
        let numbers: Vec<u64> = waiting.map(|(number, _)| *number).collect();
        for number in numbers {
            self.resume_silent(number, now);
        }
    }

    /// Extends the time for which attempts at a target are resumed: its agent is alive.
    fn extend_resumes(&mut self, target: &Arc<str>, incarnation: Incarnation, now: Tick) {
        let new_until = now + self.tuning.resume_timeout;
        for request in self.requests.values_mut() {
            if let Phase::Resuming { target: name, incarnation: old, until, .. } =
                &mut request.phase
                && (&*name, *old) == (target, incarnation)
            {
                *until = new_until;
            }
            if let Some(silent) = &mut request.silent
                && (&silent.target, silent.incarnation) == (target, incarnation)
            {
                silent.until = new_until;
            }
        }
    }

    pub(super) fn on_agent_down(&mut self, target: &Arc<str>, now: Tick) {
        self.history.forget(target);
        self.on_quota_agent_lost(target);
        let was_up = self.links.remove(target).is_some();
        if !was_up {
            self.table.mark_suspect(target, now + self.tuning.suspect_duration);
        }
        let numbers: Vec<u64> = self.requests.keys().copied().collect();
        for number in numbers {
            self.on_link_lost(number, target, now);
        }
    }

    pub(super) fn on_link_lost(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        self.on_member_lost(number, target, now);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        match &mut request.phase {
            Phase::Probing { unanswered, .. } => {
                let before = unanswered.len();
                let (lost, rest): (Vec<_>, Vec<_>) =
                    std::mem::take(unanswered).into_iter().partition(|(_, name)| name == target);
                *unanswered = rest;
                let is_last = unanswered.is_empty() && before > 0;
                for (probe, _) in lost {
                    self.probes.remove(&probe);
                }
                if is_last {
                    self.choose_offer(number, now);
                }
            }
            Phase::Running { target: name, incarnation } if name == target => {
                request.phase = Phase::Resuming {
                    target: target.clone(),
                    incarnation: *incarnation,
                    until: now + self.tuning.resume_timeout,
                    next: now + RESUME_INTERVAL,
                    search_at: now + SEARCH_DELAY,
                };
                self.timers.subscribe(now + RESUME_INTERVAL, Timer::Resume(number));
                self.send_resume(number);
            }
            _ => {}
        }
    }

    pub(super) fn on_resume_due(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Resuming { until, next, search_at, .. } = &mut request.phase else {
            return;
        };
        let is_search_due = now >= *search_at;
        if now >= *until {
            self.cancel_attempt(number);
            let reason = "the target was lost, and what became of the attempt with it";
            self.on_attempt_failed(number, Verdict::MayHaveRun, reason, now);
            return;
        }
        if now >= *next {
            *next = now + RESUME_INTERVAL;
            self.timers.subscribe(*next, Timer::Resume(number));
            self.send_resume(number);
        }
        if is_search_due && self.may_run_elsewhere(number, now) {
            self.search_other_target(number, now);
        }
    }

    /// Returns `true` if a retry at another target is possible now.
    fn may_run_elsewhere(&mut self, number: u64, now: Tick) -> bool {
        if !self.budget.has_retry() || self.is_quarantined(number, now) {
            return false;
        }
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let is_repeatable = request.arrival.repeatable && !request.has_answer_started();
        let has_attempts_left = request.dispatches < self.tuning.max_attempts;
        // A group can not be formed again while its first attempt holds the memory.
        if !is_repeatable || !has_attempts_left || !request.members.is_empty() {
            return false;
        }
        let target = request.attempt_target().map(|(target, _)| target.clone());
        let tried: Vec<_> = request.tried.iter().cloned().chain(target).collect();
        let query = RouteQuery {
            service: &request.arrival.service,
            prefix: None,
            failure_domain: &self.failure_domain,
            entry: &self.id.name,
            tried: &tried,
            count: 1,
        };
        self.table.has_untried(&query, now)
    }

    /// Probes other targets, and keeps the attempt at the silent one until another takes the
    /// request.
    fn search_other_target(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let key = request.key();
        let Phase::Resuming { target, incarnation, until, .. } = &request.phase else {
            return;
        };
        let (target, incarnation, until) = (target.clone(), *incarnation, *until);
        let cause = format!("{target} is silent; another target is looked for");
        request.log.push(now, DecisionStep::Waited { cause, span_ms: 0 });
        request.tried.push(target.clone());
        request.silent = Some(SilentAttempt { key, target, incarnation, until });
        self.probe_targets(number, now);
    }

    /// Goes on to resume the attempt at a silent target, if there is one. Returns `false` if not.
    pub(super) fn resume_silent(&mut self, number: u64, now: Tick) -> bool {
        let Some(request) = self.requests.get_mut(&number) else {
            return false;
        };
        let Some(SilentAttempt { target, incarnation, until, .. }) = request.silent.take() else {
            return false;
        };
        request.tried.pop();
        request.spare_offers.clear();
        let next = now + RESUME_INTERVAL;
        let search_at = now + SEARCH_DELAY;
        let resuming = Phase::Resuming { target, incarnation, until, next, search_at };
        let phase = std::mem::replace(&mut request.phase, resuming);
        self.forget_probes(&phase);
        self.timers.subscribe(next, Timer::Resume(number));
        self.send_resume(number);
        true
    }

    /// Ends the attempt at a silent target, if there is one, because another target takes the
    /// request. Returns `false` if the retry budget does not allow that.
    pub(super) fn end_silent(&mut self, number: u64, now: Tick) -> bool {
        let Some(request) = self.requests.get_mut(&number) else {
            return false;
        };
        if request.silent.is_none() {
            return true;
        }
        if !self.budget.withdraw() {
            return false;
        }
        let Some(SilentAttempt { key, target, .. }) = request.silent.take() else {
            return true;
        };
        let verdict = Verdict::MayHaveRun;
        request.verdict = request.verdict.join(verdict);
        let reason = "the target is silent, and another one takes the request".to_owned();
        let attempt = request.attempt;
        let step = DecisionStep::Failed { target: target.clone(), attempt, reason, verdict };
        request.log.push(now, step);
        self.counts.retried += 1;
        self.effects.push(Effect::Send(target.clone(), ToAgent::Cancel(key)));
        self.record_interrupted(number, &target, now);
        true
    }
}
