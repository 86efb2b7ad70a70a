//! The platform's store: objects with versions, conditional updates, watches,
//! rate limits and outages.

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

/// What a test does to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFault {
    /// No call is answered.
    pub outage: bool,
    /// Answers to so many writes are lost after they took effect.
    pub lost_answers: u32,
    /// Time that each call takes.
    pub delay: Duration,
}

/// Calls that the store has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreCounts {
    /// Reads, a waiting watch counting as one.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls over the rate.
    pub limited: u64,
}

#[derive(Debug)]
struct RateBucket {
    rate: f64,
    credit: f64,
    filled: Instant,
}

impl RateBucket {
    fn new(rate: f64) -> Self {
        RateBucket { rate, credit: rate, filled: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let earned = self.filled.elapsed().as_secs_f64() * self.rate;
        self.credit = (self.credit + earned).min(self.rate);
        self.filled = Instant::now();
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// What a store holds; a copy of it is what it may come back from.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
}

#[derive(Debug)]
struct StoreState {
    /// Times that it came back from a copy.
    epoch: u64,
    content: StoreCopy,
    fault: StoreFault,
    counts: StoreCounts,
    reads: RateBucket,
    writes: RateBucket,
}

/// The store, and what a test may do to it.
#[derive(Debug)]
pub struct StoreServer {
    state: Arc<Mutex<StoreState>>,
    /// Its thread.
    pub server: ServerThread,
}

/// How often a waiting read looks whether the store has come back from a copy.
const LOOK_STEP: Duration = Duration::from_millis(50);

/// Reads a second.
const READ_RATE: f64 = 2_000.0;

/// Writes a second.
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
            content: StoreCopy::default(),
            fault: StoreFault::default(),
            counts: StoreCounts::default(),
            reads: RateBucket::new(READ_RATE),
            writes: RateBucket::new(WRITE_RATE),
        }));
        let inner = state.clone();
        let server = ServerThread::spawn("store", None, move |listener| {
            let changed = std::rc::Rc::new(Notify::new());
            serve_http(listener, move |request| handle(inner.clone(), changed.clone(), request))
        });
        StoreServer { state, server }
    }

    /// Puts faults in force.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }

    /// Calls seen so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        lock(&self.state).counts
    }

    /// What it holds now.
    #[must_use]
    pub fn to_copy(&self) -> StoreCopy {
        lock(&self.state).content.clone()
    }

    /// Comes back from a copy: what was written since is gone, and waiting reads are cut.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = lock(&self.state);
        state.epoch += 1;
        state.content = copy;
    }

    /// Overwrites an object, as a writer of another version would.
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
    // An answer that was under way while the store came back is cut.
    (lock(&state).epoch == epoch).then_some(reply)
}

async fn read(
    state: &Mutex<StoreState>,
    changed: &Notify,
    name: &str,
    request: &Request<Incoming>,
) -> Option<Reply> {
    if !allow(state, false) {
        return Some(reply(StatusCode::TOO_MANY_REQUESTS, "rate"));
    }
    let Some(after) = query_u64(request, "after") else {
        return Some(show(state, name));
    };
    let wait = Duration::from_millis(query_u64(request, "wait_ms").unwrap_or(0));
    let until = tokio::time::Instant::now() + wait;
    let epoch = lock(state).epoch;
    loop {
        let mut notice = std::pin::pin!(changed.notified());
        notice.as_mut().enable();
        if lock(state).fault.outage || lock(state).epoch != epoch {
            return None;
        }
        if lock(state).content.objects.get(name).is_some_and(|object| object.0 > after) {
            return Some(show(state, name));
        }
        let step = until.min(tokio::time::Instant::now() + LOOK_STEP);
        if tokio::time::timeout_at(step, notice).await.is_err() && step == until {
            return Some(reply(StatusCode::NOT_MODIFIED, ""));
        }
    }
}

fn allow(state: &Mutex<StoreState>, is_write: bool) -> bool {
    let mut state = lock(state);
    let is_allowed = if is_write { state.writes.take() } else { state.reads.take() };
    match (is_allowed, is_write) {
        (false, _) => state.counts.limited += 1,
        (true, true) => state.counts.writes += 1,
        (true, false) => state.counts.reads += 1,
    }
    is_allowed
}

fn show(state: &Mutex<StoreState>, name: &str) -> Reply {
    let state = lock(state);
    match state.content.objects.get(name) {
        Some((version, content)) => with_version(reply(StatusCode::OK, content.clone()), *version),
        None => reply(StatusCode::NOT_FOUND, ""),
    }
}

fn with_version(mut reply: Reply, version: u64) -> Reply {
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
    if !allow(state, true) {
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
        return Some(with_version(reply(StatusCode::PRECONDITION_FAILED, ""), found));
    }
    state.content.revision += 1;
    let version = state.content.revision;
    state.content.objects.insert(name.to_owned(), (version, content));
    changed.notify_waiters();
    if state.fault.lost_answers > 0 {
        state.fault.lost_answers -= 1;
        return None;
    }
    Some(with_version(reply(StatusCode::OK, ""), version))
}
