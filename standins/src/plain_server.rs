//! A stand-in for a plain service. It counts how often it executes each order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Deserialize;

use crate::serve::{Reply, ReservedPort, ServerThread, reply, reply_json, serve_http};

/// Time that the service takes to process a call.
const PROCESSING_TIME: Duration = Duration::from_millis(5);

/// Number of executions of each order, by the order's name.
pub type OrderCounts = BTreeMap<String, u64>;

/// Faults that a test injects into the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainFault {
    /// The service executes each order, then closes the connection without a response.
    pub loses_answers: bool,
    /// Additional delay before each order is executed.
    pub delay: Duration,
    /// Status with which the service answers after it has executed an order, in place of 200.
    pub failed_with: Option<StatusCode>,
}

/// A running plain service with counters and fault injection.
#[derive(Debug)]
pub struct PlainServer {
    /// Number of executions of each order.
    pub counts: Arc<Mutex<OrderCounts>>,
    /// Number of calls received, whether they were executed or not.
    pub arrived: Arc<AtomicU64>,
    /// Faults that apply to calls from now on.
    pub fault: Arc<Mutex<PlainFault>>,
    /// The server thread.
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
        let (shared_counts, shared_fault, calls) = (counts.clone(), fault.clone(), arrived.clone());
        let server = spawn(shared_counts, shared_fault, calls, None);
        PlainServer { counts, arrived, fault, server }
    }

    /// Stops the service and reserves its port, which then refuses connections.
    #[must_use]
    pub fn stop_and_reserve_port(&mut self) -> ReservedPort {
        let reserved = ReservedPort::new(self.server.address);
        self.server.stop();
        reserved
    }

    /// Starts the service again on its previous port.
    pub fn restart(&mut self, reserved: ReservedPort) {
        let (counts, fault) = (self.counts.clone(), self.fault.clone());
        self.server = spawn(counts, fault, self.arrived.clone(), Some(reserved.address));
        // The port stays reserved until the server listens on it again.
        drop(reserved);
    }

    /// Returns how often an order was executed.
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
    tokio::time::sleep(PROCESSING_TIME + fault.delay).await;
    let Ok(order) = serde_json::from_slice::<OrderBody>(&body) else {
        return Some(reply(StatusCode::BAD_REQUEST, "no order"));
    };
    *counts.lock().ok()?.entry(order.order.clone()).or_default() += 1;
    if fault.loses_answers {
        return None;
    }
    if let Some(status) = fault.failed_with {
        return Some(reply(status, "the order was executed, its receipt could not be written"));
    }
    Some(reply_json(&serde_json::json!({"done": order.order})))
}
