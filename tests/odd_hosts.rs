//! A list of hosts that holds an entry of another writer.
//!
//! Guards against entries that stop to follow the list because one host of it can not be read.

use std::sync::Arc;

use shalelane::host_list::HostListClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one call with a body, and returns the address.
async fn serve_once(body: String) -> Arc<str> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
    });
    address.into()
}

fn host(name: &str, state: &str) -> String {
    format!(
        r#"{{"name":"{name}","role":"entry","address":"10.0.0.1:80","failure_domain":"z1","state":{state}}}"#
    )
}

fn odd_hosts() -> Vec<String> {
    let nested = |depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let states = ["1e999", "-1", "7", "null", "\"asleep\""].map(str::to_owned);
    let states = states.into_iter().chain([nested(127), nested(200_000)]);
    let hosts = states.map(|state| host("odd", &state));
    hosts.chain(["7".to_owned(), nested(200_000), r#"{"name":5}"#.to_owned()]).collect()
}

#[tokio::test]
async fn hosts_are_read_beside_entries_that_can_not_be_read() {
    for odd in odd_hosts() {
        let hosts = [host("a", "\"live\""), odd.clone(), host("b", "\"leaving\"")].join(",");
        let address = serve_once(format!(r#"{{"revision":7,"hosts":[{hosts}]}}"#)).await;
        let read = HostListClient::new(address).get_changes(0).await;
        let read = read.unwrap_or_else(|error| panic!("{odd:.30}: {error}"));
        let names: Vec<_> = read.delta.hosts.iter().map(|host| &*host.name).collect();
        assert_eq!(names, ["a", "b"], "{odd:.30}");
        assert_eq!((read.delta.revision, read.unreadable.len()), (7, 1), "{odd:.30}");
    }
}
