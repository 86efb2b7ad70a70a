//! HTTP interface for callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use slog::warn;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::answers::{AnswerFormat, answer_failure, answer_stream, answer_whole};
use super::caller::CallerHandle;
use super::completion_request::{CompletionRequest, RequestFault};
use super::daemon::EntryShared;
use super::event::{Arrival, Reply};
use crate::claim::ClaimKey;
use crate::claim_store::ClaimOutcome;
use crate::config::AccountPolicy;
use crate::connection::RequestBody;
use crate::memory_budget::ClaimedBuffer;
use crate::prefix::PrefixHashes;
use crate::verdict::{Verdict, is_final, promises_not_run};
use crate::web::{
    BodyError, WebResponse, accept_next, bearer_token, read_body, serve_connection, set_verdict,
    to_error_response, to_json_response, to_response,
};
use crate::wire::Call;

/// Header with which a caller forbids that its request runs more than once.
const REPEATABLE_HEADER: &str = "shalelane-repeatable";

/// Header with the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Retry-after time if an idempotency key could not be claimed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry-after time if callers hold too much memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;

/// Accepts connections of callers until the task is aborted.
pub(super) async fn serve(shared: Rc<EntryShared>, listener: TcpListener) {
    let mut is_full = false;
    loop {
        let stream = accept_next(&listener).await;
        let has_no_place = || shared.connections.get() >= shared.settings.max_connections;
        if shared.memory.make_place(has_no_place).await {
            shared.record_crowding();
        }
        let open = shared.connections.get();
        if open >= shared.settings.max_connections {
            shared.metrics.record_closed_unread();
            if !std::mem::replace(&mut is_full, true) {
                warn!(shared.log, "connections closed unread: too many are open"; "open" => open);
            }
            continue;
        }
        is_full = false;
        let guard = ConnectionGuard::new(shared.clone());
        spawn_local(async move {
            let shared = guard.shared.clone();
            let group = shared.group.clone();
            let serve = |request| handle(shared.clone(), request);
            serve_connection(stream, group, &shared.memory, serve).await;
            drop(guard);
        });
    }
}

struct ConnectionGuard {
    shared: Rc<EntryShared>,
}

impl ConnectionGuard {
    fn new(shared: Rc<EntryShared>) -> Self {
        shared.connections.set(shared.connections.get() + 1);
        ConnectionGuard { shared }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shared.connections.set(self.shared.connections.get() - 1);
    }
}

async fn handle(shared: Rc<EntryShared>, request: Request<RequestBody>) -> WebResponse {
    let mut response = answer(&shared, request).await;
    if shared.draining.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    response
}

async fn answer(shared: &Rc<EntryShared>, request: Request<RequestBody>) -> WebResponse {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/healthz") => to_response(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, "/readyz") => answer_ready(shared),
        (&Method::GET, "/metrics") => answer_metrics(shared).await,
        _ => {
            let number = shared.new_number();
            let id = format!("{}.{number}", shared.process);
            let response = handle_api_call(shared, request, number, &id).await;
            response.unwrap_or_else(|fault| answer_request_fault(&fault, &id))
        }
    }
}

fn answer_ready(shared: &EntryShared) -> WebResponse {
    if shared.is_ready() {
        return to_response(StatusCode::OK, "text/plain", "ready\n");
    }
    to_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
}

async fn answer_metrics(shared: &Rc<EntryShared>) -> WebResponse {
    let inner = shared.clone();
    let longest = shared.meter.longest();
    let text = shared.query_core(move |core| inner.metrics.to_text(core, longest)).await;
    to_response(StatusCode::OK, "text/plain; version=0.0.4", text.unwrap_or_default())
}

fn answer_request_fault(fault: &RequestFault, id: &str) -> WebResponse {
    let status = StatusCode::from_u16(fault.status).unwrap_or(StatusCode::BAD_REQUEST);
    to_error_response(status, fault.code, &fault.message, fault.verdict, id, fault.retry_after)
}

async fn handle_api_call(
    shared: &Rc<EntryShared>,
    request: Request<RequestBody>,
    number: u64,
    id: &str,
) -> Result<WebResponse, RequestFault> {
    let policy = authorize(shared, &request)?;
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/v1/models") => Ok(answer_models(shared, &policy)),
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            complete(shared, request, policy, number, id).await
        }
        (_, "/v1/models" | "/v1/completions" | "/v1/chat/completions") => {
            Err(RequestFault::new(405, "bad_method", "this path takes another method"))
        }
        _ if path.starts_with("/services/") => {
            call_service(shared, request, policy, number, id).await
        }
        _ => Err(RequestFault::new(404, "unknown_path", format!("no path `{path}`"))),
    }
}

fn authorize(
    shared: &EntryShared,
    request: &Request<RequestBody>,
) -> Result<Rc<AccountPolicy>, RequestFault> {
    if !shared.is_ready() {
        return Err(RequestFault::new(503, "not_ready", "this entry takes no requests now"));
    }
    let Some(secret) = bearer_token(request.headers()) else {
        return Err(RequestFault::new(401, "missing_key", "no `Authorization: Bearer` key"));
    };
    let account = shared.accounts.borrow().find(secret);
    account.ok_or_else(|| {
        RequestFault::new(401, "unknown_key", "the key belongs to no client account")
    })
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

fn answer_models(shared: &EntryShared, policy: &AccountPolicy) -> WebResponse {
    let config = super::daemon::current_config(shared);
    let models = policy.models.iter().filter(|name| config.model(name).is_some());
    let data = models.map(|name| ModelEntry { id: name, object: "model", owned_by: "shalelane" });
    to_json_response(StatusCode::OK, &ModelList { object: "list", data: data.collect() })
}

async fn read_limited_body(shared: &EntryShared, body: RequestBody) -> Result<Bytes, RequestFault> {
    let settings = &shared.settings;
    read_body(body, || settings.max_body_bytes, settings.body_timeout).await.map_err(|fault| {
        match fault {
            BodyError::TooLarge => {
                let text = format!("the body is larger than {} bytes", settings.max_body_bytes);
                RequestFault::new(413, "body_too_large", text)
            }
            BodyError::TimedOut => {
                RequestFault::new(408, "body_too_slow", "the body did not arrive in time")
            }
            BodyError::Aborted => RequestFault::new(400, "broken_body", "the body broke off"),
            BodyError::NoRoom => {
                shared.record_crowding();
                let text = "callers hold too much memory of this entry";
                let retry_after = Some(NO_MEMORY_RETRY_AFTER);
                RequestFault { retry_after, ..RequestFault::new(503, "no_memory", text) }
            }
        }
    })
}

async fn complete(
    shared: &Rc<EntryShared>,
    request: Request<RequestBody>,
    policy: Rc<AccountPolicy>,
    number: u64,
    id: &str,
) -> Result<WebResponse, RequestFault> {
    let is_repeat_forbidden = forbids_repeat(&request);
    let key = header_text(&request, IDEMPOTENCY_HEADER)?;
    let path = request.uri().path().to_owned();
    let memory = request.body().memory().clone();
    let body = read_limited_body(shared, request.into_body()).await?;
    let table = shared.accounts.borrow().clone();
    let completion =
        shared.meter.measure(|| CompletionRequest::from_body(&body, &policy, &table))?;
    let Some(model) = table.config().model(&completion.model).cloned() else {
        return Err(RequestFault::new(404, "unknown_model", "the model is gone"));
    };
    let claim = claim_idempotency_key(shared, &policy, &model.service, &key, id).await?;
    let repeatable = policy.repeatable && !is_repeat_forbidden && claim.is_none();
    let call = Call::Model { model: model.name, path: path.as_str().into() };
    let arrival = Arrival {
        number,
        policy,
        service: model.service,
        call,
        prompt_bytes: completion.prompt_bytes,
        max_answer_tokens: completion.max_answer_tokens,
        prefix_hashes: completion.prefix_hashes,
        body,
        repeatable,
    };
    let answer_format = AnswerFormat {
        is_chat: path.contains("chat"),
        id: id.to_owned(),
        model: completion.model,
        has_usage_event: completion.has_usage_event,
    };
    let prompt_tokens = completion.prompt_bytes / 4;
    let mut caller = CallerHandle::open(shared, arrival, claim, memory);
    let first = caller.next_reply().await;
    shared.metrics.observe_first(prompt_tokens, caller.opened_at.elapsed());
    if let Reply::Failed(failure) = &first {
        return Ok(answer_failure(failure, id));
    }
    if completion.stream {
        return Ok(answer_stream(caller, first, answer_format));
    }
    Ok(answer_whole(caller, first, &answer_format).await)
}

fn forbids_repeat(request: &Request<RequestBody>) -> bool {
    let value = request.headers().get(REPEATABLE_HEADER);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"no"))
}

async fn call_service(
    shared: &Rc<EntryShared>,
    request: Request<RequestBody>,
    policy: Rc<AccountPolicy>,
    number: u64,
    id: &str,
) -> Result<WebResponse, RequestFault> {
    let service_path = request.uri().path().trim_start_matches("/services/");
    let (service, path) = service_path.split_once('/').unwrap_or((service_path, ""));
    let (service, path) = (service.to_owned(), format!("/{path}"));
    let table = shared.accounts.borrow().clone();
    if !table.is_plain(&service) {
        return Err(RequestFault::new(
            404,
            "unknown_service",
            format!("no plain service `{service}`"),
        ));
    }
    if !policy.services.iter().any(|allowed| **allowed == *service) {
        let text = format!("this account may not call service `{service}`");
        return Err(RequestFault::new(403, "service_not_allowed", text));
    }
    let is_safe = matches!(*request.method(), Method::GET | Method::HEAD | Method::OPTIONS);
    let key = header_text(&request, IDEMPOTENCY_HEADER)?;
    let is_once_only =
        table.is_once_only(&service, &path) || forbids_repeat(&request) || !key.is_empty();
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let call = Call::Plain {
        method: request.method().as_str().into(),
        path: format!("{path}{query}").into(),
        content_type: header_text(&request, CONTENT_TYPE.as_str())?.into(),
        key: key.as_str().into(),
    };
    let memory = request.body().memory().clone();
    let body = read_limited_body(shared, request.into_body()).await?;
    let claimed_key = if is_safe { "" } else { key.as_str() };
    let claim = claim_idempotency_key(shared, &policy, &service, claimed_key, id).await?;
    let arrival = Arrival {
        number,
        policy,
        service: service.into(),
        call,
        prompt_bytes: 0,
        max_answer_tokens: 0,
        prefix_hashes: PrefixHashes::default(),
        body,
        // A method that is not safe may have effects. Only the configuration can declare it
        // repeatable, by not listing the path in `not_repeatable`.
        repeatable: is_safe || !is_once_only,
    };
    let mut caller = CallerHandle::open(shared, arrival, claim, memory);
    match caller.next_reply().await {
        Reply::Failed(failure) => Ok(answer_failure(&failure, id)),
        Reply::Head(status, content_type) => {
            Ok(answer_service(caller, status, &content_type, id).await)
        }
        Reply::Text(_) | Reply::Done(_) => {
            Err(RequestFault::new(502, "target_failed", "the service answered without a status"))
        }
    }
}

/// Claims the caller's idempotency key; returns `None` if the request has none.
///
/// # Errors
///
/// The key belongs to another request, or the store cannot be reached to find out.
async fn claim_idempotency_key(
    shared: &EntryShared,
    policy: &AccountPolicy,
    service: &str,
    key: &str,
    id: &str,
) -> Result<Option<ClaimKey>, RequestFault> {
    if key.is_empty() {
        return Ok(None);
    }
    let claim = ClaimKey::new(&policy.name, service, key);
    match shared.claims.claim(claim.clone(), id.to_owned()).await {
        ClaimOutcome::Won => Ok(Some(claim)),
        ClaimOutcome::Taken(other) => {
            let text = format!("the key belongs to request {other}, which may have run");
            Err(RequestFault {
                verdict: Verdict::MayHaveRun,
                ..RequestFault::new(409, "key_taken", text)
            })
        }
        ClaimOutcome::StoreUnreachable => {
            let text = "the key can not be claimed while the platform's store is away";
            let retry_after = Some(CLAIM_RETRY_AFTER);
            Err(RequestFault { retry_after, ..RequestFault::new(503, "claims_away", text) })
        }
    }
}

fn header_text(request: &Request<RequestBody>, name: &str) -> Result<String, RequestFault> {
    let Some(value) = request.headers().get(name) else {
        return Ok(String::new());
    };
    let is_too_long = name == IDEMPOTENCY_HEADER && value.len() > MAX_IDEMPOTENCY_KEY;
    let text = value.to_str().ok().filter(|_| !is_too_long);
    text.map(str::to_owned).ok_or_else(|| {
        RequestFault::new(400, "bad_header", format!("header `{name}` can not be used"))
    })
}

async fn answer_service(
    mut caller: CallerHandle,
    status: u16,
    content_type: &str,
    id: &str,
) -> WebResponse {
    let mut body = ClaimedBuffer::new(&caller.memory);
    loop {
        match caller.next_reply().await {
            Reply::Text(part) => body.append(&part).await,
            Reply::Done(_) => break,
            Reply::Failed(failure) => return answer_failure(&failure, id),
            Reply::Head(..) => {}
        }
    }
    let valid = StatusCode::from_u16(status).ok().filter(|status| is_final(*status));
    let Some(status) = valid.filter(|status| !promises_not_run(*status)) else {
        let text = format!("the service was given the request and answered {status}");
        let verdict = Verdict::MayHaveRun;
        return to_error_response(
            StatusCode::BAD_GATEWAY,
            "target_failed",
            &text,
            verdict,
            id,
            None,
        );
    };
    let mut response = to_response(status, content_type, body.into_bytes());
    set_verdict(response.headers_mut(), Verdict::Ran, id);
    response
}
