//! The main job: a whole fleet under a bounded mixed load.

use std::io::IsTerminal;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use indicatif::{ProgressBar, ProgressStyle};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::agent::AgentTuning;
use shalelane::entry::EntryTuning;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::engine_model::EngineSpec;
use crate::fleet::{ADMIN_KEY, Fleet, FleetSpec};
use crate::load::{LoadCaller, PlannedCall, PlannedRequest, RequestOutcome};
use crate::report::LoadReport;

/// Requests of the quiet phase, as a share of all.
const QUIET_SHARE: f64 = 0.3;

/// One request in so many has a prompt of more than a hundred thousand tokens.
const LONG_EVERY: u64 = 50;

/// One request in so many is an order to the plain service.
const ORDER_EVERY: u64 = 12;

/// Time from one request to the next.
const STEP: Duration = Duration::from_millis(80);

/// How long the engines are given to let everything go.
const SETTLE: Duration = Duration::from_secs(5);

/// What the demo is asked to do.
#[derive(Clone, Debug)]
pub struct DemoSpec {
    /// Seed of the load and the stand-ins.
    pub seed: u64,
    /// Requests to make.
    pub requests: u64,
    /// Divides the times of the engines.
    pub time_scale: f64,
    /// Engines.
    pub engines: usize,
    /// Time from one request to the next.
    pub step: Duration,
    /// Shows no progress.
    pub quiet: bool,
}

impl Default for DemoSpec {
    fn default() -> Self {
        DemoSpec { seed: 1, requests: 300, time_scale: 4.0, engines: 8, step: STEP, quiet: false }
    }
}

/// The fleet of the demo: Valdivia, small.
#[must_use]
pub fn demo_fleet(spec: &DemoSpec) -> FleetSpec {
    FleetSpec {
        entries: 1,
        engines: spec.engines,
        engine: EngineSpec { time_scale: spec.time_scale, ..EngineSpec::default() },
        service: "canal-assistant".into(),
        model: "canal-8b".into(),
        plain: "booking-app".into(),
        failure_domains: ["muelle-norte", "muelle-sur", "oficina-puerto"].map(String::from).into(),
        host_lag: Duration::from_millis(200),
        seed: spec.seed,
        policy: EntryTuning::default().policy,
        piece_tokens: AgentTuning::default().piece_tokens,
        prefill_tokens: AgentTuning::default().prefill_tokens,
    }
}

/// The requests of the demo.
#[must_use]
pub fn plan(spec: &DemoSpec) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(spec.seed);
    let quiet = (spec.requests as f64 * QUIET_SHARE) as u64;
    let mut planned = Vec::new();
    for number in 0..spec.requests {
        let phase = u8::from(number >= quiet);
        let call = plan_call(number, phase, spec, &mut rng);
        let account = to_account(&call, &mut rng);
        let at = spec.step * number as u32;
        planned.push(PlannedRequest { at, account, call, seed: rng.random(), phase });
    }
    planned
}

fn plan_call(number: u64, phase: u8, spec: &DemoSpec, rng: &mut StdRng) -> PlannedCall {
    if number % ORDER_EVERY == 5 {
        let path = if rng.random_bool(0.5) { "/confirm" } else { "/release" };
        return PlannedCall::Order {
            path: path.into(),
            order: format!("order-{}-{number}", spec.seed),
        };
    }
    // All long prompts of the load come in its second part, one in fifty over
    // the whole; the first of them is the largest.
    let quiet = (spec.requests as f64 * QUIET_SHARE) as u64;
    let longs = (spec.requests / LONG_EVERY).max(1);
    let every = ((spec.requests - quiet) / longs).max(1);
    let is_long = phase == 1 && (number - quiet) % every == 2 && (number - quiet) / every < longs;
    let kind: f64 = rng.random();
    let tokens = match kind {
        _ if is_long && number < quiet + every => 1_000_000,
        _ if is_long => log_uniform(110_000, 900_000, rng),
        kind if kind < 0.7 => log_uniform(1_000, 4_000, rng),
        kind if kind < 0.92 => log_uniform(4_000, 16_000, rng),
        _ => log_uniform(16_000, 60_000, rng),
    };
    PlannedCall::Model {
        tokens,
        answer: rng.random_range(16..64),
        family: rng.random_range(0..6),
        stream: rng.random_bool(0.8),
        repeatable: rng.random_bool(0.9),
    }
}

fn log_uniform(from: u64, to: u64, rng: &mut StdRng) -> u64 {
    let exponent = rng.random_range((from as f64).ln()..(to as f64).ln());
    exponent.exp() as u64
}

fn to_account(call: &PlannedCall, rng: &mut StdRng) -> String {
    const KIOSKS: [&str; 4] = ["quay-kiosks", "pier-app", "ticket-office", "school-tours"];
    const STAFF: [&str; 3] = ["dock-staff", "workshop", "fleet-log"];
    const OFFICE: [&str; 3] = ["harbour-office", "permit-desk", "river-council"];
    let names: &[&str] = match call {
        PlannedCall::Model { tokens, .. } if *tokens > 60_000 => &OFFICE,
        PlannedCall::Model { tokens, .. } if *tokens > 8_000 => &STAFF,
        _ => &KIOSKS,
    };
    names[rng.random_range(0..names.len())].to_owned()
}

/// Runs the demo and returns its figures.
///
/// # Panics
///
/// If the machine gives no thread or port.
#[must_use]
pub fn run(spec: &DemoSpec) -> LoadReport {
    run_fleet(spec, Fleet::start(&demo_fleet(spec))).0
}

/// Runs the demo on a fleet. Returns its figures, and what came of each request.
///
/// # Panics
///
/// If the machine gives no thread.
#[must_use]
pub fn run_fleet(spec: &DemoSpec, mut fleet: Fleet) -> (LoadReport, Vec<RequestOutcome>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let config = include_str!("../../examples/valdivia.toml");
    let outcomes = runtime.block_on(LocalSet::new().run_until(async {
        apply_config(&fleet, config).await;
        wait_ready(&fleet, Duration::from_secs(10)).await;
        drive(&fleet, spec).await
    }));
    let start = Instant::now();
    while fleet.held_tokens() > 0 && start.elapsed() < SETTLE {
        std::thread::sleep(Duration::from_millis(20));
    }
    let orders = fleet.plain.counts.lock().map(|counts| counts.clone()).unwrap_or_default();
    let mut report = LoadReport::from_outcomes(&outcomes, &orders);
    report.leaked_tokens = fleet.held_tokens();
    report.loop_turn_max_ms = fleet.stop().as_secs_f64() * 1e3;
    (report, outcomes)
}

async fn drive(fleet: &Fleet, spec: &DemoSpec) -> Vec<RequestOutcome> {
    let addresses = fleet.entries.iter().map(|entry| entry.callers).collect();
    let limit = Duration::from_secs(120);
    let caller = Rc::new(LoadCaller::new(addresses, "booking-app", "canal-8b", limit));
    let progress = new_progress(spec);
    let zero = Instant::now();
    let mut tasks = Vec::new();
    for planned in plan(spec) {
        let (caller, progress) = (caller.clone(), progress.clone());
        tasks.push(tokio::task::spawn_local(async move {
            tokio::time::sleep_until((zero + planned.at).into()).await;
            let outcome = caller.call(planned, zero).await;
            progress.inc(1);
            outcome
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.extend(task.await);
    }
    progress.finish_and_clear();
    outcomes
}

fn new_progress(spec: &DemoSpec) -> ProgressBar {
    if spec.quiet || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let progress = ProgressBar::new(spec.requests);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {elapsed}");
    progress.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Makes a configuration the accepted one, by the administration API of the
/// first entry.
///
/// # Panics
///
/// If the entry refuses it.
pub async fn apply_config(fleet: &Fleet, text: &str) {
    let uri = format!("http://{}/admin/v1/config", fleet.entries[0].admin_address);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::put(uri)
        .header("authorization", format!("Bearer {ADMIN_KEY}"))
        .header("if-match", "\"0\"")
        .body(Full::new(Bytes::copy_from_slice(text.as_bytes())))
        .expect("a well-formed request");
    let response = client.request(request).await.expect("an answer");
    let status = response.status();
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    assert!(status.is_success(), "{status}: {}", String::from_utf8_lossy(&body));
}

/// Waits until every entry serves callers and knows all targets.
///
/// # Panics
///
/// If that takes longer than `limit`.
pub async fn wait_ready(fleet: &Fleet, limit: Duration) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let start = Instant::now();
    let wanted = format!("shalelane_entry_known_targets {}", fleet.agents.len());
    for entry in &fleet.entries {
        loop {
            assert!(start.elapsed() < limit, "an entry did not get ready");
            let get = |path: &str| {
                let uri = format!("http://{}{path}", entry.callers).parse().expect("a uri");
                client.get(uri)
            };
            let ready = get("/readyz").await.is_ok_and(|response| response.status().is_success());
            let metrics = match get("/metrics").await {
                Ok(response) => {
                    response.into_body().collect().await.map(http_body_util::Collected::to_bytes)
                }
                Err(_) => Ok(Bytes::new()),
            };
            let text = String::from_utf8_lossy(&metrics.unwrap_or_default()).into_owned();
            if ready && text.contains(&wanted) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
