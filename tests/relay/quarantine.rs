//! Quarantine of requests under which targets crashed.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::part_message::PartCrashReport;
use shalelane::relay::decide::prompt_part::PromptPart;
use shalelane::relay::decide::quarantine::{QuarantineLedger, SuspectReport};
use shalelane::relay::decide::quarantine_list::QuarantineRecord;
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::decide::targets::TargetInstance;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::RelayConfig;
use shalelane::relay::peers::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use shalelane::relay::peers::subscriber_set::SubscriberSet;

use crate::fixture::{at, check, config_update, limits, ms, name, record, revision};

const NO_TIME: Duration = Duration::ZERO;

/// Time after a crash at which the ledger evaluates it.
const JOIN_WINDOW: Duration = Duration::from_millis(100);

/// Unix time of tick zero in these tests, in milliseconds.
const UNIX_ORIGIN_MS: u64 = 1_700_000_000_000;

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of(Some("acme"), "h.example", "/x", body.as_bytes())
}

fn instance(number: u64) -> TargetInstance {
    TargetInstance { incarnation: name("e"), started_ms: number }
}

/// A ledger that has recorded crashes of these instances under a request.
fn ledger_of(body: &str, instances: &[u64]) -> QuarantineLedger {
    let mut ledger = QuarantineLedger::default();
    for number in instances {
        crash_under(&mut ledger, body, *number, at(100 * number));
    }
    ledger
}

fn crash_under(ledger: &mut QuarantineLedger, body: &str, number: u64, now: shalelane::time::Tick) {
    ledger.record_broken(digest(body), &instance(number), NO_TIME, now);
    ledger.record_crash(&instance(number), now);
    ledger.decide(now + JOIN_WINDOW);
}

fn is_quarantined(ledger: &QuarantineLedger, body: &str, now: u64) -> bool {
    ledger.quarantined().quarantine_left(&digest(body), at(now)).is_some()
}

#[test]
fn a_request_is_quarantined_after_three_crashes() {
    assert!(!is_quarantined(&ledger_of("a", &[1, 2]), "a", 300));
    let ledger = ledger_of("a", &[1, 2, 3]);
    assert!(is_quarantined(&ledger, "a", 300));
    assert!(!is_quarantined(&ledger, "b", 300));
    assert!(is_quarantined(&ledger, "a", 300_000), "after five minutes");
    assert!(!is_quarantined(&ledger, "a", 601_000), "the quarantine has expired");
}

/// Guards against a request that goes on to crash targets because one of its parts is suspected
/// and never blamed.
#[test]
fn a_suspected_part_excuses_no_request_for_ever() {
    let mut ledger = QuarantineLedger::default();
    let report_part = |ledger: &mut QuarantineLedger, body: &str, number: u64| {
        let report = PartCrashReport {
            instance: instance(number),
            digest: digest(body),
            parts: vec![PromptPart::from_name("suspected")],
            sent_ago_ms: 20,
            broke_ago_ms: 0,
        };
        ledger.parts.apply_crash(&report, at(100 * number));
    };
    report_part(&mut ledger, "other", 1);
    for number in 2..7 {
        assert!(!is_quarantined(&ledger, "a", 100 * number), "{number}");
        report_part(&mut ledger, "a", number);
        crash_under(&mut ledger, "a", number, at(100 * number));
    }
    assert!(is_quarantined(&ledger, "a", 700), "five crashes");
}

#[test]
fn a_broken_connection_alone_is_not_a_crash() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..9 {
        ledger.record_broken(digest("a"), &instance(number), NO_TIME, at(number));
    }
    assert!(!is_quarantined(&ledger, "a", 10));
    ledger.record_crash(&instance(1), at(20_000));
    assert!(!ledger.is_suspect(&digest("a")), "the target crashed long after the connection broke");
}

#[test]
fn a_crash_may_be_reported_before_the_connection_breaks() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..4 {
        ledger.record_crash(&instance(number), at(number));
        ledger.record_broken(digest("a"), &instance(number), NO_TIME, at(number + 5));
    }
    ledger.decide(at(200));
    assert!(is_quarantined(&ledger, "a", 10));
}

#[test]
fn one_crash_counts_once() {
    let mut ledger = QuarantineLedger::default();
    for attempt in 0..5 {
        crash_under(&mut ledger, "a", 1, at(attempt));
    }
    let instances = ledger.report_on(digest("a")).unwrap().instances;
    assert_eq!(instances, [instance(1)]);
}

#[test]
fn an_attempt_that_streamed_for_long_is_not_the_cause() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..6 {
        ledger.record_broken(digest("a"), &instance(number), ms(2_500), at(number));
        ledger.record_crash(&instance(number), at(number));
    }
    assert!(ledger.is_empty());
}

#[test]
fn an_answer_clears_a_suspect() {
    let mut ledger = ledger_of("a", &[1, 2]);
    assert!(ledger.record_served(&digest("a")));
    assert!(!ledger.record_served(&digest("a")), "reported once");
    crash_under(&mut ledger, "a", 3, at(400));
    assert!(!is_quarantined(&ledger, "a", 400));
}

/// Of two requests that ran in the same crashed targets, the one under which a further target
/// crashes is the cause.
#[test]
fn a_bystander_of_the_same_three_crashes_is_not_quarantined() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..4 {
        ledger.record_broken(digest("cause"), &instance(number), NO_TIME, at(number));
        ledger.record_broken(digest("beside"), &instance(number), NO_TIME, at(number));
        ledger.record_crash(&instance(number), at(number));
    }
    ledger.decide(at(105));
    assert!(
        !is_quarantined(&ledger, "cause", 10) && !is_quarantined(&ledger, "beside", 10),
        "the cause is ambiguous"
    );
    crash_under(&mut ledger, "cause", 4, at(20));
    assert!(is_quarantined(&ledger, "cause", 30));
    assert!(!is_quarantined(&ledger, "beside", 30));
    crash_under(&mut ledger, "beside", 5, at(40));
    assert!(!is_quarantined(&ledger, "beside", 50), "three of its four crashes are explained");
}

#[test]
fn reports_of_peers_lead_to_a_quarantine() {
    let mut reports = Vec::new();
    for number in 1..4 {
        reports.push(SuspectReport { digest: digest("a"), instances: vec![instance(number)] });
    }
    let mut ledger = QuarantineLedger::default();
    for (at_ms, report) in [(1, &reports[0]), (2, &reports[0]), (3, &reports[1])] {
        ledger.apply_report(report, at(at_ms));
    }
    ledger.decide(at(150));
    assert!(!is_quarantined(&ledger, "a", 150), "one crash was reported twice");
    ledger.apply_report(&reports[2], at(200));
    assert!(!is_quarantined(&ledger, "a", 200), "further reports may still arrive");
    ledger.decide(at(300));
    assert!(is_quarantined(&ledger, "a", 300));
    assert_eq!(ledger.take_quarantined(), [digest("a")]);
    assert!(ledger.take_quarantined().is_empty());
    let due = ledger.quarantined().write_due().unwrap();
    assert!(due.since(at(300)) >= ms(1_000), "the process that detected it writes first");
}

#[test]
fn a_suspect_report_fits_into_a_datagram() {
    let instances = (0..8).map(|number| TargetInstance {
        incarnation: name("a-name-of-thirty-characters-or-so"),
        started_ms: 1_700_000_000_000 + number,
    });
    let report = SuspectReport { digest: digest("a"), instances: instances.collect() };
    for message in [PeerMessage::RequestSuspected(report), PeerMessage::RequestCleared(digest("a"))]
    {
        let bytes = message.to_bytes().unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        assert_eq!(PeerMessage::from_bytes(&bytes).unwrap(), message);
    }
}

/// Agents merge the reports of entries, and forward those of two crashes or more.
#[test]
fn agents_merge_the_reports_of_entries() {
    let mut set = SubscriberSet::default();
    let entries: Vec<SocketAddr> =
        (1..4).map(|number| ([10, 1, 0, number], 7_000).into()).collect();
    for (number, entry) in entries.iter().enumerate() {
        let subscribe = PeerMessage::Subscribe {
            entry: number as u64,
            proof_age_ms: None,
            watched_revision: None,
            confirmed_revision: None,
            version_in_force: None,
        };
        set.on_message(&subscribe, *entry, 100, at(0));
    }
    let report = |instances: &[u64]| {
        let instances = instances.iter().map(|number| instance(*number)).collect();
        PeerMessage::RequestSuspected(SuspectReport { digest: digest("a"), instances })
    };
    assert!(set.on_message(&report(&[1]), entries[0], 100, at(10)).is_empty());
    let out = set.on_message(&report(&[2]), entries[1], 100, at(20));
    assert_eq!(out.len(), entries.len(), "including the entries that reported");
    assert!(out.iter().all(|out| out.message == report(&[1, 2])));
    let restarted = PeerMessage::Subscribe {
        entry: 9,
        proof_age_ms: None,
        watched_revision: None,
        confirmed_revision: None,
        version_in_force: None,
    };
    let out = set.on_message(&restarted, entries[2], 100, at(30));
    assert!(out.iter().any(|out| out.message == report(&[1, 2])), "an entry that restarted");
    let out = set.on_message(&PeerMessage::RequestCleared(digest("a")), entries[0], 100, at(40));
    assert_eq!(out.len(), 2, "the other entries");
    assert!(set.on_message(&report(&[3]), entries[0], 100, at(50)).is_empty());
}

/// After its quarantine has expired, one more crash quarantines it for twice as long.
#[test]
fn a_renewed_quarantine_lasts_longer() {
    let mut ledger = ledger_of("a", &[1, 2, 3]);
    let later = 700_000;
    assert!(!is_quarantined(&ledger, "a", later));
    crash_under(&mut ledger, "a", 9, at(later));
    assert!(is_quarantined(&ledger, "a", later + 1_199_000));
    assert!(!is_quarantined(&ledger, "a", later + 1_201_000));
}

#[test]
fn a_process_that_starts_later_reads_the_quarantine_from_the_store() {
    let mut ledger = ledger_of("a", &[1, 2, 3]);
    let records = ledger.due_records(UNIX_ORIGIN_MS, at(400)).unwrap();
    assert!(ledger.due_records(UNIX_ORIGIN_MS, at(410)).is_none(), "not again at once");
    assert!(
        ledger.due_records(UNIX_ORIGIN_MS, at(1_000)).is_some(),
        "retried until the store shows it"
    );
    ledger.apply_records(&records, UNIX_ORIGIN_MS, at(1_100));
    assert_eq!(ledger.quarantined().write_due(), None);
    let mut later = QuarantineLedger::default();
    later.apply_records(&records, UNIX_ORIGIN_MS + 60_000, at(0));
    let left = later.quarantined().quarantine_left(&digest("a"), at(0)).unwrap();
    assert!(left > ms(535_000) && left < ms(545_000), "{left:?}");
    // A record that another process removed from the object is written again.
    later.apply_records(&[], UNIX_ORIGIN_MS + 60_000, at(10));
    assert_eq!(
        later.due_records(UNIX_ORIGIN_MS, at(10)),
        None,
        "another process may write it first"
    );
    assert_eq!(later.due_records(UNIX_ORIGIN_MS, at(1_010)).unwrap(), records);
}

#[test]
fn reports_and_quarantines_are_bounded() {
    let mut ledger = QuarantineLedger::default();
    for number in 0..5_000 {
        crash_under(&mut ledger, &format!("r{number}"), 1, at(number));
    }
    assert!(ledger.to_reports().len() <= 32);
    let records: Vec<_> = (0..500)
        .map(|number| QuarantineRecord {
            subject: digest(&format!("h{number}")),
            since_ms: UNIX_ORIGIN_MS,
            renewals: 0,
            is_lifted: false,
        })
        .collect();
    ledger.apply_records(&records, UNIX_ORIGIN_MS, at(5_000));
    assert!(ledger.quarantined().active_count(at(5_000)) <= 64);
}

/// A configuration of the same version delivers the quarantine; one of an earlier version does
/// not replace the current one, even if it carries a quarantine.
#[test]
fn the_quarantine_comes_with_the_configuration() {
    let record = QuarantineRecord {
        subject: digest("a"),
        since_ms: UNIX_ORIGIN_MS,
        renewals: 0,
        is_lifted: false,
    };
    let config = RelayConfig { version: 5, ..RelayConfig::default() };
    let quarantining = RelayConfig { quarantine: vec![record], ..config.clone() };
    let update = |config| config_update(revision(9), config);
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    core.set_unix_origin(UNIX_ORIGIN_MS);
    assert!(core.apply_config(Some(config.clone()), at(0)));
    assert!(!core.apply_update(update(quarantining.clone()), at(10)), "the same version");
    assert!(core.quarantine().quarantined().quarantine_left(&digest("a"), at(20)).is_some());
    assert_eq!(core.config_copy().unwrap().config.quarantine, [record], "forwarded");
    assert!(!core.apply_update(update(RelayConfig { version: 4, ..quarantining }), at(30)));
    assert_eq!(core.rules().version(), 5);
}

/// A target that is removed from the list, or restarts under its name, has crashed; one that
/// had announced its shutdown has not.
#[test]
fn crashes_are_detected_by_the_target_list() {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    core.apply_list(vec![record("a", 1), record("b", 2), record("c", 3)], false, at(0));
    let instances: Vec<_> = ["a", "b", "c"].map(|name| core.instance_of(name).unwrap()).into();
    let mut leaving = record("c", 3);
    leaving.is_leaving = true;
    core.apply_change(leaving, at(5));
    let mut restarted = record("b", 2);
    restarted.started_ms = 7;
    core.apply_list(vec![record("a", 1), restarted], false, at(10));
    core.apply_list(vec![], false, at(20));
    assert!(!core.may_be_running(&instances[0]) && !core.may_be_running(&instances[1]));
    let is_suspected = |core: &mut RelayCore, instance, body| {
        core.record_broken(digest(body), instance, NO_TIME, at(30));
        core.quarantine().report_on(digest(body)).is_some()
    };
    assert!(is_suspected(&mut core, &instances[0], "x"));
    assert!(is_suspected(&mut core, &instances[1], "y"));
    assert!(!is_suspected(&mut core, &instances[2], "z"), "it left as announced");
}

/// Property: with requests at engines chosen at random, the cause is quarantined after six
/// crashes at most, and no bystander, which its first answer clears, is quarantined.
#[test]
fn a_cause_is_found_among_bystanders() {
    check(cause_is_found as fn(u64) -> bool);
}

fn cause_is_found(seed: u64) -> bool {
    const ENGINES: u64 = 18;
    const BYSTANDERS: u64 = 30;
    const ROUNDS: u64 = 6;
    let mut random = StdRng::seed_from_u64(seed);
    let mut ledger = QuarantineLedger::default();
    let mut bystanders: Vec<String> = (0..BYSTANDERS).map(|at| format!("beside {at}")).collect();
    for round in 1..=ROUNDS {
        let engine = random.random_range(0..ENGINES);
        let (crashed, now) = (instance(round * ENGINES + engine), at(round * 100));
        ledger.record_broken(digest("cause"), &crashed, NO_TIME, now);
        for body in &mut bystanders {
            if random.random_range(0..ENGINES) == engine {
                ledger.record_broken(digest(body), &crashed, NO_TIME, now);
            } else {
                ledger.record_served(&digest(body));
                body.push('x');
            }
        }
        ledger.record_crash(&crashed, now + ms(10));
        ledger.decide(now + ms(10) + JOIN_WINDOW);
    }
    let end = ROUNDS * 100 + 50;
    is_quarantined(&ledger, "cause", end)
        && !bystanders.iter().any(|body| is_quarantined(&ledger, body, end))
}

/// The number of suspects is bounded, whatever callers send: the newest are kept.
#[test]
fn the_number_of_suspects_is_bounded() {
    const MAX: u64 = 1_024;
    let mut ledger = QuarantineLedger::default();
    for number in 1..=2 * MAX {
        // Two crashes each, which make it a suspect.
        crash_under(&mut ledger, &format!("b{number}"), 2 * number, at(number));
        crash_under(&mut ledger, &format!("b{number}"), 2 * number + 1, at(number));
    }
    let is_kept = |number: &u64| ledger.is_suspect(&digest(&format!("b{number}")));
    assert_eq!((1..=2 * MAX).filter(is_kept).count() as u64, MAX);
    assert!(is_kept(&(2 * MAX)) && !is_kept(&1));
}

/// A caller cannot have another account's request quarantined by sending its body.
#[test]
fn the_same_body_from_two_accounts_is_two_requests() {
    let of = |account| RequestDigest::of(account, "h.example", "/x", b"a");
    assert_ne!(of(Some("acme")), of(Some("other")));
    assert_ne!(of(Some("acme")), of(None));
    assert_ne!(of(Some("")), of(None), "no account differs from an account with an empty name");
    let ledger = ledger_of("a", &[1, 2, 3]);
    assert_eq!(of(Some("acme")), digest("a"));
    assert!(ledger.quarantined().quarantine_left(&of(Some("acme")), at(300)).is_some());
    assert!(ledger.quarantined().quarantine_left(&of(Some("other")), at(300)).is_none());
    assert!(ledger.quarantined().quarantine_left(&of(None), at(300)).is_none());
}
