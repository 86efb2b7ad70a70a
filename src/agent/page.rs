//! Metrics, health and events of an agent, for operators.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use prometheus::IntGauge;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::core::AgentCore;
use super::daemon::AgentShared;
use crate::metrics::{CountMirror, MetricsPage};
use crate::web::{Answer, accept_next, answer, answer_json, serve_connection};

#[derive(Debug)]
struct AgentCounters {
    started: CountMirror,
    done: CountMirror,
    failed: CountMirror,
    refused: CountMirror,
    cancelled: CountMirror,
    strays: CountMirror,
    probes: CountMirror,
    gaps: CountMirror,
    broken: CountMirror,
}

/// The page that an agent shows.
#[derive(Debug)]
pub(super) struct AgentPage {
    page: MetricsPage,
    counters: AgentCounters,
    open: IntGauge,
    leased: IntGauge,
    longest_turn: IntGauge,
}

impl AgentPage {
    pub(super) fn new() -> Self {
        let page = MetricsPage::default();
        let count =
            |name: &str, help: &str| page.add_count(&format!("shalelane_agent_{name}"), help);
        let counters = AgentCounters {
            started: count("started_total", "Runs given to the target"),
            done: count("done_total", "Whole answers"),
            failed: count("failed_total", "Runs that ended otherwise"),
            refused: count("refused_total", "Attempts refused, not run"),
            cancelled: count("cancelled_total", "Runs that nobody wanted any more"),
            strays: count("strays_total", "Things the engine held for nobody"),
            probes: count("probes_total", "Probes answered"),
            gaps: count("cache_gaps_total", "Gaps in the engine's cache events"),
            broken: count("broken_invariants_total", "Promises found broken"),
        };
        let gauge =
            |name: &str, help: &str| page.add_gauge(&format!("shalelane_agent_{name}"), help);
        AgentPage {
            open: gauge("open_runs", "Attempts that have not ended"),
            leased: gauge("leased_tokens", "Tokens of memory under lease"),
            longest_turn: gauge("longest_turn_us", "Longest turn of the loop, in microseconds"),
            counters,
            page,
        }
    }

    /// Takes over what the core counts.
    pub(super) fn follow(&self, core: &AgentCore, longest: Duration) {
        let (counts, counters) = (core.counts(), &self.counters);
        counters.started.follow(counts.started);
        counters.done.follow(counts.done);
        counters.failed.follow(counts.failed);
        counters.refused.follow(counts.refused);
        counters.cancelled.follow(counts.cancelled);
        counters.strays.follow(counts.strays);
        counters.probes.follow(counts.probes);
        counters.gaps.follow(core.cache_gaps());
        counters.broken.follow(core.broken_invariants());
        self.open.set(core.open_runs() as i64);
        self.leased.set(core.leased_tokens() as i64);
        self.longest_turn.set(longest.as_micros() as i64);
    }
}

/// Accepts operators until the task is ended.
pub(super) async fn serve(shared: Rc<AgentShared>, listener: TcpListener) {
    loop {
        let stream = accept_next(&listener).await;
        let shared = shared.clone();
        spawn_local(async move {
            serve_connection(stream, async |request| handle(&shared, &request)).await;
        });
    }
}

fn handle(shared: &AgentShared, request: &Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => answer(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, "/metrics") => {
            answer(StatusCode::OK, "text/plain; version=0.0.4", shared.page.page.to_text())
        }
        (&Method::GET, "/timeline") => {
            let line = shared.timeline.borrow();
            let wanted = request.uri().query().and_then(|query| query.strip_prefix("request="));
            let records: Vec<_> = line.select(wanted.unwrap_or("")).collect();
            answer_json(StatusCode::OK, &records)
        }
        _ => answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
    }
}
