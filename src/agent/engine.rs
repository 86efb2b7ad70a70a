//! HTTP client of the agent for a model engine.
//!
//! This is the only module that knows how an engine reserves memory, and
//! how it pauses and resumes runs.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::cache::CacheEvent;
use super::event::{EngineFacts, EngineHolding, RunEvent, RunUsage, StartRun};
use super::health::PollOutcome;
use crate::client::{CallBody, CallFault, HttpClient, full, pieces, read_whole};
use crate::config::Urgency;
use crate::error::{Error, ErrorCode, Result};
use crate::id::AttemptId;
use crate::retry_after::parse_retry_after;
use crate::verdict::Verdict;
use crate::wire::Call;

/// Timeout of calls other than runs.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle connections kept to the engine.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Maximum size of an engine's stream event with the comments before it, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Load report of an engine. It lags behind the engine's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number that identifies this instance of the engine: it changes at each restart.
    pub boot: u64,
    /// Memory in tokens.
    pub capacity: u64,
    /// Memory held by runs and reservations, in tokens.
    pub used: u64,
    /// Maximum number of concurrent runs.
    pub max_batch: usize,
    /// Models that are loaded.
    pub models: Vec<Arc<str>>,
}

/// Runs and reservations that an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHoldings {
    /// Identifiers of runs.
    pub runs: Vec<String>,
    /// Identifiers of reservations.
    pub reservations: Vec<String>,
}

#[derive(Serialize)]
struct ResumeBody {
    prefill_tokens: Option<u64>,
}

#[derive(Serialize)]
struct ReserveBody {
    tokens: u64,
}

#[derive(Deserialize)]
struct StreamEvent {
    #[serde(default)]
    choices: Vec<StreamChoice>,
    #[serde(default)]
    usage: Option<StreamUsage>,
    #[serde(default)]
    paused: Option<u64>,
    #[serde(default)]
    error: Option<String>,
}

#[derive(Deserialize)]
struct StreamChoice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct StreamUsage {
    #[serde(rename = "prompt_tokens")]
    prompt: u64,
    #[serde(rename = "completion_tokens")]
    answer: u64,
    #[serde(rename = "cached_tokens", default)]
    cached: u64,
}

/// Client of one engine.
#[derive(Debug)]
pub(super) struct EngineClient {
    address: Arc<str>,
    http: HttpClient,
    /// Client for runs. It keeps no idle connections: if the engine closed one while a run is
    /// being sent, it would be unknown whether the run began.
    run_http: HttpClient,
}

impl EngineClient {
    pub(super) fn new(address: Arc<str>) -> Self {
        let http = HttpClient::new(MAX_IDLE_CONNECTIONS);
        EngineClient { address, http, run_http: HttpClient::new(0) }
    }

    fn request(&self, method: Method, path: &str, body: CallBody) -> Request<CallBody> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = format!("http://{}{path}", self.address).parse().unwrap_or_default();
        request
    }

    async fn call(&self, method: Method, path: &str, body: impl Into<Bytes>) -> Result<Bytes> {
        let request = self.request(method, path, full(body));
        let response = self.http.call(request, CALL_TIMEOUT).await?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        Err(Error::from_code(ErrorCode::Status {
            status: response.status().as_u16(),
            text: "the engine refused".to_owned(),
        }))
    }

    /// Deletes a resource. Returns whether it existed.
    async fn delete(&self, path: &str) -> Result<bool> {
        let request = self.request(Method::DELETE, path, full(""));
        let response = self.http.call(request, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(false),
            status if status.is_success() => Ok(true),
            status => Err(Error::unreachable(format!("the engine answered {status}"))),
        }
    }

    async fn get_load(&self) -> Result<EngineLoad> {
        let body = self.call(Method::GET, "/v1/load", "").await?;
        serde_json::from_slice(&body).map_err(Error::unreachable)
    }

    /// Polls the load report.
    ///
    /// # Errors
    ///
    /// There is no report; the outcome states why.
    pub(super) async fn poll_load(&self) -> std::result::Result<EngineLoad, PollOutcome> {
        let request = self.request(Method::GET, "/v1/load", full(""));
        let work = async {
            let response = self.http.send(request).await.map_err(|fault| match fault {
                CallFault::NotSent(_) => PollOutcome::NotConnected,
                CallFault::Unknown(_) => PollOutcome::NoReport,
            })?;
            let body = read_whole(response.into_body()).await;
            let body = body.map_err(|_| PollOutcome::NoReport)?;
            serde_json::from_slice(&body).map_err(|_| PollOutcome::NoReport)
        };
        tokio::time::timeout(CALL_TIMEOUT, work).await.unwrap_or(Err(PollOutcome::NoReport))
    }

    /// Deletes all runs and reservations of the engine. Returns its properties and its boot
    /// number.
    pub(super) async fn reset(&self) -> Result<(EngineFacts, u64)> {
        self.delete("/v1/runs").await?;
        let load = self.get_load().await?;
        let facts = EngineFacts {
            address: self.address.clone(),
            capacity: load.capacity,
            max_batch: load.max_batch,
            models: load.models,
        };
        Ok((facts, load.boot))
    }

    pub(super) async fn get_holdings(&self) -> Result<Vec<EngineHolding>> {
        let body = self.call(Method::GET, "/v1/runs", "").await?;
        let holdings: EngineHoldings = serde_json::from_slice(&body).map_err(Error::unreachable)?;
        let names = holdings.runs.into_iter().chain(holdings.reservations);
        Ok(names.map(|id| EngineHolding { id }).collect())
    }

    pub(super) async fn get_cache_events(&self, after: u64) -> Result<Vec<CacheEvent>> {
        let path = format!("/v1/cache/events?after={after}");
        let body = self.call(Method::GET, &path, "").await?;
        serde_json::from_slice(&body).map_err(Error::unreachable)
    }

    /// Deletes the reservation and the run of a given name.
    pub(super) async fn cancel_holding(&self, name: &str) -> Result<bool> {
        self.delete(&format!("/v1/kv/{name}")).await?;
        self.cancel(name).await
    }

    /// Cancels a run. Returns whether the engine had it.
    pub(super) async fn cancel(&self, run: &str) -> Result<bool> {
        self.delete(&format!("/v1/runs/{run}")).await
    }

    pub(super) async fn resume(&self, id: &AttemptId, prefill_tokens: Option<u64>) -> Result<()> {
        let body = serde_json::to_vec(&ResumeBody { prefill_tokens }).unwrap_or_default();
        self.call(Method::POST, &format!("/v1/runs/{id}/resume"), body).await.map(drop)
    }

    pub(super) async fn reserve(&self, id: &AttemptId, tokens: u64) -> Result<()> {
        let body = serde_json::to_vec(&ReserveBody { tokens }).unwrap_or_default();
        self.call(Method::PUT, &format!("/v1/kv/{id}"), body).await.map(drop)
    }

    pub(super) async fn unreserve(&self, id: &AttemptId) -> Result<()> {
        self.delete(&format!("/v1/kv/{id}")).await.map(drop)
    }

    /// Runs an attempt and reports its events. Sets `has_arrived` once the engine has received
    /// the run or cannot receive it any more.
    pub(super) async fn run(
        &self,
        start: StartRun,
        has_arrived: &Cell<bool>,
        report: Rc<dyn Fn(RunEvent)>,
    ) {
        if let Err(event) = self.try_run(start, has_arrived, &report).await {
            has_arrived.set(true);
            report(event);
        }
    }

    async fn try_run(
        &self,
        start: StartRun,
        has_arrived: &Cell<bool>,
        report: &Rc<dyn Fn(RunEvent)>,
    ) -> std::result::Result<(), RunEvent> {
        let request = self.to_request(start);
        let response = self.run_http.send(request).await.map_err(|fault| match fault {
            CallFault::NotSent(text) => RunEvent::Failed(Verdict::NotRun, text.into()),
            CallFault::Unknown(text) => RunEvent::Failed(Verdict::MayHaveRun, text.into()),
        })?;
        has_arrived.set(true);
        let status = response.status();
        if !status.is_success() {
            report_backoff(&response, report);
            let text = format!("the engine answered {status}");
            return Err(RunEvent::Failed(to_verdict(status), text.into()));
        }
        let mut stream = EventStream::new(response.into_body());
        loop {
            let event = stream
                .next()
                .await
                .map_err(|text| RunEvent::Failed(Verdict::MayHaveRun, text.into()))?;
            let is_last = report_event(event, report)?;
            if is_last {
                return Ok(());
            }
        }
    }

    fn to_request(&self, start: StartRun) -> Request<CallBody> {
        let path = match &start.call {
            Call::Model { path, .. } | Call::Plain { path, .. } => path.clone(),
        };
        let shards: Vec<String> =
            start.shards.iter().map(|shard| format!("{}={}", shard.engine, shard.tokens)).collect();
        let mut request = self.request(Method::POST, &path, pieces(start.body));
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set("x-run-id", start.id.to_string());
        set("x-stream", "1".to_owned());
        set("x-cache-salt", start.account.to_string());
        set("x-max-tokens", start.answer_tokens.to_string());
        set("x-priority", to_priority(start.urgency).to_string());
        set("x-time-limit-ms", start.remaining.as_millis().to_string());
        if let Some(tokens) = start.prefill_limit {
            set("x-prefill-tokens", tokens.to_string());
        }
        if !shards.is_empty() {
            set("x-kv-shards", shards.join(","));
        }
        request
    }
}

/// Returns the verdict on a run whose start an engine answered with a failure. Engines refuse a run
/// with 503 or a status that blames the call, and answer so only before it begins.
fn to_verdict(status: StatusCode) -> Verdict {
    let is_refusal = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    if is_refusal { Verdict::NotRun } else { Verdict::MayHaveRun }
}

/// Reports the back-off that an overloaded target asks for in `Retry-After`.
pub(super) fn report_backoff<T>(response: &Response<T>, report: &Rc<dyn Fn(RunEvent)>) {
    let overload_statuses = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    if overload_statuses.contains(&response.status())
        && let Some(delay) = parse_retry_after(response.headers())
    {
        report(RunEvent::BackOff(delay));
    }
}

/// Reports an event of a run. Returns `true` after the last one.
fn report_event(
    event: StreamEvent,
    report: &Rc<dyn Fn(RunEvent)>,
) -> std::result::Result<bool, RunEvent> {
    if let Some(text) = event.error {
        return Err(RunEvent::Failed(Verdict::MayHaveRun, text.into()));
    }
    if let Some(tokens) = event.paused {
        report(RunEvent::Paused(tokens));
    }
    let mut finish_reason = None;
    for choice in event.choices {
        if !choice.text.is_empty() {
            report(RunEvent::Text(choice.text.into()));
        }
        finish_reason = choice.finish_reason;
    }
    let Some(usage) = event.usage else {
        return Ok(false);
    };
    report(RunEvent::Done(RunUsage {
        prompt_tokens: usage.prompt,
        cached_tokens: usage.cached,
        answer_tokens: usage.answer,
        finish_reason: finish_reason.unwrap_or_default().into(),
    }));
    Ok(true)
}

/// Converts an urgency to the engine's run priority: the engine serves the lowest first.
fn to_priority(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Interactive => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}

/// Reader of a stream of server-sent events.
struct EventStream {
    body: Incoming,
    pending: BytesMut,
}

impl EventStream {
    fn new(body: Incoming) -> Self {
        EventStream { body, pending: BytesMut::new() }
    }

    async fn next(&mut self) -> std::result::Result<StreamEvent, String> {
        let mut skipped = 0;
        loop {
            while let Some(line) = self.take_line() {
                skipped += line.len() + 1;
                let json = line.strip_prefix(b"data: ");
                if let Some(json) = json.filter(|json| !json.starts_with(b"[DONE]")) {
                    return serde_json::from_slice(json).map_err(|error| error.to_string());
                }
            }
            if skipped + self.pending.len() > MAX_EVENT_BYTES {
                return Err("the engine's event is too large".to_owned());
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        self.pending.extend_from_slice(&part);
                    }
                }
                Some(Err(error)) => return Err(error.to_string()),
                None => return Err("the engine closed the stream".to_owned()),
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.pending.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.pending.split_to(end + 1);
        line.truncate(end);
        Some(line)
    }
}
