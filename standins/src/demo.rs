//! The demo: a whole fleet under a bounded mixed load.

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

/// Fraction of the requests that belong to the quiet phase, which has no long prompts.
const QUIET_FRACTION: f64 = 0.3;

/// One of this number of requests has a prompt of more than 100,000 tokens.
const LONG_PROMPT_PERIOD: u64 = 50;

/// One of this number of requests is an order to the plain service.
const ORDER_PERIOD: u64 = 12;

/// Default time from one request to the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// Time within which engines release all memory after the load.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Parameters of the demo.
#[derive(Clone, Debug)]
pub struct DemoSpec {
    /// Seed of the load and of the engines.
    pub seed: u64,
    /// Number of requests.
    pub requests: u64,
    /// Divisor of the engines' times.
    pub time_scale: f64,
    /// Number of engines.
    pub engines: usize,
    /// Time from one request to the next.
    pub interval: Duration,
    /// Whether the progress bar is hidden.
    pub hides_progress: bool,
}

impl Default for DemoSpec {
    fn default() -> Self {
        DemoSpec {
            seed: 1,
            requests: 300,
            time_scale: 4.0,
            engines: 8,
            interval: REQUEST_INTERVAL,
            hides_progress: false,
        }
    }
}

/// Returns the demo's fleet, a small one for the configuration `examples/valdivia.toml`.
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

/// Plans the demo's requests from its seed.
#[must_use]
pub fn plan(spec: &DemoSpec) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(spec.seed);
    let quiet_count = (spec.requests as f64 * QUIET_FRACTION) as u64;
    let mut planned = Vec::new();
    for number in 0..spec.requests {
        let phase = u8::from(number >= quiet_count);
        let call = plan_call(number, phase, spec, &mut rng);
        let account = to_account(&call, &mut rng);
        let at = spec.interval * number as u32;
        planned.push(PlannedRequest { at, account, call, seed: rng.random(), phase });
    }
    planned
}

fn plan_call(number: u64, phase: u8, spec: &DemoSpec, rng: &mut StdRng) -> PlannedCall {
    if number % ORDER_PERIOD == 5 {
        let path = if rng.random_bool(0.5) { "/confirm" } else { "/release" };
        return PlannedCall::Order {
            path: path.into(),
            order: format!("order-{}-{number}", spec.seed),
        };
    }
    // All long prompts belong to the mixed phase. They are one in fifty of all requests, and the
    // first of them is the largest.
    let quiet_count = (spec.requests as f64 * QUIET_FRACTION) as u64;
    let long_count = (spec.requests / LONG_PROMPT_PERIOD).max(1);
    let long_period = ((spec.requests - quiet_count) / long_count).max(1);
    let is_long = phase == 1
        && (number - quiet_count) % long_period == 2
        && (number - quiet_count) / long_period < long_count;
    let length_draw: f64 = rng.random();
    let prompt_tokens = match length_draw {
        _ if is_long && number < quiet_count + long_period => 1_000_000,
        _ if is_long => log_uniform(110_000, 900_000, rng),
        length_draw if length_draw < 0.7 => log_uniform(1_000, 4_000, rng),
        length_draw if length_draw < 0.92 => log_uniform(4_000, 16_000, rng),
        _ => log_uniform(16_000, 60_000, rng),
    };
    PlannedCall::Model {
        prompt_tokens,
        answer_tokens: rng.random_range(16..64),
        family: rng.random_range(0..6),
        is_stream: rng.random_bool(0.8),
        is_repeatable: rng.random_bool(0.9),
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
        PlannedCall::Model { prompt_tokens, .. } if *prompt_tokens > 60_000 => &OFFICE,
        PlannedCall::Model { prompt_tokens, .. } if *prompt_tokens > 8_000 => &STAFF,
        _ => &KIOSKS,
    };
    names[rng.random_range(0..names.len())].to_owned()
}

/// Runs the demo on its own fleet and returns its report.
///
/// # Panics
///
/// If no thread or port is available.
#[must_use]
pub fn run(spec: &DemoSpec) -> LoadReport {
    run_fleet(spec, Fleet::start(&demo_fleet(spec))).0
}

/// Runs the demo on a fleet and returns its report and the outcome of each request.
///
/// # Panics
///
/// If no thread is available, or the fleet does not become ready.
#[must_use]
pub fn run_fleet(spec: &DemoSpec, mut fleet: Fleet) -> (LoadReport, Vec<RequestOutcome>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let config = include_str!("../../examples/valdivia.toml");
    let outcomes = runtime.block_on(LocalSet::new().run_until(async {
        apply_config(&fleet, config).await;
        wait_ready(&fleet, Duration::from_secs(10)).await;
        send_load(&fleet, spec).await
    }));
    let start = Instant::now();
    while fleet.held_tokens() > 0 && start.elapsed() < RELEASE_TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
    let orders = fleet.plain.counts.lock().map(|counts| counts.clone()).unwrap_or_default();
    let mut report = LoadReport::from_outcomes(&outcomes, &orders);
    report.leaked_tokens = fleet.held_tokens();
    report.max_loop_iteration_ms = fleet.stop().as_secs_f64() * 1e3;
    (report, outcomes)
}

async fn send_load(fleet: &Fleet, spec: &DemoSpec) -> Vec<RequestOutcome> {
    let addresses = fleet.entries.iter().map(|entry| entry.caller_address).collect();
    let timeout = Duration::from_secs(120);
    let caller = Rc::new(LoadCaller::new(addresses, "booking-app", "canal-8b", timeout));
    let progress = new_progress(spec);
    let load_start = Instant::now();
    let mut tasks = Vec::new();
    for planned in plan(spec) {
        let (caller, progress) = (caller.clone(), progress.clone());
        tasks.push(tokio::task::spawn_local(async move {
            tokio::time::sleep_until((load_start + planned.at).into()).await;
            let outcome = caller.call(planned, load_start).await;
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
    if spec.hides_progress || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let progress = ProgressBar::new(spec.requests);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {elapsed}");
    progress.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Applies a configuration through the admin API of the first entry.
///
/// # Panics
///
/// If the entry does not answer or refuses the configuration.
pub async fn apply_config(fleet: &Fleet, text: &str) {
    let uri = format!("http://{}/admin/v1/config", fleet.entries[0].admin_address);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::put(uri)
        .header("authorization", format!("Bearer {ADMIN_KEY}"))
        .header("if-match", "\"0\"")
        .body(Full::new(Bytes::copy_from_slice(text.as_bytes())))
        .expect("a valid request");
    let response = client.request(request).await.expect("a response");
    let status = response.status();
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    assert!(status.is_success(), "{status}: {}", String::from_utf8_lossy(&body));
}

/// Waits until every entry serves callers and knows all targets.
///
/// # Panics
///
/// If this takes longer than `timeout`.
pub async fn wait_ready(fleet: &Fleet, timeout: Duration) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let start = Instant::now();
    let expected_metric = format!("shalelane_entry_known_targets {}", fleet.agents.len());
    for entry in &fleet.entries {
        loop {
            assert!(start.elapsed() < timeout, "entry not ready within {timeout:?}");
            let get = |path: &str| {
                let uri = format!("http://{}{path}", entry.caller_address).parse().expect("a uri");
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
            if ready && text.contains(&expected_metric) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
