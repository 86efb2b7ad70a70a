//! Sends a request to a target and waits for the head of the answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Request, Response};

use super::connections::{TargetConnection, connect};
use super::job::RelayJob;
use super::memory_hold::MemoryHold;
use super::protocol::{AnswerHead, HelperReservation, TargetHead};
use crate::relay::core::PlacedAttempt;
use crate::relay::decide::placement::Placement;
use crate::relay::decide::send_count::SendEnd;
use crate::relay::decide::targets::TargetFault;
use crate::relay::shared::RelayShared;
use crate::relay::stop::SendKind;
use crate::time::Tick;
use crate::verdict::{Verdict, is_final};

/// Reason why an attempt produced no answer.
pub(crate) struct AttemptFault {
    /// What the failure indicates about the target.
    pub(crate) fault: TargetFault,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Short description of the failure.
    pub(crate) reason: String,
    /// Whether anything was sent.
    pub(crate) is_sent: bool,
    /// An error response of the target that may be forwarded to the caller.
    pub(crate) answer: Option<Box<Response<Bytes>>>,
    /// Whether the time limit of the request has expired.
    pub(crate) is_timeout: bool,
    /// Address of another target, such as a helper, that caused the failure.
    pub(crate) failed_address: Option<SocketAddr>,
    /// Whether the failure indicates nothing about the target: the attempt was superseded or its
    /// pooled connection had ended before it was sent.
    pub(crate) is_stale: bool,
}

impl AttemptFault {
    fn new(fault: TargetFault, verdict: Verdict, reason: impl Into<String>) -> Self {
        AttemptFault {
            fault,
            verdict,
            reason: reason.into(),
            is_sent: true,
            answer: None,
            is_timeout: false,
            failed_address: None,
            is_stale: false,
        }
    }

    fn not_sent(reason: impl Into<String>) -> Self {
        let fault = AttemptFault::new(TargetFault::Broken, Verdict::NotRun, reason);
        AttemptFault { is_sent: false, ..fault }
    }

    /// The target withdrew its acceptance between placement and sending. This indicates nothing
    /// about how well the targets work.
    fn superseded() -> Self {
        let reason = "its targets have said since it was placed that they want it not now";
        AttemptFault { is_stale: true, ..AttemptFault::not_sent(reason) }
    }

    /// No descriptor is left for a connection to the target.
    fn crowded() -> Self {
        let reason = "this entry has no descriptor left for its target";
        AttemptFault { is_stale: true, ..AttemptFault::not_sent(reason) }
    }

    /// The planned stop of this process would cut the attempt off.
    fn stopping() -> Self {
        AttemptFault { is_stale: true, ..AttemptFault::not_sent("this entry is stopping") }
    }

    /// The retry was not sent in time, for example because this process was frozen.
    fn lapsed() -> Self {
        AttemptFault { is_stale: true, ..AttemptFault::not_sent("the retry was not sent in time") }
    }

    /// Returns `true` if the connection broke after the request was sent, as it does when the
    /// target crashes.
    pub(crate) fn is_disconnect(&self) -> bool {
        let is_broken = matches!(self.fault, TargetFault::Broken | TargetFault::Closed);
        is_broken && self.is_sent && !self.is_timeout
    }

    /// Classifies the attempt for the count of sends.
    pub(crate) fn to_send_end(&self) -> SendEnd {
        match self.verdict {
            _ if !self.is_sent => SendEnd::NotSent,
            Verdict::NotRun => SendEnd::Refused,
            Verdict::MayHaveRun | Verdict::Ran => SendEnd::MayHaveRun,
        }
    }

    /// Returns the address of the target if this attempt indicates that no process works there.
    pub(crate) fn suspect_address(&self, shared: &RelayShared, target: &str) -> Option<SocketAddr> {
        let is_host_fault = matches!(
            self.fault,
            TargetFault::Unreachable | TargetFault::Broken | TargetFault::TimedOut
        );
        let is_suspect = is_host_fault && !self.is_stale && !self.is_timeout;
        is_suspect.then(|| shared.address_of(target)).flatten()
    }

    /// The time limit of the request has expired.
    pub(crate) fn timeout(is_sent: bool) -> Self {
        let verdict = if is_sent { Verdict::MayHaveRun } else { Verdict::NotRun };
        let fault = AttemptFault::new(TargetFault::TimedOut, verdict, "time is up");
        AttemptFault { is_timeout: true, is_sent, ..fault }
    }

    pub(crate) fn broken(reason: impl Into<String>) -> Self {
        AttemptFault::new(TargetFault::Broken, Verdict::MayHaveRun, reason)
    }

    pub(crate) fn malformed(reason: impl Into<String>) -> Self {
        AttemptFault::new(TargetFault::Malformed, Verdict::MayHaveRun, reason)
    }

    pub(crate) fn silent(reason: impl Into<String>) -> Self {
        AttemptFault::new(TargetFault::TimedOut, Verdict::MayHaveRun, reason)
    }
}

/// Resources of a running attempt. Dropping the guard releases all of them and closes the
/// connection unless it was returned to the pool.
pub(crate) struct AttemptGuard {
    shared: Rc<RelayShared>,
    pub(crate) attempt: PlacedAttempt,
    connection: Option<TargetConnection>,
    /// Released on drop.
    memory: Option<MemoryHold>,
}

impl AttemptGuard {
    /// Occupies the resources of an attempt that was placed.
    pub(crate) fn new(shared: &Rc<RelayShared>, job: &RelayJob, placement: &Placement) -> Self {
        let attempt = {
            let mut core = shared.core.borrow_mut();
            let now = shared.now();
            let mut attempt = core.begin_attempt(placement, job.need_at(now).as_ref(), now);
            if job.is_suspect(&core) {
                core.mark_suspect(&mut attempt);
            }
            attempt
        };
        shared.send_messages();
        shared.counts.borrow_mut().attempts += 1;
        AttemptGuard { shared: shared.clone(), attempt, connection: None, memory: None }
    }

    /// Returns the connection to the pool after the complete answer was read.
    pub(crate) fn return_connection(&mut self, answer: &AnswerHead) {
        let Some(connection) = self.connection.take() else { return };
        if !answer.closes_connection {
            let now = self.shared.now();
            let mut pool = self.shared.pool.borrow_mut();
            pool.put(&self.attempt.target, connection, answer.keep_alive, now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.shared.core.borrow_mut().end_attempt(&self.attempt);
        self.shared.send_messages();
    }
}

/// The head of an answer, and the body that is still to be read.
pub(crate) struct OpenAnswer {
    pub(crate) guard: AttemptGuard,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) head: AnswerHead,
}

/// What an attempt sends, and when.
pub(crate) struct SendOrder {
    pub(crate) placement: Placement,
    /// Id of the last event that the caller has received.
    pub(crate) resume_after: Option<u64>,
    /// Time before which the request has to be sent.
    pub(crate) send_before: Tick,
    /// Whether the request may be sent on a pooled connection.
    pub(crate) may_reuse: bool,
    /// What the request loses if a planned stop cuts the attempt off.
    pub(crate) kind: SendKind,
}

/// Sends a request to its target and waits for the head of the answer. `sent_at` is set when the
/// request is sent.
pub(crate) async fn open_answer(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    order: SendOrder,
    mut guard: AttemptGuard,
    sent_at: Rc<Cell<Option<Tick>>>,
) -> Result<OpenAnswer, AttemptFault> {
    let placement = &order.placement;
    let Some(address) = shared.address_of(&placement.target) else {
        return Err(AttemptFault::not_sent("the target is gone"));
    };
    let mut helpers = to_helpers(shared, placement)?;
    if !placement.reservations.is_empty() {
        let hold = MemoryHold::reserve(shared, placement, &mut helpers).await;
        guard.memory = Some(hold.map_err(AttemptFault::not_sent)?);
    }
    let pooled = take_pooled(shared, job, &order);
    let connection = match pooled {
        Some(connection) => connection,
        None => open_connection(shared, address).await?,
    };
    let attempt = &guard.attempt;
    if !shared.core.borrow().may_send(attempt, shared.now()) {
        return Err(AttemptFault::superseded());
    }
    if shared.now() >= order.send_before {
        return Err(AttemptFault::lapsed());
    }
    if !shared.stop.allows_send(order.kind, job.route.objective, shared.now()) {
        return Err(AttemptFault::stopping());
    }
    if !shared.core.borrow_mut().record_sent_parts(job.shared_parts(), shared.now()) {
        return Err(AttemptFault::superseded());
    }
    if guard.memory.as_ref().is_some_and(|memory| !memory.is_held(shared.now())) {
        return Err(AttemptFault::not_sent("a reservation of memory has expired"));
    }
    let connection = guard.connection.insert(connection);
    let request = to_request(shared, job, placement, &helpers, order.resume_after);
    let now = shared.now();
    sent_at.set(Some(now));
    let instance = guard.attempt.instance.clone();
    if let Some(instance) = &instance {
        job.runs.borrow_mut().record_sent(instance);
    }
    let answer = exchange_head(shared, job, connection, request, &guard.attempt).await;
    match answer {
        Ok((parts, body, head)) => Ok(OpenAnswer { guard, parts, body, head }),
        Err(fault) => {
            if let Some(instance) = instance.filter(|_| fault.verdict == Verdict::NotRun) {
                job.runs.borrow_mut().record_not_run(&instance);
            }
            Err(fault)
        }
    }
}

/// Sends a request on a connection and waits for the head of its answer.
async fn exchange_head(
    shared: &RelayShared,
    job: &RelayJob,
    connection: &mut TargetConnection,
    request: Request<Full<Bytes>>,
    attempt: &PlacedAttempt,
) -> Result<(Parts, Incoming, AnswerHead), AttemptFault> {
    let is_reused = connection.is_reused;
    let sent_at = shared.now();
    connection.exchange.begin_request();
    let response = connection.sender.send_request(request).await.map_err(|error| {
        if error.is_canceled() {
            let fault = AttemptFault::not_sent("the connection had ended");
            AttemptFault { is_stale: is_reused, ..fault }
        } else if is_reused {
            AttemptFault { fault: TargetFault::Closed, ..AttemptFault::broken(error.to_string()) }
        } else {
            AttemptFault::broken(error.to_string())
        }
    })?;
    connection.exchange.end_head();
    shared.core.borrow_mut().record_received(&attempt.target, shared.now());
    let (parts, body) = response.into_parts();
    let head = (shared.target_protocol.parse_answer)(parts.status, &parts.headers);
    // If another instance uses the address, the notice is about that instance.
    if !head.is_replaced && is_final(parts.status) {
        // A missing field in the notice counts only in a successful, signed answer to this request:
        // other answers may not come from the target, and a failure may come from only a part of
        // it.
        let is_authentic = parts.status.is_success()
            && head.is_signed
            && head.attempt.as_deref() == job.head.attempt.as_deref();
        shared.apply_notice(
            attempt.instance.as_ref(),
            &head.notice,
            is_authentic.then_some(sent_at),
        );
    }
    check_head(job, &parts, &head)?;
    Ok((parts, body, head))
}

/// Takes a connection from the pool. A request that must not run twice always gets a new one: if
/// the target closes a pooled connection, it is unknown whether the request was read.
fn take_pooled(
    shared: &RelayShared,
    job: &RelayJob,
    order: &SendOrder,
) -> Option<TargetConnection> {
    if !order.may_reuse || !job.route.repeat.is_repeatable() {
        return None;
    }
    shared.pool.borrow_mut().take(&order.placement.target, shared.now())
}

async fn open_connection(
    shared: &RelayShared,
    address: SocketAddr,
) -> Result<TargetConnection, AttemptFault> {
    if !shared.has_target_place() {
        shared.record_crowding();
        return Err(AttemptFault::crowded());
    }
    connect(address, &shared.target_connections).await.map_err(|fault| {
        let is_refused = fault.is_refused();
        let kind = if is_refused { TargetFault::Unreachable } else { TargetFault::Broken };
        AttemptFault { fault: kind, ..AttemptFault::not_sent(fault.to_string()) }
    })
}

/// Returns the helpers with their addresses; fails unless all addresses are known.
fn to_helpers(
    shared: &RelayShared,
    placement: &Placement,
) -> Result<Vec<HelperReservation>, AttemptFault> {
    let helpers = placement.helpers.iter().map(|name| {
        let address = shared.address_of(name);
        address.map(|address| HelperReservation { address, reservation: None })
    });
    let helpers: Option<Vec<_>> = helpers.collect();
    helpers.ok_or_else(|| AttemptFault::not_sent("a helper is gone"))
}

fn to_request(
    shared: &RelayShared,
    job: &RelayJob,
    placement: &Placement,
    helpers: &[HelperReservation],
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = job.headers.clone();
    let head = TargetHead {
        more_urgent: job.more_urgent,
        incarnation: &placement.target,
        account: job.account.as_deref(),
        time_left: job.deadline.since(shared.now()),
        resume_after,
        helpers,
    };
    (shared.target_protocol.set_head)(&mut headers, &head);
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Returns a fault for an invalid status, for a refusal, and for an answer that belongs to another request, has a content
/// encoding or lacks a signature.
fn check_head(job: &RelayJob, parts: &Parts, head: &AnswerHead) -> Result<(), AttemptFault> {
    if !is_final(parts.status) {
        let reason = format!("the target answered the invalid status {}", parts.status.as_u16());
        return Err(AttemptFault::malformed(reason));
    }
    let is_own = head.attempt.as_deref() == job.head.attempt.as_deref();
    // Targets that cannot read a request refuse it without naming it.
    let is_unnamed_refusal = head.is_not_run && head.attempt.is_none();
    if !is_own && !is_unnamed_refusal {
        return Err(AttemptFault::malformed("answer to another request"));
    }
    if head.is_not_run {
        let fault = if head.is_replaced { TargetFault::Replaced } else { TargetFault::Full };
        let reason = match head.failed_address {
            Some(address) => format!("refused with {} for {address}", parts.status.as_u16()),
            None => format!("the target refused with {}", parts.status.as_u16()),
        };
        let fault = AttemptFault::new(fault, Verdict::NotRun, reason);
        return Err(AttemptFault { failed_address: head.failed_address, ..fault });
    }
    if head.is_encoded {
        return Err(AttemptFault::malformed("answer in a content encoding"));
    }
    if parts.status.is_success() && !head.is_signed {
        return Err(AttemptFault::malformed("success without a signature"));
    }
    Ok(())
}
