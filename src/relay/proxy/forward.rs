//! One attempt: a request on its way to a target, and the head of its answer.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, Uri};

use super::connections::{TargetConnection, connect};
use super::dialect::{AnswerHead, CallerHead, HelperSeat, TargetHead};
use super::memory_hold::MemoryHold;
use crate::relay::core::{AttemptShare, RelayCore};
use crate::relay::decide::placement::{Placement, PromptNeed};
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::send_count::SendEnd;
use crate::relay::decide::service_scope::{DomainSet, ServiceScope};
use crate::relay::decide::targets::TargetFault;
use crate::relay::discovery::rules::RouteRule;
use crate::relay::shared::RelayShared;
use crate::time::Tick;
use crate::verdict::Verdict;

/// Least silence of a target with work after which a prompt is taken elsewhere,
/// beside the time that its first event was foretold to take. Callers of short
/// prompts wait for two seconds.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_300);

/// Part of the foretold time to the first event that is waited in any case.
const FORETOLD_PART: f64 = 1.5;

/// Part of the objective of a plain call after which another target is tried.
const HEDGE_PART: f64 = 0.8;

/// Part of the objective after which a prompt that waits is placed anew, as its
/// divisor: a pass or two for long prompts, and a decision costs a small host
/// some milliseconds.
const PLACE_WAITS: u32 = 30;

/// How often a waiting request looks whether its target is silent.
const LOOK_STEP: Duration = Duration::from_millis(50);

/// A caller's request, read whole.
pub(crate) struct RelayJob {
    pub(crate) route: Rc<RouteRule>,
    pub(crate) service: Arc<str>,
    /// Failure domains whose targets may run it, none for all.
    pub(crate) domains: Option<Rc<DomainSet>>,
    pub(crate) account: Option<Arc<str>>,
    pub(crate) head: CallerHead,
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Tick,
    /// When its time is up.
    pub(crate) deadline: Tick,
    /// What its prompt asks of an engine, none for a plain call.
    pub(crate) need: Option<PromptNeed>,
    /// Which request it is, once that was asked for.
    pub(crate) known_digest: OnceCell<RequestDigest>,
}

impl RelayJob {
    /// Which request it is, whatever its caller names this sending.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.known_digest.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            RequestDigest::of(self.account.as_deref(), &self.route.host, path, &self.body)
        })
    }

    /// Returns true where it is to be kept apart, since targets ended under it.
    pub(crate) fn is_suspect(&self, core: &RelayCore) -> bool {
        !core.quarantine().is_empty() && core.quarantine().is_suspect(&self.digest())
    }

    /// Time for which it is held back, none where it may be sent.
    pub(crate) fn held_for(&self, shared: &RelayShared) -> Option<Duration> {
        if shared.core.borrow().quarantine().is_empty() {
            return None;
        }
        shared.tell_suspects();
        let core = shared.core.borrow();
        core.quarantine().holds().held_for(&self.digest(), shared.now())
    }

    /// The targets that may run it.
    pub(crate) fn scope(&self) -> ServiceScope<'_> {
        ServiceScope { service: &self.service, domains: self.domains.as_deref() }
    }

    /// Time until a target of its service takes requests, none where one does now.
    pub(crate) fn time_to_target(&self, shared: &RelayShared) -> Option<Duration> {
        shared.core.borrow().time_to_target(self.scope(), shared.now())
    }

    /// Notes that a target answered it.
    pub(crate) fn note_answered(&self, shared: &RelayShared) {
        if !shared.core.borrow().quarantine().is_empty() {
            shared.core.borrow_mut().note_answered(self.digest());
        }
    }

    /// Time that is left of its objective: what comes later is better left to others.
    pub(crate) fn patience(&self, now: Tick) -> Duration {
        (self.arrived + self.route.objective).min(self.deadline).since(now)
    }

    /// Time after which its prompt is placed anew, where it waits.
    pub(crate) fn place_step(&self) -> Duration {
        self.route.objective / PLACE_WAITS
    }

    /// What its prompt asks of an engine at `now`.
    pub(crate) fn need_at(&self, now: Tick) -> Option<PromptNeed> {
        let waited = now.since(self.arrived);
        let time_left = self.deadline.since(now);
        self.need.map(|need| PromptNeed { waited, time_left, ..need })
    }
}

/// Why an attempt brought no answer.
pub(crate) struct AttemptFault {
    /// What it says of the target.
    pub(crate) fault: TargetFault,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// In a few words.
    pub(crate) why: String,
    /// Whether anything was sent.
    pub(crate) is_sent: bool,
    /// An answer of the target that the caller may get.
    pub(crate) answer: Option<Box<Response<Bytes>>>,
    /// The request's time is up.
    pub(crate) is_timeout: bool,
    /// A helper that is at fault, and not the target itself.
    pub(crate) blamed: Option<SocketAddr>,
    /// It was on a kept connection, which its target may have forgotten: it
    /// says nothing of the target itself.
    pub(crate) is_stale: bool,
    /// Time for which its events had come.
    pub(crate) settled: Duration,
}

impl AttemptFault {
    fn new(fault: TargetFault, verdict: Verdict, why: impl Into<String>) -> Self {
        AttemptFault {
            fault,
            verdict,
            why: why.into(),
            is_sent: true,
            answer: None,
            is_timeout: false,
            blamed: None,
            is_stale: false,
            settled: Duration::ZERO,
        }
    }

    fn not_sent(why: impl Into<String>) -> Self {
        let fault = AttemptFault::new(TargetFault::Broken, Verdict::NotRun, why);
        AttemptFault { is_sent: false, ..fault }
    }

    /// What its targets said of themselves came before it was sent: that says nothing of how
    /// they work.
    fn overtaken() -> Self {
        let why = "its targets have said since it was placed that they want it not now";
        AttemptFault { is_stale: true, ..AttemptFault::not_sent(why) }
    }

    /// Returns true where its connection broke after it was sent, as it does when the
    /// target ends.
    pub(crate) fn is_break(&self) -> bool {
        self.fault == TargetFault::Broken && self.is_sent && !self.is_timeout
    }

    /// What it was for the count of sends.
    pub(crate) fn to_end(&self) -> SendEnd {
        match self.verdict {
            _ if !self.is_sent => SendEnd::NotSent,
            _ if self.is_stale => SendEnd::Stale,
            Verdict::NotRun => SendEnd::Refused,
            Verdict::MayHaveRun | Verdict::Ran => SendEnd::MayHaveRun,
        }
    }

    /// Address of the target, where this attempt says that nobody works there.
    pub(crate) fn suspect(&self, shared: &RelayShared, target: &str) -> Option<SocketAddr> {
        let is_of_host = matches!(
            self.fault,
            TargetFault::Unreachable | TargetFault::Broken | TargetFault::Silent
        );
        let is_suspect = is_of_host && !self.is_stale && !self.is_timeout;
        is_suspect.then(|| shared.address_of(target)).flatten()
    }

    pub(crate) fn timeout(verdict: Verdict) -> Self {
        let fault = AttemptFault::new(TargetFault::Silent, verdict, "time is up");
        AttemptFault { is_timeout: true, ..fault }
    }

    pub(crate) fn broken(why: impl Into<String>) -> Self {
        AttemptFault::new(TargetFault::Broken, Verdict::MayHaveRun, why)
    }

    pub(crate) fn garbled(why: impl Into<String>) -> Self {
        AttemptFault::new(TargetFault::Garbled, Verdict::MayHaveRun, why)
    }

    pub(crate) fn silent(why: impl Into<String>) -> Self {
        AttemptFault::new(TargetFault::Silent, Verdict::MayHaveRun, why)
    }
}

/// What an attempt holds. All of it is given back when this is dropped, and
/// the connection is closed unless it was kept.
pub(crate) struct AttemptGuard {
    shared: Rc<RelayShared>,
    pub(crate) share: AttemptShare,
    connection: Option<TargetConnection>,
    /// Given back when it is dropped.
    memory: Option<MemoryHold>,
}

impl AttemptGuard {
    /// Keeps the connection: the whole answer has been read.
    pub(crate) fn keep(&mut self, answer: &AnswerHead) {
        let Some(connection) = self.connection.take() else { return };
        if !answer.is_last {
            let now = self.shared.now();
            let mut pool = self.shared.pool.borrow_mut();
            pool.put(&self.share.target, connection, answer.keep_alive, now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.shared.core.borrow_mut().end(&self.share);
        self.shared.send_notes();
    }
}

/// The head of an answer, and what is to come.
pub(crate) struct OpenAnswer {
    pub(crate) guard: AttemptGuard,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) head: AnswerHead,
}

/// Sends a request to its target and waits for the head of the answer.
pub(crate) async fn open(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    placement: &Placement,
    resume_after: Option<u64>,
    may_hedge: bool,
) -> Result<OpenAnswer, AttemptFault> {
    let Some(address) = shared.address_of(&placement.target) else {
        return Err(AttemptFault::not_sent("the target is gone"));
    };
    let share = {
        let mut core = shared.core.borrow_mut();
        let now = shared.now();
        let mut share = core.begin(placement, job.need_at(now).as_ref(), now);
        if job.is_suspect(&core) {
            core.mark_suspect(&mut share);
        }
        share
    };
    shared.send_notes();
    shared.counts.borrow_mut().attempts += 1;
    let mut guard = AttemptGuard { shared: shared.clone(), share, connection: None, memory: None };
    let mut helpers = to_seats(shared, placement)?;
    if !placement.seats.is_empty() {
        let hold = MemoryHold::reserve(shared, placement, &mut helpers).await;
        guard.memory = Some(hold.map_err(AttemptFault::not_sent)?);
    }
    let connection = obtain(shared, job, &placement.target, address).await?;
    let is_reused = connection.is_reused;
    let share = &guard.share;
    if !shared.core.borrow().may_send(share, shared.now()) {
        return Err(AttemptFault::overtaken());
    }
    let connection = guard.connection.insert(connection);
    let request = to_request(shared, job, placement, &helpers, resume_after);
    let sent_at = shared.now();
    let sending = connection.sender.send_request(request);
    let waiting = wait_for_head(shared, job, placement, share, may_hedge);
    let response = tokio::select! {
        response = sending => response,
        fault = waiting => return Err(fault),
    };
    let response = response.map_err(|error| {
        let fault = if error.is_canceled() {
            AttemptFault::not_sent("the connection had ended")
        } else {
            AttemptFault::broken(error.to_string())
        };
        AttemptFault { is_stale: is_reused, ..fault }
    })?;
    shared.core.borrow_mut().note_heard(&placement.target, shared.now());
    let (parts, body) = response.into_parts();
    let head = (shared.targets.parse_answer)(parts.status, &parts.headers);
    // Where another life has the address, that one speaks of itself.
    if !head.is_replaced {
        // What is not surely the target's answer to this request, and a failure, which may be
        // made by less than all of it, say nothing by what they leave out.
        let is_own = parts.status.is_success()
            && head.is_signed
            && head.attempt.as_deref() == job.head.attempt.as_deref();
        shared.take_notice(guard.share.life.as_ref(), &head.notice, is_own.then_some(sent_at));
    }
    check_head(job, &parts, &head).map_err(|fault| {
        let is_stale = is_reused && fault.fault == TargetFault::Garbled;
        AttemptFault { is_stale, ..fault }
    })?;
    Ok(OpenAnswer { guard, parts, body, head })
}

/// A kept connection or a new one. What may not run twice always gets a new
/// one: on a kept connection that its target forgets, nobody can tell whether
/// the request was read.
async fn obtain(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    target: &Arc<str>,
    address: SocketAddr,
) -> Result<TargetConnection, AttemptFault> {
    if job.route.repeat.is_repeatable()
        && let Some(connection) = shared.pool.borrow_mut().take(target, shared.now())
    {
        return Ok(connection);
    }
    connect(address).await.map_err(|fault| {
        let is_refused = fault.is_refused();
        let kind = if is_refused { TargetFault::Unreachable } else { TargetFault::Broken };
        AttemptFault { fault: kind, ..AttemptFault::not_sent(fault.to_string()) }
    })
}

/// The helpers with their addresses, all of which have to be known.
fn to_seats(shared: &RelayShared, placement: &Placement) -> Result<Vec<HelperSeat>, AttemptFault> {
    let seats = placement.helpers.iter().map(|name| {
        let address = shared.address_of(name);
        address.map(|address| HelperSeat { address, reservation: None })
    });
    let seats: Option<Vec<_>> = seats.collect();
    seats.ok_or_else(|| AttemptFault::not_sent("a helper is gone"))
}

fn to_request(
    shared: &RelayShared,
    job: &RelayJob,
    placement: &Placement,
    helpers: &[HelperSeat],
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = job.headers.clone();
    let head = TargetHead {
        incarnation: &placement.target,
        account: job.account.as_deref(),
        time_left: job.deadline.since(shared.now()),
        resume_after,
        helpers,
    };
    (shared.targets.set_head)(&mut headers, &head);
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Ends with a fault when the request's time is up, or when its target seems
/// not to work and another may be tried.
async fn wait_for_head(
    shared: &RelayShared,
    job: &RelayJob,
    placement: &Placement,
    share: &AttemptShare,
    may_hedge: bool,
) -> AttemptFault {
    let sent_at = shared.now();
    let hedge_at = sent_at + job.route.objective.mul_f64(HEDGE_PART);
    let foretold = placement.first.mul_f64(FORETOLD_PART);
    // A long prompt is dear to read again, and its caller waits longer.
    let silence = SILENCE_LIMIT.max(job.route.objective);
    loop {
        tokio::time::sleep(LOOK_STEP.min(job.deadline.since(shared.now()))).await;
        let now = shared.now();
        if now >= job.deadline {
            return AttemptFault::timeout(Verdict::MayHaveRun);
        }
        if !may_hedge {
            continue;
        }
        if job.need.is_none() && now >= hedge_at {
            return AttemptFault::silent("no answer within the objective");
        }
        let is_due = now.since(sent_at) >= foretold + silence;
        let is_silent = || shared.silence_of(&placement.target) >= silence;
        // What came later may be read before it: that is no fault of its target.
        let is_in_line = || !shared.core.borrow_mut().time_to_read(share, now).is_zero();
        if job.need.is_some() && is_due && is_silent() && !is_in_line() {
            return AttemptFault::silent("the target has sent nothing for too long");
        }
    }
}

/// Refuses what is not the answer to this request, and reads what the target
/// says of it.
fn check_head(job: &RelayJob, parts: &Parts, head: &AnswerHead) -> Result<(), AttemptFault> {
    if head.attempt.as_deref() != job.head.attempt.as_deref() && !head.is_not_run {
        return Err(AttemptFault::garbled("answer to another request"));
    }
    if head.is_not_run {
        let fault = if head.is_replaced { TargetFault::Replaced } else { TargetFault::Full };
        let why = match head.blamed {
            Some(address) => format!("refused with {} for {address}", parts.status.as_u16()),
            None => format!("the target refused with {}", parts.status.as_u16()),
        };
        let fault = AttemptFault::new(fault, Verdict::NotRun, why);
        return Err(AttemptFault { blamed: head.blamed, ..fault });
    }
    if head.is_encoded {
        return Err(AttemptFault::garbled("answer in a content encoding"));
    }
    if parts.status.is_success() && !head.is_signed {
        return Err(AttemptFault::garbled("success without a signature"));
    }
    Ok(())
}
