//! Which hosts count as silent, and which agents have only ended.

use quickcheck::quickcheck;
use shalelane::relay::decide::host_contact::{HostCheck, HostContact};

use crate::fixture::at;

/// Interval of subscriptions, which agents answer.
const SUBSCRIPTION_MS: u64 = 750;

/// Interval at which an overdue request checks its target.
const CHECK_MS: u64 = 50;

/// Time from the end of a host until it must be known by a request that is overdue all the time:
/// callers of short prompts wait for two seconds, and need one of them for another attempt.
const NOTICE_MS: u64 = 1_000;

/// Runs subscriptions and checks in virtual time from 0 to `until`. Requests are overdue from
/// `overdue` on; the agent answers what `answers` says. Returns the times of reports.
fn run(until: u64, overdue: u64, answers: impl Fn(u64) -> bool) -> (HostContact, Vec<u64>) {
    let mut contact = HostContact::default();
    let mut reports = Vec::new();
    for now in (0..until).step_by(CHECK_MS as usize) {
        let mut is_queried = now % SUBSCRIPTION_MS == 0;
        if now >= overdue {
            match contact.record_overdue(at(now)) {
                HostCheck::Wait => {}
                HostCheck::Query => is_queried = true,
                HostCheck::Report => reports.push(now),
            }
        }
        if is_queried {
            contact.record_query(at(now));
            if answers(now) {
                contact.record_answer(at(now));
            }
        }
    }
    (contact, reports)
}

#[test]
fn a_host_that_stands_still_is_reported_once_and_soon() {
    for end in (3_000..3_750).step_by(CHECK_MS as usize) {
        let (contact, reports) = run(6_000, end, |now| now < end);
        assert_eq!(reports.len(), 1, "the host ends at {end}: {reports:?}");
        assert!(reports[0] <= end + NOTICE_MS, "the host ends at {end}: {reports:?}");
        assert!(contact.is_silent(at(6_000)));
    }
}

#[test]
fn a_host_that_goes_on_is_no_longer_silent() {
    let (mut contact, _) = run(5_000, 3_000, |now| now < 3_000);
    assert!(contact.is_silent(at(5_000)));
    contact.record_sign_of_life();
    assert!(!contact.is_silent(at(5_000)));
    let (contact, reports) = run(8_000, 3_000, |now| !(3_000..4_500).contains(&now));
    assert_eq!(reports.len(), 1);
    assert!(!contact.is_silent(at(8_000)));
}

#[test]
fn an_agent_that_has_ended_does_not_make_its_host_silent() {
    let (contact, reports) = run(10_000, 5_000, |now| now < 2_000);
    assert_eq!(reports, Vec::<u64>::new(), "its target is only slow");
    assert!(!contact.is_silent(at(10_000)));
    let (_, reports) = run(10_000, 0, |_| false);
    assert_eq!(reports, Vec::<u64>::new(), "there is no agent");
}

#[test]
fn a_process_that_stood_still_queries_before_it_judges() {
    for pause in [400, 1_000, 3_000] {
        let (mut contact, _) = run(2_000, 1_500, |_| true);
        contact.record_query(at(2_000));
        contact.record_query(at(2_080));
        contact.record_query(at(2_160));
        // The answers wait in its socket while it stands still.
        let check = contact.record_overdue(at(2_160 + pause));
        assert_ne!(check, HostCheck::Report, "after {pause} ms");
    }
}

#[test]
fn two_lost_answers_in_a_row_are_not_enough() {
    fn property(lost: u8) -> bool {
        let lost = 2_000 + u64::from(lost) * 4;
        let is_answered = |now: u64| now < lost || now >= lost + 2 * 75;
        run(4_000, 1_000, is_answered).1.is_empty()
    }
    quickcheck(property as fn(u8) -> bool);
}

#[test]
fn a_report_of_another_process_expires_and_yields_to_an_answer() {
    let mut contact = HostContact::default();
    contact.record_report(at(1_000));
    assert!(contact.is_silent(at(4_900)));
    assert!(!contact.is_silent(at(5_100)));
    let mut checks = (0..8).map(|step| {
        let now = at(5_200 + step * 80);
        let check = contact.record_overdue(now);
        contact.record_query(now);
        check
    });
    assert!(checks.any(|check| check == HostCheck::Report), "it still answers nothing");
    contact.record_answer(at(6_000));
    contact.record_report(at(6_100));
    assert!(!contact.is_silent(at(6_100)), "it has just answered");
    contact.record_report(at(6_500));
    contact.record_answer(at(6_600));
    assert!(!contact.is_silent(at(6_601)));
}
