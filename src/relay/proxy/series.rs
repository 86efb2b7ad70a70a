//! The series of attempts for one request: how many are allowed, and which targets they go to.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

use super::answer::{RelayAnswer, RelayBody, RelayFault};
use super::crash_check::check_crash;
use super::crash_hold::wait_for_crash_reports;
use super::exchange::stopping_fault;
use super::forward::{AttemptFault, SendOrder};
use super::job::{QuarantineHold, RelayJob};
use super::permit::{acquire_permit, acquire_retry};
use super::running_attempt::{RunningAttempt, StreamPosition};
use crate::relay::core::RelayCore;
use crate::relay::decide::placement::{Placement, TargetScope};
use crate::relay::decide::retry_delay::after_reopening;
use crate::relay::decide::send_count::{SendCount, SendEnd};
use crate::relay::decide::targets::TargetFault;
use crate::relay::log_line::{FailedAttemptLine, PlacementLine, RetryStop};
use crate::relay::shared::RelayShared;
use crate::relay::stop::SendKind;
use crate::time::Tick;
use crate::verdict::Verdict;

/// Retry delay for callers after a refusal for lack of capacity.
pub(crate) const NO_ROOM_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay before another target is tried after refusals.
const REFUSED_DELAY: Duration = Duration::from_millis(30);

/// Interval at which a replacement of a silent attempt is sought.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Builds the answer to a quarantined request, which may be retried when the quarantine expires.
#[cold]
pub(crate) fn quarantine_fault(hold: QuarantineHold) -> RelayFault {
    match hold {
        QuarantineHold::Request(time_left) => {
            RelayFault::refused("held_back", "targets ended under this request", time_left)
        }
        QuarantineHold::Parts(time_left) => {
            let message = "engines crashed under a part of this prompt";
            RelayFault::refused("part_quarantined", message, time_left)
        }
    }
}

/// Builds the answer if all targets of the service are leaving, back off or are rate-limited. The
/// request may be retried when one of them accepts requests.
#[cold]
fn targets_closed_fault(wait: Duration) -> RelayFault {
    let reason = "all targets of the service are leaving, asked for a pause, or take few requests";
    RelayFault::refused("targets_closed", reason, after_reopening(wait, &mut rand::rng()))
}

/// Records what a failed attempt indicates about the health of its target. Returns `true` if this
/// request must not be sent to the target again.
fn record_health(shared: &RelayShared, target: &Arc<str>, fault: &AttemptFault, now: Tick) -> bool {
    let mut core = shared.core.borrow_mut();
    let is_helper_fault = fault
        .failed_address
        .is_some_and(|address| core.record_helper_failure(target, address, now));
    drop(core);
    if let Some(suspect) = fault.failed_address.or_else(|| fault.suspect_address(shared, target)) {
        shared.link.report_suspicion(suspect);
    }
    let is_target_fault = !fault.is_stale && !is_helper_fault;
    if !fault.is_timeout
        && is_target_fault
        && let Some(ejection) = shared.core.borrow_mut().record_failure(target, fault.fault, now)
    {
        shared.log.ejected(target, ejection);
        shared.counts.borrow_mut().ejections += 1;
    }
    // A target that had closed an idle connection may take the request on a new one.
    is_target_fault && fault.fault != TargetFault::Closed
}

/// Records what a failed attempt indicates about a crash of its target, and about the request.
fn record_target_crash(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    failed: &RunningAttempt<'_>,
    fault: &AttemptFault,
    now: Tick,
) {
    let Some(instance) = &failed.attempt.instance else { return };
    if fault.is_disconnect()
        && let Some(sent_at) = failed.sent_at()
    {
        job.report_broken(shared, instance, sent_at, failed.streamed_for(), now);
        check_crash(shared, instance);
    }
    if fault.fault == TargetFault::Unreachable {
        shared.core.borrow_mut().record_unreachable(instance, now);
    }
    shared.report_suspects();
}

/// A failed attempt that was recorded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedSend {
    verdict: Verdict,
    pub(crate) is_timeout: bool,
}

/// The attempts made for one request.
pub(crate) struct AttemptSeries {
    tried: Vec<Arc<str>>,
    /// Whether the last attempt was refused or could not be sent.
    was_refused: bool,
    /// Whether the request was placed at a target whose permit it has to wait for.
    waits_for_permit: bool,
    sends: SendCount,
    /// Whether the next attempt may use a pooled connection.
    may_reuse: bool,
    /// Time before which the next attempt has to be sent. The first one has no such time.
    send_before: Tick,
    worst_verdict: Verdict,
    answer: Option<Box<Response<Bytes>>>,
    pub(crate) reason: String,
}

impl AttemptSeries {
    pub(crate) fn new() -> Self {
        AttemptSeries {
            tried: Vec::new(),
            was_refused: false,
            waits_for_permit: false,
            sends: SendCount::default(),
            may_reuse: true,
            send_before: Tick::NEVER,
            worst_verdict: Verdict::NotRun,
            answer: None,
            reason: String::new(),
        }
    }

    /// Returns `true` if nothing has been sent yet.
    pub(crate) fn is_unsent(&self) -> bool {
        self.tried.is_empty() && self.sends.is_empty()
    }

    /// Waits until the silent attempts can be replaced, and returns where the replacement is to be
    /// sent. The retry for it is acquired; the silent attempts go on.
    pub(crate) async fn find_replacement(
        &mut self,
        shared: &Rc<RelayShared>,
        job: &RelayJob,
        silent: &[Arc<str>],
    ) -> Placement {
        for target in silent {
            if !self.tried.contains(target) {
                self.tried.push(target.clone());
                // The acquired retry, if any, is spent.
                self.send_before = Tick::default();
            }
        }
        loop {
            // A refusal leaves time for another target to accept requests.
            if self.was_refused {
                tokio::time::sleep(REPLACEMENT_INTERVAL).await;
            }
            if let Some(placement) = self.place_replacement(shared, job, silent.len()).await {
                return placement;
            }
            tokio::time::sleep(REPLACEMENT_INTERVAL).await;
        }
    }

    async fn place_replacement(
        &mut self,
        shared: &Rc<RelayShared>,
        job: &RelayJob,
        in_progress: usize,
    ) -> Option<Placement> {
        let waits_for_reports =
            job.crash_wait_until(shared).is_some_and(|until| until > shared.now());
        if !self.may_replace(shared, job, in_progress)
            || waits_for_reports
            || job.quarantine_hold(shared).is_some()
        {
            return None;
        }
        let mut placement = self.place(shared, job)?;
        if !acquire_permit(shared, job, self, &mut placement).await {
            return None;
        }
        self.renew_retry(shared, job).await.ok()?;
        Some(placement)
    }

    /// Returns `true` if another target could be tried beside the attempts that go on.
    fn may_replace(&self, shared: &RelayShared, job: &RelayJob, in_progress: usize) -> bool {
        let is_allowed = shared.core.borrow().limits().policy.hedges
            && job.route.repeat.is_repeatable()
            && self.sends.runs() + in_progress < job.route.max_targets
            && self.sends.allows(job.route.max_targets);
        is_allowed && {
            let (domains, now) = (job.domains.as_deref(), shared.now());
            shared.core.borrow_mut().could_retry(&job.service, domains, &self.tried, now)
        }
    }

    /// Records an attempt that was ended since another one has yielded more.
    pub(crate) fn record_superseded(&mut self, attempt: &RunningAttempt<'_>) {
        if attempt.sent_at().is_some() {
            self.sends.record(SendEnd::MayHaveRun);
            self.worst_verdict = self.worst_verdict.join(Verdict::MayHaveRun);
            self.send_before = Tick::default();
        }
    }

    /// Keeps the failure response of a target, in case no other attempt succeeds.
    pub(crate) fn keep_answer(&mut self, answer: Response<Bytes>) {
        self.answer.get_or_insert_with(|| Box::new(answer));
    }

    /// Chooses the next target.
    pub(crate) fn place(&mut self, shared: &RelayShared, job: &RelayJob) -> Option<Placement> {
        let now = shared.now();
        let placement = {
            let mut core = shared.core.borrow_mut();
            let placement = self.place_now(&mut core, job, now);
            placement.or_else(|| self.place_waiting(&mut core, job, now))?
        };
        let line = PlacementLine {
            id: &job.id,
            target: &placement.target,
            helpers: &placement.helpers,
            prompt_tokens: job.need.map_or(0, |need| need.prompt_tokens),
            predicted_first: placement.first_event,
            cost: placement.cost,
            delay_cost: placement.delay_cost,
            own_loss: placement.own_loss,
            opportunity_cost: placement.opportunity_cost,
            candidates: placement.candidates,
        };
        shared.log.placed(&line, now);
        Some(placement)
    }

    fn place_now(&self, core: &mut RelayCore, job: &RelayJob, now: Tick) -> Option<Placement> {
        let need = job.need_at(now);
        if job.is_limited_to_runs() {
            let runs = job.runs.borrow();
            // An instance that has crashed since has no state of the request, whatever now runs at
            // its address.
            let alive = runs.iter().filter(|instance| core.may_be_running(instance));
            let alive: Vec<_> = alive.map(|instance| instance.incarnation.clone()).collect();
            return core.place(job.scope(), need.as_ref(), TargetScope::Only(&alive), now);
        }
        if job.is_suspect(core) {
            // If two suspects ran at one target, its crash could not be attributed to either.
            let excluded: Vec<_> =
                self.tried.iter().cloned().chain(core.suspect_targets()).collect();
            let scope = TargetScope::Untried(&excluded);
            if let Some(placement) = core.place(job.scope(), need.as_ref(), scope, now) {
                return Some(placement);
            }
        }
        core.place(job.scope(), need.as_ref(), TargetScope::Untried(&self.tried), now)
    }

    /// Chooses a rate-limited target at which the request has to wait for a permit, if one may be
    /// available in time. This is tried only once: the agent that issues the permits knows the
    /// waiting time better.
    fn place_waiting(
        &mut self,
        core: &mut RelayCore,
        job: &RelayJob,
        now: Tick,
    ) -> Option<Placement> {
        let wait = core.time_to_permit(job.scope(), now)?;
        if job.is_limited_to_runs()
            || self.waits_for_permit
            || wait.is_zero()
            || wait > job.time_to_objective(now)
        {
            return None;
        }
        self.waits_for_permit = true;
        let scope = TargetScope::Untried(&self.tried);
        core.place_with_permit(job.scope(), job.need_at(now).as_ref(), scope, now)
    }

    /// Returns the longest time that the request would wait for a permit: zero while targets
    /// without a wait may take it.
    pub(crate) fn max_permit_wait(&self, job: &RelayJob, now: Tick) -> Duration {
        if self.waits_for_permit { job.time_to_objective(now) } else { Duration::ZERO }
    }

    /// Returns the answer if the request is quarantined; `None` if it may be sent.
    pub(crate) fn check_quarantine(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
    ) -> Option<RelayFault> {
        let hold = job.quarantine_hold(shared)?;
        let has_not_run = self.worst_verdict == Verdict::NotRun;
        Some(if has_not_run {
            quarantine_fault(hold)
        } else {
            self.final_fault(shared, job, false)
        })
    }

    fn send_kind(&self, is_started: bool) -> SendKind {
        match self.worst_verdict {
            _ if is_started => SendKind::Continuation,
            Verdict::NotRun => SendKind::First,
            Verdict::MayHaveRun | Verdict::Ran => SendKind::Retry,
        }
    }

    /// Returns the answer if the planned stop of this process leaves no time for another attempt;
    /// `None` if it may be sent.
    pub(crate) fn check_stop(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
        is_started: bool,
    ) -> Option<RelayFault> {
        let kind = self.send_kind(is_started);
        if shared.stop.allows_send(kind, job.route.objective, shared.now()) {
            return None;
        }
        let has_not_run = self.worst_verdict == Verdict::NotRun;
        Some(if has_not_run { stopping_fault() } else { self.final_fault(shared, job, false) })
    }

    /// Ends a failed attempt and records its fault.
    pub(crate) fn record_fault(
        &mut self,
        shared: &Rc<RelayShared>,
        job: &RelayJob,
        failed: &mut RunningAttempt<'_>,
        fault: AttemptFault,
    ) -> FailedSend {
        failed.close();
        let now = shared.now();
        let target = &failed.attempt.target;
        let line = FailedAttemptLine {
            id: &job.id,
            digest: job.digest(),
            parts: &job.head.shared_parts,
            streamed_for: failed.streamed_for(),
            target,
            reason: &fault.reason,
            verdict: fault.verdict,
        };
        shared.log.attempt_failed(&line, now);
        shared.counts.borrow_mut().failed_attempts += 1;
        record_target_crash(shared, job, failed, &fault, now);
        if record_health(shared, target, &fault, now) {
            self.tried.push(target.clone());
        }
        let end = fault.to_send_end();
        self.worst_verdict = self.worst_verdict.join(fault.verdict);
        self.reason = fault.reason;
        self.answer = fault.answer.or(self.answer.take());
        self.sends.record(end);
        self.was_refused = matches!(end, SendEnd::NotSent | SendEnd::Refused);
        // All pooled connections of the target may have ended alike.
        self.may_reuse &= fault.fault != TargetFault::Closed;
        if fault.is_sent {
            // The acquired retry, if any, is spent.
            self.send_before = Tick::default();
        }
        FailedSend { verdict: fault.verdict, is_timeout: fault.is_timeout }
    }

    /// Takes a further send from the budgets after a failed one.
    ///
    /// # Errors
    ///
    /// No further attempt is allowed, for the returned reason.
    pub(crate) async fn acquire_next(
        &mut self,
        shared: &RelayShared,
        job: &RelayJob,
        failed: FailedSend,
    ) -> Result<(), RetryStop> {
        if failed.is_timeout || shared.now() >= job.deadline {
            return Err(RetryStop::TimeLimit);
        }
        if !failed.verdict.may_retry(job.route.repeat.is_repeatable()) {
            return Err(RetryStop::NotRepeatable);
        }
        self.acquire_send(shared, job).await
    }

    /// Takes one more send from the budgets of the request and of the service.
    async fn acquire_send(
        &mut self,
        shared: &RelayShared,
        job: &RelayJob,
    ) -> Result<(), RetryStop> {
        if !self.sends.allows(self.allowed_runs(shared, job)) {
            return Err(RetryStop::MaxSends);
        }
        wait_for_crash_reports(shared, job).await?;
        self.renew_retry(shared, job).await
    }

    /// Returns the number of runs that the request may have.
    fn allowed_runs(&self, shared: &RelayShared, job: &RelayJob) -> usize {
        let policy = shared.core.borrow().limits().policy;
        // A failure response of the target can be forwarded to the caller, so it earns no extra
        // run.
        let extra_runs = if self.answer.is_none() { policy.repeated_runs } else { 0 };
        job.route.max_targets + extra_runs
    }

    /// Returns `true` if the request can be sent once more after the attempts in progress.
    pub(crate) fn may_send_again(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
        in_progress: usize,
    ) -> bool {
        self.sends.runs() + in_progress < self.allowed_runs(shared, job)
            && shared.core.borrow_mut().has_own_retry(&job.service, shared.now())
    }

    /// Acquires a retry if the last one was sent or has lapsed.
    pub(crate) async fn renew_retry(
        &mut self,
        shared: &RelayShared,
        job: &RelayJob,
    ) -> Result<(), RetryStop> {
        if shared.now() >= self.send_before {
            let acquired = acquire_retry(shared, &job.service).await;
            self.send_before = acquired.ok_or(RetryStop::NoBudget)?;
        }
        Ok(())
    }

    /// Builds the order for the next attempt at a request of which the caller has `position`.
    pub(crate) fn to_order(
        &self,
        job: &RelayJob,
        placement: Placement,
        position: &StreamPosition,
    ) -> SendOrder {
        SendOrder {
            placement,
            resume_after: position.splitter.last_id().or(job.head.resume_after),
            send_before: self.send_before,
            may_reuse: self.may_reuse,
            kind: self.send_kind(position.is_started),
        }
    }

    /// Returns the answer of a call that is not sent again: the failure of its target, if that gave
    /// one.
    pub(crate) fn final_answer(
        &mut self,
        shared: &RelayShared,
        job: &RelayJob,
        is_timeout: bool,
    ) -> Result<RelayAnswer, RelayFault> {
        self.take_answer().ok_or_else(|| self.final_fault(shared, job, is_timeout))
    }

    /// Takes the failure of a target that was kept, if any.
    pub(crate) fn take_answer(&mut self) -> Option<RelayAnswer> {
        let answer = self.answer.take()?;
        Some(answer.map(|body| RelayBody::Buffered(Full::new(body))))
    }

    /// Builds the final failure of the request.
    pub(crate) fn final_fault(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
        is_timeout: bool,
    ) -> RelayFault {
        if self.worst_verdict == Verdict::NotRun {
            if let Some(wait) = job.time_to_target(shared) {
                return targets_closed_fault(wait);
            }
            let reason =
                if self.reason.is_empty() { "no target can take it now" } else { &self.reason };
            return RelayFault::refused("no_room", reason, NO_ROOM_RETRY_DELAY);
        }
        let status = if is_timeout { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        RelayFault::failed(status, "target_failed", self.reason.clone())
    }

    /// Waits briefly after refusals, since a full target may soon have capacity again.
    pub(crate) async fn wait_after_refusal(&self, shared: &RelayShared, job: &RelayJob) {
        // If no target accepts requests, the request is refused without delay.
        if job.time_to_target(shared).is_some() {
            return;
        }
        // A request that is limited to the targets that may have run it has no alternative.
        if self.was_refused && (job.is_limited_to_runs() || self.worst_verdict == Verdict::NotRun) {
            tokio::time::sleep(REFUSED_DELAY).await;
        }
    }
}
