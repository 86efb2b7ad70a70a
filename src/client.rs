//! Calls over HTTP to the platform and to targets.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::{Error, Result};
use crate::silence::end_when_silent;

/// Body of a call.
pub type CallBody = BoxBody<Bytes, std::convert::Infallible>;

/// Longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// A client that keeps connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, CallBody>,
}

/// Why a call failed.
#[derive(Debug)]
pub enum CallFault {
    /// No connection could be made: nothing was sent.
    NotSent(String),
    /// It may have arrived.
    Unknown(String),
}

impl HttpClient {
    /// A client that keeps up to `idle` connections, and sends nothing twice.
    #[must_use]
    pub fn new(idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        end_when_silent(&mut connector);
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { inner }
    }

    /// Sends a request and returns as soon as the head of the answer is here.
    ///
    /// # Errors
    ///
    /// The fault says whether anything may have arrived.
    pub async fn send(
        &self,
        request: Request<CallBody>,
    ) -> std::result::Result<Response<Incoming>, CallFault> {
        self.inner.request(request).await.map_err(|error| {
            let text = to_text(&error);
            if error.is_connect() { CallFault::NotSent(text) } else { CallFault::Unknown(text) }
        })
    }

    /// Sends a request and reads the whole answer, within a time limit.
    ///
    /// # Errors
    ///
    /// No answer in time, or a broken one: the call may have taken effect.
    pub async fn call(
        &self,
        request: Request<CallBody>,
        limit: Duration,
    ) -> Result<Response<Bytes>> {
        let work = async {
            let response = self.send(request).await.map_err(|fault| match fault {
                CallFault::NotSent(text) | CallFault::Unknown(text) => Error::unreachable(text),
            })?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(Error::unreachable)?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        tokio::time::timeout(limit, work).await.map_err(Error::unreachable)?
    }
}

fn to_text(error: &hyper_util::client::legacy::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// A body of one piece.
pub fn full(body: impl Into<Bytes>) -> CallBody {
    Full::new(body.into()).boxed()
}

/// A body of pieces that are sent as they are.
#[must_use]
pub fn pieces(parts: Vec<Bytes>) -> CallBody {
    let frames = parts.into_iter().map(|part| Ok(Frame::data(part)));
    BodyExt::boxed(StreamBody::new(futures_util::stream::iter(frames)))
}
