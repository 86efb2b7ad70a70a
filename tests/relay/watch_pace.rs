//! How long watches of the store wait.

use shalelane::relay::discovery::watch_pace::{
    NEWS_STEP, WatchEnd, delay_after, list_rest, watch_wait,
};

use crate::fixture::{check, ms};

#[test]
fn a_watch_ends_before_the_store_forgets_its_beginning() {
    fn property(history: u16) -> bool {
        let history = ms(u64::from(history));
        watch_wait(history) + NEWS_STEP <= history.max(ms(1_200))
    }
    check(property as fn(u16) -> bool);
    assert_eq!(watch_wait(ms(600_000)), ms(25_000), "an answer is worth its price");
}

#[test]
fn a_watch_that_waited_and_was_forgotten_is_followed_by_a_read_at_once() {
    assert!(delay_after(WatchEnd::Forgotten, ms(15_000)).is_zero());
}

#[test]
fn watches_that_end_again_and_again_do_not_ask_in_a_loop() {
    assert_eq!(delay_after(WatchEnd::Forgotten, ms(4)), NEWS_STEP);
    assert_eq!(delay_after(WatchEnd::Failed, ms(4)), NEWS_STEP);
    assert_eq!(delay_after(WatchEnd::Failed, ms(15_000)), NEWS_STEP);
}

/// A fleet that starts as one: targets are listed one after the other for two seconds, and
/// every entry watches until it knows of others that do.
#[test]
fn a_start_of_the_whole_fleet_takes_a_few_answers_of_each_entry() {
    let (start, bound) = (ms(300), ms(3_000));
    let mut now = start;
    let mut answers = 0;
    while now < ms(2_300) {
        now += list_rest(now, bound);
        answers += 1;
    }
    assert!(answers <= 6, "{answers} answers");
    assert_eq!(list_rest(start, bound), ms(200), "the first come soon");
}

#[test]
fn a_leaving_target_is_heard_of_within_its_bound_at_any_age() {
    fn property(age: u16, bound: u16) -> bool {
        let bound = ms(u64::from(bound));
        list_rest(ms(u64::from(age)), bound) <= bound / 2
    }
    check(property as fn(u16, u16) -> bool);
}
