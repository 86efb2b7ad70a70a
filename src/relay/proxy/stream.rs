//! Streams of events. Each complete event is forwarded as it arrives. If the stream of a target
//! breaks, another target continues it after the last forwarded event.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::answer::{BrokenAnswer, RelayAnswer, RelayBody, RelayFault};
use super::call::MAX_ANSWER_BYTES;
use super::event_stream::EventSplitter;
use super::forward::{AttemptFault, OpenAnswer, SendTerms, start_attempt};
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::permit::acquire_permit;
use super::series::AttemptSeries;
use crate::relay::core::PlacedAttempt;
use crate::relay::decide::part_ledger::MAX_TIME_TO_CRASH;
use crate::relay::decide::placement::{Placement, PlacementAction, PromptNeed};
use crate::relay::decide::retry_delay::after_overload;
use crate::relay::decide::targets::TargetFault;
use crate::relay::record::{RequestEnd, RetryStop, StreamPace};
use crate::relay::shared::RelayShared;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::web::read_body;

/// Maximum number of chunks that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Silence within a stream after which another target continues it, in multiples of the longest
/// pause that the route allows.
const SILENCE_PAUSES: u32 = 4;

/// Minimum of that silence.
const MIN_SILENCE: Duration = Duration::from_millis(1_400);

/// Minimum objective for which a stream stays at its target during a long forward pass. Callers
/// wait for an event for four objectives or two seconds, whichever is longer; from this objective
/// on, they wait longer than a forward pass takes.
const LONG_PASS_OBJECTIVE: Duration = Duration::from_secs(1);

/// First message of a stream's task to the function that answers the caller.
enum StreamStart {
    /// Head of a streamed answer; its chunks follow.
    Head(Response<()>),
    /// A complete answer that is not a stream.
    Buffered(Response<Bytes>),
    /// A failure.
    Fault(RelayFault),
}

/// Sending side of the caller's stream.
struct StreamOutput {
    start: Option<oneshot::Sender<StreamStart>>,
    chunks: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
}

impl StreamOutput {
    fn send_start(&mut self, start: StreamStart) {
        if let Some(sender) = self.start.take() {
            // If the caller has left, this task is being cancelled, so the error is ignored.
            drop(sender.send(start));
        }
    }

    fn is_started(&self) -> bool {
        self.start.is_none()
    }
}

/// Progress of a stream over all attempts.
struct StreamProgress<'a> {
    output: &'a mut StreamOutput,
    splitter: EventSplitter,
    /// Arrival of the first event of the current attempt.
    first_event_at: Option<Tick>,
}

/// Serves a stream of events.
pub(crate) async fn serve_stream(
    shared: &Rc<RelayShared>,
    job: Rc<RelayJob>,
    mut ledger: RequestLedger,
) -> RelayAnswer {
    let (start, start_receiver) = oneshot::channel();
    let (chunks, chunk_receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let caller = chunks.clone();
    let task_shared = shared.clone();
    let id = job.id.clone();
    tokio::task::spawn_local(async move {
        let mut output = StreamOutput { start: Some(start), chunks };
        tokio::select! {
            // All work for a request is cancelled when its caller leaves.
            () = caller.closed() => {}
            () = run_stream(&task_shared, &job, &mut output, &mut ledger) => {}
        }
    });
    match start_receiver.await {
        Ok(StreamStart::Head(head)) => head.map(|()| RelayBody::Streamed(chunk_receiver)),
        Ok(StreamStart::Buffered(answer)) => {
            answer.map(|body| RelayBody::Buffered(Full::new(body)))
        }
        Ok(StreamStart::Fault(fault)) => fault.into_answer(&shared.caller_protocol, &id),
        Err(_) => RelayFault::failed(StatusCode::BAD_GATEWAY, "stream_lost", "the stream was lost")
            .into_answer(&shared.caller_protocol, &id),
    }
}

/// Makes attempts until the stream is complete or no further attempt is allowed.
async fn run_stream(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    output: &mut StreamOutput,
    ledger: &mut RequestLedger,
) {
    let mut series = AttemptSeries::new();
    let mut progress =
        StreamProgress { output, splitter: EventSplitter::default(), first_event_at: None };
    let mut is_admitted = false;
    loop {
        if let Some(fault) = series.check_quarantine(shared, job) {
            ledger.retry_stop = Some(RetryStop::Quarantined);
            return fail_stream(progress.output, &series, fault, ledger).await;
        }
        let Some(mut placement) = series.place(shared, job) else {
            ledger.retry_stop = Some(RetryStop::NoTarget);
            let fault = series.final_fault(shared, job, false);
            return fail_stream(progress.output, &series, fault, ledger).await;
        };
        let decision = decide(shared, job, &placement, is_admitted).filter(|_| series.is_unsent());
        match decision {
            None | Some((PlacementAction::Send, _)) => {}
            Some((PlacementAction::Wait, _)) => {
                is_admitted = true;
                tokio::time::sleep(job.placement_interval()).await;
                continue;
            }
            Some((PlacementAction::Refuse, need)) => {
                let message = "the engines are too busy to be in time";
                let retry_after = after_overload(&placement, &need, &mut rand::rng());
                let fault = RelayFault::refused("overloaded", message, retry_after);
                ledger.end_with_fault(&fault);
                return progress.output.send_start(StreamStart::Fault(fault));
            }
        }
        if !acquire_permit(shared, job, &series, &mut placement).await {
            continue;
        }
        if let Err(stop) = series.renew_retry(shared, job).await {
            ledger.retry_stop = Some(stop);
            let fault = series.final_fault(shared, job, false);
            return fail_stream(progress.output, &series, fault, ledger).await;
        }
        ledger.record_send(&placement.target);
        progress.splitter.clear_partial_event();
        progress.first_event_at = None;
        let terms = series.send_terms(shared, job, &placement.target);
        let pace = &mut ledger.pace;
        let result = stream_once(shared, job, &placement, &mut progress, pace, terms).await;
        match result {
            Ok(status) => return ledger.end(RequestEnd::Answered, status, ""),
            Err(fault) => {
                let is_timeout = fault.is_timeout;
                ledger.digest = Some(job.digest());
                if let Err(stop) = series.record_fault(shared, job, &placement.target, fault).await
                {
                    ledger.retry_stop = Some(stop);
                    let fault = series.final_fault(shared, job, is_timeout);
                    return fail_stream(progress.output, &series, fault, ledger).await;
                }
                series.wait_after_refusal(shared, job).await;
            }
        }
    }
}

/// Decides whether a request that was not sent yet is sent, waits or is refused, and returns the
/// prompt need that the decision is based on.
fn decide(
    shared: &RelayShared,
    job: &RelayJob,
    placement: &Placement,
    is_admitted: bool,
) -> Option<(PlacementAction, PromptNeed)> {
    let need = PromptNeed { is_admitted, ..job.need_at(shared.now())? };
    let core = shared.core.borrow();
    Some((placement.decide(&need, job.placement_interval(), &core.limits().policy), need))
}

async fn fail_stream(
    output: &mut StreamOutput,
    series: &AttemptSeries,
    fault: RelayFault,
    ledger: &mut RequestLedger,
) {
    if output.is_started() {
        ledger.end(RequestEnd::Broken, StatusCode::OK, &series.reason);
        // If the caller has left, the error cannot be delivered.
        drop(output.chunks.send(Err(BrokenAnswer)).await);
        return;
    }
    ledger.end_with_fault(&fault);
    output.send_start(StreamStart::Fault(fault));
}

/// Makes one attempt and forwards each complete event to the caller.
async fn stream_once(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    placement: &Placement,
    progress: &mut StreamProgress<'_>,
    pace: &mut StreamPace,
    terms: SendTerms,
) -> Result<StatusCode, AttemptFault> {
    let resume_after = progress.splitter.last_id().or(job.head.resume_after);
    let answer = start_attempt(shared, job, placement, resume_after, terms).await?;
    if !answer.parts.status.is_success() {
        return handle_failure(shared, job, answer.parts, answer.body, progress.output).await;
    }
    let result = forward_events(shared, job, answer, progress, pace, terms.may_hedge).await;
    result.map_err(|fault| {
        let streamed_for =
            progress.first_event_at.map_or(Duration::ZERO, |at| shared.now().since(at));
        AttemptFault { streamed_for, ..fault }
    })
}

/// Forwards the events of an answer to the caller.
async fn forward_events(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    answer: OpenAnswer,
    progress: &mut StreamProgress<'_>,
    pace: &mut StreamPace,
    may_hedge: bool,
) -> Result<StatusCode, AttemptFault> {
    let OpenAnswer { mut guard, mut parts, mut body, head } = answer;
    let (status, target) = (parts.status, guard.attempt.target.clone());
    (shared.target_protocol.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let mut start = Some(Response::from_parts(parts, ()));
    let mut is_served = false;
    // The first event arrives when prefill is finished, each later one at the end of a forward
    // pass.
    while let Some(frame) = next_frame(shared, job, &guard.attempt, &mut body, may_hedge).await? {
        if progress.first_event_at.is_some() {
            shared.core.borrow_mut().record_pass_end(&target, shared.now());
        } else {
            shared.core.borrow_mut().record_first_event(&guard.attempt, shared.now());
        }
        let first_event_at = *progress.first_event_at.get_or_insert(shared.now());
        if !is_served && shared.now().since(first_event_at) >= MAX_TIME_TO_CRASH {
            is_served = true;
            job.report_served_parts(shared);
        }
        let events = progress.splitter.push(&frame);
        let events = events.map_err(|_| AttemptFault::malformed("no stream of events"))?;
        let Some(events) = events else { continue };
        if let Some(start) = start.take()
            && !progress.output.is_started()
        {
            progress.output.send_start(StreamStart::Head(start));
        }
        if pace.time_to_first.is_none() {
            let prompt = job.need.map_or(0, |need| need.prompt_tokens);
            shared.counts.borrow().record_first_event(prompt, shared.now().since(job.arrived));
        }
        pace.record(job.arrived, shared.now());
        if progress.output.chunks.send(Ok(events)).await.is_err() {
            return Err(AttemptFault::broken("the caller left"));
        }
    }
    if progress.splitter.has_partial_event() || (start.is_some() && !progress.output.is_started()) {
        return Err(AttemptFault::broken("the stream ended within an event"));
    }
    guard.return_connection(&head);
    job.report_answered(shared);
    if !is_served {
        job.report_served_parts(shared);
    }
    shared.core.borrow_mut().record_success(&target);
    Ok(status)
}

/// Handles a failure response of the target.
async fn handle_failure(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    mut parts: hyper::http::response::Parts,
    body: Incoming,
    output: &mut StreamOutput,
) -> Result<StatusCode, AttemptFault> {
    let time_left = job.deadline.since(shared.now());
    let complete_body = read_body(body, MAX_ANSWER_BYTES, time_left).await;
    let complete_body = complete_body.map_err(|_| AttemptFault::broken("the failure broke off"))?;
    job.report_answered(shared);
    (shared.target_protocol.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let status = parts.status;
    let answer = Response::from_parts(parts, complete_body);
    if status.is_server_error() && job.route.repeat.is_repeatable() {
        let mut fault = AttemptFault::malformed(format!("the target answered {}", status.as_u16()));
        fault.fault = TargetFault::Error;
        fault.verdict = Verdict::Ran;
        return Err(fault);
    }
    if output.is_started() {
        return Err(AttemptFault::malformed("the stream could not be continued"));
    }
    output.send_start(StreamStart::Buffered(answer));
    Ok(status)
}

/// Returns the next bytes of a stream; `None` at its end.
async fn next_frame(
    shared: &RelayShared,
    job: &RelayJob,
    attempt: &PlacedAttempt,
    body: &mut Incoming,
    may_hedge: bool,
) -> Result<Option<Bytes>, AttemptFault> {
    let silence = (job.route.longest_pause * SILENCE_PAUSES).max(MIN_SILENCE);
    let mut silence_deadline = if may_hedge { shared.now() + silence } else { Tick::NEVER };
    loop {
        let Some(frame) = shared.run_until(silence_deadline.min(job.deadline), body.frame()).await
        else {
            let now = shared.now();
            if now >= job.deadline {
                return Err(AttemptFault::timeout(Verdict::MayHaveRun));
            }
            // A long forward pass is no fault of the target, but callers of short prompts do not
            // wait for its end.
            let pass_left = shared.core.borrow_mut().time_to_pass_end(&attempt.target, now);
            if pass_left.is_zero() || job.route.objective < LONG_PASS_OBJECTIVE {
                return Err(AttemptFault::silent("the stream stands still"));
            }
            silence_deadline = now + pass_left;
            continue;
        };
        let Some(frame) = frame else { return Ok(None) };
        let frame = frame.map_err(|error| AttemptFault::broken(error.to_string()))?;
        shared.core.borrow_mut().record_received(&attempt.target, shared.now());
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}
