//! The clock of a process on a host that is suspended.

use std::cell::Cell;
use std::time::Duration;

use shalelane::clock::{ProcessClock, SuspensionWatch};
use shalelane::relay::discovery::freshness::{FreshnessLease, StalePolicy};
use shalelane::time::Tick;

const SECOND: Duration = Duration::from_secs(1);

thread_local! {
    static BOOT: Cell<Duration> = const { Cell::new(Duration::from_secs(1_000)) };
    static MONOTONIC: Cell<Duration> = const { Cell::new(Duration::from_secs(700)) };
}

fn boot() -> Duration {
    BOOT.get()
}

fn monotonic() -> Duration {
    MONOTONIC.get()
}

/// Simulates a host that runs for `span`.
fn run(span: Duration) {
    BOOT.set(BOOT.get() + span);
    MONOTONIC.set(MONOTONIC.get() + span);
}

/// Simulates a host that is suspended for `span`: timers and the monotonic clock stop.
fn suspend(span: Duration) {
    BOOT.set(BOOT.get() + span);
}

/// Guards against a process clock that follows the monotonic clock. After a suspension of some
/// seconds such a process takes its proof of freshness to be as old as before the suspension,
/// and admits callers whose keys have been revoked meanwhile.
#[test]
fn a_lease_expires_while_the_host_is_suspended() {
    let clock = ProcessClock::from_reader(boot);
    let mut lease = FreshnessLease::new(SECOND * 5, StalePolicy::FailClosed);
    lease.renew(clock.now());
    run(SECOND);
    assert!(lease.is_held(clock.now()));
    suspend(SECOND * 5);
    assert!(!lease.is_held(clock.now()));
    assert_eq!(clock.now(), Tick::default() + SECOND * 6);
}

#[test]
fn a_suspension_is_reported_once() {
    let mut watch = SuspensionWatch::from_readers(boot, monotonic);
    run(SECOND * 60);
    assert_eq!(watch.take_suspension(), None);
    suspend(SECOND * 3);
    run(SECOND);
    assert_eq!(watch.take_suspension(), Some(SECOND * 3));
    run(SECOND);
    assert_eq!(watch.take_suspension(), None);
}

/// Compares the clock with `/proc/uptime`, which includes suspensions.
#[test]
fn the_clock_follows_the_uptime_of_the_host() {
    let uptime = || {
        let text = std::fs::read_to_string("/proc/uptime").expect("a readable /proc/uptime");
        let seconds: f64 = text.split(' ').next().unwrap().parse().unwrap();
        Duration::from_secs_f64(seconds)
    };
    let before = uptime();
    let clock = ProcessClock::new();
    std::thread::sleep(Duration::from_millis(300));
    let (elapsed, host) = (clock.now().since(Tick::default()), uptime().saturating_sub(before));
    let difference =
        if elapsed > host { elapsed.saturating_sub(host) } else { host.saturating_sub(elapsed) };
    assert!(difference < SECOND * 5, "clock: {elapsed:?}, uptime of the host: {host:?}");
}
