//! The attempts of one request: how many there may be, and where they go.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};

use super::answer::RelayFault;
use super::end_check::check_end;
use super::forward::{AttemptFault, RelayJob};
use super::permit::take_second_attempt;
use crate::relay::core::RelayCore;
use crate::relay::decide::placement::{Placement, TargetScope};
use crate::relay::decide::return_time::after_reopening;
use crate::relay::decide::send_count::{SendCount, SendEnd};
use crate::relay::decide::targets::{TargetFault, TargetLife};
use crate::relay::record::{FailedLine, PlacedLine, SeriesEnd};
use crate::relay::shared::RelayShared;
use crate::time::Tick;
use crate::verdict::Verdict;

/// Time to come back after a refusal for want of room.
pub(crate) const NO_ROOM_RETRY: Duration = Duration::from_millis(150);

/// Wait before another target is tried after refusals.
const REFUSED_WAIT: Duration = Duration::from_millis(30);

/// The answer to a request that is held back: it may come again when the hold lapses.
#[cold]
pub(crate) fn to_hold(span: Duration) -> RelayFault {
    RelayFault::refused("held_back", "targets ended under this request", span)
}

/// The answer where all targets of the service are leaving, or want no requests for a while:
/// it may come again when one takes requests.
#[cold]
fn to_closed(wait: Duration) -> RelayFault {
    let why = "all targets of the service are leaving, asked for a pause, or take few requests";
    RelayFault::refused("targets_closed", why, after_reopening(wait, &mut rand::rng()))
}

/// Notes what a failed attempt says of its target's health. Returns true where the target is
/// to be passed over by the request that met it.
fn note_health(shared: &RelayShared, target: &Arc<str>, fault: &AttemptFault, now: Tick) -> bool {
    let mut core = shared.core.borrow_mut();
    let is_of_helper =
        fault.blamed.is_some_and(|address| core.note_helper_failure(target, address, now));
    drop(core);
    if let Some(suspect) = fault.blamed.or_else(|| fault.suspect(shared, target)) {
        shared.link.suspect(suspect);
    }
    let is_of_target = !fault.is_stale && !is_of_helper;
    if !fault.is_timeout
        && is_of_target
        && let Some(span) = shared.core.borrow_mut().note_failure(target, fault.fault, now)
    {
        shared.log.ejected(target, span);
        shared.counts.borrow_mut().ejections += 1;
    }
    is_of_target
}

/// The attempts of one request.
pub(crate) struct AttemptSeries {
    tried: Vec<Arc<str>>,
    /// Lives of targets that may have run it.
    ran_at: Vec<TargetLife>,
    /// The life that it was placed at last.
    placed_at: Option<TargetLife>,
    /// Whether the last attempt was refused, or could not be sent.
    was_refused: bool,
    /// Whether it was placed where it would wait for its turn.
    waits_for_turn: bool,
    sends: SendCount,
    worst: Verdict,
    pub(crate) answer: Option<Box<Response<Bytes>>>,
    pub(crate) why: String,
}

impl AttemptSeries {
    pub(crate) fn new() -> Self {
        AttemptSeries {
            tried: Vec::new(),
            ran_at: Vec::new(),
            placed_at: None,
            was_refused: false,
            waits_for_turn: false,
            sends: SendCount::default(),
            worst: Verdict::NotRun,
            answer: None,
            why: String::new(),
        }
    }

    /// Returns true where nothing was sent yet.
    pub(crate) fn is_fresh(&self) -> bool {
        self.tried.is_empty() && self.sends.is_empty()
    }

    /// Returns true where another target could be tried after a silence of
    /// this one. Without another, silence is no reason to end an answer.
    pub(crate) fn may_hedge(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
        target: &Arc<str>,
    ) -> bool {
        if !shared.core.borrow().limits().policy.hedges {
            return false;
        }
        let mut tried = self.tried.clone();
        tried.push(target.clone());
        job.route.repeat.is_repeatable()
            && self.sends.runs() + 1 < job.route.max_targets
            && shared.core.borrow_mut().could_retry(
                &job.service,
                job.domains.as_deref(),
                &tried,
                shared.now(),
            )
    }

    /// Chooses the next target.
    pub(crate) fn place(&mut self, shared: &RelayShared, job: &RelayJob) -> Option<Placement> {
        let now = shared.now();
        let placement = {
            let mut core = shared.core.borrow_mut();
            let placement = self.place_in(&mut core, job, now);
            let placement = placement.or_else(|| self.place_for_turn(&mut core, job, now))?;
            self.placed_at = core.life_of(&placement.target);
            placement
        };
        let line = PlacedLine {
            id: &job.id,
            target: &placement.target,
            helpers: &placement.helpers,
            prompt: job.need.map_or(0, |need| need.prompt),
            first: placement.first,
            cost: placement.cost,
            harm: placement.harm,
            own: placement.own,
            claim: placement.claim,
            candidates: placement.candidates,
        };
        shared.log.placed(&line, now);
        Some(placement)
    }

    fn place_in(&self, core: &mut RelayCore, job: &RelayJob, now: Tick) -> Option<Placement> {
        let need = job.need_at(now);
        if self.ran_at.len() >= job.route.max_targets {
            // One that has ended since knows nothing of it, whoever is there now.
            let alive = self.ran_at.iter().filter(|life| core.may_live(life));
            let alive: Vec<_> = alive.map(|life| life.incarnation.clone()).collect();
            return core.place(job.scope(), need.as_ref(), TargetScope::Only(&alive), now);
        }
        if job.is_suspect(core) {
            // Two suspects at one target could not be told apart where it ends.
            let apart: Vec<_> = self.tried.iter().cloned().chain(core.suspect_targets()).collect();
            let scope = TargetScope::Untried(&apart);
            if let Some(placement) = core.place(job.scope(), need.as_ref(), scope, now) {
                return Some(placement);
            }
        }
        core.place(job.scope(), need.as_ref(), TargetScope::Untried(&self.tried), now)
    }

    /// Chooses a target where it waits for its turn, where there may be one in time: once, the
    /// agent that gives the turns knows better.
    fn place_for_turn(
        &mut self,
        core: &mut RelayCore,
        job: &RelayJob,
        now: Tick,
    ) -> Option<Placement> {
        let wait = core.time_to_turn(job.scope(), now)?;
        let is_bound = self.ran_at.len() >= job.route.max_targets;
        if is_bound || self.waits_for_turn || wait.is_zero() || wait > job.patience(now) {
            return None;
        }
        self.waits_for_turn = true;
        let scope = TargetScope::Untried(&self.tried);
        core.place_for_turn(job.scope(), job.need_at(now).as_ref(), scope, now)
    }

    /// Time for which a request would wait for its turn: nothing while others may take it.
    pub(crate) fn most_wait(&self, job: &RelayJob, now: Tick) -> Duration {
        if self.waits_for_turn { job.patience(now) } else { Duration::ZERO }
    }

    /// The answer where the request is held back, none where it may be sent.
    pub(crate) fn hold_fault(&self, shared: &RelayShared, job: &RelayJob) -> Option<RelayFault> {
        let span = job.held_for(shared)?;
        let is_unsent = self.worst == Verdict::NotRun;
        Some(if is_unsent { to_hold(span) } else { self.to_fault(shared, job, false) })
    }

    /// Notes a failed attempt.
    ///
    /// # Errors
    ///
    /// No other attempt may be made, for the reason that is returned.
    pub(crate) async fn note_fault(
        &mut self,
        shared: &Rc<RelayShared>,
        job: &RelayJob,
        target: &Arc<str>,
        fault: AttemptFault,
    ) -> Result<(), SeriesEnd> {
        let now = shared.now();
        let line = FailedLine {
            id: &job.id,
            digest: job.digest(),
            target,
            why: &fault.why,
            verdict: fault.verdict,
        };
        shared.log.attempt_failed(&line, now);
        shared.counts.borrow_mut().failed_attempts += 1;
        self.note_target_end(shared, job, &fault, now);
        if note_health(shared, target, &fault, now) {
            self.tried.push(target.clone());
        }
        let end = fault.to_end();
        self.worst = self.worst.join(fault.verdict);
        self.why = fault.why;
        self.answer = fault.answer.or(self.answer.take());
        self.sends.note(end);
        self.was_refused = matches!(end, SendEnd::NotSent | SendEnd::Refused);
        if let Some(life) = self.placed_at.take()
            && end == SendEnd::MayHaveRun
            && !self.ran_at.contains(&life)
        {
            self.ran_at.push(life);
        }
        if fault.is_timeout || now >= job.deadline {
            return Err(SeriesEnd::TimeUp);
        }
        if !fault.verdict.may_retry(job.route.repeat.is_repeatable()) {
            return Err(SeriesEnd::RunsOnce);
        }
        self.take_another(shared, job, fault.is_sent).await
    }

    /// Takes one more send from what the request and the service have left.
    async fn take_another(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
        is_sent: bool,
    ) -> Result<(), SeriesEnd> {
        let policy = shared.core.borrow().limits().policy;
        // A failure of the target's own is an answer that the caller can have.
        let repeated = if self.answer.is_none() { policy.repeated_runs } else { 0 };
        let most_runs = job.route.max_targets + repeated;
        if !self.sends.permits(most_runs) {
            return Err(SeriesEnd::MostSends);
        }
        if is_sent && !take_second_attempt(shared, &job.service).await {
            return Err(SeriesEnd::NoBudget);
        }
        Ok(())
    }

    /// Notes what a failed attempt says of its target's life, and of the request.
    fn note_target_end(
        &self,
        shared: &Rc<RelayShared>,
        job: &RelayJob,
        fault: &AttemptFault,
        now: Tick,
    ) {
        let Some(life) = &self.placed_at else { return };
        if fault.is_break() {
            shared.core.borrow_mut().note_broken(job.digest(), life, fault.settled, now);
            check_end(shared, life);
        }
        if fault.fault == TargetFault::Unreachable {
            shared.core.borrow_mut().note_unreachable(life, now);
        }
        shared.tell_suspects();
    }

    /// The final failure of a request.
    pub(crate) fn to_fault(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
        is_timeout: bool,
    ) -> RelayFault {
        if self.worst == Verdict::NotRun {
            if let Some(wait) = job.time_to_target(shared) {
                return to_closed(wait);
            }
            let why = if self.why.is_empty() { "no target can take it now" } else { &self.why };
            return RelayFault::refused("no_room", why, NO_ROOM_RETRY);
        }
        let status = if is_timeout { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        RelayFault::failed(status, "target_failed", self.why.clone())
    }

    /// Waits a little after refusals: what is full now may have room soon.
    pub(crate) async fn pause(&self, shared: &RelayShared, job: &RelayJob) {
        // What can not be served is refused at once.
        if job.time_to_target(shared).is_some() {
            return;
        }
        // One that may go to those that ran it only has nowhere else to go.
        let is_bound = self.ran_at.len() >= job.route.max_targets;
        if self.was_refused && (is_bound || self.worst == Verdict::NotRun) {
            tokio::time::sleep(REFUSED_WAIT).await;
        }
    }
}
