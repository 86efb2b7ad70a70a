//! Wait times of watches of the store.

use shalelane::relay::discovery::watch_timing::{
    MIN_WATCH_INTERVAL, WatchEnd, delay_after, list_watch_delay, watch_timeout,
};

use crate::fixture::{check, ms};

#[test]
fn a_watch_ends_before_the_store_forgets_its_start_position() {
    fn property(history: u16) -> bool {
        let history = ms(u64::from(history));
        watch_timeout(history) + MIN_WATCH_INTERVAL <= history.max(ms(1_200))
    }
    check(property as fn(u16) -> bool);
    assert_eq!(watch_timeout(ms(600_000)), ms(25_000), "bounded by the cost of a watch");
}

#[test]
fn a_long_watch_with_a_forgotten_position_is_followed_by_an_immediate_read() {
    assert!(delay_after(WatchEnd::Forgotten, ms(15_000)).is_zero());
}

#[test]
fn watches_that_keep_ending_do_not_call_the_store_in_a_tight_loop() {
    assert_eq!(delay_after(WatchEnd::Forgotten, ms(4)), MIN_WATCH_INTERVAL);
    assert_eq!(delay_after(WatchEnd::Failed, ms(4)), MIN_WATCH_INTERVAL);
    assert_eq!(delay_after(WatchEnd::Failed, ms(15_000)), MIN_WATCH_INTERVAL);
}

/// When a whole fleet starts at once, targets are listed one after the other for two seconds, and
/// every entry watches until it learns of other watchers.
#[test]
fn a_start_of_the_whole_fleet_takes_few_answers_per_entry() {
    let (start, bound) = (ms(300), ms(3_000));
    let mut age = start;
    let mut answers = 0;
    while age < ms(2_300) {
        age += list_watch_delay(age, bound);
        answers += 1;
    }
    assert!(answers <= 6, "{answers} answers");
    assert_eq!(list_watch_delay(start, bound), ms(200), "the first answers come soon");
}

#[test]
fn a_leaving_target_is_seen_within_its_bound_at_any_process_age() {
    fn property(age: u16, bound: u16) -> bool {
        let bound = ms(u64::from(bound));
        list_watch_delay(ms(u64::from(age)), bound) <= bound / 2
    }
    check(property as fn(u16, u16) -> bool);
}
