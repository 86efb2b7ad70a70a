//! A minimal HTTP client for tests. Each request uses a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Timeout of a test's call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A request in progress on a dedicated connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct OpenCall {
    /// Response whose head has arrived.
    pub response: Response<Incoming>,
    connection: JoinHandle<()>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header `shalelane-verdict`, empty if absent.
    pub verdict: String,
    /// Header `x-request-id`, empty if absent.
    pub request_id: String,
    /// Header `retry-after`, empty if absent.
    pub retry_after: String,
    /// Body of the response.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Parses the body as JSON. Returns `Null` if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the error code, empty if there is none.
    #[must_use]
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    /// Returns the concatenated text of all events of a stream.
    #[must_use]
    pub fn stream_text(&self) -> String {
        let body = String::from_utf8_lossy(&self.body).into_owned();
        let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let values = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        values.filter_map(|value| Some(value["choices"][0]["text"].as_str()?.to_owned())).collect()
    }

    /// Returns `true` if a stream ended with its `[DONE]` event.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
///
/// If the connection fails or the head does not arrive within [`CALL_TIMEOUT`].
pub async fn open(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<OpenCall, String> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
        let connection = tokio::spawn(async move {
            let _ = connection.await;
        });
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        Ok(OpenCall { response, connection })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.map_err(|_| "hung".to_owned())?
}

/// Reads the rest of an answer.
///
/// # Errors
///
/// If the connection fails or the body does not end within [`CALL_TIMEOUT`].
pub async fn finish(mut call: OpenCall) -> Result<WholeAnswer, String> {
    let header = |name: &str| {
        let value = call.response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let (verdict, request_id, retry_after) =
        (header("shalelane-verdict"), header("x-request-id"), header("retry-after"));
    let status = call.response.status().as_u16();
    let body = tokio::time::timeout(CALL_TIMEOUT, call.response.body_mut().collect()).await;
    let body = body.map_err(|_| "hung".to_owned())?.map_err(|error| error.to_string())?;
    Ok(WholeAnswer { status, verdict, request_id, retry_after, body: body.to_bytes() })
}

/// Reads the next chunk of a stream. Returns `None` at its end, on failure and on time-out.
pub async fn next_chunk(call: &mut OpenCall) -> Option<Bytes> {
    let frame =
        tokio::time::timeout(CALL_TIMEOUT, call.response.body_mut().frame()).await.ok()??;
    frame.ok()?.into_data().ok()
}

/// Sends a request and reads the complete answer.
///
/// # Errors
///
/// If the connection fails, or the head or the body does not arrive within [`CALL_TIMEOUT`].
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<WholeAnswer, String> {
    finish(open(address, request).await?).await
}

/// Builds a request with an API key and a body.
///
/// # Panics
///
/// If the method or the path is malformed.
#[must_use]
pub fn request(
    method: &str,
    path: &str,
    key: &str,
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "fleet")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(body.into()))
        .expect("a well-formed request")
}

/// Builds a request for a streamed completion by the demo's model, with an account's key.
#[must_use]
pub fn completion(account: &str, prompt: &str, max_tokens: u64) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": "canal-8b", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    });
    request("POST", "/v1/completions", &format!("demo-{account}"), body.to_string())
}

/// Builds an order to the demo's plain service.
#[must_use]
pub fn order(name: &str) -> Request<Full<Bytes>> {
    let body = serde_json::json!({"order": name});
    request("POST", "/services/booking-app/confirm", "demo-pier-app", body.to_string())
}
