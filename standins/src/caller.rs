//! A plain caller for tests: one request, and its answer as it comes.

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

/// Time after which a test's call counts as hung.
pub const HUNG: Duration = Duration::from_secs(60);

/// A request under way on a connection of its own. Dropping it closes the
/// connection.
#[derive(Debug)]
pub struct OpenCall {
    /// Head of the answer.
    pub response: Response<Incoming>,
    connection: JoinHandle<()>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header with the verdict.
    pub verdict: String,
    /// Header with the request's id.
    pub request_id: String,
    /// Header that tells when to come back.
    pub retry_after: String,
    /// The body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// The body as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Code of the error, empty where there is none.
    #[must_use]
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    /// Text of all events of a stream.
    #[must_use]
    pub fn stream_text(&self) -> String {
        let body = String::from_utf8_lossy(&self.body).into_owned();
        let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let values = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        values.filter_map(|value| Some(value["choices"][0]["text"].as_str()?.to_owned())).collect()
    }

    /// Returns true where a stream came to its end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// No connection, or one that broke off.
pub async fn open(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<OpenCall, String> {
    let work = async {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
        let connection = tokio::spawn(async move {
            let _ = connection.await;
        });
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        Ok(OpenCall { response, connection })
    };
    tokio::time::timeout(HUNG, work).await.map_err(|_| "hung".to_owned())?
}

/// Reads the rest of an answer.
///
/// # Errors
///
/// The connection broke off.
pub async fn finish(mut call: OpenCall) -> Result<WholeAnswer, String> {
    let header = |name: &str| {
        let value = call.response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let (verdict, request_id, retry_after) =
        (header("shalelane-verdict"), header("x-request-id"), header("retry-after"));
    let status = call.response.status().as_u16();
    let body = tokio::time::timeout(HUNG, call.response.body_mut().collect()).await;
    let body = body.map_err(|_| "hung".to_owned())?.map_err(|error| error.to_string())?;
    Ok(WholeAnswer { status, verdict, request_id, retry_after, body: body.to_bytes() })
}

/// Reads the next part of a stream.
pub async fn next_part(call: &mut OpenCall) -> Option<Bytes> {
    let frame = tokio::time::timeout(HUNG, call.response.body_mut().frame()).await.ok()??;
    frame.ok()?.into_data().ok()
}

/// Makes a request and reads the whole answer.
///
/// # Errors
///
/// No connection, or one that broke off.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<WholeAnswer, String> {
    finish(open(address, request).await?).await
}

/// A request with a key and a body.
///
/// # Panics
///
/// If the parts make no request.
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

/// A streamed completion of the demo's model, for one of its accounts.
#[must_use]
pub fn completion(account: &str, prompt: &str, answer: u64) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": "canal-8b", "prompt": prompt, "max_tokens": answer, "stream": true,
    });
    request("POST", "/v1/completions", &format!("demo-{account}"), body.to_string())
}

/// An order to the demo's plain service.
#[must_use]
pub fn order(name: &str) -> Request<Full<Bytes>> {
    let body = serde_json::json!({"order": name});
    request("POST", "/services/booking-app/confirm", "demo-pier-app", body.to_string())
}
