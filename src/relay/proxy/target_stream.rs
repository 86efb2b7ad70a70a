//! Bytes of a connection to a target, which is reset if it is closed while its request is unanswered.
//!
//! A connection that is closed otherwise still delivers what it has sent, however long the network
//! holds it up: a target would receive a request that was given up long before.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether nothing has arrived yet in answer to the request that was sent.
pub(crate) type UnansweredFlag = Rc<Cell<bool>>;

/// Bytes of a connection to a target.
pub(crate) struct TargetStream {
    stream: TcpStream,
    is_unanswered: UnansweredFlag,
}

impl TargetStream {
    /// Wraps a connection on which nothing was sent yet.
    pub(crate) fn new(stream: TcpStream, is_unanswered: UnansweredFlag) -> Self {
        TargetStream { stream, is_unanswered }
    }
}

impl Drop for TargetStream {
    fn drop(&mut self) {
        if self.is_unanswered.get() {
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
        let length = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > length {
            self.is_unanswered.set(false);
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
