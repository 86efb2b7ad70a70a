//! Stops and signals of entries and agents: every request that was read ends with an answer.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use standins::caller::{call, completion, finish, next_chunk, open, request};
use standins::engine_model::EngineSpec;
use standins::prompt::{make_prompt, prompt_hash, whole_answer};
use support::{Site, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum duration of a drain in tests of its end, in ms.
const DRAIN_LIMIT_MS: &str = "1500";

/// Tokens of an answer that takes longer than the drain.
const LONG_ANSWER: u64 = 20_000;

/// Tokens of a prompt for which an entry asks targets before it sends it.
const LONG_PROMPT: u64 = 12_000;

fn slow_engine() -> EngineSpec {
    EngineSpec { step_base: Duration::from_millis(20), ..EngineSpec::default() }
}

/// Starts a site whose second entry ends a drain after [`DRAIN_LIMIT_MS`].
async fn site_with_short_drain() -> Site {
    let mut site = Site::start(1, 1, slow_engine()).await;
    site.add_entry_with(1, &["--drain-limit-ms", DRAIN_LIMIT_MS]);
    site.wait_ready(1).await;
    site
}

async fn wait_draining(address: SocketAddr) {
    wait_until("the entry reports that it is not ready", async || {
        let probe = call(address, request("GET", "/readyz", "", "")).await;
        probe.map_or(true, |answer| answer.status == 503)
    })
    .await;
}

/// Returns the request of a whole answer.
fn whole_completion(
    prompt: &str,
    max_tokens: u64,
) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let body = serde_json::json!({
        "model": "canal-8b", "prompt": prompt, "max_tokens": max_tokens,
    });
    request("POST", "/v1/completions", "demo-pier-app", body.to_string())
}

#[tokio::test]
async fn requests_that_are_open_at_the_end_of_a_drain_are_answered() {
    let mut site = site_with_short_drain().await;
    let address = site.callers(1);
    let whole = whole_completion(&make_prompt(200, 1, 0, 1), LONG_ANSWER);
    let whole = tokio::spawn(call(address, whole));
    let prompt = make_prompt(200, 1, 0, 2);
    let mut stream =
        open(address, completion("pier-app", &prompt, LONG_ANSWER)).await.expect("head");
    next_chunk(&mut stream).await.expect("a first part");
    site.entries[1].request_drain();
    let answer = whole.await.expect("task").expect("an answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (502, "may-have-run"));
    assert_eq!(answer.code(), "stopping");
    let rest = finish(stream).await.expect("the end of the stream");
    let text = String::from_utf8_lossy(&rest.body).into_owned();
    assert!(text.contains("event: error"), "the stream ends without an error event");
    assert!(site.entries[1].wait(), "the entry exited with a failure");
    site.wait_memory_released().await;
}

#[tokio::test]
async fn a_body_that_arrives_after_the_last_answer_of_a_drain_is_answered() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let address = site.callers(0);
    let body = serde_json::json!({"model": "canal-8b", "prompt": "A question?"}).to_string();
    let (first, rest) = body.split_at(10);
    let length = body.len();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: fleet\r\n\
         authorization: Bearer demo-pier-app\r\ncontent-length: {length}\r\n\r\n{first}"
    );
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(head.as_bytes()).await.expect("sent");
    // The entry has read the head when it answers a request that was sent later.
    call(address, request("GET", "/v1/models", "demo-pier-app", "")).await.expect("an answer");
    site.entries[0].request_drain();
    wait_draining(address).await;
    stream.write_all(rest.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "answered: {answer:?}");
    assert!(answer.contains("shalelane-verdict: not-run"), "answered: {answer:?}");
    assert!(site.entries[0].wait(), "the entry exited with a failure");
}

/// Guards against requests that wait for a target and are given to it so late in a drain that they
/// are cut off.
#[tokio::test]
async fn a_request_that_waits_for_a_target_in_a_short_drain_is_refused() {
    let mut site = site_with_short_drain().await;
    let address = site.callers(1);
    let agent = &site.agents[0].process;
    agent.freeze(true);
    let long = whole_completion(&make_prompt(LONG_PROMPT, 1, 0, 5), LONG_ANSWER);
    let long = tokio::spawn(call(address, long));
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.entries[1].request_drain();
    wait_draining(address).await;
    site.agents[0].process.freeze(false);
    let answer = long.await.expect("task").expect("an answer");
    assert_eq!((answer.status, answer.verdict.as_str()), (503, "not-run"));
    assert_eq!(answer.code(), "stopping");
    assert!(site.entries[1].wait(), "the entry exited with a failure");
}

#[tokio::test]
async fn connections_over_the_limit_are_counted() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    site.add_entry_with(1, &["--max-connections", "1"]);
    site.wait_ready(1).await;
    let address = site.callers(1);
    let mut kept = TcpStream::connect(address).await.expect("a connection");
    let health = b"GET /healthz HTTP/1.1\r\nhost: fleet\r\n\r\n";
    kept.write_all(health).await.expect("sent");
    let mut answer = [0; 512];
    assert!(kept.read(&mut answer).await.expect("an answer") > 0);
    let refused = call(address, request("GET", "/healthz", "", "")).await;
    assert!(refused.is_err(), "{refused:?}");
    let metrics = b"GET /metrics HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\r\n";
    kept.write_all(metrics).await.expect("sent");
    let mut text = String::new();
    kept.read_to_string(&mut text).await.expect("metrics");
    assert!(text.contains("shalelane_entry_closed_unread_total 1"), "{text}");
}

#[tokio::test]
async fn a_reload_signal_ends_no_answer() {
    let site = Site::start(1, 1, slow_engine()).await;
    let prompt = make_prompt(200, 1, 0, 4);
    let mut stream =
        open(site.callers(0), completion("pier-app", &prompt, 60)).await.expect("head");
    next_chunk(&mut stream).await.expect("a first part");
    site.entries[0].request_reload();
    site.agents[0].process.request_reload();
    let rest = finish(stream).await.expect("the rest");
    assert!(rest.is_done());
    assert!(whole_answer(prompt_hash(&prompt), 60).ends_with(&rest.stream_text()));
}
