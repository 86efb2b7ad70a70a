//! Detection of silent connections, on which neither data nor a reset arrives any more.
//!
//! A call on a silent connection ends by its timeout. A watch may wait for half a minute, so the
//! kernel sends keep-alive probes and closes the connection if they are not answered. Connections
//! that carry answers of targets have no keep-alive probes: an answer that the network delays may
//! still arrive, and requests that can go to another target do so after their own timeouts.

use std::io;
use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Idle time after which the first keep-alive probe is sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keep-alive probes; the system supports whole seconds only.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes that close a connection. With the times above, a
/// connection is closed three seconds after its last byte, or earlier by the timeout below. This
/// is within the time limits that apply when a target leaves.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged before the connection counts as broken.
pub const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

/// Closes a connection if sent data is not acknowledged in time.
///
/// # Errors
///
/// The system rejects the socket option.
pub fn set_unacked_timeout(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// Closes all connections of a connector that go silent.
pub fn enable_keepalive(connector: &mut HttpConnector) {
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
}
