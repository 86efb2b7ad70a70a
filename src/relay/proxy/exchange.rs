//! Entry point for a caller's request: checks access and reads the request.

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, StatusCode};

use super::answer::{RelayAnswer, RelayFault};
use super::call::serve_call;
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::protocol::CallerHead;
use super::series::{NO_ROOM_RETRY_DELAY, quarantine_fault};
use super::stream::serve_stream;
use crate::connection::RequestBody;
use crate::relay::caller_connection::CallerConnection;
use crate::relay::core::{Refusal, RelayCore};
use crate::relay::decide::placement::PromptNeed;
use crate::relay::decide::urgency::UrgencyRank;
use crate::relay::discovery::rules::{Access, RouteRule};
use crate::relay::log_line::RequestEnd;
use crate::relay::shared::RelayShared;
use crate::relay::stop::StopPhase;
use crate::time::Tick;
use crate::web::{BodyError, read_body};

/// Retry delay after a refusal by an entry that is stopping or has no configuration: another entry
/// may serve the request at once. With a longer delay, callers that came back after an outage of
/// all entries crowded out new ones (`docs/design/decisions.md`).
const OTHER_ENTRY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Memory that a parsed part of a prompt holds, in bytes: its name and references to it.
const PART_BYTES: usize = 64;

/// Retry delay after a refusal for want of memory: callers that stand still count as such by then.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Largest number of tokens that a prompt or an answer counts as. No engine holds as many, and sums of
/// them do not overflow.
const MAX_TOKENS: u64 = 1 << 30;

/// Number of answer tokens that is assumed if the caller states none.
const DEFAULT_ANSWER_TOKENS: u64 = 1_500;

/// Serves one request.
pub(crate) async fn serve(
    shared: Rc<RelayShared>,
    request: Request<RequestBody>,
    connection: &CallerConnection,
) -> RelayAnswer {
    let arrived = shared.now();
    shared.counts.borrow_mut().requests += 1;
    let head = (shared.caller_protocol.parse_head)(request.headers());
    let id: Arc<str> = head.attempt.clone().unwrap_or_else(|| "-".into());
    let mut ledger = RequestLedger::new(&shared, id.clone(), arrived);
    let admitted = admit(&shared, request, connection, head, id.clone(), arrived).await;
    if let Ok(job) = &admitted {
        ledger.more_urgent = job.more_urgent;
        ledger.runs = job.runs.clone();
    }
    let answer = match admitted {
        Ok(job) if job.route.is_stream => serve_stream(&shared, Rc::new(job), ledger).await,
        Ok(job) => {
            let answer = serve_call(&shared, &job, &mut ledger).await;
            finish(&shared, answer, &mut ledger, &id)
        }
        Err(fault) => finish(&shared, Err(fault), &mut ledger, &id),
    };
    close_if_stopping(&shared, answer)
}

fn close_if_stopping(shared: &RelayShared, mut answer: RelayAnswer) -> RelayAnswer {
    if shared.stop.is_begun() {
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
            ledger.end_with_fault(&fault);
            fault.into_answer(&shared.caller_protocol, id)
        }
    }
}

/// Checks whether a request may be served, reads its body and finds its route and service.
async fn admit(
    shared: &Rc<RelayShared>,
    request: Request<RequestBody>,
    connection: &CallerConnection,
    head: CallerHead,
    id: Arc<str>,
    arrived: Tick,
) -> Result<RelayJob, RelayFault> {
    let parts_claim = connection.memory().claim_held(head.shared_parts.len() * PART_BYTES);
    if shared.stop.is_closed_to_new() {
        return Err(stopping_fault());
    }
    shared.wait_for_start().await;
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let access = {
        let mut core = shared.core.borrow_mut();
        core.admit(host, parts.uri.path(), head.key.as_deref(), arrived)
    };
    let access = access.map_err(refusal_fault)?;
    let time_limit =
        head.time_limit.unwrap_or(access.route.time_limit).min(access.route.time_limit);
    let deadline = arrived + time_limit;
    let max_body = || shared.core.borrow().rules().limits().max_body;
    // A request whose body is complete too late could not end before the stop does.
    let reading = read_body(body, max_body, time_limit);
    let body = shared.stop.run_until(StopPhase::Finishing, reading).await;
    let body = body.ok_or_else(stopping_fault)?;
    match &body {
        Ok(_) => connection.finish_body(),
        Err(BodyError::Aborted) => connection.break_body(),
        Err(BodyError::NoRoom) => shared.record_crowding(),
        Err(BodyError::TooLarge | BodyError::TimedOut) => {}
    }
    let body = body.map_err(body_fault)?;
    // Reading the body may take long, so the configuration must still be current after it.
    if !shared.core.borrow().may_serve(&access.route, shared.now()) {
        return Err(refusal_fault(Refusal::ConfigUnproven));
    }
    if head.attempt.is_none() {
        let message = "the request names no attempt";
        return Err(RelayFault::invalid(StatusCode::BAD_REQUEST, "no_attempt", message));
    }
    let domains = shared.core.borrow().allowed_domains(&access);
    let rank = shared.core.borrow().rules().rank_of(&access);
    let Access { route, account } = access;
    let account = account.map(|account| account.name.clone());
    let Some(service) = RelayCore::pick_service(&route, xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
    else {
        return Err(RelayFault::refused("no_service", "the route has none", NO_ROOM_RETRY_DELAY));
    };
    let need = to_prompt_need(shared, &route, &service, rank, &head);
    let more_urgent = shared.core.borrow().rules().ranks().more_urgent(&service, rank);
    let need = need.map(|need| PromptNeed { time_left: time_limit, ..need });
    let job = RelayJob {
        route,
        service,
        domains,
        account,
        more_urgent,
        head,
        id,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        memory: connection.memory().clone(),
        _parts_claim: parts_claim,
        arrived,
        deadline,
        need,
        cached_digest: OnceCell::new(),
        crash_wait: RefCell::default(),
        runs: Rc::default(),
    };
    if let Some(hold) = job.quarantine_hold(shared) {
        return Err(quarantine_fault(hold));
    }
    shared.core.borrow_mut().record_request(&job.service, shared.now());
    Ok(job)
}

fn to_prompt_need(
    shared: &RelayShared,
    route: &RouteRule,
    service: &str,
    rank: UrgencyRank,
    head: &CallerHead,
) -> Option<PromptNeed> {
    let rules = shared.core.borrow().rules();
    rules.service(service)?.engine.as_ref()?;
    let max_tokens = head.max_answer_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS).min(MAX_TOKENS);
    Some(PromptNeed {
        prompt_tokens: head.prompt_tokens.unwrap_or(0).min(MAX_TOKENS),
        answer_tokens: head.expected_answer_tokens.unwrap_or(max_tokens).min(max_tokens),
        first_event_limit: route.objective,
        waited: Duration::ZERO,
        time_left: route.time_limit,
        longest_pause: route.longest_pause,
        is_admitted: false,
        value_factor: rules.ranks().value_factor(service, rank),
        pause_risk_from: rules.ranks().pause_risk_from(service, rank),
    })
}

/// Builds the answer of an entry whose planned stop leaves no time for the request.
#[cold]
pub(crate) fn stopping_fault() -> RelayFault {
    RelayFault::refused("stopping", "this entry is stopping", OTHER_ENTRY_RETRY_DELAY)
}

#[cold]
fn refusal_fault(refusal: Refusal) -> RelayFault {
    match refusal {
        Refusal::ConfigUnproven => {
            let message = "the configuration can not be proven current here";
            RelayFault::refused("not_ready", message, OTHER_ENTRY_RETRY_DELAY)
        }
        Refusal::NoRoute => {
            RelayFault::invalid(StatusCode::NOT_FOUND, "no_route", "no route takes this path")
        }
        Refusal::UnknownKey => {
            RelayFault::invalid(StatusCode::UNAUTHORIZED, "bad_key", "the key is not known")
        }
    }
}

#[cold]
fn body_fault(fault: BodyError) -> RelayFault {
    let (status, code, message) = match fault {
        BodyError::TooLarge => {
            (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", "the body is too large")
        }
        BodyError::TimedOut => {
            (StatusCode::REQUEST_TIMEOUT, "body_too_slow", "the body did not arrive in time")
        }
        BodyError::Aborted => (StatusCode::BAD_REQUEST, "broken_body", "the body broke off"),
        BodyError::NoRoom => {
            let message = "callers hold too much memory of this entry";
            return RelayFault::refused("no_memory", message, NO_MEMORY_RETRY_DELAY);
        }
    };
    RelayFault::invalid(status, code, message)
}
