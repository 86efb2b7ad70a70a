//! Streams of events: each whole event is given as it comes, and a stream that
//! breaks goes on at another target after the last of them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::answer::{BrokenAnswer, RelayAnswer, RelayBody, RelayFault};
use super::call::MAX_ANSWER;
use super::event_stream::EventSplitter;
use super::forward::{AttemptFault, OpenAnswer, RelayJob, open};
use super::ledger::RequestLedger;
use super::permit::take_turn;
use super::series::AttemptSeries;
use crate::relay::core::AttemptShare;
use crate::relay::decide::placement::{Placement, PlacementAction, PromptNeed};
use crate::relay::decide::return_time::after_overload;
use crate::relay::decide::targets::TargetFault;
use crate::relay::record::{RequestEnd, SeriesEnd, StreamPace};
use crate::relay::shared::RelayShared;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::web::read_body;

/// Parts of an answer that wait for a slow caller.
const QUEUED_PARTS: usize = 8;

/// Silence within a stream after which it is continued elsewhere, in pauses
/// that are just in time.
const SILENT_PAUSES: u32 = 4;

/// Least such silence.
const MIN_SILENCE: Duration = Duration::from_millis(1_400);

/// Least objective of requests that are left in a pass that lasts long: callers
/// wait for an event for four objectives or two seconds, whichever is longer, so
/// from here on they wait longer than a pass does.
const PATIENT_OBJECTIVE: Duration = Duration::from_secs(1);

/// What a stream's task tells the one that answers the caller.
enum StreamStart {
    /// The head of the answer; its parts follow.
    Head(Response<()>),
    /// A whole answer that is no stream.
    Whole(Response<Bytes>),
    /// A failure.
    Fault(RelayFault),
}

/// The caller's side of a stream.
struct StreamOutput {
    start: Option<oneshot::Sender<StreamStart>>,
    parts: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
}

impl StreamOutput {
    fn begin(&mut self, start: StreamStart) {
        if let Some(sender) = self.start.take() {
            // Where the caller has left, its task is being ended.
            drop(sender.send(start));
        }
    }

    fn is_begun(&self) -> bool {
        self.start.is_none()
    }
}

/// What has been given to the caller of a stream, over all attempts.
struct StreamFeed<'a> {
    output: &'a mut StreamOutput,
    splitter: EventSplitter,
    /// When the first event of the attempt under way came.
    begun_at: Option<Tick>,
}

/// Serves a stream of events.
pub(crate) async fn serve_stream(
    shared: &Rc<RelayShared>,
    job: Rc<RelayJob>,
    mut ledger: RequestLedger,
) -> RelayAnswer {
    let (start, started) = oneshot::channel();
    let (parts, receiver) = mpsc::channel(QUEUED_PARTS);
    let gone = parts.clone();
    let task_shared = shared.clone();
    let id = job.id.clone();
    tokio::task::spawn_local(async move {
        let mut output = StreamOutput { start: Some(start), parts };
        tokio::select! {
            // The caller's going away ends all that is done for it.
            () = gone.closed() => {}
            () = run_stream(&task_shared, &job, &mut output, &mut ledger) => {}
        }
    });
    match started.await {
        Ok(StreamStart::Head(head)) => head.map(|()| RelayBody::Parts(receiver)),
        Ok(StreamStart::Whole(answer)) => answer.map(|body| RelayBody::Whole(Full::new(body))),
        Ok(StreamStart::Fault(fault)) => fault.into_answer(&shared.callers, &id),
        Err(_) => RelayFault::failed(StatusCode::BAD_GATEWAY, "stream_lost", "the stream was lost")
            .into_answer(&shared.callers, &id),
    }
}

/// Makes attempts until the stream is whole or may not be tried again.
async fn run_stream(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    output: &mut StreamOutput,
    ledger: &mut RequestLedger,
) {
    let mut series = AttemptSeries::new();
    let mut feed = StreamFeed { output, splitter: EventSplitter::default(), begun_at: None };
    let mut is_admitted = false;
    loop {
        if let Some(fault) = series.hold_fault(shared, job) {
            ledger.series_end = Some(SeriesEnd::HeldBack);
            return fail_stream(feed.output, &series, fault, ledger).await;
        }
        let Some(mut placement) = series.place(shared, job) else {
            ledger.series_end = Some(SeriesEnd::NoTarget);
            let fault = series.to_fault(shared, job, false);
            return fail_stream(feed.output, &series, fault, ledger).await;
        };
        let decision = decide(shared, job, &placement, is_admitted).filter(|_| series.is_fresh());
        match decision {
            None | Some((PlacementAction::Send, _)) => {}
            Some((PlacementAction::Wait, _)) => {
                is_admitted = true;
                tokio::time::sleep(job.place_step()).await;
                continue;
            }
            Some((PlacementAction::Refuse, need)) => {
                let why = "the engines are too busy to be in time";
                let after = after_overload(&placement, &need, &mut rand::rng());
                let fault = RelayFault::refused("overloaded", why, after);
                ledger.end_fault(&fault);
                return feed.output.begin(StreamStart::Fault(fault));
            }
        }
        if !take_turn(shared, job, &series, &mut placement).await {
            continue;
        }
        ledger.note_send(&placement.target);
        feed.splitter.clear_rest();
        feed.begun_at = None;
        let may_hedge = series.may_hedge(shared, job, &placement.target);
        let pace = &mut ledger.pace;
        let result = stream_once(shared, job, &placement, &mut feed, pace, may_hedge).await;
        match result {
            Ok(status) => return ledger.end(RequestEnd::Answered, status, ""),
            Err(fault) => {
                let is_timeout = fault.is_timeout;
                ledger.digest = Some(job.digest());
                if let Err(end) = series.note_fault(shared, job, &placement.target, fault).await {
                    ledger.series_end = Some(end);
                    let fault = series.to_fault(shared, job, is_timeout);
                    return fail_stream(feed.output, &series, fault, ledger).await;
                }
                series.pause(shared, job).await;
            }
        }
    }
}

/// What to do with a request that was not sent yet, and the need that decided it.
fn decide(
    shared: &RelayShared,
    job: &RelayJob,
    placement: &Placement,
    is_admitted: bool,
) -> Option<(PlacementAction, PromptNeed)> {
    let need = PromptNeed { is_admitted, ..job.need_at(shared.now())? };
    let core = shared.core.borrow();
    Some((placement.decide(&need, job.place_step(), &core.limits().policy), need))
}

async fn fail_stream(
    output: &mut StreamOutput,
    series: &AttemptSeries,
    fault: RelayFault,
    ledger: &mut RequestLedger,
) {
    if output.is_begun() {
        ledger.end(RequestEnd::Broken, StatusCode::OK, &series.why);
        // Where the caller has left, there is nobody to tell.
        drop(output.parts.send(Err(BrokenAnswer)).await);
        return;
    }
    ledger.end_fault(&fault);
    output.begin(StreamStart::Fault(fault));
}

/// One attempt at a stream: gives the caller each whole event.
async fn stream_once(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    placement: &Placement,
    feed: &mut StreamFeed<'_>,
    pace: &mut StreamPace,
    may_hedge: bool,
) -> Result<StatusCode, AttemptFault> {
    let resume_after = feed.splitter.last_id().or(job.head.resume_after);
    let answer = open(shared, job, placement, resume_after, may_hedge).await?;
    if !answer.parts.status.is_success() {
        return take_failure(shared, job, answer.parts, answer.body, feed.output).await;
    }
    let result = pass_events(shared, job, answer, feed, pace, may_hedge).await;
    result.map_err(|fault| {
        let settled = feed.begun_at.map_or(Duration::ZERO, |at| shared.now().since(at));
        AttemptFault { settled, ..fault }
    })
}

/// Gives the caller the events of an answer.
async fn pass_events(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    answer: OpenAnswer,
    feed: &mut StreamFeed<'_>,
    pace: &mut StreamPace,
    may_hedge: bool,
) -> Result<StatusCode, AttemptFault> {
    let OpenAnswer { mut guard, mut parts, mut body, head } = answer;
    let (status, target) = (parts.status, guard.share.target.clone());
    (shared.targets.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let mut start = Some(Response::from_parts(parts, ()));
    // The first event comes as soon as the prompt is read, the others at the
    // end of a pass.
    while let Some(frame) = next_frame(shared, job, &guard.share, &mut body, may_hedge).await? {
        if feed.begun_at.is_some() {
            shared.core.borrow_mut().note_pass(&target, shared.now());
        } else {
            shared.core.borrow_mut().note_first(&guard.share, shared.now());
        }
        feed.begun_at.get_or_insert(shared.now());
        let events = feed.splitter.push(&frame);
        let events = events.map_err(|_| AttemptFault::garbled("no stream of events"))?;
        let Some(events) = events else { continue };
        if let Some(start) = start.take()
            && !feed.output.is_begun()
        {
            feed.output.begin(StreamStart::Head(start));
        }
        if pace.first.is_none() {
            let prompt = job.need.map_or(0, |need| need.prompt);
            shared.counts.borrow().note_first(prompt, shared.now().since(job.arrived));
        }
        pace.note(job.arrived, shared.now());
        if feed.output.parts.send(Ok(events)).await.is_err() {
            return Err(AttemptFault::broken("the caller left"));
        }
    }
    if feed.splitter.has_rest() || (start.is_some() && !feed.output.is_begun()) {
        return Err(AttemptFault::broken("the stream ended within an event"));
    }
    guard.keep(&head);
    job.note_answered(shared);
    shared.core.borrow_mut().note_success(&target);
    Ok(status)
}

/// A target's own failure instead of a stream.
async fn take_failure(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    mut parts: hyper::http::response::Parts,
    body: Incoming,
    output: &mut StreamOutput,
) -> Result<StatusCode, AttemptFault> {
    let left = job.deadline.since(shared.now());
    let whole = read_body(body, MAX_ANSWER, left).await;
    let whole = whole.map_err(|_| AttemptFault::broken("the failure broke off"))?;
    job.note_answered(shared);
    (shared.targets.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let status = parts.status;
    let answer = Response::from_parts(parts, whole);
    if status.is_server_error() && job.route.repeat.is_repeatable() {
        let mut fault = AttemptFault::garbled(format!("the target answered {}", status.as_u16()));
        fault.fault = TargetFault::Error;
        fault.verdict = Verdict::Ran;
        return Err(fault);
    }
    if output.is_begun() {
        return Err(AttemptFault::garbled("the stream could not be continued"));
    }
    output.begin(StreamStart::Whole(answer));
    Ok(status)
}

/// The next bytes of a stream, none at its end.
async fn next_frame(
    shared: &RelayShared,
    job: &RelayJob,
    share: &AttemptShare,
    body: &mut Incoming,
    may_hedge: bool,
) -> Result<Option<Bytes>, AttemptFault> {
    let silence = (job.route.longest_pause * SILENT_PAUSES).max(MIN_SILENCE);
    let mut silent_at = if may_hedge { shared.now() + silence } else { Tick::NEVER };
    loop {
        let Some(frame) = shared.until(silent_at.min(job.deadline), body.frame()).await else {
            let now = shared.now();
            if now >= job.deadline {
                return Err(AttemptFault::timeout(Verdict::MayHaveRun));
            }
            // A long pass is no fault of its target, but callers of short
            // prompts do not wait for its end.
            let pass = shared.core.borrow_mut().time_to_pass_end(&share.target, now);
            if pass.is_zero() || job.route.objective < PATIENT_OBJECTIVE {
                return Err(AttemptFault::silent("the stream stands still"));
            }
            silent_at = now + pass;
            continue;
        };
        let Some(frame) = frame else { return Ok(None) };
        let frame = frame.map_err(|error| AttemptFault::broken(error.to_string()))?;
        shared.core.borrow_mut().note_heard(&share.target, shared.now());
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}
