//! Chat requests: how long their answers are, and what streams tell of it.

mod support;

use serde_json::{Value, json};
use standins::caller::{WholeAnswer, call, request};
use standins::engine_model::EngineSpec;
use support::Site;

const KEY: &str = "demo-pier-app";

async fn chat(site: &Site, more: Value) -> WholeAnswer {
    let mut body = json!({
        "model": "canal-8b",
        "messages": [{"role": "user", "content": "When is the next boat?"}],
    });
    let fields = body.as_object_mut().expect("an object");
    fields.extend(more.as_object().expect("an object").clone());
    let request = request("POST", "/v1/chat/completions", KEY, body.to_string());
    call(site.callers(0), request).await.expect("an answer")
}

fn events(answer: &WholeAnswer) -> Vec<Value> {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.filter_map(|data| serde_json::from_str(data).ok()).collect()
}

/// Past failure: the newer name was ignored, and 256 tokens came for 8.
#[tokio::test]
async fn an_answer_is_as_long_as_the_newer_field_says() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let answer = chat(&site, json!({"max_completion_tokens": 8})).await;
    assert_eq!(answer.json()["usage"]["completion_tokens"], 8);
    let both = json!({"max_completion_tokens": 3, "max_tokens": 9});
    assert_eq!(chat(&site, both).await.json()["usage"]["completion_tokens"], 3);
    let none = chat(&site, json!({"max_completion_tokens": 0})).await;
    assert_eq!((none.status, none.code().as_str()), (400, "bad_max_tokens"));
}

/// Past failure: the wish for a part with the tokens was ignored.
#[tokio::test]
async fn a_stream_ends_with_its_tokens_where_that_is_wanted() {
    let site = Site::start(1, 1, EngineSpec::default()).await;
    let wish = json!({
        "max_completion_tokens": 4, "stream": true, "stream_options": {"include_usage": true},
    });
    let answer = chat(&site, wish).await;
    assert!(answer.is_done());
    let events = events(&answer);
    let (last, before) = events.split_last().expect("events");
    assert_eq!(last["choices"], json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 4);
    assert!(before.iter().all(|event| event.get("usage").is_none()));
}
