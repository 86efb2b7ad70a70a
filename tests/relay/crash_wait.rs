//! How long a request waits for reports of crashes before it is sent again.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::relay::decide::crash_wait::{CrashWait, EngineSigns};
use shalelane::relay::decide::part_evidence::PartSet;
use shalelane::relay::decide::part_ledger::{PartAttempt, PartVerdict};
use shalelane::relay::decide::prompt_part::PromptPart;
use shalelane::relay::decide::quarantine::QuarantineLedger;
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::decide::targets::TargetInstance;
use shalelane::time::Tick;

use crate::fixture::{at, ms, name};

/// Number of crashes from which on the platform counts further sends, and how many it allows.
const CRASHES_UNTIL_KNOWN: usize = 5;
const ALLOWED_SENDS: usize = 3;

/// Sends that a request may have by itself, if its retry budget allows them.
const MAX_SENDS: usize = 5;

/// Time limit of the requests.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Time from the arrival of a request at an engine to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(60);

/// Interval between two requests with the part.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

const UNKNOWN: EngineSigns = EngineSigns { crashed_at: None, received_at: Tick(0) };

fn instance(number: u64) -> TargetInstance {
    TargetInstance { incarnation: name(&format!("e{number}")), started_ms: number }
}

fn parts(names: &[&str]) -> PartSet {
    PromptPart::shared_of(names.iter().copied().chain(["own"]))
}

/// A request whose connections broke at these times, each at another engine.
fn wait_of(broke_at: &[u64]) -> CrashWait {
    let mut wait = CrashWait::default();
    for (number, broke_at) in broke_at.iter().enumerate() {
        wait.record_broken(&instance(number as u64), at(*broke_at));
    }
    wait
}

/// An entry whose requests with one part crash engines, of which it hears some time later.
struct CrashingEntry {
    now: Tick,
    random: StdRng,
    ledger: QuarantineLedger,
    /// Confirmations of crashes that are under way, by their time.
    confirmations: BTreeMap<(Tick, u64), TargetInstance>,
    /// Crashes so far.
    crashes: u64,
    confirm_ms: u64,
}

impl CrashingEntry {
    fn new(seed: u64, confirm_ms: u64) -> Self {
        let mut ledger = QuarantineLedger::new(1, 0.0);
        ledger.parts.set_informed(true);
        for number in 0..60 {
            ledger.parts.record_served(&parts(&["common"]), at(number), at(number + 1));
        }
        CrashingEntry {
            now: at(1_000),
            random: StdRng::seed_from_u64(seed),
            ledger,
            confirmations: BTreeMap::new(),
            crashes: 0,
            confirm_ms,
        }
    }

    /// Runs until a time, with the confirmations and decisions until then.
    fn run_until(&mut self, end: Tick) {
        while self.now < end {
            self.now = (self.now + ms(10)).min(end);
            while let Some(entry) = self.confirmations.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let instance = entry.remove();
                self.ledger.record_crash(&instance, self.now);
            }
            self.ledger.decide(self.now);
        }
    }

    fn is_refused(&mut self, digest: &RequestDigest, parts: &PartSet) -> bool {
        self.ledger.decide(self.now);
        self.ledger.parts.verdict(parts, self.now) != PartVerdict::Open
            || self.ledger.quarantined().quarantine_left(digest, self.now).is_some()
    }

    /// Sends a request with the part until it is refused or was sent as often as it may be.
    /// Returns the number of sends.
    fn send_repeatedly(&mut self, number: u64) -> usize {
        let digest = RequestDigest::of(None, "h", "/x", &number.to_be_bytes());
        let parts = parts(&["common", "bad"]);
        let deadline = self.now + TIME_LIMIT;
        let mut wait = CrashWait::default();
        for sends in 0..MAX_SENDS {
            while !self.is_refused(&digest, &parts)
                && let Some(until) = wait.wait_until(deadline, |instance| self.signs_of(instance))
                && until > self.now
            {
                self.run_until(self.now + ms(10));
            }
            if self.is_refused(&digest, &parts) {
                return sends;
            }
            self.crash(digest, &parts, &mut wait);
        }
        MAX_SENDS
    }

    fn crash(&mut self, digest: RequestDigest, parts: &PartSet, wait: &mut CrashWait) {
        let sent_at = self.now;
        self.run_until(sent_at + TIME_TO_CRASH);
        let (instance, broke_at) = (instance(self.crashes), self.now);
        self.crashes += 1;
        let attempt = PartAttempt { digest, parts: parts.clone(), sent_at, broke_at };
        self.ledger.record_broken(digest, &instance, Duration::ZERO, broke_at);
        self.ledger.parts.record_broken(attempt, &instance, Duration::ZERO, broke_at);
        wait.record_broken(&instance, broke_at);
        let delay = ms(self.random.random_range(100..=self.confirm_ms));
        self.confirmations.insert((broke_at + delay, self.crashes), instance);
    }

    fn signs_of(&self, instance: &TargetInstance) -> EngineSigns {
        EngineSigns { crashed_at: self.ledger.crashed_at(instance), received_at: Tick::default() }
    }
}

/// Bound of the platform: three sends more after the fifth crash; here even without the time that
/// it allows for learning of it.
#[test]
fn one_request_that_repeats_itself_does_not_hide_the_part() {
    for confirm_ms in [100, 300, 500] {
        for seed in 0..50 {
            let mut entry = CrashingEntry::new(seed, confirm_ms);
            let sends: Vec<_> = (0..20)
                .map(|number| {
                    entry.run_until(entry.now + REQUEST_INTERVAL);
                    entry.send_repeatedly(number)
                })
                .collect();
            let all: usize = sends.iter().sum();
            let bound = CRASHES_UNTIL_KNOWN + ALLOWED_SENDS;
            assert!(sends[0] < CRASHES_UNTIL_KNOWN, "seed {seed}, {confirm_ms} ms: {sends:?}");
            assert!(all <= bound, "seed {seed}, {confirm_ms} ms: {sends:?}");
            let parts = parts(&["bad"]);
            assert!(
                entry.ledger.parts.verdict(&parts, entry.now) != PartVerdict::Open,
                "seed {seed}, {confirm_ms} ms: the part is not quarantined, {sends:?}"
            );
        }
    }
}

#[test]
fn a_single_broken_connection_is_no_reason_to_wait() {
    assert_eq!(wait_of(&[]).wait_until(at(10_000), |_| UNKNOWN), None);
    let mut wait = wait_of(&[100]);
    assert_eq!(wait.wait_until(at(10_000), |_| UNKNOWN), None);
    wait.record_broken(&instance(0), at(160));
    assert_eq!(wait.wait_until(at(10_000), |_| UNKNOWN), None, "it is the same engine");
}

/// A caller whose connections break for another reason than crashes loses as much time as a report
/// takes, at most.
#[test]
fn the_wait_ends_when_no_crash_is_reported() {
    let wait = wait_of(&[100, 200]);
    let until = wait.wait_until(at(10_000), |_| UNKNOWN).unwrap();
    assert!(until <= at(200 + 600), "{until:?}");
    let wait = wait_of(&[100, 200, 900]);
    let until = wait.wait_until(at(10_000), |_| UNKNOWN).unwrap();
    assert!(until <= at(900 + 600), "{until:?}");
}

#[test]
fn half_of_the_time_that_is_left_remains_for_another_attempt() {
    let wait = wait_of(&[100, 200]);
    assert_eq!(wait.wait_until(at(500), |_| UNKNOWN), Some(at(350)));
    assert_eq!(wait.wait_until(at(150), |_| UNKNOWN), Some(at(200)));
}

#[test]
fn engines_that_answer_after_their_connections_broke_are_not_waited_for() {
    let wait = wait_of(&[100, 200]);
    let answered = |answered_at: Tick| EngineSigns { received_at: answered_at, ..UNKNOWN };
    let until = wait.wait_until(at(10_000), |_| answered(at(260))).unwrap();
    assert!(until <= at(200), "{until:?}");
    let until = wait.wait_until(at(10_000), |_| answered(at(201))).unwrap();
    assert!(until > at(200), "an answer from before a crash shows nothing");
}

/// Other entries report the requests that ran at an engine within some time after its crash.
#[test]
fn a_confirmed_crash_is_evaluated_first() {
    let wait = wait_of(&[100, 200]);
    let crashed = |_: &TargetInstance| EngineSigns { crashed_at: Some(at(300)), ..UNKNOWN };
    assert_eq!(wait.wait_until(at(10_000), crashed), Some(at(400)));
}
