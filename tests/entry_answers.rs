//! Requests at an entry's core end with one final reply, and a sound attempt is not ended while
//! nothing can take its place.

mod entry_fixture;

use std::time::Duration;

use entry_fixture::{EntryFixture, RUN_LIMIT};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::entry::{EntryTuning, Event, FailureCode, Reply};
use shalelane::{AttemptKey, Verdict};

/// Time for which a link is down in tests: longer than the entry waits if another target can
/// take the request, and shorter than the time for which the agent keeps the run.
const OUTAGE: Duration = Duration::from_secs(2);

/// Starts a request and loses the link to its target for [`OUTAGE`].
fn lose_link(fixture: &mut EntryFixture) -> (u64, AttemptKey, usize) {
    let number = fixture.arrive(true);
    let (key, index) = fixture.live_attempt(number).expect("an attempt");
    fixture.link_down(index);
    fixture.advance(OUTAGE);
    (number, key, index)
}

fn assert_resumes(fixture: &mut EntryFixture, number: u64, index: usize) {
    assert_eq!(fixture.final_replies(number), 0, "the request ended while its target was silent");
    fixture.link_up(index);
    fixture.advance(RUN_LIMIT);
    let last = fixture.last_reply(number);
    assert!(matches!(last, Some(Reply::Done(_))), "{last:?}");
}

#[test]
fn an_attempt_is_not_ended_if_no_attempt_is_left() {
    let tuning = EntryTuning { max_attempts: 1, ..EntryTuning::default() };
    let mut fixture = EntryFixture::new(2, tuning);
    let (number, _, index) = lose_link(&mut fixture);
    assert_resumes(&mut fixture, number, index);
}

#[test]
fn an_attempt_is_not_ended_if_the_retry_budget_is_spent() {
    let tuning = EntryTuning { retry_ratio: 0.0, ..EntryTuning::default() };
    let mut fixture = EntryFixture::new(2, tuning);
    fixture.spend_retries();
    let (number, _, index) = lose_link(&mut fixture);
    assert_resumes(&mut fixture, number, index);
}

#[test]
fn an_attempt_is_not_ended_if_there_is_no_other_target() {
    let mut fixture = EntryFixture::new(1, EntryTuning::default());
    let (number, key, index) = lose_link(&mut fixture);
    assert!(!fixture.is_cancelled(key), "the only attempt was cancelled");
    assert_resumes(&mut fixture, number, index);
}

#[test]
fn an_attempt_is_not_ended_if_all_other_targets_refuse() {
    let mut fixture = EntryFixture::new(3, EntryTuning::default());
    fixture.set_all_closed(true);
    let number = fixture.arrive(true);
    let (key, index) = fixture.live_attempt(number).expect("an attempt");
    fixture.link_down(index);
    fixture.advance(OUTAGE);
    assert!(!fixture.is_cancelled(key), "the only attempt was cancelled");
    assert_resumes(&mut fixture, number, index);
}

#[test]
fn a_request_moves_to_another_target_if_one_takes_it() {
    let mut fixture = EntryFixture::new(2, EntryTuning::default());
    let (number, key, _) = lose_link(&mut fixture);
    assert!(fixture.is_cancelled(key), "the first attempt goes on beside the second");
    fixture.advance(RUN_LIMIT);
    assert!(matches!(fixture.last_reply(number), Some(Reply::Done(_))));
}

#[test]
fn an_attempt_whose_target_stays_away_is_given_up() {
    let mut fixture = EntryFixture::new(1, EntryTuning::default());
    let number = fixture.arrive(true);
    fixture.link_down(0);
    fixture.advance(Duration::from_secs(8));
    let Some(Reply::Failed(failure)) = fixture.last_reply(number) else {
        panic!("a request whose only target is gone does not end")
    };
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
}

#[test]
fn requests_end_with_one_final_reply_whatever_happens_meanwhile() {
    const FIRST_SEED: u64 = 20_261_204;
    const RUNS: u64 = 300;
    for seed in FIRST_SEED..FIRST_SEED + RUNS {
        run_randomly(seed);
    }
}

fn run_randomly(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let targets = rng.random_range(1..=4);
    let retry_ratio = [0.0, 0.1, 1.0][rng.random_range(0..3)];
    let max_attempts = rng.random_range(1..=4);
    let tuning = EntryTuning { max_attempts, retry_ratio, ..EntryTuning::default() };
    let mut fixture = EntryFixture::with_seed(targets, tuning, seed);
    let steps = rng.random_range(50..300);
    let mut numbers = Vec::new();
    for _ in 0..steps {
        let index = rng.random_range(0..targets);
        match rng.random_range(0..16) {
            0..5 => {
                let repeatable = rng.random_bool(0.7);
                numbers.push(fixture.arrive(repeatable));
            }
            5..7 => fixture.link_down(index),
            7..9 => fixture.link_up(index),
            9 => fixture.crash(index),
            10 => fixture.change_config(&mut rng),
            11 => fixture.change_host(index, &mut rng),
            12 => {
                let is_closed = rng.random_bool(0.5);
                fixture.set_closed(index, is_closed);
            }
            13 if !numbers.is_empty() && rng.random_bool(0.2) => {
                let number = numbers[rng.random_range(0..numbers.len())];
                fixture.disconnect_caller(number);
            }
            _ => {}
        }
        let span = Duration::from_millis(rng.random_range(0..700));
        fixture.advance(span);
    }
    if rng.random_bool(0.7) {
        let limit = fixture.time_limit().mul_f64(rng.random_range(0.0..1.5));
        fixture.feed(Event::Drain(limit));
        numbers.push(fixture.arrive(true));
    }
    if rng.random_bool(0.3) {
        fixture.feed(Event::DrainTimedOut);
    }
    fixture.advance(fixture.time_limit() + Duration::from_secs(1));
    for number in numbers {
        let count = fixture.final_replies(number);
        let expected = usize::from(!fixture.has_left(number));
        assert!(count >= expected && count <= 1, "seed {seed}: request {number}: {count} ends");
    }
    assert_eq!(fixture.core.open_requests(), 0, "seed {seed}");
    assert_eq!(fixture.core.broken_invariants(), 0, "seed {seed}");
    assert!(fixture.violations.is_empty(), "seed {seed}: {:#?}", fixture.violations);
}

#[test]
fn a_drain_that_times_out_refuses_what_waits_and_ends_what_runs() {
    let mut fixture = EntryFixture::new(1, EntryTuning::default());
    let number = fixture.arrive(true);
    let (key, _) = fixture.live_attempt(number).expect("an attempt");
    fixture.feed(Event::Drain(OUTAGE));
    fixture.feed(Event::DrainTimedOut);
    let Some(Reply::Failed(failure)) = fixture.last_reply(number) else {
        panic!("the request has no final reply")
    };
    assert_eq!((failure.code, failure.verdict), (FailureCode::Stopping, Verdict::MayHaveRun));
    assert!(fixture.is_cancelled(key));
    assert!(fixture.is_stopped);
}

/// Returns a fixture without a link and the number of a request that waits there.
fn wait_for_link() -> (EntryFixture, u64) {
    let mut fixture = EntryFixture::new(1, EntryTuning::default());
    fixture.link_down(0);
    let number = fixture.arrive(false);
    assert!(fixture.live_attempt(number).is_none(), "an attempt without a link");
    (fixture, number)
}

fn assert_refused(fixture: &EntryFixture, number: u64) {
    let Some(Reply::Failed(failure)) = fixture.last_reply(number) else {
        panic!("the request is not refused")
    };
    assert_eq!((failure.code, failure.verdict), (FailureCode::Stopping, Verdict::NotRun));
}

#[test]
fn a_request_that_waits_when_a_short_drain_begins_is_refused() {
    let (mut fixture, number) = wait_for_link();
    fixture.feed(Event::Drain(fixture.time_limit() / 2));
    assert_refused(&fixture, number);
    fixture.link_up(0);
    fixture.advance(RUN_LIMIT);
    assert!(fixture.live_attempt(number).is_none(), "sent after its refusal");
}

#[test]
fn a_request_that_its_target_refuses_in_a_short_drain_is_refused() {
    let mut fixture = EntryFixture::new(1, EntryTuning::default());
    fixture.crash(0);
    let number = fixture.arrive(false);
    fixture.feed(Event::Drain(fixture.time_limit() / 2));
    fixture.advance(OUTAGE);
    assert_refused(&fixture, number);
}

#[test]
fn a_request_whose_time_limit_is_within_the_drain_is_served() {
    let (mut fixture, number) = wait_for_link();
    fixture.feed(Event::Drain(fixture.time_limit()));
    fixture.link_up(0);
    fixture.advance(RUN_LIMIT);
    assert!(matches!(fixture.last_reply(number), Some(Reply::Done(_))));
}
