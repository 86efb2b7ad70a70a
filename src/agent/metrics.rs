//! HTTP endpoints of an agent for operators: health, metrics and timeline.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, Request, StatusCode};
use prometheus::IntGauge;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::core::AgentCore;
use super::daemon::AgentShared;
use crate::connection::{ConnectionGroup, RequestBody};
use crate::metrics::{MetricsRegistry, MirroredCounter};
use crate::web::{WebResponse, accept_next, serve_connection, to_json_response, to_response};

#[derive(Debug)]
struct AgentCounters {
    started: MirroredCounter,
    done: MirroredCounter,
    failed: MirroredCounter,
    refused: MirroredCounter,
    cancelled: MirroredCounter,
    orphans: MirroredCounter,
    probes: MirroredCounter,
    cache_gaps: MirroredCounter,
    broken_invariants: MirroredCounter,
}

/// Metrics of an agent.
#[derive(Debug)]
pub(super) struct AgentMetrics {
    registry: MetricsRegistry,
    counters: AgentCounters,
    open_runs: IntGauge,
    leased_tokens: IntGauge,
    longest_iteration: IntGauge,
}

impl AgentMetrics {
    pub(super) fn new() -> Self {
        let registry = MetricsRegistry::default();
        let count =
            |name: &str, help: &str| registry.add_counter(&format!("shalelane_agent_{name}"), help);
        let counters = AgentCounters {
            started: count("started_total", "Runs given to the target"),
            done: count("done_total", "Whole answers"),
            failed: count("failed_total", "Runs that ended otherwise"),
            refused: count("refused_total", "Attempts refused, not run"),
            cancelled: count("cancelled_total", "Runs that nobody wanted any more"),
            orphans: count("strays_total", "Things the engine held for nobody"),
            probes: count("probes_total", "Probes answered"),
            cache_gaps: count("cache_gaps_total", "Gaps in the engine's cache events"),
            broken_invariants: count("broken_invariants_total", "Promises found broken"),
        };
        let gauge =
            |name: &str, help: &str| registry.add_gauge(&format!("shalelane_agent_{name}"), help);
        AgentMetrics {
            open_runs: gauge("open_runs", "Attempts that have not ended"),
            leased_tokens: gauge("leased_tokens", "Tokens of memory under lease"),
            longest_iteration: gauge(
                "longest_turn_us",
                "Longest turn of the loop, in microseconds",
            ),
            counters,
            registry,
        }
    }

    /// Updates the metrics from the core's counts.
    pub(super) fn update(&self, core: &AgentCore, longest_iteration: Duration) {
        let (counts, counters) = (core.counts(), &self.counters);
        counters.started.advance_to(counts.started);
        counters.done.advance_to(counts.done);
        counters.failed.advance_to(counts.failed);
        counters.refused.advance_to(counts.refused);
        counters.cancelled.advance_to(counts.cancelled);
        counters.orphans.advance_to(counts.orphans);
        counters.probes.advance_to(counts.probes);
        counters.cache_gaps.advance_to(core.cache_gaps());
        counters.broken_invariants.advance_to(core.broken_invariants());
        self.open_runs.set(core.open_runs() as i64);
        self.leased_tokens.set(core.leased_tokens() as i64);
        self.longest_iteration.set(longest_iteration.as_micros() as i64);
    }
}

/// Accepts connections until the task is aborted.
pub(super) async fn serve(shared: Rc<AgentShared>, listener: TcpListener) {
    let group = ConnectionGroup::new();
    loop {
        let stream = accept_next(&listener).await;
        let (shared, group) = (shared.clone(), group.clone());
        spawn_local(async move {
            let serve = async |request| handle(&shared, &request);
            serve_connection(stream, group, &shared.memory, serve).await;
        });
    }
}

fn handle(shared: &AgentShared, request: &Request<RequestBody>) -> WebResponse {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => to_response(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, "/metrics") => to_response(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            shared.metrics.registry.to_text(),
        ),
        (&Method::GET, "/timeline") => {
            let timeline = shared.timeline.borrow();
            let request_id = request.uri().query().and_then(|query| query.strip_prefix("request="));
            let records: Vec<_> = timeline.select(request_id.unwrap_or("")).collect();
            to_json_response(StatusCode::OK, &records)
        }
        _ => to_response(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
    }
}
