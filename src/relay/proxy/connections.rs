//! Connections to targets, pooled for reuse.

use std::cell::Cell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;

use super::target_stream::{ExchangeState, TargetStream};
use crate::silence::set_unacked_timeout;
use crate::time::Tick;

/// Time limit for establishing a connection: a few round trips between failure domains, and less
/// than a lost first packet costs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle timeout of a pooled connection if the target states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the stated idle timeout for which a connection is kept: the target starts counting
/// earlier than this process does.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 24;

/// Size of the read buffer of a connection to a target, in bytes, which bounds the heads of answers.
pub(crate) const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Size of the receive buffer of a socket, in bytes, which the system may double.
const RECEIVE_BUFFER_BYTES: u32 = 128 * 1024;

/// Counts open connections to targets.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections(Cell<usize>);

impl OpenConnections {
    pub(crate) fn count(&self) -> usize {
        self.0.get()
    }
}

/// Counts a connection while its socket is open.
#[derive(Debug)]
struct ConnectionPlace(Rc<OpenConnections>);

impl ConnectionPlace {
    fn new(open: &Rc<OpenConnections>) -> Self {
        open.0.set(open.0.get() + 1);
        ConnectionPlace(open.clone())
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

/// A connection to a target. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) is_reused: bool,
    pub(crate) exchange: Rc<ExchangeState>,
    task: AbortHandle,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    connection: TargetConnection,
    expires_at: Tick,
}

/// Idle connections, keyed by the incarnation of their target.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<Arc<str>, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Returns an idle connection that is ready to send, and removes it from the pool.
    pub(crate) fn take(&mut self, target: &str, now: Tick) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(target)?;
        while let Some(mut candidate) = idle.pop() {
            if candidate.expires_at > now && candidate.connection.sender.is_ready() {
                candidate.connection.is_reused = true;
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Adds a connection to the pool after a complete answer was read from it.
    pub(crate) fn put(
        &mut self,
        target: &Arc<str>,
        connection: TargetConnection,
        idle_timeout: Option<Duration>,
        now: Tick,
    ) {
        let idle_timeout = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .min(DEFAULT_IDLE_TIMEOUT * 2)
            .mul_f64(IDLE_TIMEOUT_FRACTION);
        let idle = self.idle.entry(target.clone()).or_default();
        if idle.len() < MAX_IDLE_PER_TARGET && !connection.sender.is_closed() {
            idle.push(IdleConnection { connection, expires_at: now + idle_timeout });
        }
    }

    /// Closes one idle connection. Returns `false` if there is none.
    pub(crate) fn close_one(&mut self) -> bool {
        let first = self.idle.values_mut().find_map(Vec::pop);
        first.is_some()
    }

    /// Closes idle connections that have timed out or that the target has closed.
    pub(crate) fn expire(&mut self, now: Tick) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// Reason why no connection could be established. Nothing was sent.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ConnectFault {
    #[display("no connection within the limit")]
    Timeout,
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Handshake(hyper::Error),
}

impl ConnectFault {
    /// Returns `true` if no process listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, ConnectFault::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Opens a connection to a target.
pub(crate) async fn connect(
    address: SocketAddr,
    open: &Rc<OpenConnections>,
) -> Result<TargetConnection, ConnectFault> {
    let place = ConnectionPlace::new(open);
    let connecting = async {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // Without a fixed size it grows to megabytes.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        set_unacked_timeout(&stream)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = stream.map_err(|_| ConnectFault::Timeout)?;
    let stream = stream.map_err(ConnectFault::Io)?;
    let exchange = Rc::<ExchangeState>::default();
    let stream = TargetStream::new(stream, exchange.clone());
    let mut builder = Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(ConnectFault::Handshake)?;
    // The request on the connection sees the connection's error, so the result is dropped here.
    let task = tokio::task::spawn_local(async move {
        let _place = place;
        drop(connection.await);
    });
    Ok(TargetConnection { sender, is_reused: false, exchange, task: task.abort_handle() })
}
