//! HTTP client for calls to the platform and to targets.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Collected, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::{Error, Result};
use crate::silence::enable_keepalive;

/// Body of a call.
pub type CallBody = BoxBody<Bytes, std::convert::Infallible>;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the body of a response that is read whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// An HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, CallBody>,
}

/// Reason why a call failed.
#[derive(Debug)]
pub enum CallFault {
    /// No connection could be established, so nothing was sent.
    NotSent(String),
    /// The request may have arrived.
    Unknown(String),
}

impl HttpClient {
    /// Creates a client that keeps up to `max_idle` idle connections per host and never resends a
    /// request.
    #[must_use]
    pub fn new(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        enable_keepalive(&mut connector);
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { inner }
    }

    /// Sends a request and returns when the head of the response arrives.
    ///
    /// # Errors
    ///
    /// The fault states whether the request may have arrived.
    pub async fn send(
        &self,
        request: Request<CallBody>,
    ) -> std::result::Result<Response<Incoming>, CallFault> {
        self.inner.request(request).await.map_err(|error| {
            let text = to_text(&error);
            if error.is_connect() { CallFault::NotSent(text) } else { CallFault::Unknown(text) }
        })
    }

    /// Sends a request and reads the complete response within a time limit.
    ///
    /// # Errors
    ///
    /// The response did not arrive in time or is broken; the call may have taken effect.
    pub async fn call(
        &self,
        request: Request<CallBody>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>> {
        let work = async {
            let response = self.send(request).await.map_err(|fault| match fault {
                CallFault::NotSent(text) | CallFault::Unknown(text) => Error::unreachable(text),
            })?;
            let (parts, body) = response.into_parts();
            let body = read_whole(body).await.map_err(Error::unreachable)?;
            Ok(Response::from_parts(parts, body))
        };
        tokio::time::timeout(time_limit, work).await.map_err(Error::unreachable)?
    }
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// The body breaks off, or is larger than 8 MiB.
pub(crate) async fn read_whole(body: Incoming) -> std::result::Result<Bytes, String> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    collected.map(Collected::to_bytes).map_err(|error| error.to_string())
}

fn to_text(error: &hyper_util::client::legacy::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Creates a body from one buffer.
pub fn full(body: impl Into<Bytes>) -> CallBody {
    Full::new(body.into()).boxed()
}

/// Creates a body from chunks, which are sent unchanged.
#[must_use]
pub fn pieces(chunks: Vec<Bytes>) -> CallBody {
    let frames = chunks.into_iter().map(|chunk| Ok(Frame::data(chunk)));
    BodyExt::boxed(StreamBody::new(futures_util::stream::iter(frames)))
}
