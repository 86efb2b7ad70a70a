//! Long prompts beside short ones: what the agents' pieces are worth.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

use crate::demo::{DemoSpec, apply_config, demo_fleet, wait_ready};
use crate::engine_model::EngineSpec;
use crate::fleet::{Fleet, FleetSpec};
use crate::load::{LoadCaller, PlannedCall, PlannedRequest, RequestOutcome};
use crate::report::{SHORT, short_firsts, to_times};

/// How long each part of the load lasts.
const SPAN: Duration = Duration::from_secs(5);

/// Short requests a second, over two engines.
const SHORT_RATE: u32 = 8;

/// Tokens of a long prompt; there are two for each engine.
const LONG: u64 = 120_000;

/// Figures of one way.
#[derive(Clone, Debug, Serialize)]
pub struct LaneFigures {
    /// Its name.
    pub name: &'static str,
    /// 95th percentile of short prompts' time to the first token, alone.
    pub quiet_p95: f64,
    /// The same while long prompts run.
    pub mixed_p95: f64,
    /// Their ratio.
    pub slowdown: f64,
    /// Time to finish of a long prompt that is alone, in milliseconds.
    pub long_alone: f64,
    /// Longest time to finish of a long prompt beside short ones, over that.
    pub long_slowdown: f64,
}

struct LaneWay {
    name: &'static str,
    piece_tokens: u64,
    prefill_tokens: u64,
}

/// Measures each way under the same load.
#[must_use]
pub fn compare() -> Vec<LaneFigures> {
    const WHOLE: u64 = 10_000_000;
    let ways = [
        LaneWay { name: "pieces of 2,048", piece_tokens: 2_048, prefill_tokens: 4_096 },
        LaneWay { name: "pieces of 8,192", piece_tokens: 8_192, prefill_tokens: 16_384 },
        LaneWay { name: "whole prompts", piece_tokens: WHOLE, prefill_tokens: WHOLE },
    ];
    ways.iter().map(run_way).inspect(|one| eprintln!("{one:?}")).collect()
}

fn run_way(way: &LaneWay) -> LaneFigures {
    let spec = FleetSpec {
        engine: EngineSpec::default(),
        piece_tokens: way.piece_tokens,
        prefill_tokens: way.prefill_tokens,
        ..demo_fleet(&DemoSpec { engines: 2, ..DemoSpec::default() })
    };
    let mut fleet = Fleet::start(&spec);
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let figures = runtime.block_on(LocalSet::new().run_until(async {
        apply_config(&fleet, include_str!("../../examples/valdivia.toml")).await;
        wait_ready(&fleet, Duration::from_secs(10)).await;
        measure(&fleet, way.name).await
    }));
    fleet.stop();
    figures
}

async fn measure(fleet: &Fleet, name: &'static str) -> LaneFigures {
    let alone = run_part(fleet, 0, 1, 1).await;
    let quiet = run_part(fleet, SHORT_RATE, 0, 2).await;
    let mixed = run_part(fleet, SHORT_RATE, 4, 3).await;
    let longest = |outcomes: &[RequestOutcome]| {
        let longs = outcomes.iter().filter(|one| is_long(one)).map(|one| one.total);
        longs.max().unwrap_or_default().as_secs_f64() * 1e3
    };
    let p95 = |outcomes: &[RequestOutcome]| to_times(&short_firsts(outcomes, SHORT)).p95;
    let (quiet_p95, mixed_p95) = (p95(&quiet), p95(&mixed));
    let long_alone = longest(&alone);
    LaneFigures {
        name,
        quiet_p95,
        mixed_p95,
        slowdown: mixed_p95 / quiet_p95,
        long_alone,
        long_slowdown: longest(&mixed) / long_alone,
    }
}

fn is_long(outcome: &RequestOutcome) -> bool {
    matches!(outcome.planned.call, PlannedCall::Model { tokens, .. } if tokens == LONG)
}

async fn run_part(fleet: &Fleet, short_rate: u32, longs: u64, seed: u64) -> Vec<RequestOutcome> {
    let addresses = fleet.entries.iter().map(|entry| entry.callers).collect();
    let limit = Duration::from_secs(120);
    let caller = Rc::new(LoadCaller::new(addresses, "booking-app", "canal-8b", limit));
    let zero = Instant::now();
    let count = short_rate * SPAN.as_secs() as u32;
    let shorts = (0..count).map(|number| {
        let at = SPAN * number / count.max(1);
        plan("quay-kiosks", 2_000, at, seed * 1_000 + u64::from(number))
    });
    let longs = (0..longs).map(|number| {
        plan("harbour-office", LONG, Duration::from_millis(300), seed * 1_000_000 + number)
    });
    let tasks: Vec<_> = shorts
        .chain(longs)
        .map(|planned| {
            let caller = caller.clone();
            spawn_local(async move {
                tokio::time::sleep_until((zero + planned.at).into()).await;
                caller.call(planned, zero).await
            })
        })
        .collect();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.extend(task.await);
    }
    outcomes
}

fn plan(account: &str, tokens: u64, at: Duration, seed: u64) -> PlannedRequest {
    let call =
        PlannedCall::Model { tokens, answer: 16, family: seed, stream: true, repeatable: true };
    PlannedRequest { at, account: account.into(), call, seed, phase: 0 }
}

/// Writes figures for a reader.
#[must_use]
pub fn to_table(figures: &[LaneFigures]) -> String {
    use std::fmt::Write;
    let mut text = String::from(
        "way               short alone p95   beside long p95   slowdown   long alone   long beside short\n",
    );
    for one in figures {
        let _ = writeln!(
            text,
            "{:<17} {:>12.0} ms {:>14.0} ms {:>10.2} {:>9.0} ms {:>18.2}",
            one.name, one.quiet_p95, one.mixed_p95, one.slowdown, one.long_alone, one.long_slowdown
        );
    }
    text
}
