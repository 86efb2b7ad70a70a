//! The clock of a process, on a host that is suspended.

use std::cell::Cell;
use std::time::Duration;

use shalelane::clock::{ProcessClock, SuspensionWatch};
use shalelane::relay::discovery::freshness::{FreshnessLease, StalePolicy};
use shalelane::time::Tick;

const SECOND: Duration = Duration::from_secs(1);

thread_local! {
    static ALL: Cell<Duration> = const { Cell::new(Duration::from_secs(1_000)) };
    static AWAKE: Cell<Duration> = const { Cell::new(Duration::from_secs(700)) };
}

fn all() -> Duration {
    ALL.get()
}

fn awake() -> Duration {
    AWAKE.get()
}

/// The host runs for a time.
fn run(span: Duration) {
    ALL.set(ALL.get() + span);
    AWAKE.set(AWAKE.get() + span);
}

/// The host is suspended for a time: timers and the steady clock stand still.
fn suspend(span: Duration) {
    ALL.set(ALL.get() + span);
}

/// Past failure: the clock went by the steady one. After a suspension of seconds a process
/// took its proof to be as old as it had been before, and let in who had no key any more.
#[test]
fn a_lease_lapses_while_the_host_is_suspended() {
    let clock = ProcessClock::from_reader(all);
    let mut lease = FreshnessLease::new(SECOND * 5, StalePolicy::FailClosed);
    lease.renew(clock.now());
    run(SECOND);
    assert!(lease.is_held(clock.now()));
    suspend(SECOND * 5);
    assert!(!lease.is_held(clock.now()));
    assert_eq!(clock.now(), Tick::default() + SECOND * 6);
}

#[test]
fn a_suspension_is_noticed_once() {
    let mut watch = SuspensionWatch::from_readers(all, awake);
    run(SECOND * 60);
    assert_eq!(watch.look(), None);
    suspend(SECOND * 3);
    run(SECOND);
    assert_eq!(watch.look(), Some(SECOND * 3));
    run(SECOND);
    assert_eq!(watch.look(), None);
}

/// The host's own count of the time since it started, suspensions included.
#[test]
fn the_clock_goes_by_the_time_since_the_host_started() {
    let uptime = || {
        let text = std::fs::read_to_string("/proc/uptime").expect("the host's count");
        let seconds: f64 = text.split(' ').next().unwrap().parse().unwrap();
        Duration::from_secs_f64(seconds)
    };
    let before = uptime();
    let clock = ProcessClock::new();
    std::thread::sleep(Duration::from_millis(300));
    let (own, host) = (clock.now().since(Tick::default()), uptime().saturating_sub(before));
    let apart = if own > host { own.saturating_sub(host) } else { host.saturating_sub(own) };
    assert!(apart < SECOND * 5, "{own:?}, the host says {host:?}");
}
