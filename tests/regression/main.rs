//! Regression tests, one file for each past failure.

mod agent_fixture;
mod attempt_name_in_path;
mod cancel_overtakes_start;
mod duplicate_of_refused_dispatch;
mod engine_backoff;
mod hold_expired_before_start;
mod large_answers;
mod orphaned_reservation;
mod paused_run_behind_queued_run;
mod requests_that_crash_engines;
mod stop_before_delivery;
