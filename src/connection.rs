//! Connections of an HTTP server. An answer reaches its caller although the caller still writes.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::EXPECT;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Maximum size of the rest of a body that is discarded to keep a connection, in bytes.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Time limit for discarding the rest of a body to keep a connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a closed connection is still read. The system resets a connection that is closed
/// with unread bytes, and the caller then loses the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// State of one connection.
#[derive(Default)]
struct ConnectionState {
    /// A body that the server does not read to its end.
    leftover: RefCell<Option<Incoming>>,
    leftover_added: Notify,
    /// Whether the caller may still send a body that nothing reads.
    is_unread: Cell<bool>,
}

impl ConnectionState {
    fn keep_leftover(&self, body: Incoming) {
        *self.leftover.borrow_mut() = Some(body);
        self.leftover_added.notify_one();
    }

    /// Reads and discards the rest of each body that the server has dropped.
    async fn discard_leftovers(&self) -> Infallible {
        loop {
            self.leftover_added.notified().await;
            let body = self.leftover.borrow_mut().take();
            if let Some(body) = body {
                let is_discarded = tokio::time::timeout(DISCARD_TIMEOUT, discard(body)).await;
                self.is_unread.set(!is_discarded.unwrap_or(false));
            }
        }
    }
}

/// Discards the rest of a body. Returns `false` if it is too large.
async fn discard(mut body: Incoming) -> bool {
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await {
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > MAX_DISCARDED_BYTES {
            return false;
        }
    }
    true
}

/// Body of a caller's request. If it is dropped before its end, the rest is discarded, so that the
/// connection need not be reset.
pub(crate) struct RequestBody {
    body: Option<Incoming>,
    state: Rc<ConnectionState>,
    is_ended: bool,
    /// Whether the caller may wait until the body is asked for.
    is_awaited: bool,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let Some(body) = &mut this.body else { return Poll::Ready(None) };
        this.is_awaited = false;
        let polled = Pin::new(body).poll_frame(context);
        this.is_ended |= matches!(polled, Poll::Ready(None | Some(Err(_))));
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(SizeHint::default, Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let is_ended = self.is_ended || self.is_end_stream();
        let Some(body) = self.body.take().filter(|_| !is_ended) else { return };
        if self.is_awaited {
            self.state.is_unread.set(true);
        } else {
            self.state.keep_leftover(body);
        }
    }
}

/// Wraps the body of a request.
fn track_body(request: Request<Incoming>, state: &Rc<ConnectionState>) -> Request<RequestBody> {
    let is_awaited = request.headers().contains_key(EXPECT);
    request.map(|body| RequestBody {
        body: Some(body),
        state: state.clone(),
        is_ended: false,
        is_awaited,
    })
}

/// Socket of a connection. It survives the HTTP library, which would close it.
struct CallerSocket<S> {
    stream: Option<S>,
    /// Takes the socket once the HTTP library has released it.
    released: Rc<Cell<Option<S>>>,
}

impl<S: Unpin> CallerSocket<S> {
    fn stream(&mut self) -> io::Result<Pin<&mut S>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl<S> Drop for CallerSocket<S> {
    fn drop(&mut self) {
        self.released.set(self.stream.take());
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream()?.poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(context)
    }
}

/// How a connection that was served has ended.
#[derive(Debug)]
pub(crate) struct ServedEnd {
    /// The error of the connection, if it ended with one.
    pub(crate) error: Option<hyper::Error>,
    /// Whether a body was answered and not read to its end.
    pub(crate) is_unread: bool,
}

/// Serves one connection until it ends. Once `closing` completes, it takes no further request.
pub(crate) async fn serve_requests<S, H, R, B>(
    stream: S,
    builder: &Builder,
    closing: impl Future<Output = ()>,
    handle: H,
) -> ServedEnd
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<RequestBody>) -> R,
    R: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let state = Rc::new(ConnectionState::default());
    let (handle, owner) = (&handle, &state);
    let service = service_fn(move |request: Request<Incoming>| async move {
        Ok::<_, Infallible>(handle(track_body(request, owner)).await)
    });
    let released = Rc::new(Cell::new(None));
    let socket = CallerSocket { stream: Some(stream), released: released.clone() };
    let error = {
        let connection = builder.serve_connection(TokioIo::new(socket), service);
        let discarding = state.discard_leftovers();
        tokio::pin!(connection, discarding, closing);
        let mut is_closing = false;
        loop {
            tokio::select! {
                result = connection.as_mut() => break result.err(),
                never = &mut discarding => match never {},
                () = &mut closing, if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    };
    let is_unread = state.is_unread.get();
    let is_broken = error.as_ref().is_some_and(|error| !error.is_timeout());
    if let Some(stream) = released.take().filter(|_| is_broken || is_unread) {
        linger(stream).await;
    }
    ServedEnd { error, is_unread }
}

/// Closes the sending side of a connection, and reads until the caller closes its own.
async fn linger<S: AsyncRead + AsyncWrite + Unpin>(mut stream: S) {
    let read_to_end = async {
        poll_fn(|context| Pin::new(&mut stream).poll_shutdown(context)).await?;
        let mut bytes = [0; 8 * 1024];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            poll_fn(|context| Pin::new(&mut stream).poll_read(context, &mut buffer)).await?;
            if buffer.filled().is_empty() {
                return io::Result::Ok(());
            }
        }
    };
    // The connection ends here, whether the caller closes its side or not.
    drop(tokio::time::timeout(LINGER_TIMEOUT, read_to_end).await);
}
