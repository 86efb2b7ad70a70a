//! Calls of an agent to its engine fail while the engine is sound: no run is ended for that.

mod support;

use standins::caller::{call, completion};
use standins::engine_model::EngineSpec;
use standins::prompt::{make_prompt, prompt_hash, whole_answer};
use support::Site;

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
