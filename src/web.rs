//! What the callers' and the operators' HTTP servers share.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::verdict::Verdict;

/// Header that carries the verdict of an answer.
pub const VERDICT_HEADER: &str = "shalelane-verdict";

/// Header that carries the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Longest time for the head of a request to arrive.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// Wait after a connection that could not be accepted.
const ACCEPT_STEP: Duration = Duration::from_millis(20);

/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Body of an answer: whole, or in parts as they come.
pub(crate) enum AnswerBody {
    Whole(Full<Bytes>),
    Parts(PartStream),
}

/// Parts of an answer, and a value that is dropped with the body, so that a
/// caller's going away is noticed.
pub(crate) struct PartStream {
    pub(crate) parts: mpsc::UnboundedReceiver<Bytes>,
    pub(crate) _guard: Box<dyn std::any::Any>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => Pin::new(body).poll_frame(context),
            AnswerBody::Parts(stream) => {
                stream.parts.poll_recv(context).map(|part| part.map(|part| Ok(Frame::data(part))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Parts(_) => SizeHint::default(),
        }
    }
}

pub(crate) type Answer = Response<AnswerBody>;

/// A whole answer.
pub(crate) fn answer(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(AnswerBody::Whole(Full::new(body.into())));
    *response.status_mut() = status;
    let value = HeaderValue::from_str(content_type);
    let value = value.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// A whole answer in JSON.
pub(crate) fn answer_json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(status, "application/json", body)
}

/// The body of a failure.
#[derive(Serialize)]
pub(crate) struct FaultBody<'a> {
    error: FaultDetail<'a>,
}

#[derive(Serialize)]
struct FaultDetail<'a> {
    code: &'a str,
    message: &'a str,
    verdict: String,
    request_id: &'a str,
}

impl<'a> FaultBody<'a> {
    pub(crate) fn new(
        code: &'a str,
        message: &'a str,
        verdict: Verdict,
        request_id: &'a str,
    ) -> Self {
        let verdict = verdict.to_string();
        FaultBody { error: FaultDetail { code, message, verdict, request_id } }
    }
}

/// The answer of a request that failed.
pub(crate) fn answer_fault(
    status: StatusCode,
    code: &str,
    message: &str,
    verdict: Verdict,
    request_id: &str,
    retry_after: Option<Duration>,
) -> Answer {
    let mut response = answer_json(status, &FaultBody::new(code, message, verdict, request_id));
    set_verdict(response.headers_mut(), verdict, request_id);
    if let Some(span) = retry_after {
        let seconds = span.as_millis().div_ceil(1000).max(1) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

pub(crate) fn set_verdict(headers: &mut HeaderMap, verdict: Verdict, request_id: &str) {
    let values =
        [(VERDICT_HEADER, verdict.to_string()), (REQUEST_ID_HEADER, request_id.to_owned())];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
}

/// The secret of an `Authorization: Bearer` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(hyper::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFault {
    TooLarge,
    TooSlow,
    Broken,
}

/// Reads a body whole, within bounds.
pub(crate) async fn read_body(
    mut body: Incoming,
    max: usize,
    limit: Duration,
) -> Result<Bytes, BodyFault> {
    let announced = body.size_hint().lower() as usize;
    if announced > max {
        return Err(BodyFault::TooLarge);
    }
    let work = async {
        let mut whole = BytesMut::with_capacity(announced);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyFault::Broken)?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if whole.len() + part.len() > max {
                return Err(BodyFault::TooLarge);
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    };
    tokio::time::timeout(limit, work).await.unwrap_or(Err(BodyFault::TooSlow))
}

/// Accepts the next connection. A failure, as when the process has no more
/// descriptors, passes with time.
pub(crate) async fn accept_next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_STEP).await,
        }
    }
}

/// Serves one connection until it ends.
pub(crate) async fn serve_connection<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Answer>,
{
    let _ = stream.set_nodelay(true);
    let handle = &handle;
    let service =
        service_fn(move |request| async move { Ok::<_, Infallible>(handle(request).await) });
    // How a connection ends is the caller's affair; its requests have answers.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(MAX_HEAD)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
