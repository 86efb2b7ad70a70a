//! Goodput under more load than the engines can take.

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

/// How long each load lasts.
const SPAN: Duration = Duration::from_secs(10);

/// Requests a second that two engines of the default make just finish.
const CAPACITY: f64 = 20.0;

/// Time limit of short prompts, in place of the example's.
const LIMIT_SECONDS: u64 = 4;

/// Share of the load that comes from one large account.
const LARGE_SHARE: f64 = 0.8;

const LARGE: &str = "quay-kiosks";
const SMALL: [&str; 3] = ["pier-app", "ticket-office", "school-tours"];

/// Figures of one load.
#[derive(Clone, Debug, Serialize)]
pub struct OverloadFigures {
    /// Load, as a multiple of the capacity.
    pub load: f64,
    /// Requests made.
    pub requests: usize,
    /// Whole answers a second.
    pub goodput: f64,
    /// Refused as not run.
    pub refused: usize,
    /// Failed otherwise: the time limit passed.
    pub failed: usize,
    /// Final answers later than the time limit, or none.
    pub late: usize,
    /// Median time to a refusal, in milliseconds.
    pub refusal_ms: f64,
    /// Share of the large account's requests that finished.
    pub large_finished: f64,
    /// Share of the small accounts' requests that finished.
    pub small_finished: f64,
}

/// Measures goodput at several loads.
///
/// # Panics
///
/// If the machine gives no thread.
#[must_use]
pub fn measure(seed: u64) -> Vec<OverloadFigures> {
    [0.5, 1.0, 1.5, 2.0, 3.0].into_iter().map(|load| run_load(load, seed)).collect()
}

fn run_load(load: f64, seed: u64) -> OverloadFigures {
    let spec = FleetSpec {
        engine: EngineSpec::default(),
        ..demo_fleet(&DemoSpec { engines: 2, seed, ..DemoSpec::default() })
    };
    let mut fleet = Fleet::start(&spec);
    let limit = format!("seconds = {LIMIT_SECONDS} ");
    let config = include_str!("../../examples/valdivia.toml").replacen("seconds = 20 ", &limit, 1);
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let outcomes = runtime.block_on(LocalSet::new().run_until(async {
        apply_config(&fleet, &config).await;
        wait_ready(&fleet, Duration::from_secs(10)).await;
        drive(&fleet, load, seed).await
    }));
    fleet.stop();
    to_figures(load, &outcomes)
}

async fn drive(fleet: &Fleet, load: f64, seed: u64) -> Vec<RequestOutcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let addresses = fleet.entries.iter().map(|entry| entry.callers).collect();
    let limit = Duration::from_secs(60);
    let caller = Rc::new(LoadCaller::new(addresses, "booking-app", "canal-8b", limit));
    let count = (SPAN.as_secs_f64() * CAPACITY * load) as u32;
    let zero = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..count {
        let planned = plan_request(SPAN * number / count, &mut rng);
        let caller = caller.clone();
        tasks.push(spawn_local(async move {
            tokio::time::sleep_until((zero + planned.at).into()).await;
            caller.call(planned, zero).await
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.extend(task.await);
    }
    outcomes
}

fn plan_request(at: Duration, rng: &mut StdRng) -> PlannedRequest {
    let is_large = rng.random_bool(LARGE_SHARE);
    let account = if is_large { LARGE } else { SMALL[rng.random_range(0..SMALL.len())] };
    let call = PlannedCall::Model {
        tokens: 4_000,
        answer: 16,
        family: rng.random(),
        stream: true,
        repeatable: true,
    };
    PlannedRequest { at, account: account.into(), call, seed: rng.random(), phase: 0 }
}

fn to_figures(load: f64, outcomes: &[RequestOutcome]) -> OverloadFigures {
    let count = |is_wanted: &dyn Fn(&RequestOutcome) -> bool| {
        outcomes.iter().filter(|outcome| is_wanted(outcome)).count()
    };
    let is_refused = |outcome: &RequestOutcome| matches!(&outcome.end, RequestEnd::Failed(_, verdict) if verdict == "not-run");
    let finished = count(&|outcome| outcome.end == RequestEnd::Finished);
    let refused = count(&is_refused);
    let late = Duration::from_secs(LIMIT_SECONDS) + Duration::from_millis(250);
    let mut refusals: Vec<_> =
        outcomes.iter().filter(|one| is_refused(one)).map(|one| one.total).collect();
    refusals.sort_unstable();
    let middle = refusals.get(refusals.len() / 2).copied().unwrap_or_default();
    let share = |is_large: bool| {
        let own = |one: &RequestOutcome| (one.planned.account == LARGE) == is_large;
        let done = count(&|one| own(one) && one.end == RequestEnd::Finished);
        done as f64 / count(&own).max(1) as f64
    };
    OverloadFigures {
        load,
        requests: outcomes.len(),
        goodput: finished as f64 / SPAN.as_secs_f64(),
        refused,
        failed: outcomes.len() - finished - refused,
        late: count(&|one| one.total > late || matches!(one.end, RequestEnd::Lost(_))),
        refusal_ms: middle.as_secs_f64() * 1e3,
        large_finished: share(true),
        small_finished: share(false),
    }
}

/// Writes figures for a reader.
#[must_use]
pub fn to_table(figures: &[OverloadFigures]) -> String {
    use std::fmt::Write;
    let mut text = String::from(
        "load  requests  goodput/s  refused  failed  late  refusal p50  large done  small done\n",
    );
    for one in figures {
        let _ = writeln!(
            text,
            "{:>4.1} {:>9} {:>10.1} {:>8} {:>7} {:>5} {:>9.0} ms {:>11.2} {:>11.2}",
            one.load,
            one.requests,
            one.goodput,
            one.refused,
            one.failed,
            one.late,
            one.refusal_ms,
            one.large_finished,
            one.small_finished
        );
    }
    text
}
