//! Bounds of what a process keeps and sends about parts of prompts.

use std::sync::Arc;
use std::time::Duration;

use shalelane::relay::decide::part_board::PartBoard;
use shalelane::relay::decide::part_evidence::{PartSet, ServedCounts};
use shalelane::relay::decide::part_ledger::{
    MAX_TIME_TO_CRASH, PartAttempt, PartLedger, PartVerdict,
};
use shalelane::relay::decide::part_message::{
    PartCrashReport, PartMessage, PartNotice, PartServedReport,
};
use shalelane::relay::decide::prompt_part::PromptPart;
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::decide::targets::TargetInstance;
use shalelane::relay::peers::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use shalelane::time::Tick;

use crate::fixture::{at, ms, name};

/// Time after a crash at which the ledger evaluates it.
const JOIN_WINDOW: Duration = Duration::from_millis(100);

fn parts(names: &[&str]) -> PartSet {
    PromptPart::shared_of(names.iter().copied().chain(["own"]))
}

fn instance(number: u64) -> TargetInstance {
    TargetInstance { incarnation: name(&format!("e{number}")), started_ms: number }
}

fn attempt(number: u64, names: &[&str], sent_at: Tick, broke_at: Tick) -> PartAttempt {
    let digest = RequestDigest::of(None, "h", "/x", &number.to_be_bytes());
    PartAttempt { digest, parts: parts(names), sent_at, broke_at }
}

/// An informed entry that has served sound requests.
fn served_ledger() -> PartLedger {
    let mut ledger = PartLedger::new(1, 0.0);
    ledger.set_informed(true);
    for number in 0..200 {
        ledger.record_served(&parts(&["common"]), at(number), at(number + 1));
    }
    ledger
}

/// Lets engines crash, half a second one after the other, under requests that had received events
/// for `streamed_for`.
fn crash(ledger: &mut PartLedger, count: u64, streamed_for: Duration) {
    for number in 1..=count {
        let broke_at = at(500 * number);
        let attempt = attempt(number, &["bad", "common"], broke_at - ms(200), broke_at);
        ledger.record_broken(attempt, &instance(number), streamed_for, broke_at);
        ledger.record_crash(&instance(number), broke_at + ms(10));
        ledger.decide(broke_at + ms(10) + JOIN_WINDOW);
    }
}

fn is_open(ledger: &mut PartLedger, names: &[&str], now: Tick) -> bool {
    ledger.verdict(&parts(names), now) == PartVerdict::Open
}

#[test]
fn only_prompts_with_the_part_are_refused() {
    let mut ledger = served_ledger();
    crash(&mut ledger, 5, ms(0));
    assert!(!is_open(&mut ledger, &["bad"], at(3_000)));
    assert!(!is_open(&mut ledger, &["bad", "other"], at(3_000)));
    assert!(is_open(&mut ledger, &["common"], at(3_000)));
    assert!(is_open(&mut ledger, &[], at(3_000)));
}

#[test]
fn an_answer_that_began_and_then_broke_counts_if_it_broke_soon() {
    let mut ledger = served_ledger();
    crash(&mut ledger, 5, ms(399));
    assert!(!is_open(&mut ledger, &["bad"], at(3_000)));
    let mut ledger = served_ledger();
    crash(&mut ledger, 9, MAX_TIME_TO_CRASH);
    assert!(is_open(&mut ledger, &["bad"], at(5_000)));
}

#[test]
fn a_crash_that_is_never_confirmed_or_reported_twice_counts_as_it_is() {
    let mut ledger = served_ledger();
    for number in 1..9 {
        let attempt = attempt(number, &["bad"], at(500 * number - 200), at(500 * number));
        ledger.record_broken(attempt, &instance(number), ms(0), at(500 * number));
    }
    ledger.decide(at(9_000));
    assert!(is_open(&mut ledger, &["bad"], at(9_000)), "no crash was confirmed");
    let mut ledger = served_ledger();
    for repeat in 0..9 {
        let now = at(500 * repeat + 500);
        let attempt = attempt(repeat, &["bad"], now - ms(200), now);
        ledger.record_broken(attempt, &instance(1), ms(0), now);
        ledger.record_crash(&instance(1), now);
        ledger.decide(now + JOIN_WINDOW);
    }
    assert!(is_open(&mut ledger, &["bad"], at(9_000)), "one engine crashed once");
}

/// A single request that is sent again and again says nothing about its parts.
#[test]
fn crashes_under_one_request_are_not_blamed_on_its_parts() {
    let mut ledger = served_ledger();
    for number in 1..9 {
        let now = at(500 * number);
        let attempt = attempt(7, &["rare"], now - ms(200), now);
        ledger.record_broken(attempt, &instance(number), ms(0), now);
        ledger.record_crash(&instance(number), now);
        ledger.decide(now + JOIN_WINDOW);
    }
    assert!(is_open(&mut ledger, &["rare"], at(9_000)));
}

/// Connections to an engine that has crashed break as well, until its port is closed.
#[test]
fn a_request_that_is_sent_to_a_crashed_engine_does_not_hide_other_crashes() {
    let mut ledger = served_ledger();
    crash(&mut ledger, 2, ms(0));
    let late = attempt(9, &["bad", "common"], at(1_100), at(1_160));
    ledger.record_broken(late, &instance(1), ms(0), at(1_160));
    let third = attempt(3, &["bad", "common"], at(1_300), at(1_500));
    ledger.record_broken(third, &instance(3), ms(0), at(1_500));
    ledger.record_crash(&instance(3), at(1_510));
    ledger.decide(at(1_510) + JOIN_WINDOW);
    assert!(!is_open(&mut ledger, &["bad"], at(2_000)));
}

/// An entry that hears of no other entry's crashes leaves the decision to those that do.
#[test]
fn an_entry_without_reports_of_others_does_not_decide() {
    let mut ledger = served_ledger();
    ledger.set_informed(false);
    crash(&mut ledger, 9, ms(0));
    assert!(is_open(&mut ledger, &["bad"], at(5_000)));
    let notice = PartNotice { parts: parts(&["bad"]), left_ms: 600_000, renewals: 0 };
    ledger.apply_notice(&notice, 1_700_000_000_000, at(5_000));
    assert!(!is_open(&mut ledger, &["bad"], at(5_001)));
    let sent = ledger.take_messages();
    assert!(sent.contains(&PartMessage::Quarantined(notice)), "it is passed on");
}

#[test]
fn messages_about_parts_fit_into_a_datagram() {
    let long = |number: usize| PromptPart::from_name(&format!("{number:064}"));
    let names: Vec<_> = (0..8).map(long).collect();
    let crash = PartCrashReport {
        instance: TargetInstance {
            incarnation: name("a-name-of-thirty-characters-or-so"),
            started_ms: 1_700_000_000_000,
        },
        digest: RequestDigest::of(None, "h", "/x", b""),
        parts: names.clone(),
        sent_ago_ms: u32::MAX,
        broke_ago_ms: u32::MAX,
    };
    let served = ServedCounts { before: u32::MAX, total: u32::MAX, since: u32::MAX };
    let part = long(1);
    let messages = [
        PartMessage::Crashed(crash),
        PartMessage::Served(PartServedReport { part: part.clone(), reporter: u64::MAX, served }),
        PartMessage::Cleared(part),
        PartMessage::Quarantined(PartNotice {
            parts: Arc::from(names),
            left_ms: u64::MAX,
            renewals: u32::MAX,
        }),
    ];
    for message in messages {
        let bytes = PeerMessage::from(message.clone()).to_bytes().unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        let decoded = PeerMessage::from_bytes(&bytes).unwrap();
        assert_eq!(decoded.to_part_message(), Some(message));
    }
}

/// 100,000 distinct parts, as in a minute, while engines crash under some of them.
#[test]
fn distinct_parts_are_bounded() {
    const PARTS: u64 = 100_000;
    let mut ledger = PartLedger::new(1, 0.0);
    ledger.set_informed(true);
    let mut board = PartBoard::default();
    let mut relayed = [0; 2];
    for number in 0..PARTS {
        let now = at(number * 6 / 10);
        let rare = format!("part{number}");
        if number % 10 > 0 {
            ledger.record_served(&parts(&[&rare, "common"]), now, now);
            continue;
        }
        let attempt = attempt(number, &[&rare, "common"], now, now);
        ledger.record_broken(attempt, &instance(number / 80), ms(0), now);
        if number % 80 == 70 {
            ledger.record_crash(&instance(number / 80), now);
        }
        ledger.decide(now);
        for message in ledger.take_messages() {
            match board.on_message(message, now) {
                Some(PartMessage::Crashed(_)) => relayed[0] += 1,
                Some(PartMessage::Served(_)) => relayed[1] += 1,
                _ => {}
            }
        }
    }
    assert!(ledger.suspect_count() <= 1_024, "{}", ledger.suspect_count());
    assert!(board.to_messages(at(60_000)).len() <= 64 + 1_024 + 1_024);
    assert!(relayed.iter().all(|count| *count <= 61 * 200), "{relayed:?} relayed in a minute");
    assert!(is_open(&mut ledger, &["common"], at(60_001)));
}
