//! Bytes of a connection to a target.
//!
//! It is reset if it is closed while its request is unanswered. A connection that is closed
//! otherwise still delivers what it has sent, however long the network holds it up: a target would
//! receive a request that was given up long before.
//!
//! The heads before an answer are bounded together: an HTTP client skips interim ones without end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of what arrives before the body of an answer, in bytes: its head and the interim
/// heads before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// State of the exchange on a connection to a target.
#[derive(Debug, Default)]
pub(crate) struct ExchangeState {
    /// Whether nothing has arrived yet in answer to the request that was sent.
    is_unanswered: Cell<bool>,
    /// Number of bytes that arrived since the request was sent, `None` once the head is complete.
    head_bytes: Cell<Option<usize>>,
}

impl ExchangeState {
    /// Records that a request is about to be sent.
    pub(crate) fn begin_request(&self) {
        self.is_unanswered.set(true);
        self.head_bytes.set(Some(0));
    }

    /// Records that the head of its answer is complete.
    pub(crate) fn end_head(&self) {
        self.head_bytes.set(None);
    }

    fn record_read(&self, length: usize) {
        self.is_unanswered.set(false);
        self.head_bytes.set(self.head_bytes.get().map(|bytes| bytes + length));
    }

    /// The last read before the limit may hold the begin of the body as well.
    fn is_head_too_long(&self) -> bool {
        self.head_bytes.get().is_some_and(|bytes| bytes > MAX_HEAD_BYTES)
    }
}

/// Bytes of a connection to a target.
pub(crate) struct TargetStream {
    stream: TcpStream,
    exchange: Rc<ExchangeState>,
}

impl TargetStream {
    /// Wraps a connection on which nothing was sent yet.
    pub(crate) fn new(stream: TcpStream, exchange: Rc<ExchangeState>) -> Self {
        TargetStream { stream, exchange }
    }
}

impl Drop for TargetStream {
    fn drop(&mut self) {
        if self.exchange.is_unanswered.get() {
            // Without the option the connection is closed without a reset.
            drop(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)));
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.exchange.is_head_too_long() {
            let text =
                format!("the heads before the answer are longer than {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let length = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > length {
            self.exchange.record_read(buffer.filled().len() - length);
        }
        result
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
