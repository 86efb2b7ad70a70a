//! HTTP server of an [`EngineModel`].

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::{Value, json};
use shalelane::agent::cache::CacheEvent;
use tokio::sync::{Notify, mpsc};

use crate::engine_model::{EngineEvent, EngineModel, EngineRunSpec, EngineSpec};
use crate::prompt::prompt_hash;
use crate::serve::{
    EarlierRequests, Reply, ReplyBody, ServerThread, query_u64, reply, reply_json, serve_http,
};

/// Age at which the reported load is refreshed: reports are at most this old.
const LOAD_REPORT_LAG: Duration = Duration::from_millis(400);

/// Delay before an event of the prefix cache is visible to pollers.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(200);

/// Fraction of the prefix cache's events that are lost.
const EVENT_LOSS_RATE: f64 = 0.02;

/// Maximum number of prefix cache events that are stored.
const MAX_STORED_EVENTS: usize = 4096;

/// Faults that a test injects into an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFault {
    /// Whether new calls stay unanswered.
    pub frozen: bool,
    /// Delay between the arrival of a start call and the start of its run.
    pub start_lag: Duration,
    /// Whether calls for the load report are closed without a response.
    pub drops_load_calls: bool,
    /// Number of further calls to resume a run that are closed without a response or an effect.
    pub dropped_resumes: u32,
    /// Whether start calls on a connection that has carried other calls are closed without a
    /// response or an effect, as if it had been idle for too long.
    pub drops_starts_on_kept_connections: bool,
    /// Status with which start calls are answered after their run has begun, in place of a stream.
    pub failed_with: Option<StatusCode>,
}

/// An engine on a loopback port, with fault injection for tests.
#[derive(Debug)]
pub struct EngineServer {
    /// State of the engine.
    pub model: Arc<Mutex<EngineModel>>,
    /// Faults in effect.
    pub fault: Arc<Mutex<EngineFault>>,
    /// Thread that runs the HTTP server.
    pub server: ServerThread,
    starts: Arc<StartCounts>,
}

/// Numbers of received start calls and of runs started by them.
#[derive(Debug, Default)]
struct StartCounts {
    arrived: AtomicU64,
    started: AtomicU64,
}

struct ServerState {
    model: Arc<Mutex<EngineModel>>,
    fault: Arc<Mutex<EngineFault>>,
    models: Vec<String>,
    boot: u64,
    starts: Arc<StartCounts>,
    streams: RefCell<HashMap<String, mpsc::UnboundedSender<Bytes>>>,
    events: RefCell<VecDeque<(Instant, CacheEvent)>>,
    sequence: RefCell<u64>,
    load: RefCell<(Instant, u64)>,
    fence: RefCell<u64>,
    work: Notify,
    rng: RefCell<StdRng>,
}

impl EngineServer {
    /// Starts an engine with `models` loaded, on `address` or, if that is `None`, on a
    /// port chosen by the system.
    #[must_use]
    pub fn start(
        spec: EngineSpec,
        models: &[&str],
        seed: u64,
        address: Option<SocketAddr>,
    ) -> Self {
        let model = Arc::new(Mutex::new(EngineModel::new(spec)));
        let fault = Arc::new(Mutex::new(EngineFault::default()));
        let models: Vec<String> = models.iter().map(|name| (*name).to_owned()).collect();
        let starts = Arc::new(StartCounts::default());
        let (inner, faults, counts) = (model.clone(), fault.clone(), starts.clone());
        let server = ServerThread::spawn("engine", address, move |listener| async move {
            let state = Rc::new(ServerState {
                model: inner,
                fault: faults,
                models,
                boot: rand::random(),
                starts: counts,
                streams: RefCell::default(),
                events: RefCell::default(),
                sequence: RefCell::default(),
                load: RefCell::new((Instant::now(), 0)),
                fence: RefCell::default(),
                work: Notify::new(),
                rng: RefCell::new(StdRng::seed_from_u64(seed)),
            });
            let handler = state.clone();
            tokio::select! {
                () = run_steps(state) => {}
                () = serve_http(listener, move |request| handle(handler.clone(), request)) => {}
            }
        });
        EngineServer { model, fault, server, starts }
    }

    /// Returns the number of start calls received.
    #[must_use]
    pub fn calls_arrived(&self) -> u64 {
        self.starts.arrived.load(Ordering::Relaxed)
    }

    /// Returns the number of runs started.
    #[must_use]
    pub fn runs_started(&self) -> u64 {
        self.starts.started.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens held by runs and reservations.
    #[must_use]
    pub fn used(&self) -> u64 {
        lock(&self.model).used()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

async fn run_steps(state: Rc<ServerState>) {
    loop {
        if !lock(&state.model).has_work() {
            state.work.notified().await;
            continue;
        }
        let step = lock(&state.model).step();
        tokio::time::sleep(step.duration).await;
        for (id, event) in step.events {
            deliver(&state, &id, event);
        }
        record_cache_changes(&state);
    }
}

fn deliver(state: &ServerState, id: &str, event: EngineEvent) {
    let (body, is_last) = match event {
        EngineEvent::Text(text) => {
            (json!({"choices": [{"text": text, "finish_reason": null}]}), false)
        }
        EngineEvent::Paused(tokens) => (json!({"paused": tokens}), false),
        EngineEvent::Done { prompt_tokens, cached_tokens, answer_tokens } => {
            let usage = json!({
                "prompt_tokens": prompt_tokens,
                "completion_tokens": answer_tokens,
                "cached_tokens": cached_tokens,
            });
            let choice = json!({"text": "", "finish_reason": "length"});
            (json!({"choices": [choice], "usage": usage}), true)
        }
        EngineEvent::Failed(reason) => (json!({"error": reason}), true),
    };
    let mut streams = state.streams.borrow_mut();
    if let Some(stream) = streams.get(id) {
        // A disconnected reader does not end the run; only a cancel does.
        let _ = stream.send(format!("data: {body}\n\n").into());
    }
    if is_last {
        streams.remove(id);
    }
}

fn record_cache_changes(state: &ServerState) {
    for change in lock(&state.model).take_changes() {
        *state.sequence.borrow_mut() += 1;
        if state.rng.borrow_mut().random_bool(EVENT_LOSS_RATE) {
            continue;
        }
        let sequence = *state.sequence.borrow();
        let event = CacheEvent { sequence, run: change.run, tokens: change.tokens };
        let mut events = state.events.borrow_mut();
        events.push_back((Instant::now(), event));
        if events.len() > MAX_STORED_EVENTS {
            events.pop_front();
        }
    }
}

async fn handle(state: Rc<ServerState>, request: Request<Incoming>) -> Option<Reply> {
    if lock(&state.fault).frozen {
        std::future::pending::<()>().await;
    }
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let earlier = request.extensions().get::<EarlierRequests>();
    let is_kept = earlier.is_some_and(|EarlierRequests(count)| *count > 0);
    if is_dropped(&mut lock(&state.fault), &parts, is_kept) {
        return None;
    }
    Some(match (request.method().clone(), parts.as_slice()) {
        (Method::GET, ["v1", "load"]) => reply_load(&state),
        (Method::GET, ["v1", "cache", "events"]) => reply_events(&state, &request),
        (Method::GET, ["v1", "runs"]) => reply_runs(&state),
        (Method::DELETE, ["v1", "runs"]) => cancel_all(&state),
        (Method::DELETE, ["v1", "runs", id]) => cancel(&state, id),
        (Method::POST, ["v1", "runs", id, "resume"]) => resume(&state, id, request).await,
        (Method::PUT, ["v1", "kv", id]) => reserve(&state, id, request).await,
        (Method::DELETE, ["v1", "kv", id]) => reply_found(lock(&state.model).unreserve(id)),
        (Method::POST, ["v1", "orders"]) => apply_order(&state, request).await,
        (Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
            let stream = start(&state, request).await;
            let failed_with = lock(&state.fault).failed_with;
            failed_with.map_or(stream, |status| reply(status, "the run failed"))
        }
        _ => reply(StatusCode::NOT_FOUND, "no such path"),
    })
}

/// Returns `true` if a fault closes the connection of a call without a response.
fn is_dropped(fault: &mut EngineFault, parts: &[&str], is_kept: bool) -> bool {
    match parts {
        ["v1", "load"] => fault.drops_load_calls,
        ["v1", "runs", _, "resume"] if fault.dropped_resumes > 0 => {
            fault.dropped_resumes -= 1;
            true
        }
        ["v1", "completions"] | ["v1", "chat", "completions"] => {
            is_kept && fault.drops_starts_on_kept_connections
        }
        _ => false,
    }
}

fn reply_found(is_found: bool) -> Reply {
    let status = if is_found { StatusCode::OK } else { StatusCode::NOT_FOUND };
    reply(status, "")
}

fn reply_load(state: &ServerState) -> Reply {
    let model = lock(&state.model);
    let mut load = state.load.borrow_mut();
    if load.0.elapsed() > LOAD_REPORT_LAG {
        *load = (Instant::now(), model.used());
    }
    reply_json(&json!({
        "boot": state.boot,
        "capacity": model.spec().capacity,
        "used": load.1,
        "max_batch": model.spec().max_batch,
        "models": state.models,
    }))
}

fn reply_events(state: &ServerState, request: &Request<Incoming>) -> Reply {
    let after = query_u64(request, "after").unwrap_or(0);
    let events = state.events.borrow();
    let visible = events
        .iter()
        .filter(|(at, event)| at.elapsed() > CACHE_EVENT_DELAY && event.sequence > after);
    reply_json(&visible.map(|(_, event)| event).collect::<Vec<_>>())
}

fn reply_runs(state: &ServerState) -> Reply {
    let model = lock(&state.model);
    reply_json(&json!({"runs": model.runs(), "reservations": model.reservations()}))
}

fn cancel_all(state: &ServerState) -> Reply {
    lock(&state.model).cancel_all();
    state.streams.borrow_mut().clear();
    reply(StatusCode::OK, "")
}

fn cancel(state: &ServerState, id: &str) -> Reply {
    state.streams.borrow_mut().remove(id);
    reply_found(lock(&state.model).cancel(id))
}

#[derive(Deserialize)]
struct ResumeBody {
    prefill_tokens: Option<u64>,
}

async fn resume(state: &ServerState, id: &str, request: Request<Incoming>) -> Reply {
    let Some(body) = read_body::<ResumeBody>(request).await else {
        return bad_body();
    };
    let is_known = lock(&state.model).resume(id, body.prefill_tokens);
    state.work.notify_one();
    let status = if is_known { StatusCode::OK } else { StatusCode::CONFLICT };
    reply(status, "")
}

#[derive(Deserialize)]
struct ReserveBody {
    tokens: u64,
}

async fn reserve(state: &ServerState, id: &str, request: Request<Incoming>) -> Reply {
    let Some(body) = read_body::<ReserveBody>(request).await else {
        return bad_body();
    };
    let is_held = lock(&state.model).reserve(id, body.tokens);
    let status = if is_held { StatusCode::OK } else { StatusCode::CONFLICT };
    reply(status, "")
}

#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
}

async fn apply_order(state: &ServerState, request: Request<Incoming>) -> Reply {
    let Some(body) = read_body::<OrderBody>(request).await else {
        return bad_body();
    };
    let checks = lock(&state.model).spec().checks_fence;
    let mut fence = state.fence.borrow_mut();
    if checks && body.fence < *fence {
        return reply(StatusCode::CONFLICT, "an order with a higher fence was taken");
    }
    *fence = fence.max(body.fence);
    reply(StatusCode::OK, "")
}

fn bad_body() -> Reply {
    reply(StatusCode::BAD_REQUEST, "bad body")
}

async fn read_body<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

async fn start(state: &Rc<ServerState>, request: Request<Incoming>) -> Reply {
    let headers = request.headers().clone();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
    let id = text("x-run-id").unwrap_or("unnamed").to_owned();
    let salt = text("x-cache-salt").unwrap_or("").to_owned();
    let shards = text("x-kv-shards").unwrap_or("");
    let shard_tokens =
        shards.split(',').filter_map(|shard| shard.split_once('=')?.1.parse::<u64>().ok());
    let remote_tokens = shard_tokens.sum();
    let (limit, max_tokens) = (number("x-prefill-tokens"), number("x-max-tokens"));
    let priority = number("x-priority").unwrap_or(1) as u8;
    let Some(body) = read_body::<Value>(request).await else {
        return bad_body();
    };
    let prompt = to_prompt(&body);
    let answer_tokens = max_tokens.or(body["max_tokens"].as_u64()).unwrap_or(16);
    state.starts.arrived.fetch_add(1, Ordering::Relaxed);
    let start_lag = lock(&state.fault).start_lag;
    tokio::time::sleep(start_lag).await;
    let (sender, receiver) = mpsc::unbounded_channel();
    state.streams.borrow_mut().insert(id.clone(), sender);
    lock(&state.model).start(EngineRunSpec {
        id,
        salt,
        hash: prompt_hash(&prompt),
        prompt,
        answer_tokens,
        priority,
        prefill_limit: limit,
        remote_tokens,
    });
    state.starts.started.fetch_add(1, Ordering::Relaxed);
    state.work.notify_one();
    Response::new(stream_body(receiver))
}

/// Returns the prompt, or the contents of the chat messages joined in order.
fn to_prompt(body: &Value) -> String {
    if let Some(prompt) = body["prompt"].as_str() {
        return prompt.to_owned();
    }
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    messages.iter().filter_map(|message| message["content"].as_str()).collect()
}

fn stream_body(receiver: mpsc::UnboundedReceiver<Bytes>) -> ReplyBody {
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    });
    let frames = stream.map(|part| Ok::<_, Infallible>(Frame::data(part)));
    StreamBody::new(frames).boxed_unsync()
}
