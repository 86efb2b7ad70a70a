//! Keep-alive settings that close silent connections.

use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use shalelane::silence::enable_keepalive;
use socket2::SockRef;
use tokio::net::TcpListener;
use tower_service::Service;

/// Time within which a silent connection must be closed, so that a watch is restarted within the
/// time limits that apply when a target leaves.
const MAX_SILENCE: Duration = Duration::from_secs(3);

#[tokio::test]
async fn the_connector_closes_silent_connections_within_the_bound() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let uri: hyper::Uri = format!("http://{}/", listener.local_addr().unwrap()).parse().unwrap();
    let mut connector = HttpConnector::new();
    enable_keepalive(&mut connector);
    let connection = connector.call(uri).await.unwrap();
    let socket = SockRef::from(connection.inner());
    assert!(socket.keepalive().unwrap());
    let interval = socket.tcp_keepalive_interval().unwrap();
    let probe_time = interval * socket.tcp_keepalive_retries().unwrap();
    assert!(socket.tcp_keepalive_time().unwrap() + probe_time <= MAX_SILENCE);
    assert!(socket.tcp_user_timeout().unwrap().unwrap() <= MAX_SILENCE);
}
