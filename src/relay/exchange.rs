//! A caller's request from its arrival to the end of its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::answer::{BrokenAnswer, RelayAnswer, RelayBody, RelayFault};
use super::core::{Refusal, RelayCore};
use super::dialect::CallerHead;
use super::event_stream::EventSplitter;
use super::forward::{AttemptFault, OpenAnswer, RelayJob, open};
use super::placement::{Placement, PromptNeed};
use super::record::{PlacedLine, RequestEnd, RequestLine, StreamPace};
use super::rules::{Access, RouteRule};
use super::server::{OpenRequest, RelayShared};
use super::targets::TargetFault;
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::web::{BodyFault, read_body};

/// Parts of an answer that wait for a slow caller.
const QUEUED_PARTS: usize = 8;

/// Time to come back after a refusal for want of a configuration: another
/// entry may have one.
const NOT_FRESH_RETRY: Duration = Duration::from_millis(100);

/// Time to come back after a refusal for want of room.
const NO_ROOM_RETRY: Duration = Duration::from_millis(150);

/// Time to come back after a refusal for overload, in milliseconds: a short
/// answer takes some two seconds, so a good part of the places is free again.
const BUSY_RETRY_MS: std::ops::Range<u64> = 800..2_400;

/// Sends beyond the targets that may run a request: those that were refused.
const REFUSED_SENDS: usize = 2;

/// Wait before a prompt is placed anew: about a pass.
const PLACE_WAIT: Duration = Duration::from_millis(50);

/// Wait before another target is tried after refusals.
const REFUSED_WAIT: Duration = Duration::from_millis(30);

/// Silence within a stream after which it is continued elsewhere, in pauses
/// that are just in time.
const SILENT_PAUSES: u32 = 4;

/// Least such silence.
const MIN_SILENCE: Duration = Duration::from_millis(1_400);

/// Answer tokens that are assumed where a caller says nothing.
const ASSUMED_ANSWER: u64 = 1_500;

/// Largest whole answer of a target, in bytes.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Serves one request.
pub(super) async fn serve(shared: Rc<RelayShared>, request: Request<Incoming>) -> RelayAnswer {
    let arrived = shared.now();
    shared.counts.borrow_mut().requests += 1;
    let head = (shared.callers.parse_head)(request.headers());
    let id: Arc<str> = head.attempt.clone().unwrap_or_else(|| "-".into());
    let mut ledger = RequestLedger::new(&shared, id.clone(), arrived);
    let answer = match admit(&shared, request, head, id.clone(), arrived).await {
        Ok(job) if job.route.is_stream => serve_stream(&shared, Rc::new(job), ledger).await,
        Ok(job) => {
            let answer = serve_call(&shared, &job, &mut ledger).await;
            finish(&shared, answer, &mut ledger, &id)
        }
        Err(fault) => finish(&shared, Err(fault), &mut ledger, &id),
    };
    close_where_stopping(&shared, answer)
}

fn close_where_stopping(shared: &RelayShared, mut answer: RelayAnswer) -> RelayAnswer {
    if shared.is_stopping.get() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn finish(
    shared: &RelayShared,
    answer: Result<RelayAnswer, RelayFault>,
    ledger: &mut RequestLedger,
    id: &str,
) -> RelayAnswer {
    match answer {
        Ok(answer) => {
            ledger.end(RequestEnd::Answered, answer.status(), "");
            answer
        }
        Err(fault) => {
            ledger.end_fault(&fault);
            fault.into_answer(&shared.callers, id)
        }
    }
}

/// What is logged of a request when it ends, also where its caller leaves.
struct RequestLedger {
    shared: Rc<RelayShared>,
    id: Arc<str>,
    arrived: Tick,
    targets: Vec<Arc<str>>,
    pace: StreamPace,
    is_ended: bool,
    /// A planned stop waits for the end of the answer, not of its head.
    _open: OpenRequest,
}

impl RequestLedger {
    fn new(shared: &Rc<RelayShared>, id: Arc<str>, arrived: Tick) -> Self {
        RequestLedger {
            shared: shared.clone(),
            id,
            arrived,
            targets: Vec::new(),
            pace: StreamPace::default(),
            is_ended: false,
            _open: OpenRequest::new(shared),
        }
    }

    fn end(&mut self, end: RequestEnd, status: StatusCode, why: &str) {
        self.is_ended = true;
        let shared = &self.shared;
        let now = shared.now();
        shared.counts.borrow_mut().note_end(end);
        let core = shared.core.borrow();
        let line = RequestLine {
            id: &self.id,
            end,
            status: status.as_u16(),
            why,
            targets: &self.targets.join(","),
            took: now.since(self.arrived),
            pace: self.pace,
            version: core.rules().version(),
            proof_age: core.lease().age(now),
        };
        shared.log.request_ended(&line, now);
    }

    fn end_fault(&mut self, fault: &RelayFault) {
        let is_refused = fault.verdict == Verdict::NotRun;
        let end = if is_refused { RequestEnd::Refused } else { RequestEnd::Failed };
        self.end(end, fault.status, &fault.why);
    }
}

impl Drop for RequestLedger {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(RequestEnd::CallerLeft, StatusCode::OK, "the caller left");
        }
    }
}

/// Reads a request and finds what it may do.
async fn admit(
    shared: &Rc<RelayShared>,
    request: Request<Incoming>,
    head: CallerHead,
    id: Arc<str>,
    arrived: Tick,
) -> Result<RelayJob, RelayFault> {
    if shared.is_closed_to_new.get() {
        return Err(RelayFault::refused("stopping", "this entry is stopping", NOT_FRESH_RETRY));
    }
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let access = {
        let mut core = shared.core.borrow_mut();
        core.admit(host, parts.uri.path(), head.key.as_deref(), arrived)
    };
    let access = access.map_err(to_refusal)?;
    let limits = shared.core.borrow().rules().limits();
    let time_limit = head.patience.unwrap_or(access.route.time_limit).min(access.route.time_limit);
    let deadline = arrived + time_limit;
    let body = read_body(body, limits.max_body, time_limit).await.map_err(to_body_fault)?;
    // The body may have taken long: the configuration has to be current when
    // it was there whole, too.
    if !shared.core.borrow().lease().is_held(shared.now()) {
        return Err(to_refusal(Refusal::NotFresh));
    }
    if head.attempt.is_none() {
        let why = "the request names no attempt";
        return Err(RelayFault::bad(StatusCode::BAD_REQUEST, "no_attempt", why));
    }
    let Access { route, account } = access;
    let Some(service) = RelayCore::pick_service(&route, xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
    else {
        return Err(RelayFault::refused("no_service", "the route has none", NO_ROOM_RETRY));
    };
    let need = to_need(shared, &route, &service, &head);
    shared.core.borrow_mut().note_request(&service, shared.now());
    Ok(RelayJob {
        route,
        service,
        account,
        head,
        id,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        arrived,
        deadline,
        need,
    })
}

fn to_need(
    shared: &RelayShared,
    route: &RouteRule,
    service: &str,
    head: &CallerHead,
) -> Option<PromptNeed> {
    let rules = shared.core.borrow().rules();
    rules.service(service)?.engine.as_ref()?;
    let most = head.most_answer_tokens.unwrap_or(ASSUMED_ANSWER);
    Some(PromptNeed {
        prompt: head.prompt_tokens.unwrap_or(0),
        answer: head.guessed_answer_tokens.unwrap_or(most).min(most),
        first_limit: route.objective,
        longest_pause: route.longest_pause,
    })
}

#[cold]
fn to_refusal(refusal: Refusal) -> RelayFault {
    match refusal {
        Refusal::NotFresh => {
            let why = "the configuration can not be proven current here";
            RelayFault::refused("not_ready", why, NOT_FRESH_RETRY)
        }
        Refusal::NoRoute => {
            RelayFault::bad(StatusCode::NOT_FOUND, "no_route", "no route takes this path")
        }
        Refusal::BadKey => {
            RelayFault::bad(StatusCode::UNAUTHORIZED, "bad_key", "the key is not known")
        }
    }
}

#[cold]
fn to_body_fault(fault: BodyFault) -> RelayFault {
    let (status, code, why) = match fault {
        BodyFault::TooLarge => {
            (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", "the body is too large")
        }
        BodyFault::TooSlow => {
            (StatusCode::REQUEST_TIMEOUT, "body_too_slow", "the body did not arrive in time")
        }
        BodyFault::Broken => (StatusCode::BAD_REQUEST, "broken_body", "the body broke off"),
    };
    RelayFault::bad(status, code, why)
}

/// The attempts of one request.
struct AttemptSeries {
    tried: Vec<Arc<str>>,
    /// Attempts that may have run.
    runs: usize,
    sends: usize,
    worst: Verdict,
    answer: Option<Box<Response<Bytes>>>,
    why: String,
}

impl AttemptSeries {
    fn new() -> Self {
        AttemptSeries {
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            worst: Verdict::NotRun,
            answer: None,
            why: String::new(),
        }
    }

    /// Returns true where nothing was sent yet.
    fn is_fresh(&self) -> bool {
        self.tried.is_empty() && self.sends == 0
    }

    /// Returns true where another target could be tried after a silence of
    /// this one. Without another, silence is no reason to end an answer.
    fn may_hedge(&self, shared: &RelayShared, job: &RelayJob, target: &Arc<str>) -> bool {
        let mut tried = self.tried.clone();
        tried.push(target.clone());
        job.route.repeat.is_repeatable()
            && self.runs + 1 < job.route.max_targets
            && shared.core.borrow_mut().could_retry(&job.service, &tried, shared.now())
    }

    /// Chooses the next target.
    fn place(&self, shared: &RelayShared, job: &RelayJob) -> Option<Placement> {
        let mut core = shared.core.borrow_mut();
        let now = shared.now();
        let placement = core.place(&job.service, job.need.as_ref(), &self.tried, now)?;
        drop(core);
        let line = PlacedLine {
            id: &job.id,
            target: &placement.target,
            helpers: &placement.helpers,
            prompt: job.need.map_or(0, |need| need.prompt),
            first: placement.first,
            cost: placement.cost,
            harm: placement.harm,
            candidates: placement.candidates,
        };
        shared.log.placed(&line, now);
        Some(placement)
    }

    /// Notes a failed attempt. Returns true where another one may be made.
    fn note_fault(
        &mut self,
        shared: &RelayShared,
        job: &RelayJob,
        target: &Arc<str>,
        fault: AttemptFault,
    ) -> bool {
        let now = shared.now();
        let verdict = fault.verdict.to_string();
        shared.log.attempt_failed(&job.id, target, &fault.why, &verdict, now);
        shared.counts.borrow_mut().failed_attempts += 1;
        let is_of_helper = fault.blamed.is_some_and(|address| {
            shared.core.borrow_mut().note_helper_failure(target, address, now)
        });
        let is_of_target = !fault.is_stale && !is_of_helper;
        if !fault.is_timeout
            && is_of_target
            && let Some(span) = shared.core.borrow_mut().note_failure(target, fault.fault, now)
        {
            shared.log.ejected(target, span);
            shared.counts.borrow_mut().ejections += 1;
        }
        if is_of_target {
            self.tried.push(target.clone());
        }
        self.worst = self.worst.join(fault.verdict);
        self.why = fault.why;
        self.answer = fault.answer.or(self.answer.take());
        if fault.verdict != Verdict::NotRun && !fault.is_stale {
            self.runs += 1;
        }
        if fault.is_sent {
            self.sends += 1;
        }
        if fault.is_timeout || now >= job.deadline {
            return false;
        }
        let may_repeat = fault.verdict.may_retry(job.route.repeat.is_repeatable());
        let is_in_bound =
            self.runs < job.route.max_targets && self.sends < job.route.max_targets + REFUSED_SENDS;
        may_repeat
            && is_in_bound
            && (!fault.is_sent || shared.core.borrow_mut().take_retry(&job.service, now))
    }

    /// The final failure of a request.
    fn to_fault(&self, is_timeout: bool) -> RelayFault {
        if self.worst == Verdict::NotRun {
            let why = if self.why.is_empty() { "no target can take it now" } else { &self.why };
            return RelayFault::refused("no_room", why, NO_ROOM_RETRY);
        }
        let status = if is_timeout { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        RelayFault::failed(status, "target_failed", self.why.clone())
    }
}

/// Serves a plain call: the answer is read whole before any of it is given.
async fn serve_call(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    ledger: &mut RequestLedger,
) -> Result<RelayAnswer, RelayFault> {
    let mut series = AttemptSeries::new();
    loop {
        let Some(placement) = series.place(shared, job) else {
            return Err(series.to_fault(false));
        };
        ledger.targets.push(placement.target.clone());
        let may_hedge = series.may_hedge(shared, job, &placement.target);
        let result = call_once(shared, job, &placement, may_hedge).await;
        match result {
            Ok(answer) => return Ok(answer.map(|body| RelayBody::Whole(Full::new(body)))),
            Err(fault) => {
                let is_timeout = fault.is_timeout;
                if !series.note_fault(shared, job, &placement.target, fault) {
                    if let Some(answer) = series.answer.take() {
                        return Ok(answer.map(|body| RelayBody::Whole(Full::new(body))));
                    }
                    return Err(series.to_fault(is_timeout));
                }
                if series.worst == Verdict::NotRun {
                    tokio::time::sleep(REFUSED_WAIT).await;
                }
            }
        }
    }
}

/// One attempt at a plain call.
async fn call_once(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    placement: &Placement,
    may_hedge: bool,
) -> Result<Response<Bytes>, AttemptFault> {
    let OpenAnswer { mut guard, mut parts, body, head } =
        open(shared, job, placement, None, may_hedge).await?;
    let left = job.deadline.since(shared.now());
    let whole = read_body(body, MAX_ANSWER, left).await.map_err(|fault| match fault {
        BodyFault::TooSlow => AttemptFault::timeout(Verdict::MayHaveRun),
        BodyFault::TooLarge => AttemptFault::garbled("the answer is too large"),
        BodyFault::Broken => AttemptFault::broken("the answer broke off"),
    })?;
    guard.keep(&head);
    (shared.targets.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let is_failure = parts.status.is_server_error();
    let answer = Response::from_parts(parts, whole);
    if is_failure && job.route.repeat.is_repeatable() {
        let why = format!("the target answered {}", answer.status().as_u16());
        let mut fault = AttemptFault::garbled(why);
        fault.fault = TargetFault::Error;
        fault.verdict = Verdict::Ran;
        fault.answer = Some(Box::new(answer));
        return Err(fault);
    }
    if !is_failure {
        shared.core.borrow_mut().note_success(&placement.target);
    }
    Ok(answer)
}

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

/// Serves a stream of events.
async fn serve_stream(
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
    let mut splitter = EventSplitter::default();
    loop {
        let Some(placement) = series.place(shared, job) else {
            return fail_stream(job, output, &series, false, ledger).await;
        };
        if series.is_fresh() && is_worth_waiting(shared, job, &placement) {
            tokio::time::sleep(PLACE_WAIT).await;
            continue;
        }
        if series.is_fresh() && is_better_refused(shared, job, &placement) {
            let why = "the engines are too busy to be in time";
            let fault = RelayFault::refused("overloaded", why, busy_retry());
            ledger.end_fault(&fault);
            return output.begin(StreamStart::Fault(fault));
        }
        ledger.targets.push(placement.target.clone());
        splitter.clear_rest();
        let may_hedge = series.may_hedge(shared, job, &placement.target);
        let result = stream_once(
            shared,
            job,
            &placement,
            &mut splitter,
            output,
            &mut ledger.pace,
            may_hedge,
        )
        .await;
        match result {
            Ok(status) => return ledger.end(RequestEnd::Answered, status, ""),
            Err(fault) => {
                let is_timeout = fault.is_timeout;
                if !series.note_fault(shared, job, &placement.target, fault) {
                    return fail_stream(job, output, &series, is_timeout, ledger).await;
                }
                if series.worst == Verdict::NotRun {
                    tokio::time::sleep(REFUSED_WAIT).await;
                }
            }
        }
    }
}

/// Returns true where a better moment to place a prompt may come soon.
fn is_worth_waiting(shared: &RelayShared, job: &RelayJob, placement: &Placement) -> bool {
    let waited = shared.now().since(job.arrived);
    job.need.is_some_and(|need| placement.is_worth_waiting(&need, waited))
}

/// Returns true where nothing is lost by refusing that serving would keep.
fn is_better_refused(shared: &RelayShared, job: &RelayJob, placement: &Placement) -> bool {
    let waited = shared.now().since(job.arrived);
    job.need.is_some_and(|need| placement.is_worse_than_refusal(&need, waited))
}

/// When to come back after a refusal for overload, spread so that those who
/// are refused together do not come back together.
fn busy_retry() -> Duration {
    Duration::from_millis(rand::random_range(BUSY_RETRY_MS))
}

async fn fail_stream(
    job: &RelayJob,
    output: &mut StreamOutput,
    series: &AttemptSeries,
    is_timeout: bool,
    ledger: &mut RequestLedger,
) {
    if output.is_begun() {
        ledger.end(RequestEnd::Broken, StatusCode::OK, &series.why);
        // Where the caller has left, there is nobody to tell.
        drop(output.parts.send(Err(BrokenAnswer)).await);
        return;
    }
    let fault = series.to_fault(is_timeout);
    ledger.end_fault(&fault);
    debug_assert!(fault.verdict != Verdict::NotRun || job.arrived <= job.deadline);
    output.begin(StreamStart::Fault(fault));
}

/// One attempt at a stream: gives the caller each whole event.
async fn stream_once(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    placement: &Placement,
    splitter: &mut EventSplitter,
    output: &mut StreamOutput,
    pace: &mut StreamPace,
    may_hedge: bool,
) -> Result<StatusCode, AttemptFault> {
    let resume_after = splitter.last_id().or(job.head.resume_after);
    let OpenAnswer { mut guard, mut parts, mut body, head } =
        open(shared, job, placement, resume_after, may_hedge).await?;
    let status = parts.status;
    if !status.is_success() {
        return take_failure(shared, job, parts, body, output).await;
    }
    (shared.targets.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let mut start = Some(Response::from_parts(parts, ()));
    // The first event comes as soon as the prompt is read, the others at the
    // end of a pass.
    let mut is_begun = false;
    while let Some(frame) = next_frame(shared, job, &placement.target, &mut body, may_hedge).await?
    {
        if is_begun {
            shared.core.borrow_mut().note_pass(&placement.target, shared.now());
        }
        is_begun = true;
        let events = splitter.push(&frame);
        let events = events.map_err(|_| AttemptFault::garbled("no stream of events"))?;
        let Some(events) = events else { continue };
        if let Some(start) = start.take()
            && !output.is_begun()
        {
            output.begin(StreamStart::Head(start));
        }
        if pace.first.is_none() {
            let prompt = job.need.map_or(0, |need| need.prompt);
            shared.counts.borrow().note_first(prompt, shared.now().since(job.arrived));
        }
        pace.note(job.arrived, shared.now());
        if output.parts.send(Ok(events)).await.is_err() {
            return Err(AttemptFault::broken("the caller left"));
        }
    }
    if splitter.has_rest() || (start.is_some() && !output.is_begun()) {
        return Err(AttemptFault::broken("the stream ended within an event"));
    }
    guard.keep(&head);
    shared.core.borrow_mut().note_success(&placement.target);
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
    target: &str,
    body: &mut Incoming,
    may_hedge: bool,
) -> Result<Option<Bytes>, AttemptFault> {
    let silence = (job.route.longest_pause * SILENT_PAUSES).max(MIN_SILENCE);
    let now = shared.now();
    let silent_at = if may_hedge { now + silence } else { Tick::NEVER };
    let limit = silent_at.min(job.deadline).since(now);
    loop {
        let Ok(frame) = tokio::time::timeout(limit, body.frame()).await else {
            if shared.now() >= job.deadline {
                return Err(AttemptFault::timeout(Verdict::MayHaveRun));
            }
            return Err(AttemptFault::silent("the stream stands still"));
        };
        let Some(frame) = frame else { return Ok(None) };
        let frame = frame.map_err(|error| AttemptFault::broken(error.to_string()))?;
        shared.core.borrow_mut().note_heard(target, shared.now());
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}
