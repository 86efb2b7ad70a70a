//! Links to agents that come and go, and what becomes of attempts then.

use std::sync::Arc;
use std::time::Duration;

use super::core::{EntryCore, Timer};
use super::event::Effect;
use super::request::Phase;
use crate::id::Incarnation;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::ToAgent;

/// Time from one question after a lost attempt to the next.
const SETTLE_STEP: Duration = Duration::from_millis(200);

/// How long a target is asked after an attempt that may run elsewhere as well.
const SHORT_SETTLE: Duration = Duration::from_millis(600);

impl EntryCore {
    pub(super) fn on_agent_up(&mut self, target: Arc<str>, incarnation: Incarnation) {
        if let Some(config) = &self.config {
            let version = ToAgent::ConfigVersion(config.version);
            self.out.push(Effect::Send(target.clone(), version));
        }
        self.tell_held(&target);
        self.links.insert(target, incarnation);
    }

    pub(super) fn on_agent_down(&mut self, target: &Arc<str>, now: Tick) {
        self.history.forget(target);
        self.on_gate_lost(target);
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
        let may_run_elsewhere = request.arrival.repeatable && !request.has_begun();
        match &mut request.phase {
            Phase::Probing { asked, .. } => {
                let before = asked.len();
                let (lost, rest): (Vec<_>, Vec<_>) =
                    std::mem::take(asked).into_iter().partition(|(_, name)| name == target);
                *asked = rest;
                let is_last = asked.is_empty() && before > 0;
                for (probe, _) in lost {
                    self.probes.remove(&probe);
                }
                if is_last {
                    self.choose(number, now);
                }
            }
            Phase::Running { target: holder, incarnation } if holder == target => {
                let limit =
                    if may_run_elsewhere { SHORT_SETTLE } else { self.tuning.resume_timeout };
                let incarnation = *incarnation;
                request.phase = Phase::Settling {
                    target: target.clone(),
                    incarnation,
                    until: now + limit,
                    next: now + SETTLE_STEP,
                };
                self.timers.subscribe(now + SETTLE_STEP, Timer::Settle(number));
                self.ask_rest(number);
            }
            _ => {}
        }
    }

    pub(super) fn on_settle_due(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Settling { until, next, .. } = &mut request.phase else {
            return;
        };
        if now >= *until {
            self.abandon(number);
            let reason = "the target was lost, and what became of the attempt with it";
            self.on_attempt_failed(number, Verdict::MayHaveRun, reason, now);
            return;
        }
        if now >= *next {
            *next = now + SETTLE_STEP;
            self.timers.subscribe(*next, Timer::Settle(number));
            self.ask_rest(number);
        }
    }
}
