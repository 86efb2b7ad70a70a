//! A caller's request at its arrival: who may send it, and what it asks for.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, StatusCode};

use super::answer::{RelayAnswer, RelayFault};
use super::call::serve_call;
use super::dialect::CallerHead;
use super::forward::RelayJob;
use super::ledger::RequestLedger;
use super::series::{NO_ROOM_RETRY, to_hold};
use super::stream::serve_stream;
use crate::relay::core::{Refusal, RelayCore};
use crate::relay::decide::placement::PromptNeed;
use crate::relay::discovery::rules::{Access, RouteRule};
use crate::relay::record::RequestEnd;
use crate::relay::shared::RelayShared;
use crate::time::Tick;
use crate::web::{BodyFault, read_body};

/// Time to come back after a refusal by an entry that stops or has no configuration:
/// another one may serve at once. In an outage for all, callers that came back later
/// crowded out new ones (`docs/design/decisions.md`).
const OTHER_ENTRY_RETRY: Duration = Duration::from_millis(100);

/// Answer tokens that are assumed where a caller says nothing.
const ASSUMED_ANSWER: u64 = 1_500;

/// Serves one request.
pub(crate) async fn serve(shared: Rc<RelayShared>, request: Request<Incoming>) -> RelayAnswer {
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

/// Reads a request and finds what it may do.
async fn admit(
    shared: &Rc<RelayShared>,
    request: Request<Incoming>,
    head: CallerHead,
    id: Arc<str>,
    arrived: Tick,
) -> Result<RelayJob, RelayFault> {
    if shared.is_closed_to_new.get() {
        return Err(RelayFault::refused("stopping", "this entry is stopping", OTHER_ENTRY_RETRY));
    }
    shared.wait_for_start().await;
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
    // The body may have taken long: what let the request in has to hold when it
    // was there whole, too.
    if !shared.core.borrow().may_serve(&access.route, shared.now()) {
        return Err(to_refusal(Refusal::NotFresh));
    }
    if head.attempt.is_none() {
        let why = "the request names no attempt";
        return Err(RelayFault::bad(StatusCode::BAD_REQUEST, "no_attempt", why));
    }
    let domains = shared.core.borrow().home_domains(&access);
    let Access { route, account } = access;
    let account = account.map(|account| account.name.clone());
    let Some(service) = RelayCore::pick_service(&route, xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
    else {
        return Err(RelayFault::refused("no_service", "the route has none", NO_ROOM_RETRY));
    };
    let need = to_need(shared, &route, &service, &head);
    let need = need.map(|need| PromptNeed { time_left: time_limit, ..need });
    let job = RelayJob {
        route,
        service,
        domains,
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
        known_digest: OnceCell::new(),
    };
    if let Some(span) = job.held_for(shared) {
        return Err(to_hold(span));
    }
    shared.core.borrow_mut().note_request(&job.service, shared.now());
    Ok(job)
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
        waited: Duration::ZERO,
        time_left: route.time_limit,
        longest_pause: route.longest_pause,
        is_admitted: false,
    })
}

#[cold]
fn to_refusal(refusal: Refusal) -> RelayFault {
    match refusal {
        Refusal::NotFresh => {
            let why = "the configuration can not be proven current here";
            RelayFault::refused("not_ready", why, OTHER_ENTRY_RETRY)
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
