//! The callers' HTTP interface.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::ask::{AskFault, ModelAsk};
use super::daemon::EntryShared;
use super::event::{Arrival, Event, Failure, FailureCode, Reply};
use crate::claim::ClaimKey;
use crate::claim_store::ClaimOutcome;
use crate::config::AccountPolicy;
use crate::prefix::PrefixMarks;
use crate::verdict::Verdict;
use crate::web::{
    Answer, AnswerBody, BodyFault, FaultBody, PartStream, accept_next, answer, answer_fault,
    answer_json, bearer, read_body, serve_connection, set_verdict,
};
use crate::wire::{Call, Completion};

/// Header by which a caller forbids that a request runs twice.
const REPEATABLE_HEADER: &str = "shalelane-repeatable";

/// Header of a caller's own key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// When to come back where a key could not be claimed.
const CLAIM_RETRY: Duration = Duration::from_secs(2);

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;

/// Accepts callers until the task is ended.
pub(super) async fn serve(shared: Rc<EntryShared>, listener: TcpListener) {
    loop {
        let stream = accept_next(&listener).await;
        if shared.connections.get() >= shared.settings.max_connections {
            continue;
        }
        let guard = ConnectionGuard::new(shared.clone());
        spawn_local(async move {
            let shared = guard.shared.clone();
            serve_connection(stream, |request| handle(shared.clone(), request)).await;
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

async fn handle(shared: Rc<EntryShared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/healthz") => answer(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, "/readyz") => answer_ready(&shared),
        (&Method::GET, "/metrics") => answer_metrics(&shared).await,
        _ => {
            let number = shared.new_number();
            let id = format!("{}.{number}", shared.process);
            let mut response = match handle_call(&shared, request, number, &id).await {
                Ok(response) => response,
                Err(fault) => answer_ask_fault(&fault, &id),
            };
            if shared.draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            response
        }
    }
}

fn answer_ready(shared: &EntryShared) -> Answer {
    if shared.is_ready() {
        return answer(StatusCode::OK, "text/plain", "ready\n");
    }
    answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
}

async fn answer_metrics(shared: &Rc<EntryShared>) -> Answer {
    let inner = shared.clone();
    let longest = shared.meter.longest();
    let text = shared.ask(move |core| inner.page.to_text(core, longest)).await;
    answer(StatusCode::OK, "text/plain; version=0.0.4", text.unwrap_or_default())
}

fn answer_ask_fault(fault: &AskFault, id: &str) -> Answer {
    let status = StatusCode::from_u16(fault.status).unwrap_or(StatusCode::BAD_REQUEST);
    answer_fault(status, fault.code, &fault.message, fault.verdict, id, fault.retry_after)
}

async fn handle_call(
    shared: &Rc<EntryShared>,
    request: Request<Incoming>,
    number: u64,
    id: &str,
) -> Result<Answer, AskFault> {
    let policy = authorize(shared, &request)?;
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/v1/models") => Ok(answer_models(shared, &policy)),
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            complete(shared, request, policy, number, id).await
        }
        (_, "/v1/models" | "/v1/completions" | "/v1/chat/completions") => {
            Err(AskFault::new(405, "bad_method", "this path takes another method"))
        }
        _ if path.starts_with("/services/") => {
            call_service(shared, request, policy, number, id).await
        }
        _ => Err(AskFault::new(404, "unknown_path", format!("no path `{path}`"))),
    }
}

fn authorize(
    shared: &EntryShared,
    request: &Request<Incoming>,
) -> Result<Rc<AccountPolicy>, AskFault> {
    if !shared.is_ready() {
        return Err(AskFault::new(503, "not_ready", "this entry takes no requests now"));
    }
    let Some(secret) = bearer(request.headers()) else {
        return Err(AskFault::new(401, "missing_key", "no `Authorization: Bearer` key"));
    };
    let account = shared.accounts.borrow().find(secret);
    account.ok_or_else(|| AskFault::new(401, "unknown_key", "the key belongs to no client account"))
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

fn answer_models(shared: &EntryShared, policy: &AccountPolicy) -> Answer {
    let config = super::daemon::current_config(shared);
    let known = policy.models.iter().filter(|name| config.model(name).is_some());
    let data = known.map(|name| ModelEntry { id: name, object: "model", owned_by: "shalelane" });
    answer_json(StatusCode::OK, &ModelList { object: "list", data: data.collect() })
}

async fn read_whole(shared: &EntryShared, body: Incoming) -> Result<Bytes, AskFault> {
    let settings = &shared.settings;
    read_body(body, settings.max_body, settings.body_limit).await.map_err(|fault| match fault {
        BodyFault::TooLarge => {
            let text = format!("the body is larger than {} bytes", settings.max_body);
            AskFault::new(413, "body_too_large", text)
        }
        BodyFault::TooSlow => {
            AskFault::new(408, "body_too_slow", "the body did not arrive in time")
        }
        BodyFault::Broken => AskFault::new(400, "broken_body", "the body broke off"),
    })
}

async fn complete(
    shared: &Rc<EntryShared>,
    request: Request<Incoming>,
    policy: Rc<AccountPolicy>,
    number: u64,
    id: &str,
) -> Result<Answer, AskFault> {
    let forbids = forbids_repeat(&request);
    let key = header_text(&request, IDEMPOTENCY_HEADER)?;
    let path = request.uri().path().to_owned();
    let body = read_whole(shared, request.into_body()).await?;
    let table = shared.accounts.borrow().clone();
    let ask = shared.meter.measure(|| ModelAsk::from_body(&body, &policy, &table))?;
    let Some(model) = table.config().model(&ask.model).cloned() else {
        return Err(AskFault::new(404, "unknown_model", "the model is gone"));
    };
    let claim = claim_key(shared, &policy, &model.service, &key, id).await?;
    let repeatable = policy.repeatable && !forbids && claim.is_none();
    let call = Call::Model { model: model.name, path: path.as_str().into() };
    let arrival = Arrival {
        number,
        policy,
        service: model.service,
        call,
        prompt_bytes: ask.prompt_bytes,
        answer_tokens: ask.answer_tokens,
        marks: ask.marks,
        body,
        repeatable,
    };
    let shape = AnswerShape { is_chat: path.contains("chat"), id: id.to_owned(), model: ask.model };
    let prompt_tokens = ask.prompt_bytes / 4;
    let mut caller = CallerLink::open(shared, arrival, claim);
    let first = caller.next().await;
    shared.page.observe_first(prompt_tokens, caller.opened.elapsed());
    if let Reply::Failed(failure) = &first {
        return Ok(answer_failure(failure, id));
    }
    if ask.stream {
        return Ok(answer_stream(caller, first, shape));
    }
    Ok(answer_whole(caller, first, &shape).await)
}

fn forbids_repeat(request: &Request<Incoming>) -> bool {
    let value = request.headers().get(REPEATABLE_HEADER);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"no"))
}

async fn call_service(
    shared: &Rc<EntryShared>,
    request: Request<Incoming>,
    policy: Rc<AccountPolicy>,
    number: u64,
    id: &str,
) -> Result<Answer, AskFault> {
    let rest = request.uri().path().trim_start_matches("/services/");
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, path) = (service.to_owned(), format!("/{path}"));
    let table = shared.accounts.borrow().clone();
    if !table.is_plain(&service) {
        return Err(AskFault::new(404, "unknown_service", format!("no plain service `{service}`")));
    }
    if !policy.services.iter().any(|allowed| **allowed == *service) {
        let text = format!("this account may not call service `{service}`");
        return Err(AskFault::new(403, "service_not_allowed", text));
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
    let body = read_whole(shared, request.into_body()).await?;
    let wanted = if is_safe { "" } else { key.as_str() };
    let claim = claim_key(shared, &policy, &service, wanted, id).await?;
    let arrival = Arrival {
        number,
        policy,
        service: service.into(),
        call,
        prompt_bytes: 0,
        answer_tokens: 0,
        marks: PrefixMarks::default(),
        body,
        // A method that is not safe may have effects, so only the
        // configuration could say that it bears repeating, and says it by
        // leaving the path out of `not_repeatable`.
        repeatable: is_safe || !is_once_only,
    };
    let mut caller = CallerLink::open(shared, arrival, claim);
    match caller.next().await {
        Reply::Failed(failure) => Ok(answer_failure(&failure, id)),
        Reply::Head(status, content_type) => {
            Ok(answer_service(caller, status, &content_type, id).await)
        }
        Reply::Text(_) | Reply::Done(_) => {
            Err(AskFault::new(502, "target_failed", "the service answered without a status"))
        }
    }
}

/// Claims a caller's own key, none where it gave none. Nothing is done for a
/// key that belongs to another request, or while nobody can tell.
async fn claim_key(
    shared: &EntryShared,
    policy: &AccountPolicy,
    service: &str,
    key: &str,
    id: &str,
) -> Result<Option<ClaimKey>, AskFault> {
    if key.is_empty() {
        return Ok(None);
    }
    let claim = ClaimKey::new(&policy.name, service, key);
    match shared.claims.claim(claim.clone(), id.to_owned()).await {
        ClaimOutcome::Won => Ok(Some(claim)),
        ClaimOutcome::Taken(other) => {
            let text = format!("the key belongs to request {other}, which may have run");
            Err(AskFault { verdict: Verdict::MayHaveRun, ..AskFault::new(409, "key_taken", text) })
        }
        ClaimOutcome::Away => {
            let text = "the key can not be claimed while the platform's store is away";
            let retry_after = Some(CLAIM_RETRY);
            Err(AskFault { retry_after, ..AskFault::new(503, "claims_away", text) })
        }
    }
}

fn header_text(request: &Request<Incoming>, name: &str) -> Result<String, AskFault> {
    let Some(value) = request.headers().get(name) else {
        return Ok(String::new());
    };
    let text = value.to_str().ok().filter(|text| text.len() <= MAX_IDEMPOTENCY_KEY);
    text.map(str::to_owned)
        .ok_or_else(|| AskFault::new(400, "bad_header", format!("header `{name}` can not be used")))
}

async fn answer_service(
    mut caller: CallerLink,
    status: u16,
    content_type: &str,
    id: &str,
) -> Answer {
    let mut body = Vec::new();
    loop {
        match caller.next().await {
            Reply::Text(part) => body.extend_from_slice(&part),
            Reply::Done(_) => break,
            Reply::Failed(failure) => return answer_failure(&failure, id),
            Reply::Head(..) => {}
        }
    }
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = answer(status, content_type, body);
    set_verdict(response.headers_mut(), Verdict::Ran, id);
    response
}

/// A caller that waits for its answer. Dropping it before the end tells the
/// core that the caller went away.
struct CallerLink {
    shared: Rc<EntryShared>,
    number: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    opened: Instant,
    claim: Option<ClaimKey>,
    is_over: bool,
}

impl CallerLink {
    fn open(shared: &Rc<EntryShared>, arrival: Arrival, claim: Option<ClaimKey>) -> Self {
        let (reply_in, replies) = mpsc::unbounded_channel();
        let number = arrival.number;
        shared.replies.borrow_mut().insert(number, reply_in);
        shared.send(Event::Arrive(Box::new(arrival)));
        let shared = shared.clone();
        CallerLink { shared, number, replies, opened: Instant::now(), claim, is_over: false }
    }

    async fn next(&mut self) -> Reply {
        let reply = self.replies.recv().await;
        // The core gives every request a final answer before it lets go.
        let reply = reply.unwrap_or_else(|| Reply::Failed(lost_answer()));
        self.is_over |= matches!(reply, Reply::Done(_) | Reply::Failed(_));
        if matches!(&reply, Reply::Failed(failure) if failure.verdict == Verdict::NotRun) {
            self.give_key_back();
        }
        reply
    }
}

impl CallerLink {
    /// The request was not run, so its caller may use the key again.
    fn give_key_back(&mut self) {
        if let Some(key) = self.claim.take() {
            let id = format!("{}.{}", self.shared.process, self.number);
            self.shared.claims.release(key, id);
        }
    }
}

impl Drop for CallerLink {
    fn drop(&mut self) {
        if !self.is_over {
            self.shared.replies.borrow_mut().remove(&self.number);
            self.shared.send(Event::CallerGone(self.number));
        }
    }
}

#[cold]
fn lost_answer() -> Failure {
    Failure {
        code: FailureCode::Stopping,
        message: "this entry ended before the answer was whole".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after: None,
    }
}

fn to_status(code: FailureCode) -> StatusCode {
    match code {
        FailureCode::LimitExceeded => StatusCode::TOO_MANY_REQUESTS,
        FailureCode::Overloaded | FailureCode::NoTarget | FailureCode::Stopping => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        FailureCode::TimeLimit => StatusCode::GATEWAY_TIMEOUT,
        FailureCode::TargetFailed => StatusCode::BAD_GATEWAY,
        FailureCode::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
    }
}

fn answer_failure(failure: &Failure, id: &str) -> Answer {
    let (status, code) = (to_status(failure.code), failure.code.to_string());
    answer_fault(status, &code, &failure.message, failure.verdict, id, failure.retry_after)
}

/// What the answer of one request looks like.
struct AnswerShape {
    is_chat: bool,
    id: String,
    model: String,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<CompletionUsage>,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatText<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct CompletionUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: CachedUsage,
}

#[derive(Serialize)]
struct CachedUsage {
    cached_tokens: u64,
}

impl AnswerShape {
    fn to_json(&self, text: &[u8], done: Option<&Completion>, is_part: bool) -> Vec<u8> {
        let text = String::from_utf8_lossy(text);
        let chat = || Some(ChatText { role: "assistant", content: &text });
        let choice = CompletionChoice {
            index: 0,
            text: (!self.is_chat).then_some(&*text),
            message: if self.is_chat && !is_part { chat() } else { None },
            delta: if self.is_chat && is_part { chat() } else { None },
            finish_reason: done.map(|done| &*done.finish_reason),
        };
        let usage = done.map(|done| CompletionUsage {
            prompt_tokens: done.prompt_tokens,
            completion_tokens: done.answer_tokens,
            total_tokens: done.prompt_tokens + done.answer_tokens,
            prompt_tokens_details: CachedUsage { cached_tokens: done.cached_tokens },
        });
        let object = match (self.is_chat, is_part) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        let body =
            CompletionBody { id: &self.id, object, model: &self.model, choices: [choice], usage };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    fn to_event(&self, text: &[u8], done: Option<&Completion>) -> Bytes {
        to_sse(&self.to_json(text, done, true))
    }
}

fn to_sse(json: &[u8]) -> Bytes {
    [b"data: ", json, b"\n\n"].concat().into()
}

async fn answer_whole(mut caller: CallerLink, first: Reply, shape: &AnswerShape) -> Answer {
    let mut text = Vec::new();
    let mut reply = first;
    loop {
        match reply {
            Reply::Text(part) => text.extend_from_slice(&part),
            Reply::Done(done) => {
                let json = shape.to_json(&text, Some(&done), false);
                let mut response = answer(StatusCode::OK, "application/json", json);
                set_verdict(response.headers_mut(), Verdict::Ran, &shape.id);
                return response;
            }
            Reply::Failed(failure) => return answer_failure(&failure, &shape.id),
            Reply::Head(..) => {}
        }
        reply = caller.next().await;
    }
}

fn answer_stream(mut caller: CallerLink, first: Reply, shape: AnswerShape) -> Answer {
    let (part_in, parts) = mpsc::unbounded_channel();
    let id = shape.id.clone();
    let pump = spawn_local(async move {
        let mut reply = first;
        loop {
            let is_over = push_events(&part_in, &reply, &shape);
            if is_over {
                return;
            }
            reply = caller.next().await;
        }
    });
    let guard = Box::new(AbortGuard(pump));
    let mut response = Response::new(AnswerBody::Parts(PartStream { parts, _guard: guard }));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(hyper::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    set_verdict(headers, Verdict::Ran, &id);
    response
}

/// Ends a task when the body that it feeds is dropped.
struct AbortGuard(tokio::task::JoinHandle<()>);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Writes a reply as events, true after the last one.
fn push_events(parts: &mpsc::UnboundedSender<Bytes>, reply: &Reply, shape: &AnswerShape) -> bool {
    // A caller that went away drops the body, which ends this task.
    match reply {
        Reply::Text(text) => {
            let _ = parts.send(shape.to_event(text, None));
            false
        }
        Reply::Done(done) => {
            let _ = parts.send(shape.to_event(b"", Some(done)));
            let _ = parts.send(Bytes::from_static(b"data: [DONE]\n\n"));
            true
        }
        Reply::Failed(failure) => {
            let code = failure.code.to_string();
            let body = FaultBody::new(&code, &failure.message, failure.verdict, &shape.id);
            let json = serde_json::to_vec(&body).unwrap_or_default();
            let _ = parts.send(Bytes::from_static(b"event: error\n"));
            let _ = parts.send(to_sse(&json));
            true
        }
        Reply::Head(..) => false,
    }
}
