//! Connections to agents: their establishment and loss, and the recovery of attempts.

use std::sync::Arc;
use std::time::Duration;

use super::core::{EntryCore, Timer};
use super::event::Effect;
use super::request::Phase;
use crate::id::Incarnation;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::ToAgent;

/// Interval between two attempts to resume.
const RESUME_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the entry tries to resume an attempt that may be retried elsewhere instead.
const SHORT_RESUME_TIMEOUT: Duration = Duration::from_millis(600);

impl EntryCore {
    pub(super) fn on_agent_up(&mut self, target: Arc<str>, incarnation: Incarnation) {
        if let Some(config) = &self.config {
            let version = ToAgent::ConfigVersion(config.version);
            self.effects.push(Effect::Send(target.clone(), version));
        }
        self.report_grants(&target);
        self.links.insert(target, incarnation);
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
        let may_run_elsewhere = request.arrival.repeatable && !request.has_answer_started();
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
                let limit = if may_run_elsewhere {
                    SHORT_RESUME_TIMEOUT
                } else {
                    self.tuning.resume_timeout
                };
                let incarnation = *incarnation;
                request.phase = Phase::Resuming {
                    target: target.clone(),
                    incarnation,
                    until: now + limit,
                    next: now + RESUME_INTERVAL,
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
        let Phase::Resuming { until, next, .. } = &mut request.phase else {
            return;
        };
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
    }
}
