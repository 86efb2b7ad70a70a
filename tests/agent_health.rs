//! When an agent takes its target to be lost.

use std::time::Duration;

use shalelane::agent::health::{PollOutcome, TargetHealth};
use shalelane::time::Tick;

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a sound target may be silent.
const SOUND_SILENCE: Duration = Duration::from_millis(2_500);

/// Polls until the target counts as lost. Returns the time that this took, at most a minute.
fn time_to_loss(outcome: PollOutcome, progress_interval: Option<Duration>) -> Duration {
    let mut health = TargetHealth::new(Tick(0));
    let mut now = Tick(0);
    let mut progress_at = progress_interval.map(|interval| now + interval);
    while now < Tick(0) + Duration::from_secs(60) {
        now = now + POLL_INTERVAL;
        if let (Some(at), Some(interval)) = (progress_at, progress_interval)
            && at <= now
        {
            health.record_progress(now);
            progress_at = Some(now + interval);
        }
        if health.record_poll(outcome, now) {
            break;
        }
    }
    now.since(Tick(0))
}

#[test]
fn a_target_that_refuses_connections_is_lost_within_a_second() {
    assert!(time_to_loss(PollOutcome::NotConnected, None) <= Duration::from_secs(1));
}

#[test]
fn a_target_is_not_lost_for_the_silence_of_a_sound_one() {
    let span = time_to_loss(PollOutcome::NoReport, None);
    assert!(span > SOUND_SILENCE, "lost after {span:?}");
    assert!(span < SOUND_SILENCE * 2, "a target that is gone is lost after {span:?}");
}

#[test]
fn a_target_whose_runs_progress_is_not_lost() {
    let span = time_to_loss(PollOutcome::NoReport, Some(SOUND_SILENCE));
    assert!(span >= Duration::from_secs(60), "lost after {span:?}");
}

#[test]
fn a_target_that_reports_is_not_lost() {
    assert!(time_to_loss(PollOutcome::Reported, None) >= Duration::from_secs(60));
}
