//! Callers of a process that has just started.

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::start_wait::{StartPhase, start_wait};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::RelayConfig;

use crate::fixture::{at, limits, ms, record};

/// Regression: 124 requests were refused in the 0.2 s after 30 processes had started.
#[test]
fn a_caller_waits_while_a_process_starts() {
    assert!(start_wait(StartPhase::Loading, ms(30)) > ms(200));
}

#[test]
fn no_caller_waits_for_a_process_that_has_started_or_fails_to_start() {
    assert!(start_wait(StartPhase::Done, ms(0)).is_zero());
    assert!(start_wait(StartPhase::Loading, ms(500)).is_zero());
    assert!(start_wait(StartPhase::Loading, ms(50_000)).is_zero());
}

#[test]
fn a_process_has_started_once_it_knows_configuration_and_targets() {
    let list = || vec![record("a", 1)];
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    assert!(!core.has_started());
    core.apply_list(list(), false, at(10));
    assert!(!core.has_started(), "the process knows no route");
    core.apply_config(Some(RelayConfig::default()), at(5));
    assert!(core.has_started());
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    core.apply_config(Some(RelayConfig::default()), at(5));
    assert!(!core.has_started(), "the process knows no target");
}
