//! A stand-in for the platform's store.
//!
//! Supports versioned objects, conditional updates, watches, rate limits and outages.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use shalelane::store::STORE_EPOCH_HEADER;
use tokio::sync::Notify;

use crate::serve::{Reply, ServerThread, query_u64, reply, serve_http};

/// Faults that a test injects into the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFault {
    /// The store closes every call without a response.
    pub outage: bool,
    /// Number of upcoming writes that take effect but get no response.
    pub lost_answers: u32,
    /// Additional delay of each call.
    pub delay: Duration,
}

/// Numbers of calls that the store has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreCounts {
    /// Reads. A watch that waits counts as one.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused because they exceeded the rate limit.
    pub limited: u64,
}

#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        TokenBucket { rate, tokens: rate, refilled_at: Instant::now() }
    }

    fn try_take(&mut self) -> bool {
        let refill = self.refilled_at.elapsed().as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate);
        self.refilled_at = Instant::now();
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Content of a store at one time, from which [`StoreServer::restore`] can restore it.
#[derive(Clone, Debug, Default)]
pub struct StoreSnapshot {
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
}

#[derive(Debug)]
struct StoreState {
    /// Number of times that the store was restored from a snapshot.
    epoch: u64,
    content: StoreSnapshot,
    fault: StoreFault,
    counts: StoreCounts,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// A running store with fault injection.
#[derive(Debug)]
pub struct StoreServer {
    state: Arc<Mutex<StoreState>>,
    /// The server thread.
    pub server: ServerThread,
}

/// Interval at which a waiting read checks whether the store was restored from a snapshot.
const RESTORE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reads allowed per second.
const READ_RATE: f64 = 2_000.0;

/// Writes allowed per second.
const WRITE_RATE: f64 = 100.0;

fn lock(state: &Mutex<StoreState>) -> MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl StoreServer {
    /// Starts an empty store.
    #[must_use]
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(StoreState {
            epoch: 0,
            content: StoreSnapshot::default(),
            fault: StoreFault::default(),
            counts: StoreCounts::default(),
            reads: TokenBucket::new(READ_RATE),
            writes: TokenBucket::new(WRITE_RATE),
        }));
        let shared = state.clone();
        let server = ServerThread::spawn("store", None, move |listener| {
            let changed = std::rc::Rc::new(Notify::new());
            serve_http(listener, move |request| handle(shared.clone(), changed.clone(), request))
        });
        StoreServer { state, server }
    }

    /// Replaces the faults that apply to calls from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns the numbers of calls received so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        lock(&self.state).counts
    }

    /// Returns a snapshot of the present content.
    #[must_use]
    pub fn to_snapshot(&self) -> StoreSnapshot {
        lock(&self.state).content.clone()
    }

    /// Restores the content of a snapshot.
    ///
    /// Later writes are lost, and waiting reads end without a response.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let mut state = lock(&self.state);
        state.epoch += 1;
        state.content = snapshot;
    }

    /// Overwrites an object without a condition, as a writer of another software version would.
    pub fn overwrite(&self, name: &str, content: &[u8]) {
        let mut state = lock(&self.state);
        state.content.revision += 1;
        let version = state.content.revision;
        state.content.objects.insert(name.to_owned(), (version, Bytes::copy_from_slice(content)));
    }
}

async fn handle(
    state: Arc<Mutex<StoreState>>,
    changed: std::rc::Rc<Notify>,
    request: Request<Incoming>,
) -> Option<Reply> {
    let fault = lock(&state).fault;
    tokio::time::sleep(fault.delay).await;
    if fault.outage {
        return None;
    }
    let name = request.uri().path().trim_start_matches("/objects/").to_owned();
    let epoch = lock(&state).epoch;
    let mut reply = match *request.method() {
        Method::GET => read(&state, &changed, &name, &request).await,
        Method::PUT => write(&state, &changed, &name, request).await,
        _ => Some(reply(StatusCode::METHOD_NOT_ALLOWED, "")),
    }?;
    reply.headers_mut().insert(STORE_EPOCH_HEADER, HeaderValue::from(epoch));
    // A restore during the call discards its response.
    (lock(&state).epoch == epoch).then_some(reply)
}

async fn read(
    state: &Mutex<StoreState>,
    changed: &Notify,
    name: &str,
    request: &Request<Incoming>,
) -> Option<Reply> {
    if !try_count_call(state, false) {
        return Some(reply(StatusCode::TOO_MANY_REQUESTS, "rate"));
    }
    let Some(after) = query_u64(request, "after") else {
        return Some(to_object_reply(state, name));
    };
    let wait = Duration::from_millis(query_u64(request, "wait_ms").unwrap_or(0));
    let until = tokio::time::Instant::now() + wait;
    let epoch = lock(state).epoch;
    loop {
        let mut notified = std::pin::pin!(changed.notified());
        notified.as_mut().enable();
        if lock(state).fault.outage || lock(state).epoch != epoch {
            return None;
        }
        if lock(state).content.objects.get(name).is_some_and(|object| object.0 > after) {
            return Some(to_object_reply(state, name));
        }
        let step = until.min(tokio::time::Instant::now() + RESTORE_POLL_INTERVAL);
        if tokio::time::timeout_at(step, notified).await.is_err() && step == until {
            return Some(reply(StatusCode::NOT_MODIFIED, ""));
        }
    }
}

fn try_count_call(state: &Mutex<StoreState>, is_write: bool) -> bool {
    let mut state = lock(state);
    let is_allowed = if is_write { state.writes.try_take() } else { state.reads.try_take() };
    match (is_allowed, is_write) {
        (false, _) => state.counts.limited += 1,
        (true, true) => state.counts.writes += 1,
        (true, false) => state.counts.reads += 1,
    }
    is_allowed
}

fn to_object_reply(state: &Mutex<StoreState>, name: &str) -> Reply {
    let state = lock(state);
    match state.content.objects.get(name) {
        Some((version, content)) => with_etag(reply(StatusCode::OK, content.clone()), *version),
        None => reply(StatusCode::NOT_FOUND, ""),
    }
}

fn with_etag(mut reply: Reply, version: u64) -> Reply {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        reply.headers_mut().insert(ETAG, tag);
    }
    reply
}

async fn write(
    state: &Mutex<StoreState>,
    changed: &Notify,
    name: &str,
    request: Request<Incoming>,
) -> Option<Reply> {
    if !try_count_call(state, true) {
        return Some(reply(StatusCode::TOO_MANY_REQUESTS, "rate"));
    }
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let expected = match (header(IF_MATCH), header(IF_NONE_MATCH)) {
        (Some(tag), _) => tag.trim_matches('"').parse().ok(),
        (None, Some("*")) => Some(0),
        _ => None,
    };
    let content = request.into_body().collect().await.ok()?.to_bytes();
    let mut state = lock(state);
    let found = state.content.objects.get(name).map_or(0, |object| object.0);
    if expected != Some(found) {
        return Some(with_etag(reply(StatusCode::PRECONDITION_FAILED, ""), found));
    }
    state.content.revision += 1;
    let version = state.content.revision;
    state.content.objects.insert(name.to_owned(), (version, content));
    changed.notify_waiters();
    if state.fault.lost_answers > 0 {
        state.fault.lost_answers -= 1;
        return None;
    }
    Some(with_etag(reply(StatusCode::OK, ""), version))
}
