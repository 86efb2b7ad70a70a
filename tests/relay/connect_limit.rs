//! How long connections may take.

use shalelane::relay::decide::connect_limit::connect_limit;

use crate::fixture::{check, ms};

/// Past failure: requests with an objective of 150 ms waited 600 ms for a connection to a
/// host that was gone, and then went to a target that answered in 30.
#[test]
fn a_request_with_another_target_is_in_time_after_a_connection_that_does_not_come_up() {
    const ANSWER: u64 = 40;
    for objective in [150, 200, 300, 1_500, 4_000] {
        let limit = connect_limit(ms(objective), true);
        assert!(limit + ms(ANSWER) < ms(objective), "{limit:?} of {objective} ms");
    }
}

#[test]
fn a_request_without_another_target_waits_for_the_one() {
    assert_eq!(connect_limit(ms(150), false), ms(600));
}

#[test]
fn a_limit_leaves_time_for_a_few_round_trips() {
    fn property(objective: u16, has_other: bool) -> bool {
        let limit = connect_limit(ms(u64::from(objective)), has_other);
        (ms(100)..=ms(600)).contains(&limit)
    }
    check(property as fn(u16, bool) -> bool);
}
