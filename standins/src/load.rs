//! The load generator: sends planned requests to entries and checks every answer.

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

/// Kind and parameters of a planned request.
#[derive(Clone, Debug)]
pub enum PlannedCall {
    /// A completion by a model.
    Model {
        /// Length of the prompt in tokens.
        prompt_tokens: u64,
        /// Length of the answer in tokens.
        answer_tokens: u64,
        /// Family of the prompt. Prompts of one family share a prefix.
        family: u64,
        /// Whether the request asks for a streamed answer.
        is_stream: bool,
        /// Whether the request may be executed more than once.
        is_repeatable: bool,
    },
    /// A call to the plain service that may be executed only once.
    Order {
        /// Path within the service.
        path: String,
        /// Name of the order.
        order: String,
    },
}

/// A request and the time at which it is sent.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Time of the request, from the start of the load.
    pub at: Duration,
    /// Client account that sends the request.
    pub account: String,
    /// Kind and parameters.
    pub call: PlannedCall,
    /// Seed of the prompt; it selects the entry as well.
    pub seed: u64,
    /// Phase of the load, by which reports separate requests.
    pub phase: u8,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The answer was complete and correct.
    Finished,
    /// The answer was complete but its text is not the expected one.
    WrongAnswer,
    /// The request failed with this status and verdict.
    Failed(StatusCode, String),
    /// No final answer arrived, for this reason.
    Lost(String),
}

/// Result and timing of a request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// The planned request.
    pub planned: PlannedRequest,
    /// How the request ended.
    pub end: RequestEnd,
    /// Time from sending the request to the first chunk of the answer.
    pub time_to_first_chunk: Option<Duration>,
    /// Time from sending the request to its end.
    pub duration: Duration,
    /// Time at which the request was sent, from the start of the load.
    pub started: Duration,
    /// Request id that the entry assigned, empty if unknown.
    pub request_id: String,
}

type LoadClient = Client<HttpConnector, Full<Bytes>>;

/// Sends requests to entries.
#[derive(Clone, Debug)]
pub struct LoadCaller {
    client: LoadClient,
    entries: Rc<Vec<SocketAddr>>,
    plain_service: Rc<str>,
    model: Rc<str>,
    timeout: Duration,
}

struct ReceivedAnswer {
    text: String,
    time_to_first_chunk: Option<Duration>,
    is_complete: bool,
    failure: Option<String>,
}

impl LoadCaller {
    /// Creates a caller that spreads requests over `entries` by their seed.
    ///
    /// Each request fails as lost after `timeout`.
    #[must_use]
    pub fn new(
        entries: Vec<SocketAddr>,
        plain_service: &str,
        model: &str,
        timeout: Duration,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(2))
            .build(connector);
        LoadCaller {
            client,
            entries: Rc::new(entries),
            plain_service: plain_service.into(),
            model: model.into(),
            timeout,
        }
    }

    /// Sends one request and checks its answer. `load_start` is the start of the load.
    pub async fn call(&self, planned: PlannedRequest, load_start: Instant) -> RequestOutcome {
        let entry = self.entries[planned.seed as usize % self.entries.len()];
        let (request, expected) = self.to_request(&planned, entry);
        let sent_at = Instant::now();
        let exchange = self.finish(request, expected, sent_at);
        let completed = tokio::time::timeout(self.timeout, exchange).await;
        let (end, time_to_first_chunk, request_id) = completed.unwrap_or_else(|_| {
            (RequestEnd::Lost("no answer within the time limit".into()), None, String::new())
        });
        let started = sent_at.duration_since(load_start);
        RequestOutcome {
            planned,
            end,
            time_to_first_chunk,
            duration: sent_at.elapsed(),
            started,
            request_id,
        }
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
            PlannedCall::Model {
                prompt_tokens,
                answer_tokens,
                family,
                is_stream,
                is_repeatable,
            } => {
                let prompt = make_prompt(*prompt_tokens, *family, 600, planned.seed);
                let expected = whole_answer(prompt_hash(&prompt), *answer_tokens);
                let body = json!({
                    "model": &*self.model,
                    "prompt": prompt,
                    "max_tokens": answer_tokens,
                    "stream": is_stream,
                });
                let repeatable_header = if *is_repeatable { "yes" } else { "no" };
                let builder = builder
                    .uri(format!("http://{entry}/v1/completions"))
                    .header("shalelane-repeatable", repeatable_header);
                (build(builder, &body), Some(expected))
            }
            PlannedCall::Order { path, order } => {
                let uri = format!("http://{entry}/services/{}{path}", self.plain_service);
                (build(builder.uri(uri), &json!({"order": order})), None)
            }
        }
    }

    async fn finish(
        &self,
        request: Request<Full<Bytes>>,
        expected: Option<String>,
        sent_at: Instant,
    ) -> (RequestEnd, Option<Duration>, String) {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => return (RequestEnd::Lost(error.to_string()), None, String::new()),
        };
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (status, request_id, verdict) =
            (response.status(), header("x-request-id"), header("shalelane-verdict"));
        let is_stream = header("content-type").starts_with("text/event-stream");
        if !status.is_success() {
            let _ = response.into_body().collect().await;
            return (RequestEnd::Failed(status, verdict), None, request_id);
        }
        let received = read_answer(response, is_stream, sent_at).await;
        let end = match (received.failure, received.is_complete, expected) {
            (Some(verdict), _, _) => RequestEnd::Failed(StatusCode::BAD_GATEWAY, verdict),
            (None, false, _) => RequestEnd::Lost("the answer was incomplete".into()),
            (None, true, Some(expected)) if expected != received.text => RequestEnd::WrongAnswer,
            (None, true, _) => RequestEnd::Finished,
        };
        (end, received.time_to_first_chunk, request_id)
    }
}

fn build(builder: hyper::http::request::Builder, body: &Value) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    builder.body(Full::new(body.into())).expect("a well-formed request")
}

async fn read_answer(
    response: hyper::Response<hyper::body::Incoming>,
    is_stream: bool,
    sent_at: Instant,
) -> ReceivedAnswer {
    let mut answer = ReceivedAnswer {
        text: String::new(),
        time_to_first_chunk: None,
        is_complete: false,
        failure: None,
    };
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(part) = frame.into_data() else {
            continue;
        };
        answer.time_to_first_chunk.get_or_insert(sent_at.elapsed());
        buffer.extend_from_slice(&part);
        if is_stream {
            parse_events(&mut buffer, &mut answer);
        }
    }
    if !is_stream {
        let value: Value = serde_json::from_slice(&buffer).unwrap_or_default();
        answer.text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
        answer.is_complete = !value.is_null();
    }
    answer
}

fn parse_events(buffer: &mut Vec<u8>, answer: &mut ReceivedAnswer) {
    while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = buffer.drain(..end + 2).collect();
        let event = String::from_utf8_lossy(&event).into_owned();
        let Some(data) = event.trim().rsplit("data: ").next() else {
            continue;
        };
        if data == "[DONE]" {
            answer.is_complete = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(verdict) = value["error"]["verdict"].as_str() {
            answer.failure = Some(verdict.to_owned());
        }
        answer.text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
    }
}
