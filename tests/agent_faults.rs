//! Calls of an agent to its engine fail while the engine is sound: no run is ended for that.

mod support;

use std::time::Duration;

use standins::caller::{call, completion, finish, next_chunk, open};
use standins::engine_model::EngineSpec;
use standins::prompt::{make_prompt, prompt_hash, whole_answer};
use support::Site;

/// Time for which the engine answers no call for its load report.
const OUTAGE: Duration = Duration::from_secs(2);

fn slow_engine() -> EngineSpec {
    EngineSpec { step_base: Duration::from_millis(20), ..EngineSpec::default() }
}

#[tokio::test]
async fn an_engine_that_streams_is_not_reset_for_lost_load_reports() {
    let site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 1);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 200)).await.expect("head");
    next_chunk(&mut stream).await.expect("a first part");
    site.engines[0].fault.lock().expect("fault").drops_load_calls = true;
    tokio::time::sleep(OUTAGE).await;
    site.engines[0].fault.lock().expect("fault").drops_load_calls = false;
    let rest = finish(stream).await.expect("the rest");
    assert!(rest.is_done(), "the stream ends with an error");
    assert!(whole_answer(prompt_hash(&prompt), 200).ends_with(&rest.stream_text()));
}

#[tokio::test]
async fn a_run_goes_on_after_a_lost_resume_call() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    site.engines[0].fault.lock().expect("fault").dropped_resumes = 2;
    let prompt = make_prompt(40_000, 1, 0, 2);
    let answer =
        call(site.callers(0), completion("harbour-office", &prompt, 5)).await.expect("answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.stream_text(), whole_answer(prompt_hash(&prompt), 5));
    assert_eq!(site.engines[0].fault.lock().expect("fault").dropped_resumes, 0);
    assert_eq!(site.engines[0].runs_started(), 1, "the run was ended and started again");
}

#[tokio::test]
async fn an_engine_that_closes_kept_connections_costs_no_run() {
    const CALLS: u64 = 5;
    let site = Site::start(1, 1, EngineSpec::default()).await;
    site.engines[0].fault.lock().expect("fault").drops_starts_on_kept_connections = true;
    for number in 0..CALLS {
        let prompt = make_prompt(200, 1, 0, number);
        let answer =
            call(site.callers(0), completion("pier-app", &prompt, 5)).await.expect("answer");
        assert_eq!(answer.status, 200, "call {number}");
    }
    assert_eq!(site.engines[0].calls_arrived(), CALLS);
}
