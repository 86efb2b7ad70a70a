//! Entries and agents as real processes, with agents behind a fault-injecting proxy.

mod support;

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::caller::{call, completion, finish, next_chunk, open, order, request};
use standins::engine_model::EngineSpec;
use standins::plain_server::PlainFault;
use standins::prompt::{make_prompt, prompt_hash, whole_answer};
use standins::proxy::ProxyFault;
use standins::store_server::StoreFault;
use support::{Site, VALDIVIA, keyed_order, wait_until};

/// Returns an engine that generates slowly, so that a fault strikes in the middle of an answer.
fn slow_engine() -> EngineSpec {
    EngineSpec { step_base: Duration::from_millis(20), ..EngineSpec::default() }
}

/// Returns the whole answer that a simulated engine generates for a prompt.
fn expected(prompt: &str, answer: u64) -> String {
    whole_answer(prompt_hash(prompt), answer)
}

/// Waits until `count` calls have reached the plain service.
async fn wait_for_calls(site: &Site, count: u64) {
    wait_until("a call reaches the plain service", async || {
        site.plain.arrived.load(Ordering::Relaxed) >= count
    })
    .await;
}

#[tokio::test]
async fn an_answer_resumes_at_the_exact_offset_after_its_link_is_cut() {
    let site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 1);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 80)).await.expect("head");
    next_chunk(&mut stream).await.expect("a first part");
    for _ in 0..3 {
        site.agents[0].proxy.close_connections();
        next_chunk(&mut stream).await.expect("a further part");
    }
    let text = finish(stream).await.expect("the rest");
    assert!(text.is_done());
    // `text` lacks the parts that were read one by one, so it must be the end of the whole
    // answer.
    let whole = expected(&prompt, 80);
    assert!(whole.ends_with(&text.stream_text()), "the text is not the end of the expected answer");
    let metrics = call(site.callers(0), request("GET", "/metrics", "", "")).await.expect("metrics");
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(!metrics.contains("shalelane_entry_resumed_total 0"), "no answer was resumed");
}

#[tokio::test]
async fn a_crash_of_an_agent_frees_the_engine_and_the_request_runs_on_another() {
    let mut site = Site::start(1, 2, slow_engine()).await;
    let prompt = make_prompt(100_000, 1, 0, 2);
    let address = site.callers(0);
    let caller = tokio::spawn(call(address, completion("harbour-office", &prompt, 10)));
    let busy_engine = async |site: &Site| site.engines.iter().position(|engine| engine.used() > 0);
    wait_until("an engine is busy", async || busy_engine(&site).await.is_some()).await;
    let busy = busy_engine(&site).await.expect("a busy engine");
    site.agents[busy].restart();
    let answer = caller.await.expect("task").expect("answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.stream_text(), expected(&prompt, 10));
    site.wait_memory_released().await;
}

#[tokio::test]
async fn an_order_whose_agent_crashes_is_never_run_again() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let delay = Duration::from_millis(400);
    *site.plain.fault.lock().expect("fault") = PlainFault { delay, ..PlainFault::default() };
    let address = site.callers(0);
    let caller = tokio::spawn(call(address, order("boat-7")));
    wait_for_calls(&site, 1).await;
    site.plain_agent.restart();
    let answer = caller.await.expect("task").expect("answer");
    let runs = site.plain.times_run("boat-7");
    assert!(runs <= 1, "ran {runs} times");
    assert_eq!((answer.status, answer.verdict.as_str()), (502, "may-have-run"));
}

#[tokio::test]
async fn a_long_content_type_is_passed_on() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let mut long = order("boat-11");
    let content_type = format!("application/json; profile={}", "x".repeat(300));
    long.headers_mut().insert("content-type", content_type.parse().expect("a header"));
    let answer = call(site.callers(0), long).await.expect("answer");
    assert_eq!((answer.status, site.plain.times_run("boat-11")), (200, 1));
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_may_have_run() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    site.plain.fault.lock().expect("fault").loses_answers = true;
    let answer = call(site.callers(0), order("boat-8")).await.expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (502, "may-have-run"));
    assert_eq!(site.plain.times_run("boat-8"), 1);
}

#[tokio::test]
async fn an_order_that_can_not_be_sent_was_not_run() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let _port = site.plain.stop_and_reserve_port();
    let answer = call(site.callers(0), order("boat-9")).await.expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (503, "not-run"));
    assert!(!answer.retry_after.is_empty());
    assert_eq!(site.plain.times_run("boat-9"), 0);
}

#[tokio::test]
async fn a_stalled_link_delays_an_order_and_never_runs_it_twice() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let stall = ProxyFault { stalls_answers: true, ..ProxyFault::default() };
    let first = call(site.callers(0), order("warm-up")).await.expect("answer");
    assert_eq!(first.status, 200);
    let address = site.callers(0);
    let delay = Duration::from_millis(300);
    *site.plain.fault.lock().expect("fault") = PlainFault { delay, ..PlainFault::default() };
    let caller = tokio::spawn(call(address, order("boat-10")));
    wait_for_calls(&site, 2).await;
    site.plain_agent.proxy.set_fault(stall);
    wait_until("the order has run", async || site.plain.times_run("boat-10") == 1).await;
    site.plain_agent.proxy.set_fault(ProxyFault::default());
    let answer = caller.await.expect("task").expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (200, "ran"));
    assert_eq!(site.plain.times_run("boat-10"), 1);
}

#[tokio::test]
async fn a_caller_that_disconnects_frees_the_engine() {
    let site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(1_000, 1, 0, 3);
    let request = completion("pier-app", &prompt, 20_000);
    let mut stream = open(site.callers(0), request).await.expect("head");
    next_chunk(&mut stream).await.expect("a first part");
    assert!(site.held_tokens() > 0);
    drop(stream);
    site.wait_memory_released().await;
}

#[tokio::test]
async fn a_draining_entry_cuts_no_answer() {
    let mut site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 4);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 60)).await.expect("head");
    next_chunk(&mut stream).await.expect("a first part");
    site.entries[0].request_drain();
    let address = site.callers(0);
    wait_until("the entry reports that it is not ready", async || {
        let probe = call(address, request("GET", "/readyz", "", "")).await;
        probe.map_or(true, |answer| answer.status == 503)
    })
    .await;
    let rest = finish(stream).await.expect("the rest");
    assert!(rest.is_done());
    assert!(expected(&prompt, 60).ends_with(&rest.stream_text()));
    assert!(site.entries[0].wait(), "the entry exited with a failure");
}

#[tokio::test]
async fn a_draining_agent_cuts_no_answer_and_accepts_no_new_work() {
    let mut site = Site::start(1, 2, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 5);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 100)).await.expect("head");
    next_chunk(&mut stream).await.expect("a first part");
    let busy = site.engines.iter().position(|engine| engine.used() > 0).expect("a busy engine");
    site.agents[busy].process.request_drain();
    // The platform's list still shows the target as live.
    for number in 0..6 {
        let prompt = make_prompt(100, 1, 0, 100 + number);
        let answer =
            call(site.callers(0), completion("pier-app", &prompt, 2)).await.expect("answer");
        assert_eq!(answer.stream_text(), expected(&prompt, 2));
    }
    let rest = finish(stream).await.expect("the rest");
    assert!(rest.is_done());
    assert!(expected(&prompt, 100).ends_with(&rest.stream_text()));
    assert!(site.agents[busy].process.wait(), "the agent exited with a failure");
}

#[tokio::test]
async fn a_request_moves_to_another_engine_if_its_engine_stops() {
    let mut site = Site::start(1, 2, slow_engine()).await;
    let prompt = make_prompt(100_000, 1, 0, 6);
    let caller = tokio::spawn(call(site.callers(0), completion("harbour-office", &prompt, 5)));
    wait_until("an engine is busy", async || site.held_tokens() > 0).await;
    let busy = site.engines.iter().position(|engine| engine.used() > 0).expect("a busy engine");
    site.engines[busy].server.stop();
    let answer = caller.await.expect("task").expect("answer");
    assert_eq!(answer.stream_text(), expected(&prompt, 5));
}

#[tokio::test]
async fn a_frozen_agent_delays_no_request_past_its_time_limit() {
    let site = Site::start(1, 2, EngineSpec::default()).await;
    site.agents[0].process.freeze(true);
    for number in 0..8 {
        let prompt = make_prompt(100, 1, 0, 200 + number);
        let answer =
            call(site.callers(0), completion("pier-app", &prompt, 3)).await.expect("answer");
        assert_eq!(answer.stream_text(), expected(&prompt, 3));
    }
    site.agents[0].process.freeze(false);
}

#[tokio::test]
async fn serving_continues_through_an_outage_of_the_store() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    site.store.set_fault(StoreFault { outage: true, ..StoreFault::default() });
    let prompt = make_prompt(100, 1, 0, 7);
    let answer = call(site.callers(0), completion("pier-app", &prompt, 3)).await.expect("answer");
    assert_eq!(answer.stream_text(), expected(&prompt, 3));
    let refused = site.apply(VALDIVIA, 0).await;
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_away"));
    // An entry that starts now has no configuration and refuses every request.
    site.add_entry(1);
    let answer = call(site.callers(1), completion("pier-app", &prompt, 3)).await.expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (503, "not-run"));
    site.store.set_fault(StoreFault::default());
    site.wait_ready(1).await;
}

#[tokio::test]
async fn of_two_racing_changes_one_wins_and_a_lost_answer_is_settled() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    let status = site.get_admin(0, "/admin/v1/status").await.json();
    let version = status["config_version"].as_u64().expect("a version");
    let one = VALDIVIA.replace("weight = 3", "weight = 4");
    let other = VALDIVIA.replace("weight = 3", "weight = 5");
    site.store.set_fault(StoreFault { lost_answers: 2, ..StoreFault::default() });
    let won = site.apply(&one, version).await;
    // The first lost answer belongs to the write of the changed account's object.
    let won = if won.status == 200 { won } else { site.apply(&one, version).await };
    assert_eq!(won.status, 200, "{}", String::from_utf8_lossy(&won.body));
    let lost = site.apply(&other, version).await;
    assert_eq!((lost.status, lost.code().as_str()), (412, "conflict"));
    let version = won.json()["version"].as_u64().expect("a version");
    for index in 0..2 {
        wait_until("the change is in force everywhere", async || {
            let status = site.get_admin(index, "/admin/v1/status").await.json();
            status["config_version"] == version
        })
        .await;
    }
}

#[tokio::test]
async fn any_entry_explains_a_decision() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    let answer =
        call(site.callers(0), completion("pier-app", "A question?", 2)).await.expect("answer");
    for index in 0..2 {
        let path = format!("/admin/v1/why/{}", answer.request_id);
        let explanation = site.get_admin(index, &path).await;
        assert_eq!(explanation.status, 200, "{}", String::from_utf8_lossy(&explanation.body));
        let steps = explanation.json()["steps"].as_array().cloned().unwrap_or_default();
        let kinds: Vec<_> = steps.iter().filter_map(|step| step["step"].as_str()).collect();
        assert_eq!(kinds, ["admitted", "asked", "offered", "chosen", "first", "ended"]);
    }
    let unknown = site.get_admin(0, "/admin/v1/why/entry-7.1f.3").await;
    assert_eq!((unknown.status, unknown.code().as_str()), (404, "no_record"));
}

#[tokio::test]
async fn a_key_runs_once_although_it_is_sent_repeatedly_to_several_entries() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    let (one, other) = (site.callers(0), site.callers(1));
    for round in 0..5 {
        let key = format!("key-{round}");
        let name = format!("boat-{round}");
        let calls = [one, other, one, other]
            .map(|address| tokio::spawn(call(address, keyed_order(&name, &key))));
        let mut statuses = Vec::new();
        for call in calls {
            statuses.push(call.await.expect("task").expect("answer").status);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409, 409]);
        assert_eq!(site.plain.times_run(&name), 1);
    }
    let late = call(other, keyed_order("boat-0", "key-0")).await.expect("answer");
    assert_eq!((late.status, late.verdict.as_str()), (409, "may-have-run"));
    assert_eq!(late.code(), "key_taken");
    assert_eq!(site.plain.times_run("boat-0"), 1);
}

#[tokio::test]
async fn a_key_whose_request_was_not_run_is_free_again() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let port = site.plain.stop_and_reserve_port();
    let refused = call(site.callers(0), keyed_order("boat-1", "key")).await.expect("answer");
    assert_eq!((refused.status, refused.verdict.as_str()), (503, "not-run"));
    site.plain.restart(port);
    wait_until("the key is free", async || {
        let answer = call(site.callers(0), keyed_order("boat-1", "key")).await.expect("answer");
        answer.status == 200
    })
    .await;
    assert_eq!(site.plain.times_run("boat-1"), 1);
}

#[tokio::test]
async fn a_key_is_not_run_in_an_outage_and_once_after_a_lost_answer() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    site.store.set_fault(StoreFault { outage: true, ..StoreFault::default() });
    let refused = call(site.callers(0), keyed_order("boat-2", "key")).await.expect("answer");
    assert_eq!((refused.status, refused.code().as_str()), (503, "claims_away"));
    assert_eq!(refused.verdict, "not-run");
    assert!(!refused.retry_after.is_empty());
    assert_eq!(site.plain.times_run("boat-2"), 0);
    site.store.set_fault(StoreFault { lost_answers: 1, ..StoreFault::default() });
    let answer = call(site.callers(0), keyed_order("boat-2", "key")).await.expect("answer");
    assert_eq!(answer.status, 200);
    assert_eq!(site.plain.times_run("boat-2"), 1);
}

#[tokio::test]
async fn an_agent_serves_its_metrics_and_events() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let answer = call(site.callers(0), completion("pier-app", "A question?", 2)).await;
    let id = answer.expect("answer").request_id;
    let agent = site.agents[0].process.address("metrics");
    let metrics = call(agent, request("GET", "/metrics", "", "")).await.expect("metrics");
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    for line in ["shalelane_agent_started_total 1", "shalelane_agent_leased_tokens 0"] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
    let path = format!("/timeline?request={id}");
    let events = call(agent, request("GET", &path, "", "")).await.expect("events").json();
    let kinds: Vec<_> =
        events.as_array().into_iter().flatten().map(|event| &event["kind"]).collect();
    assert_eq!(kinds, ["started", "done"]);
}

/// Sends a request with an unknown key whose body is written in pieces. Returns the answer, which
/// is read before the last piece is written.
fn write_in_pieces(address: std::net::SocketAddr) -> std::io::Result<String> {
    const PIECES: usize = 40;
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let piece = [b'x'; 1_000];
    let length = PIECES * piece.len();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer none\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for _ in 1..PIECES {
        std::thread::sleep(Duration::from_millis(5));
        stream.write_all(&piece)?;
    }
    let mut answer = [0; 4_096];
    let length = stream.read(&mut answer)?;
    stream.write_all(&piece)?;
    Ok(String::from_utf8_lossy(&answer[..length]).into_owned())
}

#[tokio::test]
async fn a_refusal_reaches_a_caller_that_still_writes() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let address = site.callers(0);
    let answer = tokio::task::spawn_blocking(move || write_in_pieces(address)).await.expect("task");
    assert!(answer.expect("answer").starts_with("HTTP/1.1 401 "));
}
