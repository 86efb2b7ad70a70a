//! Real processes behind a fault-injecting proxy.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::caller::{call, completion, finish, next_part, open, order, request};
use standins::engine_model::EngineSpec;
use standins::plain_server::PlainFault;
use standins::prompt::{make_prompt, prompt_hash, whole_answer};
use standins::proxy::ProxyFault;
use standins::store_server::StoreFault;
use support::{Site, VALDIVIA, keyed_order, wait_until};

/// An engine that takes its time over an answer, so that a fault finds it in
/// the middle of one.
fn slow_engine() -> EngineSpec {
    EngineSpec { step_base: Duration::from_millis(20), ..EngineSpec::default() }
}

fn expected(prompt: &str, answer: u64) -> String {
    whole_answer(prompt_hash(prompt), answer)
}

/// Waits until so many calls have reached the plain service.
async fn wait_for_calls(site: &Site, count: u64) {
    wait_until("a call arrives", async || site.plain.arrived.load(Ordering::Relaxed) >= count)
        .await;
}

#[tokio::test]
async fn a_cut_link_is_joined_again_at_the_exact_place() {
    let site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 1);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 80)).await.expect("head");
    next_part(&mut stream).await.expect("a first part");
    for _ in 0..3 {
        site.agents[0].proxy.cut();
        next_part(&mut stream).await.expect("a further part");
    }
    let text = finish(stream).await.expect("the rest");
    assert!(text.is_done());
    // The parts that were read one by one are not in `text`: its end must be
    // the end of the whole answer.
    let whole = expected(&prompt, 80);
    assert!(whole.ends_with(&text.stream_text()), "not the rest of the right answer");
    let metrics = call(site.callers(0), request("GET", "/metrics", "", "")).await.expect("page");
    let page = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(!page.contains("shalelane_entry_resumed_total 0"), "nothing was resumed");
}

#[tokio::test]
async fn an_agents_death_frees_the_engine_and_the_request_runs_elsewhere() {
    let mut site = Site::start(1, 2, slow_engine()).await;
    let prompt = make_prompt(100_000, 1, 0, 2);
    let address = site.callers(0);
    let caller = tokio::spawn(call(address, completion("harbour-office", &prompt, 10)));
    let held = async |site: &Site| site.engines.iter().position(|engine| engine.used() > 0);
    wait_until("an engine works", async || held(&site).await.is_some()).await;
    let busy = held(&site).await.expect("the busy one");
    site.agents[busy].restart();
    let answer = caller.await.expect("task").expect("answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.stream_text(), expected(&prompt, 10));
    site.wait_nothing_held().await;
}

#[tokio::test]
async fn an_order_whose_agent_dies_is_never_run_again() {
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
    let _held = site.plain.refuse();
    let answer = call(site.callers(0), order("boat-9")).await.expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (503, "not-run"));
    assert!(!answer.retry_after.is_empty());
    assert_eq!(site.plain.times_run("boat-9"), 0);
}

#[tokio::test]
async fn a_link_that_goes_silent_delays_an_order_and_never_doubles_it() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let stalls = ProxyFault { stalls_answers: true, ..ProxyFault::default() };
    let first = call(site.callers(0), order("warm-up")).await.expect("answer");
    assert_eq!(first.status, 200);
    let address = site.callers(0);
    let delay = Duration::from_millis(300);
    *site.plain.fault.lock().expect("fault") = PlainFault { delay, ..PlainFault::default() };
    let caller = tokio::spawn(call(address, order("boat-10")));
    wait_for_calls(&site, 2).await;
    site.plain_agent.proxy.set_fault(stalls);
    wait_until("the order has run", async || site.plain.times_run("boat-10") == 1).await;
    site.plain_agent.proxy.set_fault(ProxyFault::default());
    let answer = caller.await.expect("task").expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (200, "ran"));
    assert_eq!(site.plain.times_run("boat-10"), 1);
}

#[tokio::test]
async fn a_caller_that_goes_away_frees_the_engine() {
    let site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(1_000, 1, 0, 3);
    let request = completion("pier-app", &prompt, 20_000);
    let mut stream = open(site.callers(0), request).await.expect("head");
    next_part(&mut stream).await.expect("a first part");
    assert!(site.held_tokens() > 0);
    drop(stream);
    site.wait_nothing_held().await;
}

#[tokio::test]
async fn a_planned_stop_of_an_entry_cuts_nothing() {
    let mut site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 4);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 60)).await.expect("head");
    next_part(&mut stream).await.expect("a first part");
    site.entries[0].ask_stop();
    let address = site.callers(0);
    wait_until("the entry turns callers away", async || {
        let probe = call(address, request("GET", "/readyz", "", "")).await;
        probe.map_or(true, |answer| answer.status == 503)
    })
    .await;
    let rest = finish(stream).await.expect("the rest");
    assert!(rest.is_done());
    assert!(expected(&prompt, 60).ends_with(&rest.stream_text()));
    assert!(site.entries[0].wait(), "the entry ended badly");
}

#[tokio::test]
async fn a_planned_stop_of_an_agent_cuts_nothing_and_takes_nothing_new() {
    let mut site = Site::start(1, 2, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 5);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 100)).await.expect("head");
    next_part(&mut stream).await.expect("a first part");
    let busy = site.engines.iter().position(|engine| engine.used() > 0).expect("a busy engine");
    site.agents[busy].process.ask_stop();
    // The platform's list still shows it as live.
    for number in 0..6 {
        let prompt = make_prompt(100, 1, 0, 100 + number);
        let answer =
            call(site.callers(0), completion("pier-app", &prompt, 2)).await.expect("answer");
        assert_eq!(answer.stream_text(), expected(&prompt, 2));
    }
    let rest = finish(stream).await.expect("the rest");
    assert!(rest.is_done());
    assert!(expected(&prompt, 100).ends_with(&rest.stream_text()));
    assert!(site.agents[busy].process.wait(), "the agent ended badly");
}

#[tokio::test]
async fn an_engines_death_moves_the_request_and_its_return_is_noticed() {
    let mut site = Site::start(1, 2, slow_engine()).await;
    let prompt = make_prompt(100_000, 1, 0, 6);
    let caller = tokio::spawn(call(site.callers(0), completion("harbour-office", &prompt, 5)));
    wait_until("an engine works", async || site.held_tokens() > 0).await;
    let busy = site.engines.iter().position(|engine| engine.used() > 0).expect("a busy engine");
    site.engines[busy].server.stop();
    let answer = caller.await.expect("task").expect("answer");
    assert_eq!(answer.stream_text(), expected(&prompt, 5));
}

#[tokio::test]
async fn a_frozen_agent_holds_no_request_past_its_time_limit() {
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
async fn serving_goes_on_through_an_outage_of_the_store() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    site.store.set_fault(StoreFault { outage: true, ..StoreFault::default() });
    let prompt = make_prompt(100, 1, 0, 7);
    let answer = call(site.callers(0), completion("pier-app", &prompt, 3)).await.expect("answer");
    assert_eq!(answer.stream_text(), expected(&prompt, 3));
    let refused = site.apply(VALDIVIA, 0).await;
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_away"));
    // An entry that starts now has no configuration and takes nobody.
    site.add_entry(1);
    let answer = call(site.callers(1), completion("pier-app", &prompt, 3)).await.expect("answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (503, "not-run"));
    site.store.set_fault(StoreFault::default());
    site.wait_ready(1).await;
}

#[tokio::test]
async fn of_two_racing_changes_one_wins_and_a_lost_answer_is_settled() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    let status = site.ask_admin(0, "/admin/v1/status").await.json();
    let version = status["config_version"].as_u64().expect("a version");
    let one = VALDIVIA.replace("weight = 3", "weight = 4");
    let other = VALDIVIA.replace("weight = 3", "weight = 5");
    site.store.set_fault(StoreFault { lost_answers: 2, ..StoreFault::default() });
    let won = site.apply(&one, version).await;
    // The first lost answer is that to the changed account's object.
    let won = if won.status == 200 { won } else { site.apply(&one, version).await };
    assert_eq!(won.status, 200, "{}", String::from_utf8_lossy(&won.body));
    let lost = site.apply(&other, version).await;
    assert_eq!((lost.status, lost.code().as_str()), (412, "conflict"));
    let version = won.json()["version"].as_u64().expect("a version");
    for index in 0..2 {
        wait_until("the change is in force everywhere", async || {
            let status = site.ask_admin(index, "/admin/v1/status").await.json();
            status["config_version"] == version
        })
        .await;
    }
}

#[tokio::test]
async fn why_is_answered_by_any_entry() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    let answer =
        call(site.callers(0), completion("pier-app", "A question?", 2)).await.expect("answer");
    for index in 0..2 {
        let path = format!("/admin/v1/why/{}", answer.request_id);
        let why = site.ask_admin(index, &path).await;
        assert_eq!(why.status, 200, "{}", String::from_utf8_lossy(&why.body));
        let steps = why.json()["steps"].as_array().cloned().unwrap_or_default();
        let kinds: Vec<_> = steps.iter().filter_map(|step| step["step"].as_str()).collect();
        assert_eq!(kinds, ["admitted", "asked", "offered", "chosen", "first", "ended"]);
    }
    let unknown = site.ask_admin(0, "/admin/v1/why/entry-7.1f.3").await;
    assert_eq!((unknown.status, unknown.code().as_str()), (404, "no_record"));
}

#[tokio::test]
async fn a_key_runs_once_however_often_and_wherever_it_is_sent() {
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
    let held = site.plain.refuse();
    let refused = call(site.callers(0), keyed_order("boat-1", "key")).await.expect("answer");
    assert_eq!((refused.status, refused.verdict.as_str()), (503, "not-run"));
    site.plain.restart(held);
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
async fn an_agent_shows_its_metrics_and_events() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let answer = call(site.callers(0), completion("pier-app", "A question?", 2)).await;
    let id = answer.expect("answer").request_id;
    let agent = site.agents[0].process.address("metrics");
    let page = call(agent, request("GET", "/metrics", "", "")).await.expect("page");
    let page = String::from_utf8_lossy(&page.body).into_owned();
    for line in ["shalelane_agent_started_total 1", "shalelane_agent_leased_tokens 0"] {
        assert!(page.contains(line), "{line} is not in {page}");
    }
    let path = format!("/timeline?request={id}");
    let events = call(agent, request("GET", &path, "", "")).await.expect("events").json();
    let kinds: Vec<_> = events.as_array().into_iter().flatten().map(|one| &one["kind"]).collect();
    assert_eq!(kinds, ["started", "done"]);
}
