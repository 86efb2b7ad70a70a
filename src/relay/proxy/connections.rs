//! Connections to targets, kept for a while after use.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::silence::limit_unacked;
use crate::time::Tick;

/// Longest time for a connection to come up: a few round trips between
/// failure domains, and less than a lost first packet costs.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// Longest rest of a kept connection where the target states none.
const DEFAULT_REST: Duration = Duration::from_secs(4);

/// Part of the stated time for which a connection is kept: it counts from an
/// earlier moment at the target than here.
const REST_PART: f64 = 0.6;

/// Most connections that are kept for a target.
const KEPT: usize = 24;

/// A connection to a target. It is closed at once when it is dropped.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) is_reused: bool,
    task: AbortHandle,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct KeptConnection {
    connection: TargetConnection,
    until: Tick,
}

/// Kept connections by the incarnation of their target.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    kept: HashMap<Arc<str>, Vec<KeptConnection>>,
}

impl ConnectionPool {
    /// Takes a connection that can be used now.
    pub(crate) fn take(&mut self, target: &str, now: Tick) -> Option<TargetConnection> {
        let kept = self.kept.get_mut(target)?;
        while let Some(mut candidate) = kept.pop() {
            if candidate.until > now && candidate.connection.sender.is_ready() {
                candidate.connection.is_reused = true;
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection on which a whole answer has been read.
    pub(crate) fn put(
        &mut self,
        target: &Arc<str>,
        connection: TargetConnection,
        rest: Option<Duration>,
        now: Tick,
    ) {
        let rest = rest.unwrap_or(DEFAULT_REST).min(DEFAULT_REST * 2).mul_f64(REST_PART);
        let kept = self.kept.entry(target.clone()).or_default();
        if kept.len() < KEPT && !connection.sender.is_closed() {
            kept.push(KeptConnection { connection, until: now + rest });
        }
    }

    /// Closes what has rested for too long.
    pub(crate) fn expire(&mut self, now: Tick) {
        self.kept.retain(|_, kept| {
            kept.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
            !kept.is_empty()
        });
    }
}

/// Why no connection came up. Nothing was sent.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ConnectFault {
    #[display("no connection within the limit")]
    Slow,
    #[display("{_0}")]
    Refused(std::io::Error),
    #[display("{_0}")]
    Handshake(hyper::Error),
}

impl ConnectFault {
    /// Returns true where nobody listens there.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, ConnectFault::Refused(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Connects to a target.
pub(crate) async fn connect(address: SocketAddr) -> Result<TargetConnection, ConnectFault> {
    let work = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        limit_unacked(&stream)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = tokio::time::timeout(CONNECT_LIMIT, work).await;
    let stream = stream.map_err(|_| ConnectFault::Slow)?;
    let stream = stream.map_err(ConnectFault::Refused)?;
    let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(ConnectFault::Handshake)?;
    // How it ends is seen by the request that is on it.
    let task = tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(TargetConnection { sender, is_reused: false, task: task.abort_handle() })
}
