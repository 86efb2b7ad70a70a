//! A status that promises that a request has not run (408, 421, 429, 503) reaches callers only if
//! that is known.
//!
//! Guards against a failure in which a service executed an order and answered 503, which its caller
//! believed.

mod support;

use hyper::StatusCode;
use standins::caller::{call, completion, order};
use standins::engine_model::EngineSpec;
use standins::prompt::make_prompt;
use support::{Site, keyed_order};

const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

#[tokio::test]
async fn an_order_that_a_service_executed_is_not_promised_not_to_have_run() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    for status in PROMISES {
        site.plain.fault.lock().expect("fault").failed_with = Some(status);
        let name = format!("boat-{}", status.as_u16());
        for request in [order(&name), keyed_order(&format!("{name}-keyed"), &name)] {
            let answer = call(site.callers(0), request).await.expect("answer");
            assert_eq!((answer.status, answer.verdict.as_str()), (502, "may-have-run"), "{status}");
            assert_eq!(answer.code(), "target_failed");
            assert!(answer.retry_after.is_empty(), "{status}");
        }
        assert_eq!(site.plain.times_run(&name), 1);
    }
}

#[tokio::test]
async fn other_failures_of_a_service_reach_the_caller_unchanged() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    for status in [StatusCode::CONFLICT, StatusCode::INTERNAL_SERVER_ERROR] {
        site.plain.fault.lock().expect("fault").failed_with = Some(status);
        let answer = call(site.callers(0), order("boat-1")).await.expect("answer");
        assert_eq!((answer.status, answer.verdict.as_str()), (status.as_u16(), "ran"));
    }
}

#[tokio::test]
async fn a_run_that_an_engine_began_and_failed_may_have_run() {
    let site = Site::start(1, 2, EngineSpec::default()).await;
    for engine in &site.engines {
        engine.fault.lock().expect("fault").failed_with = Some(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let prompt = make_prompt(200, 1, 0, 1);
    let mut once = completion("pier-app", &prompt, 5);
    once.headers_mut().insert("shalelane-repeatable", "no".parse().expect("a header"));
    let answer = call(site.callers(0), once).await.expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (502, "may-have-run"));
    let started: u64 =
        site.engines.iter().map(standins::engine_server::EngineServer::runs_started).sum();
    assert_eq!(started, 1, "a run that must not be repeated was started again");
}

/// Guards against a status that HTTP does not know reaching the caller.
#[tokio::test]
async fn an_invalid_status_of_a_service_is_answered_with_a_failure_of_the_entry() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    for status in [600, 999].map(|number| StatusCode::from_u16(number).expect("three digits")) {
        site.plain.fault.lock().expect("fault").failed_with = Some(status);
        let answer = call(site.callers(0), order("boat-1")).await.expect("answer");
        assert_eq!((answer.status, answer.verdict.as_str()), (502, "may-have-run"), "{status}");
        assert_eq!(answer.code(), "target_failed");
    }
}
