//! The connection of a caller: how far its current request is, and how the connection ends.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::discovery::rules::CallerLimits;
use super::log_line::{ConnectionEnd, ConnectionLine, ConnectionState};
use super::proxy::answer::{BrokenAnswer, RelayBody};
use super::shared::RelayShared;
use crate::connection::{DISCARD_TIMEOUT, IDLE_CONNECTION_BYTES, ServedEnd};
use crate::memory_budget::{HolderGuard, MemoryHolder};
use crate::time::Tick;

/// An open connection of a caller. Its end is counted, and logged unless it is an ordinary one.
pub(crate) struct CallerConnection {
    shared: Rc<RelayShared>,
    memory: HolderGuard,
    /// When the entry took the connection.
    pub(crate) taken_at: Tick,
    state: Cell<ConnectionState>,
    state_since: Cell<Tick>,
    /// End of the present or last rest by the limit under which it began.
    rest_end: Cell<Tick>,
    requests: Cell<u64>,
    /// Whether the body of the last request was read whole.
    is_body_read: Cell<bool>,
    /// Whether the body of a request broke off.
    is_body_broken: Cell<bool>,
    is_answer_broken: Cell<bool>,
    has_write_failed: Cell<bool>,
    is_ended: Cell<bool>,
}

impl CallerConnection {
    pub(crate) fn new(shared: &Rc<RelayShared>) -> Self {
        shared.open_connections.set(shared.open_connections.get() + 1);
        let now = shared.now();
        let idle_limit = shared.core.borrow().rules().limits().idle_limit;
        CallerConnection {
            shared: shared.clone(),
            memory: shared.memory.open(IDLE_CONNECTION_BYTES),
            taken_at: now,
            state: Cell::new(ConnectionState::Idle),
            state_since: Cell::new(now),
            rest_end: Cell::new(now + idle_limit),
            requests: Cell::new(0),
            is_body_read: Cell::new(true),
            is_body_broken: Cell::new(false),
            is_answer_broken: Cell::new(false),
            has_write_failed: Cell::new(false),
            is_ended: Cell::new(false),
        }
    }

    /// Returns what the connection holds of the memory of this process.
    pub(crate) fn memory(&self) -> &MemoryHolder {
        self.memory.holder()
    }

    /// Records that the head of a request was read.
    pub(crate) fn begin_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.is_body_read.set(false);
        self.enter(ConnectionState::Body);
    }

    /// Records that the body of the request was read whole.
    pub(crate) fn finish_body(&self) {
        self.is_body_read.set(true);
        self.enter(ConnectionState::Answering);
    }

    /// Records that the body of the request broke off. The connection remains in this state.
    pub(crate) fn break_body(&self) {
        self.is_body_broken.set(true);
    }

    /// Records that the head of the answer is known.
    pub(crate) fn begin_answer(&self) {
        self.enter(ConnectionState::Answering);
    }

    fn enter(&self, state: ConnectionState) {
        if self.is_body_broken.get() || self.state.replace(state) == state {
            return;
        }
        let now = self.shared.now();
        self.state_since.set(now);
        if state == ConnectionState::Idle {
            // The rest of a body that was not read comes before the next head.
            let leftover = if self.is_body_read.get() { Duration::ZERO } else { DISCARD_TIMEOUT };
            self.rest_end.set(now + leftover + self.limits().idle_limit);
        }
    }

    /// Begins a rest anew, since the end of an answer is still being written.
    fn extend_rest(&self) {
        if self.state.get() == ConnectionState::Idle {
            let now = self.shared.now();
            self.state_since.set(now);
            self.rest_end.set(self.rest_end.get().max(now + self.limits().idle_limit));
        }
    }

    fn limits(&self) -> CallerLimits {
        self.shared.core.borrow().rules().limits()
    }

    /// Returns when the connection is closed unless the head of a request was read by then; `None`
    /// while a request is read or answered.
    fn head_deadline(&self) -> Option<Tick> {
        let since = self.state_since.get();
        // The longer limit holds, of that at the begin of a rest and that in force.
        match self.state.get() {
            ConnectionState::Idle => {
                Some(self.rest_end.get().max(since + self.limits().idle_limit))
            }
            ConnectionState::Head => {
                Some(self.rest_end.get().max(since + self.limits().head_limit))
            }
            ConnectionState::Body | ConnectionState::Answering => None,
        }
    }

    /// Waits until the head of a request is overdue. The state of the connection changes only where
    /// this is polled as well.
    pub(crate) async fn wait_for_overdue_head(&self) {
        let mut sleep = pin!(tokio::time::sleep(Duration::ZERO));
        let mut armed_for = None;
        poll_fn(|context| {
            let Some(deadline) = self.head_deadline() else { return Poll::Pending };
            let left = deadline.since(self.shared.now());
            if left.is_zero() {
                return Poll::Ready(());
            }
            if armed_for.replace(deadline) != Some(deadline) || sleep.is_elapsed() {
                sleep.as_mut().reset(Instant::now() + left);
            }
            sleep.as_mut().poll(context)
        })
        .await;
    }

    /// Returns `true` if the head of a request is overdue.
    pub(crate) fn is_head_overdue(&self) -> bool {
        self.head_deadline().is_some_and(|deadline| deadline <= self.shared.now())
    }

    /// Records that the connection is closed since the head of a request is overdue.
    pub(crate) fn end_overdue(&self) {
        let is_idle = self.state.get() == ConnectionState::Idle;
        self.end(if is_idle { ConnectionEnd::IdleLimit } else { ConnectionEnd::HeadLimit }, "");
    }

    /// Records the end of a connection that was served.
    pub(crate) fn end_served(&self, served: &ServedEnd) {
        let end = self.classify(served);
        let text = served.error.as_ref().map(ToString::to_string).unwrap_or_default();
        self.end(end, &text);
    }

    fn classify(&self, served: &ServedEnd) -> ConnectionEnd {
        let is_idle = self.state.get() == ConnectionState::Idle;
        if served.is_crowded {
            return ConnectionEnd::Crowded;
        }
        if self.is_answer_broken.get() {
            return ConnectionEnd::AnswerBroken;
        }
        if self.has_write_failed.get() {
            return ConnectionEnd::AnswerUndelivered;
        }
        if served.is_unread {
            return ConnectionEnd::AnsweredUnread;
        }
        match &served.error {
            Some(error) if error.is_parse() => ConnectionEnd::InvalidHead,
            None if is_idle && served.is_closed => ConnectionEnd::Stopped,
            None if is_idle => ConnectionEnd::Closed,
            Some(_) | None => ConnectionEnd::CallerLeft,
        }
    }

    /// Records the end of the connection.
    pub(crate) fn end(&self, end: ConnectionEnd, error: &str) {
        if self.is_ended.replace(true) {
            return;
        }
        let shared = &self.shared;
        shared.counts.borrow().record_connection_end(end);
        if end.is_ordinary() {
            return;
        }
        let now = shared.now();
        let line = ConnectionLine {
            end,
            state: self.state.get(),
            error,
            age: now.since(self.taken_at),
            state_age: now.since(self.state_since.get()),
            requests: self.requests.get(),
            version: shared.core.borrow().rules().version(),
            config_age: now.since(shared.config_changed_at.get()),
            loop_delay: shared.loop_delay.get(),
        };
        shared.log.connection_ended(&line, now);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.end(ConnectionEnd::Cut, "");
        self.shared.open_connections.set(self.shared.open_connections.get() - 1);
    }
}

/// Bytes of a caller's connection. Records the begin of a head and failures to write.
pub(crate) struct CallerStream {
    pub(crate) stream: TcpStream,
    pub(crate) connection: Rc<CallerConnection>,
}

impl CallerStream {
    fn check_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(_)) => self.connection.extend_rest(),
            Poll::Ready(Err(_)) => self.connection.has_write_failed.set(true),
            Poll::Pending => {}
        }
        result
    }
}

impl AsFd for CallerStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let is_idle = self.connection.state.get() == ConnectionState::Idle;
        if buffer.filled().len() > length && is_idle {
            self.connection.enter(ConnectionState::Head);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_written(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of an answer on its connection.
pub(crate) struct CallerAnswer {
    pub(crate) body: RelayBody,
    pub(crate) connection: Rc<CallerConnection>,
}

impl Body for CallerAnswer {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(Some(Err(_)))) {
            self.connection.is_answer_broken.set(true);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CallerAnswer {
    fn drop(&mut self) {
        // A connection that ends meanwhile keeps the state in which it ended.
        if !self.connection.is_ended.get() && !self.connection.is_answer_broken.get() {
            self.connection.enter(ConnectionState::Idle);
        }
    }
}

/// Closing of new connections at the gate, from the first one until none was closed for a while.
#[derive(Debug, Default)]
pub(crate) struct GateClosing {
    /// When the last connection was closed, and how many were so far.
    last: Cell<Option<(Tick, u64)>>,
}

impl GateClosing {
    /// Time without a closed connection after which all are taken again.
    const REST: Duration = Duration::from_secs(1);

    /// Records that a connection was closed. Returns `true` for the first one.
    pub(crate) fn record(&self, now: Tick) -> bool {
        let closed = self.last.get().map_or(0, |(_, closed)| closed);
        self.last.set(Some((now, closed + 1)));
        closed == 0
    }

    /// Returns the number of closed connections once all are taken again.
    pub(crate) fn take_ended(&self, now: Tick) -> Option<u64> {
        let (closed_at, closed) = self.last.get()?;
        if now.since(closed_at) < Self::REST {
            return None;
        }
        self.last.set(None);
        Some(closed)
    }
}
