//! Links that carry more than their peer takes.

mod support;

use std::time::{Duration, Instant};

use standins::caller::{call, order, request};
use standins::engine_model::EngineSpec;
use support::Site;

/// Bytes of a body. Some of them exceed what a link and its sockets hold.
const BODY_BYTES: usize = 15 << 20;

/// Number of large bodies at a time.
const BODIES: usize = 4;

/// Time for which the agent stands still.
const STALL: Duration = Duration::from_millis(1_500);

/// Time within which a dead link is noticed and replaced, with a large margin.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

fn large_order(name: &str) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let body = serde_json::json!({"order": name, "note": "x".repeat(BODY_BYTES)});
    request("POST", "/services/booking-app/confirm", "demo-pier-app", body.to_string())
}

#[tokio::test]
async fn a_target_is_used_after_more_bodies_than_its_link_holds() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let address = site.callers(0);
    let first = call(address, order("boat-0")).await.expect("an answer");
    assert_eq!(first.status, 200);
    site.plain_agent.process.freeze(true);
    let calls: Vec<_> = (1..=BODIES)
        .map(|n| tokio::spawn(call(address, large_order(&format!("boat-{n}")))))
        .collect();
    tokio::time::sleep(STALL).await;
    site.plain_agent.process.freeze(false);
    for call in calls {
        let answer = call.await.expect("task").expect("an answer");
        let outcome = (answer.status, answer.verdict.as_str());
        assert!(matches!(outcome, (200, "ran") | (503, "not-run")), "{outcome:?}");
    }
    for n in 5..10 {
        let answer = call(address, order(&format!("boat-{n}"))).await.expect("an answer");
        assert_eq!((answer.status, answer.verdict.as_str()), (200, "ran"));
    }
}

#[tokio::test]
async fn a_silent_link_is_replaced_although_a_body_waits_on_it() {
    run_on_silent_link(1).await;
}

#[tokio::test]
async fn a_silent_link_is_replaced_although_more_bodies_wait_than_it_holds() {
    run_on_silent_link(BODIES).await;
}

async fn run_on_silent_link(bodies: usize) {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let address = site.callers(0);
    let first = call(address, order("boat-0")).await.expect("an answer");
    assert_eq!(first.status, 200);
    site.plain_agent.proxy.silence_connections();
    let start = Instant::now();
    let calls: Vec<_> = (1..=bodies)
        .map(|n| tokio::spawn(call(address, large_order(&format!("boat-{n}")))))
        .collect();
    for call in calls {
        let answer = call.await.expect("task").expect("an answer");
        let outcome = (answer.status, answer.verdict.as_str());
        assert!(matches!(outcome, (200, "ran") | (503, "not-run")), "{outcome:?}");
    }
    let span = start.elapsed();
    assert!(span < RECOVERY_LIMIT, "the requests took {span:?}");
    let answer = call(address, order("boat-9")).await.expect("an answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (200, "ran"));
}
