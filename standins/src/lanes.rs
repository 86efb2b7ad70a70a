//! Measures long prompts beside short ones under several sizes of the agents' prefill pieces.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

use crate::demo::{DemoSpec, apply_config, demo_fleet, wait_ready};
use crate::engine_model::EngineSpec;
use crate::fleet::{Fleet, FleetSpec};
use crate::load::{LoadCaller, PlannedCall, PlannedRequest, RequestOutcome};
use crate::report::{MAX_SHORT_TOKENS, short_prompt_ttfts, to_latency_summary};

/// Duration of each phase of the load.
const PHASE_DURATION: Duration = Duration::from_secs(5);

/// Short requests per second to the two engines together.
const SHORT_PROMPT_RATE: u32 = 8;

/// Length of a long prompt in tokens. The mixed phase has two long prompts for each engine.
const LONG_PROMPT_TOKENS: u64 = 120_000;

/// Results of one setting.
#[derive(Clone, Debug, Serialize)]
pub struct LaneResult {
    /// Name of the setting.
    pub name: &'static str,
    /// 95th percentile of short prompts' time to first token without long prompts, in milliseconds.
    pub quiet_p95: f64,
    /// 95th percentile of short prompts' time to first token beside long prompts, in milliseconds.
    pub mixed_p95: f64,
    /// Ratio of `mixed_p95` to `quiet_p95`.
    pub slowdown: f64,
    /// Duration of a single long request on an idle fleet, in milliseconds.
    pub long_alone: f64,
    /// Ratio of the longest duration of a long request beside short ones to `long_alone`.
    pub long_slowdown: f64,
}

struct LaneSetting {
    name: &'static str,
    piece_tokens: u64,
    prefill_tokens: u64,
}

/// Measures each setting under the same load.
#[must_use]
pub fn compare() -> Vec<LaneResult> {
    const UNLIMITED: u64 = 10_000_000;
    let settings = [
        LaneSetting { name: "pieces of 2,048", piece_tokens: 2_048, prefill_tokens: 4_096 },
        LaneSetting { name: "pieces of 8,192", piece_tokens: 8_192, prefill_tokens: 16_384 },
        LaneSetting { name: "whole prompts", piece_tokens: UNLIMITED, prefill_tokens: UNLIMITED },
    ];
    settings.iter().map(run_setting).inspect(|result| eprintln!("{result:?}")).collect()
}

fn run_setting(setting: &LaneSetting) -> LaneResult {
    let spec = FleetSpec {
        engine: EngineSpec::default(),
        piece_tokens: setting.piece_tokens,
        prefill_tokens: setting.prefill_tokens,
        ..demo_fleet(&DemoSpec { engines: 2, ..DemoSpec::default() })
    };
    let mut fleet = Fleet::start(&spec);
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let results = runtime.block_on(LocalSet::new().run_until(async {
        apply_config(&fleet, include_str!("../../examples/valdivia.toml")).await;
        wait_ready(&fleet, Duration::from_secs(10)).await;
        measure(&fleet, setting.name).await
    }));
    fleet.stop();
    results
}

async fn measure(fleet: &Fleet, name: &'static str) -> LaneResult {
    let alone = run_phase(fleet, 0, 1, 1).await;
    let quiet = run_phase(fleet, SHORT_PROMPT_RATE, 0, 2).await;
    let mixed = run_phase(fleet, SHORT_PROMPT_RATE, 4, 3).await;
    let longest = |outcomes: &[RequestOutcome]| {
        let long_requests =
            outcomes.iter().filter(|outcome| is_long(outcome)).map(|outcome| outcome.duration);
        long_requests.max().unwrap_or_default().as_secs_f64() * 1e3
    };
    let p95 = |outcomes: &[RequestOutcome]| {
        to_latency_summary(&short_prompt_ttfts(outcomes, MAX_SHORT_TOKENS)).p95
    };
    let (quiet_p95, mixed_p95) = (p95(&quiet), p95(&mixed));
    let long_alone = longest(&alone);
    LaneResult {
        name,
        quiet_p95,
        mixed_p95,
        slowdown: mixed_p95 / quiet_p95,
        long_alone,
        long_slowdown: longest(&mixed) / long_alone,
    }
}

fn is_long(outcome: &RequestOutcome) -> bool {
    matches!(outcome.planned.call, PlannedCall::Model { prompt_tokens, .. } if prompt_tokens == LONG_PROMPT_TOKENS)
}

async fn run_phase(
    fleet: &Fleet,
    short_rate: u32,
    long_requests: u64,
    seed: u64,
) -> Vec<RequestOutcome> {
    let addresses = fleet.entries.iter().map(|entry| entry.caller_address).collect();
    let timeout = Duration::from_secs(120);
    let caller = Rc::new(LoadCaller::new(addresses, "booking-app", "canal-8b", timeout));
    let load_start = Instant::now();
    let count = short_rate * PHASE_DURATION.as_secs() as u32;
    let short_requests = (0..count).map(|number| {
        let at = PHASE_DURATION * number / count.max(1);
        plan("quay-kiosks", 2_000, at, seed * 1_000 + u64::from(number))
    });
    let long_requests = (0..long_requests).map(|number| {
        plan(
            "harbour-office",
            LONG_PROMPT_TOKENS,
            Duration::from_millis(300),
            seed * 1_000_000 + number,
        )
    });
    let tasks: Vec<_> = short_requests
        .chain(long_requests)
        .map(|planned| {
            let caller = caller.clone();
            spawn_local(async move {
                tokio::time::sleep_until((load_start + planned.at).into()).await;
                caller.call(planned, load_start).await
            })
        })
        .collect();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.extend(task.await);
    }
    outcomes
}

fn plan(account: &str, prompt_tokens: u64, at: Duration, seed: u64) -> PlannedRequest {
    let call = PlannedCall::Model {
        prompt_tokens,
        answer_tokens: 16,
        family: seed,
        is_stream: true,
        is_repeatable: true,
    };
    PlannedRequest { at, account: account.into(), call, seed, phase: 0 }
}

/// Formats the results as a text table.
#[must_use]
pub fn to_table(results: &[LaneResult]) -> String {
    use std::fmt::Write;
    let mut text = String::from(
        "setting           short alone p95   beside long p95   slowdown   long alone   long beside short\n",
    );
    for result in results {
        let _ = writeln!(
            text,
            "{:<17} {:>12.0} ms {:>14.0} ms {:>10.2} {:>9.0} ms {:>18.2}",
            result.name,
            result.quiet_p95,
            result.mixed_p95,
            result.slowdown,
            result.long_alone,
            result.long_slowdown
        );
    }
    text
}
