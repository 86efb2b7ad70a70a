//! Past failures, a file for each.

mod agent_fixture;
mod cancel_overtakes_start;
mod engine_that_asks_for_a_pause;
mod name_with_slash;
mod paused_behind_waiting;
mod refused_dispatch_comes_again;
mod release_before_start;
mod requests_that_end_engines;
mod stray_reservation;
