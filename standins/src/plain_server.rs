//! A plain service that counts how often it ran each order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Deserialize;

use crate::serve::{HeldPort, Reply, ServerThread, reply, reply_json, serve_http};

/// Time that a call takes.
const WORK: Duration = Duration::from_millis(5);

/// How often each order was run.
pub type OrderCounts = BTreeMap<String, u64>;

/// What a test does to the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainFault {
    /// Calls run, and their answers are lost.
    pub loses_answers: bool,
    /// Calls run only after this time.
    pub delay: Duration,
}

/// The service, and what a test may do to it.
#[derive(Debug)]
pub struct PlainServer {
    /// How often each order was run.
    pub counts: Arc<Mutex<OrderCounts>>,
    /// Calls that have arrived, whether they have run or not.
    pub arrived: Arc<AtomicU64>,
    /// Faults in force.
    pub fault: Arc<Mutex<PlainFault>>,
    /// Its thread.
    pub server: ServerThread,
}

#[derive(Deserialize)]
struct OrderBody {
    order: String,
}

impl PlainServer {
    /// Starts the service.
    #[must_use]
    pub fn start() -> Self {
        let counts = Arc::new(Mutex::new(OrderCounts::new()));
        let fault = Arc::new(Mutex::new(PlainFault::default()));
        let arrived = Arc::new(AtomicU64::new(0));
        let (inner, faults, calls) = (counts.clone(), fault.clone(), arrived.clone());
        let server = spawn(inner, faults, calls, None);
        PlainServer { counts, arrived, fault, server }
    }

    /// Stops the service; its port refuses connections.
    #[must_use]
    pub fn refuse(&mut self) -> HeldPort {
        let held = HeldPort::new(self.server.address);
        self.server.stop();
        held
    }

    /// Starts the service again, on the port that it had.
    pub fn restart(&mut self, held: HeldPort) {
        let (counts, fault) = (self.counts.clone(), self.fault.clone());
        self.server = spawn(counts, fault, self.arrived.clone(), Some(held.address));
        // Held until the server listens again.
        drop(held);
    }

    /// How often an order was run.
    #[must_use]
    pub fn times_run(&self, order: &str) -> u64 {
        self.counts.lock().map_or(0, |counts| counts.get(order).copied().unwrap_or(0))
    }
}

fn spawn(
    counts: Arc<Mutex<OrderCounts>>,
    fault: Arc<Mutex<PlainFault>>,
    calls: Arc<AtomicU64>,
    address: Option<SocketAddr>,
) -> ServerThread {
    ServerThread::spawn("plain", address, move |listener| {
        serve_http(listener, move |request| {
            calls.fetch_add(1, Ordering::Relaxed);
            handle(counts.clone(), fault.clone(), request)
        })
    })
}

async fn handle(
    counts: Arc<Mutex<OrderCounts>>,
    fault: Arc<Mutex<PlainFault>>,
    request: Request<Incoming>,
) -> Option<Reply> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let fault = fault.lock().map(|fault| *fault).unwrap_or_default();
    tokio::time::sleep(WORK + fault.delay).await;
    let Ok(order) = serde_json::from_slice::<OrderBody>(&body) else {
        return Some(reply(StatusCode::BAD_REQUEST, "no order"));
    };
    *counts.lock().ok()?.entry(order.order.clone()).or_default() += 1;
    if fault.loses_answers {
        return None;
    }
    Some(reply_json(&serde_json::json!({"done": order.order})))
}
