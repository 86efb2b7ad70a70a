//! Which connections an entry takes while most new ones come to it.

use shalelane::relay::decide::connection_gate::ConnectionGate;

use crate::fixture::ms;

/// Callers give up a connection whose request is not read within this time.
const CALLER_PATIENCE_MS: u64 = 1_000;

#[test]
fn connections_are_bounded_by_the_descriptors() {
    let gate = ConnectionGate::new(Some(1_000));
    assert!(gate.admits(0) && gate.admits(500));
    assert!(!gate.admits(700), "descriptors are left for targets and the store");
    assert!(ConnectionGate::new(None).admits(100_000));
}

#[test]
fn a_late_event_loop_closes_new_connections_before_callers_give_up() {
    let mut gate = ConnectionGate::new(None);
    gate.record_delay(ms(100));
    assert!(gate.admits(0), "a short delay");
    gate.record_delay(ms(CALLER_PATIENCE_MS / 2));
    assert!(!gate.admits(0), "reading takes two turns of the loop");
    gate.record_delay(ms(200));
    assert!(!gate.admits(0), "hysteresis");
    gate.record_delay(ms(20));
    assert!(gate.admits(0), "it is in time again");
}
