//! Streams of events. Each complete event is forwarded as it arrives. If the stream of a target
//! breaks, another target continues it after the last forwarded event.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;

use super::answer::{RelayAnswer, RelayBody, RelayFault};
use super::attempt_race::AttemptRace;
use super::chunk_queue::{ChunkSender, new_queue};
use super::forward::AttemptFault;
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::permit::acquire_permit;
use super::running_attempt::{AttemptYield, StreamPosition};
use super::series::AttemptSeries;
use crate::relay::decide::placement::{Placement, PlacementAction, PromptNeed};
use crate::relay::decide::retry_delay::after_overload;
use crate::relay::log_line::{RequestEnd, RetryStop};
use crate::relay::shared::RelayShared;

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
    chunks: ChunkSender,
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

/// Serves a stream of events.
pub(crate) async fn serve_stream(
    shared: &Rc<RelayShared>,
    job: Rc<RelayJob>,
    mut ledger: RequestLedger,
) -> RelayAnswer {
    let (start, start_receiver) = oneshot::channel();
    let (chunks, chunk_receiver) = new_queue(shared.shared_room.clone(), job.memory.clone());
    let caller_left = chunks.closed();
    let task_shared = shared.clone();
    let id = job.id.clone();
    tokio::task::spawn_local(async move {
        let mut output = StreamOutput { start: Some(start), chunks };
        tokio::select! {
            biased;
            // All work for a request is cancelled when its caller leaves.
            () = caller_left => {}
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
    let mut position = StreamPosition::default();
    let mut is_admitted = false;
    loop {
        if let Some(fault) = series.check_quarantine(shared, job) {
            ledger.retry_stop = Some(RetryStop::Quarantined);
            return fail_stream(output, &series, fault, ledger);
        }
        if let Some(fault) = series.check_stop(shared, job, position.is_started) {
            ledger.retry_stop = Some(RetryStop::Stopping);
            return fail_stream(output, &series, fault, ledger);
        }
        let Some(mut placement) = series.place(shared, job) else {
            ledger.retry_stop = Some(RetryStop::NoTarget);
            let fault = series.final_fault(shared, job, false);
            return fail_stream(output, &series, fault, ledger);
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
                return output.send_start(StreamStart::Fault(fault));
            }
        }
        if !acquire_permit(shared, job, &series, &mut placement).await {
            continue;
        }
        if let Err(stop) = series.renew_retry(shared, job).await {
            ledger.retry_stop = Some(stop);
            let fault = series.final_fault(shared, job, false);
            return fail_stream(output, &series, fault, ledger);
        }
        ledger.record_send(&placement.target);
        let mut race = AttemptRace::start(shared, job, placement, &series, &position);
        match forward_answer(shared, job, &mut race, output, &mut series, ledger).await {
            Ok(StreamOutcome::Complete(status)) => {
                return ledger.end(RequestEnd::Answered, status, "");
            }
            Ok(StreamOutcome::Unread) => {
                series.record_superseded(race.current());
                ledger.end(RequestEnd::Broken, StatusCode::OK, "the caller does not read");
                return output.chunks.break_off();
            }
            Err(fault) => {
                let failed = series.record_fault(shared, job, race.current(), fault);
                position = race.current().position();
                drop(race);
                ledger.digest = Some(job.digest());
                if let Err(stop) = series.acquire_next(shared, job, failed).await {
                    ledger.retry_stop = Some(stop);
                    let fault = series.final_fault(shared, job, failed.is_timeout);
                    return fail_stream(output, &series, fault, ledger);
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

fn fail_stream(
    output: &mut StreamOutput,
    series: &AttemptSeries,
    fault: RelayFault,
    ledger: &mut RequestLedger,
) {
    if output.is_started() {
        ledger.end(RequestEnd::Broken, StatusCode::OK, &series.reason);
        return output.chunks.break_off();
    }
    ledger.end_with_fault(&fault);
    output.send_start(StreamStart::Fault(fault));
}

/// How the attempts of a stream have ended without a fault of a target.
enum StreamOutcome {
    /// The answer is complete.
    Complete(StatusCode),
    /// Time is up, and the caller has not read what there is.
    Unread,
}

/// Forwards what the attempts yield to the caller, until the answer is complete.
async fn forward_answer(
    shared: &RelayShared,
    job: &RelayJob,
    race: &mut AttemptRace<'_>,
    output: &mut StreamOutput,
    series: &mut AttemptSeries,
    ledger: &mut RequestLedger,
) -> Result<StreamOutcome, AttemptFault> {
    loop {
        match race.next(series, ledger).await? {
            AttemptYield::Silence => {}
            AttemptYield::StreamEnd(status) => return Ok(StreamOutcome::Complete(status)),
            AttemptYield::Answer(answer) => {
                let status = answer.status();
                output.send_start(StreamStart::Buffered(answer));
                return Ok(StreamOutcome::Complete(status));
            }
            AttemptYield::Events(events) => {
                if let Some(head) = race.current().take_head() {
                    output.send_start(StreamStart::Head(head));
                }
                ledger.record_events(job);
                match shared.run_until(job.deadline, output.chunks.send(events)).await {
                    Some(true) => {}
                    Some(false) => return Err(AttemptFault::broken("the caller left")),
                    None => return Ok(StreamOutcome::Unread),
                }
            }
        }
    }
}
