//! Measures goodput at loads below and above the capacity of the engines.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

use crate::demo::{DemoSpec, apply_config, demo_fleet, wait_ready};
use crate::engine_model::EngineSpec;
use crate::fleet::{Fleet, FleetSpec};
use crate::load::{LoadCaller, PlannedCall, PlannedRequest, RequestEnd, RequestOutcome};

/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(10);

/// Highest rate of requests per second that two engines with default settings sustain.
const CAPACITY_RATE: f64 = 20.0;

/// Time limit of short prompts in seconds. It replaces the one in the example configuration.
const TIME_LIMIT_SECONDS: u64 = 4;

/// Fraction of the requests that come from the large account.
const LARGE_ACCOUNT_FRACTION: f64 = 0.8;

const LARGE_ACCOUNT: &str = "quay-kiosks";
const SMALL_ACCOUNTS: [&str; 3] = ["pier-app", "ticket-office", "school-tours"];

/// Results of one load.
#[derive(Clone, Debug, Serialize)]
pub struct OverloadResult {
    /// Rate of requests as a multiple of the capacity.
    pub load: f64,
    /// Requests sent.
    pub requests: usize,
    /// Complete and correct answers per second.
    pub goodput: f64,
    /// Requests with the verdict `not-run`.
    pub refused: usize,
    /// Requests that ended otherwise without a correct answer, such as at the time limit.
    pub failed: usize,
    /// Requests that ended more than 250 ms after the time limit, or without a final answer.
    pub late: usize,
    /// Median time to a refusal, in milliseconds.
    pub refusal_ms: f64,
    /// Fraction of the large account's requests that finished.
    pub large_finished: f64,
    /// Fraction of the small accounts' requests that finished.
    pub small_finished: f64,
}

/// Measures goodput at several loads.
///
/// # Panics
///
/// If no thread or port is available, or the fleet does not become ready.
#[must_use]
pub fn measure(seed: u64) -> Vec<OverloadResult> {
    [0.5, 1.0, 1.5, 2.0, 3.0].into_iter().map(|load| run_load(load, seed)).collect()
}

fn run_load(load: f64, seed: u64) -> OverloadResult {
    let spec = FleetSpec {
        engine: EngineSpec::default(),
        ..demo_fleet(&DemoSpec { engines: 2, seed, ..DemoSpec::default() })
    };
    let mut fleet = Fleet::start(&spec);
    let time_limit = format!("seconds = {TIME_LIMIT_SECONDS} ");
    let config =
        include_str!("../../examples/valdivia.toml").replacen("seconds = 20 ", &time_limit, 1);
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let outcomes = runtime.block_on(LocalSet::new().run_until(async {
        apply_config(&fleet, &config).await;
        wait_ready(&fleet, Duration::from_secs(10)).await;
        send_load(&fleet, load, seed).await
    }));
    fleet.stop();
    to_result(load, &outcomes)
}

async fn send_load(fleet: &Fleet, load: f64, seed: u64) -> Vec<RequestOutcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let addresses = fleet.entries.iter().map(|entry| entry.caller_address).collect();
    let timeout = Duration::from_secs(60);
    let caller = Rc::new(LoadCaller::new(addresses, "booking-app", "canal-8b", timeout));
    let count = (LOAD_DURATION.as_secs_f64() * CAPACITY_RATE * load) as u32;
    let load_start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..count {
        let planned = plan_request(LOAD_DURATION * number / count, &mut rng);
        let caller = caller.clone();
        tasks.push(spawn_local(async move {
            tokio::time::sleep_until((load_start + planned.at).into()).await;
            caller.call(planned, load_start).await
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.extend(task.await);
    }
    outcomes
}

fn plan_request(at: Duration, rng: &mut StdRng) -> PlannedRequest {
    let is_large = rng.random_bool(LARGE_ACCOUNT_FRACTION);
    let account = if is_large {
        LARGE_ACCOUNT
    } else {
        SMALL_ACCOUNTS[rng.random_range(0..SMALL_ACCOUNTS.len())]
    };
    let call = PlannedCall::Model {
        prompt_tokens: 4_000,
        answer_tokens: 16,
        family: rng.random(),
        is_stream: true,
        is_repeatable: true,
    };
    PlannedRequest { at, account: account.into(), call, seed: rng.random(), phase: 0 }
}

fn to_result(load: f64, outcomes: &[RequestOutcome]) -> OverloadResult {
    let count = |matches_outcome: &dyn Fn(&RequestOutcome) -> bool| {
        outcomes.iter().filter(|outcome| matches_outcome(outcome)).count()
    };
    let is_refused = |outcome: &RequestOutcome| matches!(&outcome.end, RequestEnd::Failed(_, verdict) if verdict == "not-run");
    let finished = count(&|outcome| outcome.end == RequestEnd::Finished);
    let refused = count(&is_refused);
    let late_after = Duration::from_secs(TIME_LIMIT_SECONDS) + Duration::from_millis(250);
    let mut refusal_times: Vec<_> = outcomes
        .iter()
        .filter(|outcome| is_refused(outcome))
        .map(|outcome| outcome.duration)
        .collect();
    refusal_times.sort_unstable();
    let median = refusal_times.get(refusal_times.len() / 2).copied().unwrap_or_default();
    let finished_fraction = |is_large: bool| {
        let is_of_account =
            |outcome: &RequestOutcome| (outcome.planned.account == LARGE_ACCOUNT) == is_large;
        let finished_count =
            count(&|outcome| is_of_account(outcome) && outcome.end == RequestEnd::Finished);
        finished_count as f64 / count(&is_of_account).max(1) as f64
    };
    OverloadResult {
        load,
        requests: outcomes.len(),
        goodput: finished as f64 / LOAD_DURATION.as_secs_f64(),
        refused,
        failed: outcomes.len() - finished - refused,
        late: count(&|outcome| {
            outcome.duration > late_after || matches!(outcome.end, RequestEnd::Lost(_))
        }),
        refusal_ms: median.as_secs_f64() * 1e3,
        large_finished: finished_fraction(true),
        small_finished: finished_fraction(false),
    }
}

/// Formats the results as a text table.
#[must_use]
pub fn to_table(results: &[OverloadResult]) -> String {
    use std::fmt::Write;
    let mut text = String::from(
        "load  requests  goodput/s  refused  failed  late  refusal p50  large done  small done\n",
    );
    for result in results {
        let _ = writeln!(
            text,
            "{:>4.1} {:>9} {:>10.1} {:>8} {:>7} {:>5} {:>9.0} ms {:>11.2} {:>11.2}",
            result.load,
            result.requests,
            result.goodput,
            result.refused,
            result.failed,
            result.late,
            result.refusal_ms,
            result.large_finished,
            result.small_finished
        );
    }
    text
}
