//! Connections that go silent: no reset comes, and nothing arrives any more.
//!
//! A call with a time limit of its own ends by that. A watch that waits for half a
//! minute would not: the kernel asks the other side from time to time, and ends the
//! connection where nothing is answered. Answers of targets are not cut so: one that
//! is held up by the network may still come, and requests that can go elsewhere do so
//! by limits of their own.

use std::io;
use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Time without anything received after which the other side is asked.
const ASK_AFTER: Duration = Duration::from_secs(1);

/// Time between two questions; the system takes whole seconds.
const ASK_STEP: Duration = Duration::from_secs(1);

/// Questions without an answer that end a connection: with the times above it is gone
/// three seconds after its last byte, or sooner by the limit below. That is within the
/// bounds for targets that leave.
const QUESTIONS: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged before the connection
/// counts as broken.
const UNACKED_LIMIT: Duration = Duration::from_secs(2);

/// Ends a connection where what was sent is not acknowledged.
///
/// # Errors
///
/// The system does not take the option.
pub fn limit_unacked(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_LIMIT))
}

/// Ends all connections that a connector makes where the other side goes silent.
pub fn end_when_silent(connector: &mut HttpConnector) {
    connector.set_keepalive(Some(ASK_AFTER));
    connector.set_keepalive_interval(Some(ASK_STEP));
    connector.set_keepalive_retries(Some(QUESTIONS));
    connector.set_tcp_user_timeout(Some(UNACKED_LIMIT));
}
