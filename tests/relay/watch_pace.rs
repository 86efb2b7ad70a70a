//! How long watches of the store wait.

use shalelane::relay::discovery::watch_pace::{NEWS_STEP, WatchEnd, rest_after, watch_wait};

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
    assert!(rest_after(WatchEnd::Forgotten, ms(15_000)).is_zero());
}

#[test]
fn watches_that_end_again_and_again_do_not_ask_in_a_loop() {
    assert_eq!(rest_after(WatchEnd::Forgotten, ms(4)), NEWS_STEP);
    assert_eq!(rest_after(WatchEnd::Failed, ms(4)), NEWS_STEP);
    assert_eq!(rest_after(WatchEnd::Failed, ms(15_000)), NEWS_STEP);
}
