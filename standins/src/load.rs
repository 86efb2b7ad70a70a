//! The load tool: callers of an entry, and a check of every answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use crate::prompt::{make_prompt, prompt_hash, whole_answer};

/// What a planned request asks for.
#[derive(Clone, Debug)]
pub enum PlannedCall {
    /// A completion of a prompt.
    Model {
        /// Tokens of the prompt.
        tokens: u64,
        /// Tokens of the answer.
        answer: u64,
        /// Prompts of one family begin alike.
        family: u64,
        /// Whether the answer is wanted as a stream.
        stream: bool,
        /// Whether it may run again.
        repeatable: bool,
    },
    /// A call of a plain service that may run once only.
    Order {
        /// Path at the service.
        path: String,
        /// The order.
        order: String,
    },
}

/// A request that is to be made at a time.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Time since the start.
    pub at: Duration,
    /// Client account.
    pub account: String,
    /// What it asks for.
    pub call: PlannedCall,
    /// Seed of its prompt.
    pub seed: u64,
    /// Part of the load that the figures are split by.
    pub phase: u8,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer, and the right one.
    Finished,
    /// A whole answer that is not the one to this request.
    Mixed,
    /// A final failure with this verdict.
    Failed(StatusCode, String),
    /// No final answer.
    Lost(String),
}

/// What came of a request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// The request.
    pub planned: PlannedRequest,
    /// Its end.
    pub end: RequestEnd,
    /// Time to the first part of the answer.
    pub first: Option<Duration>,
    /// Time to its end.
    pub total: Duration,
    /// When it was made, since the start.
    pub started: Duration,
    /// Name that the entry gave it.
    pub id: String,
}

type LoadClient = Client<HttpConnector, Full<Bytes>>;

/// Makes requests.
#[derive(Clone, Debug)]
pub struct LoadCaller {
    client: LoadClient,
    entries: Rc<Vec<SocketAddr>>,
    plain: Rc<str>,
    model: Rc<str>,
    limit: Duration,
}

struct ReadAnswer {
    text: String,
    first: Option<Duration>,
    is_whole: bool,
    failure: Option<String>,
}

impl LoadCaller {
    /// Calls `entries` in turn.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, plain: &str, model: &str, limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(2))
            .build(connector);
        LoadCaller {
            client,
            entries: Rc::new(entries),
            plain: plain.into(),
            model: model.into(),
            limit,
        }
    }

    /// Makes one request and checks its answer.
    pub async fn call(&self, planned: PlannedRequest, zero: Instant) -> RequestOutcome {
        let entry = self.entries[planned.seed as usize % self.entries.len()];
        let (request, expected) = self.to_request(&planned, entry);
        let start = Instant::now();
        let work = self.finish(request, expected, start);
        let done = tokio::time::timeout(self.limit, work).await;
        let (end, first, id) = done.unwrap_or_else(|_| {
            (RequestEnd::Lost("no answer in time".into()), None, String::new())
        });
        let started = start.duration_since(zero);
        RequestOutcome { planned, end, first, total: start.elapsed(), started, id }
    }

    fn to_request(
        &self,
        planned: &PlannedRequest,
        entry: SocketAddr,
    ) -> (Request<Full<Bytes>>, Option<String>) {
        let builder = Request::builder()
            .method("POST")
            .header("authorization", format!("Bearer demo-{}", planned.account))
            .header("content-type", "application/json");
        match &planned.call {
            PlannedCall::Model { tokens, answer, family, stream, repeatable } => {
                let prompt = make_prompt(*tokens, *family, 600, planned.seed);
                let expected = whole_answer(prompt_hash(&prompt), *answer);
                let body = json!({
                    "model": &*self.model,
                    "prompt": prompt,
                    "max_tokens": answer,
                    "stream": stream,
                });
                let repeat = if *repeatable { "yes" } else { "no" };
                let builder = builder
                    .uri(format!("http://{entry}/v1/completions"))
                    .header("shalelane-repeatable", repeat);
                (build(builder, &body), Some(expected))
            }
            PlannedCall::Order { path, order } => {
                let uri = format!("http://{entry}/services/{}{path}", self.plain);
                (build(builder.uri(uri), &json!({"order": order})), None)
            }
        }
    }

    async fn finish(
        &self,
        request: Request<Full<Bytes>>,
        expected: Option<String>,
        start: Instant,
    ) -> (RequestEnd, Option<Duration>, String) {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => return (RequestEnd::Lost(error.to_string()), None, String::new()),
        };
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (status, id, verdict) =
            (response.status(), header("x-request-id"), header("shalelane-verdict"));
        let is_stream = header("content-type").starts_with("text/event-stream");
        if !status.is_success() {
            let _ = response.into_body().collect().await;
            return (RequestEnd::Failed(status, verdict), None, id);
        }
        let read = read_answer(response, is_stream, start).await;
        let end = match (read.failure, read.is_whole, expected) {
            (Some(verdict), _, _) => RequestEnd::Failed(StatusCode::BAD_GATEWAY, verdict),
            (None, false, _) => RequestEnd::Lost("the answer broke off".into()),
            (None, true, Some(expected)) if expected != read.text => RequestEnd::Mixed,
            (None, true, _) => RequestEnd::Finished,
        };
        (end, read.first, id)
    }
}

fn build(builder: hyper::http::request::Builder, body: &Value) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    builder.body(Full::new(body.into())).expect("a well-formed request")
}

async fn read_answer(
    response: hyper::Response<hyper::body::Incoming>,
    is_stream: bool,
    start: Instant,
) -> ReadAnswer {
    let mut answer =
        ReadAnswer { text: String::new(), first: None, is_whole: false, failure: None };
    let mut body = response.into_body();
    let mut pending = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(part) = frame.into_data() else {
            continue;
        };
        answer.first.get_or_insert(start.elapsed());
        pending.extend_from_slice(&part);
        if is_stream {
            take_events(&mut pending, &mut answer);
        }
    }
    if !is_stream {
        let value: Value = serde_json::from_slice(&pending).unwrap_or_default();
        answer.text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
        answer.is_whole = !value.is_null();
    }
    answer
}

fn take_events(pending: &mut Vec<u8>, answer: &mut ReadAnswer) {
    while let Some(end) = pending.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = pending.drain(..end + 2).collect();
        let event = String::from_utf8_lossy(&event).into_owned();
        let Some(data) = event.trim().rsplit("data: ").next() else {
            continue;
        };
        if data == "[DONE]" {
            answer.is_whole = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(verdict) = value["error"]["verdict"].as_str() {
            answer.failure = Some(verdict.to_owned());
        }
        answer.text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
    }
}
