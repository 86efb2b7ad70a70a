//! Invalid input from callers, peers and operators: each gets a clear error, and no process
//! crashes or leaks memory.

mod support;

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use standins::caller::{WholeAnswer, call, completion, request};
use standins::engine_model::EngineSpec;
use support::{Site, VALDIVIA};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: &str = "demo-pier-app";

async fn small_site() -> Site {
    Site::start(1, 1, EngineSpec::default()).await
}

async fn post(site: &Site, path: &str, key: &str, body: impl Into<Bytes>) -> WholeAnswer {
    call(site.callers(0), request("POST", path, key, body)).await.expect("request failed")
}

/// Asserts that the site still serves and that no engine holds memory.
async fn assert_healthy(site: &Site) {
    let answer = call(site.callers(0), completion("pier-app", "Still there?", 2)).await;
    assert!(answer.expect("completion request failed").is_done());
    site.wait_memory_released().await;
}

#[tokio::test]
async fn invalid_requests_get_a_code_a_verdict_and_an_id() {
    let site = small_site().await;
    let long = "x".repeat(4_000_000);
    let body = |model: &str, rest: &str| format!(r#"{{"model": "{model}", {rest}}}"#);
    let cases: Vec<(&str, &str, String, u16, &str)> = vec![
        ("/v1/completions", KEY, "{\"model\": \"canal-8b\", \"pro".into(), 400, "bad_body"),
        ("/v1/completions", KEY, String::new(), 400, "bad_body"),
        ("/v1/completions", KEY, body("canal-8b", "\"prompt\": 7"), 400, "bad_body"),
        ("/v1/completions", KEY, body("canal-8b", "\"stream\": true"), 400, "bad_body"),
        ("/v1/chat/completions", KEY, body("canal-8b", "\"messages\": []"), 400, "bad_body"),
        ("/v1/completions", KEY, body("canal-9b", "\"prompt\": \"a\""), 404, "unknown_model"),
        (
            "/v1/completions",
            KEY,
            body("canal-8b", "\"prompt\": \"a\", \"adapter\": \"none\""),
            403,
            "choice_not_allowed",
        ),
        (
            "/v1/completions",
            KEY,
            body("canal-8b", "\"prompt\": \"a\", \"max_tokens\": 0"),
            400,
            "bad_max_tokens",
        ),
        (
            "/v1/completions",
            KEY,
            body("canal-8b", &format!("\"prompt\": \"{long}\"")),
            413,
            "prompt_too_long",
        ),
        ("/v1/completions", "wrong", body("canal-8b", "\"prompt\": \"a\""), 401, "unknown_key"),
        ("/services/nothing/x", KEY, String::new(), 404, "unknown_service"),
        (
            "/services/booking-app/x",
            "demo-harbour-office",
            String::new(),
            403,
            "service_not_allowed",
        ),
        ("/v2/completions", KEY, String::new(), 404, "unknown_path"),
        ("/v1/models", KEY, String::new(), 405, "bad_method"),
    ];
    for (path, key, body, status, code) in cases {
        let answer = post(&site, path, key, body).await;
        assert_eq!((answer.status, answer.code().as_str()), (status, code), "{path}");
        assert_eq!(answer.verdict, "not-run", "{path}");
        assert!(answer.request_id.starts_with("entry-0."), "{path}: {}", answer.request_id);
    }
    assert_healthy(&site).await;
}

#[tokio::test]
async fn a_model_without_permission_is_refused() {
    let site = small_site().await;
    let config = VALDIVIA.replace("[[templates]]\nname = \"kiosk\"", "[[models]]\nname = \"other\"\nservice = \"canal-assistant\"\nmax_prompt_tokens = 10\n\n[[templates]]\nname = \"kiosk\"");
    let status = site.get_admin(0, "/admin/v1/status").await.json();
    let version = status["config_version"].as_u64().expect("status has no configuration version");
    assert_eq!(site.apply(&config, version).await.status, 200);
    support::wait_until("the new configuration is in force", async || {
        site.get_admin(0, "/admin/v1/status").await.json()["config_version"] != version
    })
    .await;
    let body = r#"{"model": "other", "prompt": "a"}"#;
    let answer = post(&site, "/v1/completions", KEY, body).await;
    assert_eq!((answer.status, answer.code().as_str()), (403, "model_not_allowed"));
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_before_it_is_read() {
    let site = small_site().await;
    let mut stream = TcpStream::connect(site.callers(0)).await.expect("failed to connect");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100000000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("failed to send the request");
    let text = read_some(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(text.contains("body_too_large") && text.contains("shalelane-verdict: not-run"));
    assert_healthy(&site).await;
}

#[tokio::test]
async fn an_incomplete_body_times_out() {
    let site = small_site().await;
    let mut stream = TcpStream::connect(site.callers(0)).await.expect("failed to connect");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 1000\r\n\r\n{{\"model\": "
    );
    stream.write_all(head.as_bytes()).await.expect("failed to send the request");
    let text = read_some(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("body_too_slow") && text.contains("shalelane-verdict: not-run"));
    assert_healthy(&site).await;
}

#[tokio::test]
async fn a_request_with_too_many_headers_is_refused() {
    let site = small_site().await;
    let mut stream = TcpStream::connect(site.callers(0)).await.expect("failed to connect");
    let mut head = String::from("GET /v1/models HTTP/1.1\r\nhost: x\r\n");
    for number in 0..2_000 {
        let _ = write!(head, "x-{number}: {number}\r\n");
    }
    head.push_str("\r\n");
    // The entry may close the connection before it has read all headers.
    let _ = stream.write_all(head.as_bytes()).await;
    let text = read_some(&mut stream).await;
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 431"), "{text}");
    assert_healthy(&site).await;
}

async fn read_some(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4096];
    let read = tokio::time::timeout(Duration::from_secs(30), stream.read(&mut buffer)).await;
    let count = read.expect("no answer within 30 s").unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

#[tokio::test]
async fn invalid_frames_do_not_disturb_an_agent() {
    let site = small_site().await;
    let agent = site.agents[0].process.address("entries");
    for garbage in
        [&b"not http at all\r\n\r\n"[..], b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", &[0; 512]]
    {
        let mut stream = TcpStream::connect(agent).await.expect("failed to connect");
        let _ = stream.write_all(garbage).await;
        let mut rest = Vec::new();
        let _ = stream.shutdown().await;
        let _ = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut rest)).await;
    }
    assert_healthy(&site).await;
}

#[tokio::test]
async fn operators_need_a_key_and_a_valid_configuration() {
    let site = small_site().await;
    let unauthorized = call(site.admin(0), request("GET", "/admin/v1/status", "guess", "")).await;
    assert_eq!(unauthorized.expect("status request failed").status, 401);
    let invalid = site.apply("[[services]]\nnmae = \"x\"\n", 1).await;
    assert_eq!((invalid.status, invalid.code().as_str()), (422, "bad_config"));
    let message = invalid.json()["error"]["message"].as_str().unwrap_or("").to_owned();
    assert!(message.contains("line 2") && message.contains("nearest is `name`"), "{message}");
    let mut unconditional =
        request("PUT", "/admin/v1/config", standins::fleet::ADMIN_KEY, VALDIVIA);
    unconditional.headers_mut().remove("if-match");
    let answer = call(site.admin(0), unconditional).await.expect("configuration request failed");
    assert_eq!((answer.status, answer.code().as_str()), (428, "missing_version"));
    assert_healthy(&site).await;
}

#[tokio::test]
async fn a_truncated_configuration_does_not_replace_a_valid_one() {
    let site = small_site().await;
    site.store.overwrite("config/manifest", b"{\"token\": \"x\", \"items\": [{\"kind\"");
    assert_healthy(&site).await;
    let missing = br#"{"token": "x", "items": [{"kind": "service", "hash": "00ff"}]}"#;
    site.store.overwrite("config/manifest", missing);
    assert_healthy(&site).await;
    let status = site.get_admin(0, "/admin/v1/status").await.json();
    assert_eq!(status["ready"], true);
}
