//! Connections that go silent are ended.

use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use shalelane::silence::end_when_silent;
use socket2::SockRef;
use tokio::net::TcpListener;
use tower_service::Service;

/// Longest time after which a silent connection has to be gone, so that a watch is
/// begun anew within the bound for targets that leave.
const LONGEST: Duration = Duration::from_secs(3);

#[tokio::test]
async fn the_kernel_asks_the_other_side_of_a_connection_that_rests() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let uri: hyper::Uri = format!("http://{}/", listener.local_addr().unwrap()).parse().unwrap();
    let mut connector = HttpConnector::new();
    end_when_silent(&mut connector);
    let connection = connector.call(uri).await.unwrap();
    let socket = SockRef::from(connection.inner());
    assert!(socket.keepalive().unwrap());
    let step = socket.tcp_keepalive_interval().unwrap();
    let questions = step * socket.tcp_keepalive_retries().unwrap();
    assert!(socket.tcp_keepalive_time().unwrap() + questions <= LONGEST);
    assert!(socket.tcp_user_timeout().unwrap().unwrap() <= LONGEST);
}
