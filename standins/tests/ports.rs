//! Reservation of a server's port while the server is stopped.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use standins::plain_server::PlainServer;

/// Guards against "Address already in use" when a test restarts a server. Another program could
/// bind the port between the server's stop and the reservation of the port.
#[test]
fn reserved_port_cannot_be_bound_by_another_program() {
    const ROUNDS: usize = 50;
    let mut server = PlainServer::start();
    let address = server.server.address;
    let is_finished = Arc::new(AtomicBool::new(false));
    let finished_flag = is_finished.clone();
    let other_program = std::thread::spawn(move || {
        let mut bound_count = 0;
        while !finished_flag.load(Ordering::Relaxed) {
            bound_count += usize::from(TcpListener::bind(address).is_ok());
        }
        bound_count
    });
    for _ in 0..ROUNDS {
        let reserved = server.stop_and_reserve_port();
        server.restart(reserved);
    }
    is_finished.store(true, Ordering::Relaxed);
    assert_eq!(other_program.join().expect("the other program"), 0);
    assert_eq!(server.server.address, address);
}
