//! Connections of an HTTP server. An answer reaches its caller although the caller still writes,
//! and a server that stops knows which connections owe an answer.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::os::fd::AsFd;
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
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{Notify, watch};

use crate::head_limit::{HeadLimit, LimitedConnection};
use crate::memory_budget::{MemoryClaim, MemoryHolder};

/// Maximum size of the rest of a body that is discarded to keep a connection, in bytes.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Time limit for discarding the rest of a body to keep a connection.
pub(crate) const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a closed connection is still read. The system resets a connection that is closed
/// with unread bytes, and the caller then loses the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an idle connection stays open once its server closes, for a request that is on
/// its way.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Memory that a connection holds without a request, in bytes: its task and the buffers of the HTTP
/// library.
pub(crate) const IDLE_CONNECTION_BYTES: usize = 24 * 1024;

/// Size of the receive buffer of a caller's socket, in bytes, which the system may double.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Size of the send buffer of a caller's socket, in bytes, which the system may double.
pub(crate) const SEND_BUFFER_BYTES: u32 = 32 * 1024;

/// Memory that the system holds for a caller that does not read, in bytes.
const UNSENT_BYTES: usize = 2 * SEND_BUFFER_BYTES as usize;

/// Memory that a head holds for each of its bytes: the read buffer doubles.
const HEAD_FACTOR: usize = 2;

/// The connections of one server.
#[derive(Debug)]
pub(crate) struct ConnectionGroup {
    busy: Cell<usize>,
    closing: watch::Sender<bool>,
}

impl ConnectionGroup {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(ConnectionGroup { busy: Cell::new(0), closing: watch::Sender::new(false) })
    }

    /// Returns the number of connections on which a request has begun to arrive whose answer is
    /// not written to the end.
    pub(crate) fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Closes each connection as soon as it owes no answer.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Completes once the connections are to be closed.
    pub(crate) async fn closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as this group.
        drop(closing.wait_for(|closing| *closing).await);
    }
}

/// State of one connection.
pub(crate) struct ConnectionState {
    memory: MemoryHolder,
    /// What the head of the present request holds.
    head_claim: RefCell<Option<MemoryClaim>>,
    /// What the socket holds while the caller does not read.
    unsent_claim: Cell<Option<MemoryClaim>>,
    /// Whether bytes of a request have arrived that is not answered yet.
    has_input: Cell<bool>,
    /// Number of requests without an answer, and answers that are not written to the end.
    exchanges: Cell<usize>,
    /// Whether the caller's window is full.
    is_write_blocked: Cell<bool>,
    /// A body that the server does not read to its end.
    leftover: RefCell<Option<Incoming>>,
    leftover_added: Notify,
    is_discarding: Cell<bool>,
    /// Whether the caller may still send a body that nothing reads.
    is_unread: Cell<bool>,
    /// Whether the bytes of the next head stay in the socket.
    holds_heads: Cell<bool>,
}

impl ConnectionState {
    fn new(memory: MemoryHolder) -> Self {
        ConnectionState {
            memory,
            head_claim: RefCell::default(),
            unsent_claim: Cell::default(),
            has_input: Cell::new(false),
            exchanges: Cell::new(0),
            is_write_blocked: Cell::new(false),
            leftover: RefCell::default(),
            leftover_added: Notify::new(),
            is_discarding: Cell::new(false),
            is_unread: Cell::new(false),
            holds_heads: Cell::new(false),
        }
    }

    /// Records bytes that were read from the caller.
    fn record_read(&self, length: usize) {
        self.memory.record_moved(length);
        if self.expects_head() {
            let claim = self.memory.claim_held(length * HEAD_FACTOR);
            match &mut *self.head_claim.borrow_mut() {
                Some(head_claim) => head_claim.merge(claim),
                head_claim => *head_claim = Some(claim),
            }
        }
        self.has_input.set(true);
    }

    /// Records the outcome of a write to the caller.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let was_blocked = self.is_write_blocked.replace(written.is_pending());
        if let Poll::Ready(Ok(length)) = written {
            self.memory.record_moved(*length);
        }
        if was_blocked == written.is_pending() {
            return;
        }
        let claim = written.is_pending().then(|| self.memory.claim_held(UNSENT_BYTES));
        self.unsent_claim.set(claim);
        self.memory.set_stalled(written.is_pending() || self.exchanges.get() == 0);
    }

    /// Returns `true` if bytes of a request have arrived that is not answered yet.
    pub(crate) fn has_input(&self) -> bool {
        self.has_input.get()
    }

    /// Returns `true` if the last answer is written, and the next bytes belong to a head.
    pub(crate) fn is_between_exchanges(&self) -> bool {
        self.expects_head() && !self.is_write_blocked.get()
    }

    /// Sets whether the bytes of the next head stay in the socket.
    pub(crate) fn hold_heads(&self, is_held: bool) {
        self.holds_heads.set(is_held);
    }

    /// Returns `true` if the bytes of the next head stay in the socket.
    pub(crate) fn holds_heads(&self) -> bool {
        self.holds_heads.get()
    }

    fn expects_head(&self) -> bool {
        self.exchanges.get() == 0 && !self.is_discarding.get() && !self.is_unread.get()
    }

    fn is_busy(&self) -> bool {
        self.has_input.get()
            || self.exchanges.get() > 0
            || self.is_write_blocked.get()
            || self.is_discarding.get()
    }

    /// Waits until a head is overdue and nothing of the exchange before it is under way. Both states
    /// change only where this is polled as well.
    async fn wait_until_overdue(&self, wait: &impl AsyncFn()) {
        wait().await;
        poll_fn(|_| {
            let is_under_way = self.is_write_blocked.get() || self.is_discarding.get();
            if is_under_way { Poll::Pending } else { Poll::Ready(()) }
        })
        .await;
    }

    fn keep_leftover(&self, body: Incoming) {
        *self.leftover.borrow_mut() = Some(body);
        self.is_discarding.set(true);
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
            self.is_discarding.set(false);
            self.has_input.set(false);
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

/// Counts a connection as busy.
struct BusyMark {
    group: Rc<ConnectionGroup>,
    is_busy: Cell<bool>,
}

impl BusyMark {
    fn set(&self, is_busy: bool) {
        if self.is_busy.replace(is_busy) != is_busy {
            let busy = self.group.busy.get();
            self.group.busy.set(if is_busy { busy + 1 } else { busy - 1 });
        }
    }
}

impl Drop for BusyMark {
    fn drop(&mut self) {
        self.set(false);
    }
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

impl RequestBody {
    /// Returns what the connection holds of the memory of this process.
    pub(crate) fn memory(&self) -> &MemoryHolder {
        &self.state.memory
    }
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
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            this.is_ended = true;
            this.state.memory.set_stalled(false);
        }
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

/// Counts a request until its answer is written to the end.
struct Exchange(Rc<ConnectionState>);

impl Exchange {
    fn new(state: &Rc<ConnectionState>) -> Self {
        state.exchanges.set(state.exchanges.get() + 1);
        Exchange(state.clone())
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get() - 1);
        self.0.has_input.set(false);
        drop(self.0.head_claim.take());
        self.0.memory.set_stalled(true);
    }
}

/// Body of an answer, which the HTTP library drops at its end.
struct AnswerBody<B> {
    body: B,
    _exchange: Exchange,
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Socket of a connection. It survives the HTTP library, which would close it.
pub(crate) struct CallerSocket<S> {
    stream: Option<S>,
    /// Bytes that were read and not parsed.
    unread: Bytes,
    state: Rc<ConnectionState>,
    /// Takes the socket once the HTTP library has released it.
    released: Rc<Cell<Option<S>>>,
}

impl<S: Unpin> CallerSocket<S> {
    /// Puts bytes back, to be read before those of the stream.
    pub(crate) fn unread(&mut self, bytes: Bytes) {
        self.unread = bytes;
    }

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
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(length));
            return Poll::Ready(Ok(()));
        }
        // `LimitedConnection` replaces the hyper connection before it polls again.
        if self.state.holds_heads() && self.state.expects_head() {
            return Poll::Pending;
        }
        if self.state.memory.is_told_to_leave() {
            return Poll::Pending;
        }
        if self.state.memory.awaits_leaving() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = self.stream()?.poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        if length > 0 {
            self.state.record_read(length);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.stream()?.poll_write(context, bytes);
        self.state.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.stream()?.poll_write_vectored(context, buffers);
        self.state.record_write(&polled);
        polled
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
    /// Whether the server has closed the connection.
    pub(crate) is_closed: bool,
    /// Whether it was closed since callers hold too much.
    pub(crate) is_crowded: bool,
}

/// Polls a future once. Returns its output if it is complete.
async fn poll_once<F: Future>(mut future: Pin<&mut F>) -> Option<F::Output> {
    poll_fn(|context| match future.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Serves one connection until it ends; returns `None` if it was closed for an overdue head.
pub(crate) async fn serve_requests<S, W, O, M, H, R, B>(
    stream: S,
    builder: Builder,
    group: Rc<ConnectionGroup>,
    memory: &MemoryHolder,
    head_limit: HeadLimit<W, O, M>,
    handle: H,
) -> Option<ServedEnd>
where
    W: AsyncFn(),
    O: Fn() -> bool,
    M: Fn() -> usize,
    S: AsyncRead + AsyncWrite + AsFd + Unpin,
    H: Fn(Request<RequestBody>) -> R,
    R: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mark = BusyMark { group: group.clone(), is_busy: Cell::new(false) };
    let state = Rc::new(ConnectionState::new(memory.clone()));
    let (handle, owner) = (&handle, &state);
    let service = service_fn(move |request: Request<Incoming>| {
        let exchange = Exchange::new(owner);
        let request = track_body(request, owner);
        async move {
            let answer = handle(request).await;
            Ok::<_, Infallible>(answer.map(|body| AnswerBody { body, _exchange: exchange }))
        }
    });
    let released = Rc::new(Cell::new(None));
    let socket = CallerSocket {
        stream: Some(stream),
        unread: Bytes::new(),
        state: state.clone(),
        released: released.clone(),
    };
    let mut is_crowded = false;
    let (error, is_closed) = {
        let max_bytes = &head_limit.max_bytes;
        let mut connection =
            LimitedConnection::new(builder, socket, service, state.clone(), max_bytes);
        let discarding = state.discard_leftovers();
        let closing = async {
            group.closing().await;
            tokio::time::sleep(CLOSE_DELAY).await;
            // The state changes only in this task, which polls this again then.
            poll_fn(|_| if state.is_busy() { Poll::Pending } else { Poll::Ready(()) }).await;
        };
        let crowded = memory.closing();
        tokio::pin!(discarding, closing, crowded);
        let discard_and_mark = poll_fn(|context| {
            let polled = discarding.as_mut().poll(context);
            mark.set(state.is_busy());
            polled
        });
        tokio::pin!(discard_and_mark);
        let mut is_closed = false;
        loop {
            tokio::select! {
                // The connection comes before its timers: what has arrived is read before it is
                // closed.
                biased;
                () = &mut crowded => {
                    is_crowded = true;
                    break (None, is_closed);
                }
                result = &mut connection => break (result.err(), is_closed),
                never = &mut discard_and_mark => match never {},
                () = &mut closing, if !is_closed => {
                    is_closed = true;
                    connection.close();
                }
                () = state.wait_until_overdue(&head_limit.wait_until_overdue) => {
                    // After a stall, timers may fire before what has arrived meanwhile is read.
                    tokio::task::yield_now().await;
                    if let Some(result) = poll_once(Pin::new(&mut connection)).await {
                        break (result.err(), is_closed);
                    }
                    if (head_limit.is_overdue)() {
                        return None;
                    }
                }
            }
        }
    };
    if is_crowded {
        if let Some(stream) = released.take().filter(|_| state.is_busy()) {
            reset(&stream);
        }
        return Some(ServedEnd { error, is_unread: false, is_closed, is_crowded });
    }
    let is_unread = state.is_unread.get();
    let is_broken = error.as_ref().is_some_and(|error| !error.is_timeout());
    if let Some(stream) = released.take().filter(|_| is_broken || is_unread) {
        mark.set(true);
        tokio::select! {
            () = memory.closing() => {}
            () = linger(stream) => {}
        }
    }
    Some(ServedEnd { error, is_unread, is_closed, is_crowded })
}

/// Resets a connection when it is closed: its caller must not take an answer for complete, and the
/// system drops what is not sent.
fn reset(stream: &impl AsFd) {
    // Without the option the connection is closed without a reset.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
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
