//! Responses, request bodies and connections of the HTTP servers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

use crate::connection::{
    ConnectionGroup, IDLE_CONNECTION_BYTES, RECEIVE_BUFFER_BYTES, RequestBody, SEND_BUFFER_BYTES,
    serve_requests,
};
use crate::head_limit::HeadLimit;
use crate::memory_budget::{ClaimedBuffer, MemoryBudget, MemoryClaim, NoRoom};
use crate::verdict::Verdict;

/// Header with the verdict on whether the request ran.
pub const VERDICT_HEADER: &str = "shalelane-verdict";

/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Timeout for the header section of a request to arrive.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections that wait to be accepted. The system drops those beyond it, and
/// their callers connect again after a second.
const MAX_WAITING_CONNECTIONS: u32 = 4_096;

/// Delay after a failed accept of a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum size of the header section of a request, in bytes.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Body of a response: buffered, or streamed in chunks.
pub(crate) enum ResponseBody {
    Buffered(Full<Bytes>),
    Streamed(ChunkStream),
}

/// Chunks of a response body, and a guard that is dropped with the body: the drop shows that the
/// caller disconnected.
pub(crate) struct ChunkStream {
    pub(crate) chunks: mpsc::UnboundedReceiver<(Bytes, MemoryClaim)>,
    pub(crate) _guard: Box<dyn std::any::Any>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => Pin::new(body).poll_frame(context),
            ResponseBody::Streamed(stream) => {
                let chunk = stream.chunks.poll_recv(context);
                chunk.map(|chunk| chunk.map(|(data, _claim)| Ok(Frame::data(data))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Response of an HTTP server.
pub(crate) type WebResponse = Response<ResponseBody>;

/// Creates a response with a buffered body.
pub(crate) fn to_response(
    status: StatusCode,
    content_type: &str,
    body: impl Into<Bytes>,
) -> WebResponse {
    let mut response = Response::new(ResponseBody::Buffered(Full::new(body.into())));
    *response.status_mut() = status;
    let value = HeaderValue::from_str(content_type);
    let value = value.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Creates a response with a JSON body.
pub(crate) fn to_json_response<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    to_response(status, "application/json", body)
}

/// JSON body of an error response.
#[derive(Serialize)]
pub(crate) struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: &'a str,
    verdict: String,
    request_id: &'a str,
}

impl<'a> ErrorBody<'a> {
    pub(crate) fn new(
        code: &'a str,
        message: &'a str,
        verdict: Verdict,
        request_id: &'a str,
    ) -> Self {
        let verdict = verdict.to_string();
        ErrorBody { error: ErrorDetail { code, message, verdict, request_id } }
    }
}

/// Creates an error response; `retry_after` is rounded up to whole seconds.
pub(crate) fn to_error_response(
    status: StatusCode,
    code: &str,
    message: &str,
    verdict: Verdict,
    request_id: &str,
    retry_after: Option<Duration>,
) -> WebResponse {
    let mut response =
        to_json_response(status, &ErrorBody::new(code, message, verdict, request_id));
    set_verdict(response.headers_mut(), verdict, request_id);
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Sets the headers with the verdict and the request id.
pub(crate) fn set_verdict(headers: &mut HeaderMap, verdict: Verdict, request_id: &str) {
    let values =
        [(VERDICT_HEADER, verdict.to_string()), (REQUEST_ID_HEADER, request_id.to_owned())];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
}

/// Returns the token of an `Authorization: Bearer` header.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(hyper::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    TimedOut,
    Aborted,
    /// Callers make this process hold too much.
    NoRoom,
}

/// Reads a whole body within `timeout`. The maximum size, in bytes, may change meanwhile; the largest
/// one holds. Memory for it is claimed as it arrives.
pub(crate) async fn read_body(
    mut body: RequestBody,
    max_bytes: impl Fn() -> usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let memory = body.memory().clone();
    let expected_bytes = body.size_hint().lower() as usize;
    let announced_bytes = body.size_hint().exact().map_or(usize::MAX, |length| length as usize);
    let mut limit = max_bytes();
    if expected_bytes > limit {
        return Err(BodyError::TooLarge);
    }
    let read = async {
        let mut buffer = ClaimedBuffer::new(&memory);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Aborted)?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            limit = limit.max(max_bytes());
            if buffer.len() + chunk.len() > limit {
                return Err(BodyError::TooLarge);
            }
            let extended = buffer.extend(&chunk, limit.min(announced_bytes)).await;
            extended.map_err(|NoRoom| BodyError::NoRoom)?;
        }
        Ok(buffer.into_bytes())
    };
    let work = tokio::time::timeout(timeout, read);
    match memory.run_refusable(work).await {
        Ok(read) => read.unwrap_or(Err(BodyError::TimedOut)),
        Err(NoRoom) => Err(BodyError::NoRoom),
    }
}

/// Listens on an address, with a queue for the connections that arrive while the process stalls.
///
/// # Errors
///
/// The address is in use or not one of this host.
pub(crate) fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Connections inherit the sizes, which otherwise grow to megabytes each.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(MAX_WAITING_CONNECTIONS)
}

/// Accepts the next connection. Retries after a failure, since causes such as a lack of file
/// descriptors are temporary.
pub(crate) async fn accept_next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves one connection until it ends.
pub(crate) async fn serve_connection<F, R>(
    stream: TcpStream,
    group: Rc<ConnectionGroup>,
    budget: &MemoryBudget,
    handle: F,
) where
    F: Fn(Request<RequestBody>) -> R,
    R: Future<Output = WebResponse>,
{
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_headers(MAX_HEADERS);
    // A connection error is ignored: the outcome of each request is handled separately.
    let head_limit = HeadLimit {
        wait_until_overdue: std::future::pending,
        is_overdue: || false,
        max_bytes: || MAX_HEADER_BYTES,
    };
    let memory = budget.open(IDLE_CONNECTION_BYTES);
    serve_requests(stream, builder, group, memory.holder(), head_limit, handle).await;
}
