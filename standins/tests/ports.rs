//! Ports that a server gives up and gets again.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use standins::plain_server::PlainServer;

/// Past failure: a test ended with "Address already in use". Between the end of a server
/// and the moment at which its port was held, another program could get the port.
#[test]
fn nobody_gets_a_port_that_is_held() {
    const ROUNDS: usize = 50;
    let mut server = PlainServer::start();
    let address = server.server.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let seen = is_over.clone();
    let thief = std::thread::spawn(move || {
        let mut taken = 0;
        while !seen.load(Ordering::Relaxed) {
            taken += usize::from(TcpListener::bind(address).is_ok());
        }
        taken
    });
    for _ in 0..ROUNDS {
        let held = server.refuse();
        server.restart(held);
    }
    is_over.store(true, Ordering::Relaxed);
    assert_eq!(thief.join().expect("the other program"), 0);
    assert_eq!(server.server.address, address);
}
