//! Chat requests: the limit on the tokens of an answer, and the usage that streams report.

mod support;

use serde_json::{Value, json};
use standins::caller::{WholeAnswer, call, request};
use standins::engine_model::EngineSpec;
use support::Site;

const KEY: &str = "demo-pier-app";

async fn chat(site: &Site, options: Value) -> WholeAnswer {
    let mut body = json!({
        "model": "canal-8b",
        "messages": [{"role": "user", "content": "When is the next boat?"}],
    });
    let fields = body.as_object_mut().expect("request body is not a JSON object");
    fields.extend(options.as_object().expect("options are not a JSON object").clone());
    let request = request("POST", "/v1/chat/completions", KEY, body.to_string());
    call(site.callers(0), request).await.expect("chat request failed")
}

fn events(answer: &WholeAnswer) -> Vec<Value> {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.filter_map(|data| serde_json::from_str(data).ok()).collect()
}

/// Guards against `max_completion_tokens` being ignored: a request for 8 tokens got 256.
#[tokio::test]
async fn max_completion_tokens_limits_an_answer() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let answer = chat(&site, json!({"max_completion_tokens": 8})).await;
    assert_eq!(answer.json()["usage"]["completion_tokens"], 8);
    let both = json!({"max_completion_tokens": 3, "max_tokens": 9});
    assert_eq!(chat(&site, both).await.json()["usage"]["completion_tokens"], 3);
    let none = chat(&site, json!({"max_completion_tokens": 0})).await;
    assert_eq!((none.status, none.code().as_str()), (400, "bad_max_tokens"));
}

/// Guards against `stream_options.include_usage` being ignored.
#[tokio::test]
async fn a_stream_ends_with_a_usage_event_if_requested() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let options = json!({
        "max_completion_tokens": 4, "stream": true, "stream_options": {"include_usage": true},
    });
    let answer = chat(&site, options).await;
    assert!(answer.is_done());
    let events = events(&answer);
    let (last, before) = events.split_last().expect("stream has no events");
    assert_eq!(last["choices"], json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 4);
    assert!(before.iter().all(|event| event.get("usage").is_none()));
}
