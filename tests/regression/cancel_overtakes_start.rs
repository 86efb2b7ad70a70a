//! A cancel could overtake the call that starts its run at the engine: it found no run to
//! cancel, and the run that arrived later continued.

use std::time::Duration;

use standins::caller::{completion, open};
use standins::demo::{DemoSpec, apply_config, demo_fleet, wait_ready};
use standins::engine_model::EngineSpec;
use standins::fleet::{Fleet, FleetSpec};

#[tokio::test]
async fn a_run_that_arrives_after_its_cancel_is_cancelled() {
    let engine = EngineSpec { step_base: Duration::from_millis(20), ..EngineSpec::default() };
    let spec = FleetSpec { engine, ..demo_fleet(&DemoSpec { engines: 1, ..DemoSpec::default() }) };
    let fleet = Fleet::start(&spec);
    apply_config(&fleet, include_str!("../../examples/valdivia.toml")).await;
    wait_ready(&fleet, Duration::from_secs(30)).await;
    // The engine sees a call that starts a run only after a delay.
    let start_lag = Duration::from_millis(600);
    fleet.engines[0].fault.lock().expect("fault").start_lag = start_lag;
    let address = fleet.entries[0].caller_address;
    let call = tokio::spawn(open(address, completion("pier-app", "A long story?", 20_000)));
    let arrived = || fleet.engines[0].calls_arrived() > 0;
    wait_for(arrived).await;
    call.abort();
    wait_for(|| fleet.engines[0].runs_started() > 0).await;
    wait_for(|| fleet.held_tokens() == 0).await;
}

async fn wait_for(condition: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(30), "condition not met within 30 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
