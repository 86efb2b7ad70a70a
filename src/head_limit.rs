//! Maximum size of request heads on open connections.
//!
//! hyper fixes its maximum when it starts to serve a connection. After a change of the maximum in
//! force, the hyper connection is replaced between two exchanges: a new one serves the same socket
//! and starts with the bytes that were read but not parsed.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::connection::{CallerSocket, ConnectionState};

/// Smallest read buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Limits on the head of a request. Both may change while a connection is open.
pub(crate) struct HeadLimit<W, O, M> {
    /// Completes once a head is overdue.
    pub(crate) wait_until_overdue: W,
    /// Returns `true` if a head is overdue now.
    pub(crate) is_overdue: O,
    /// Returns the maximum size of a head, in bytes.
    pub(crate) max_bytes: M,
}

/// A connection that is served with the maximum head size in force.
pub(crate) struct LimitedConnection<'a, S, V, M>
where
    V: HttpService<Incoming>,
{
    /// `None` only while it is replaced.
    connection: Option<Connection<TokioIo<CallerSocket<S>>, V>>,
    builder: Builder,
    state: Rc<ConnectionState>,
    max_bytes: &'a M,
    /// Maximum with which hyper serves the connection.
    served_bytes: usize,
    is_closing: bool,
}

impl<'a, S, V, B, M> LimitedConnection<'a, S, V, M>
where
    S: AsyncRead + AsyncWrite + Unpin,
    V: HttpService<Incoming, ResBody = B>,
    V::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    M: Fn() -> usize,
{
    pub(crate) fn new(
        builder: Builder,
        socket: CallerSocket<S>,
        service: V,
        state: Rc<ConnectionState>,
        max_bytes: &'a M,
    ) -> Self {
        let mut connection = LimitedConnection {
            connection: None,
            builder,
            state,
            max_bytes,
            served_bytes: max_bytes(),
            is_closing: false,
        };
        connection.serve(socket, service);
        connection
    }

    /// Closes the connection once it owes no answer.
    pub(crate) fn close(&mut self) {
        self.is_closing = true;
        if let Some(connection) = &mut self.connection {
            Pin::new(connection).graceful_shutdown();
        }
    }

    fn serve(&mut self, socket: CallerSocket<S>, service: V) {
        self.builder.max_buf_size(self.served_bytes.max(MIN_BUFFER_BYTES));
        let connection = self.builder.serve_connection(TokioIo::new(socket), service);
        self.connection = Some(connection);
    }

    /// Replaces the hyper connection if its maximum is not the one in force and no exchange is under
    /// way. A head that has begun to arrive is still read with the larger of the two.
    fn follow_limit(&mut self) {
        let max_bytes = (self.max_bytes)();
        let is_raised = max_bytes > self.served_bytes;
        let is_due = max_bytes != self.served_bytes && (is_raised || !self.state.has_input());
        self.state.hold_heads(is_raised && !self.is_closing);
        if !is_due || self.is_closing || !self.state.is_between_exchanges() {
            return;
        }
        let Some(connection) = self.connection.take() else { return };
        let parts = connection.into_parts();
        let mut socket = parts.io.into_inner();
        socket.unread(parts.read_buf);
        self.state.hold_heads(false);
        self.served_bytes = max_bytes;
        self.serve(socket, parts.service);
    }
}

impl<S, V, B, M> Future for LimitedConnection<'_, S, V, M>
where
    S: AsyncRead + AsyncWrite + Unpin,
    V: HttpService<Incoming, ResBody = B>,
    V::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    M: Fn() -> usize,
{
    type Output = hyper::Result<()>;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        let this = self.get_mut();
        loop {
            this.follow_limit();
            let Some(connection) = &mut this.connection else { return Poll::Ready(Ok(())) };
            let polled = Pin::new(connection).poll(context);
            // The exchange has ended in this turn, and the next head was held back for a larger
            // maximum.
            if polled.is_ready() || !(this.state.holds_heads() && this.state.is_between_exchanges())
            {
                return polled;
            }
        }
    }
}
