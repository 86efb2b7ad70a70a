//! What requests lose by coming late, in short requests.
//!
//! One measure for all that is weighed: the prompt that is placed, the prompts
//! that wait to be read, and the answers that are being written.

use std::time::Duration;

/// What a request loses by coming late, as part of its value: late answers earn
/// about a quarter.
pub const LATE_LOSS: f32 = 0.75;

/// What a request loses by using up its time for the first event, as part of
/// its value: an answer that is foretold to be just in time may be late.
const TIME_LOSS: f32 = 0.25;

/// Part of its time for the first event within which a prompt should start.
pub const FIRST_PART: f64 = 0.8;

/// Most that the loss by time counts, as a square of the part that is used.
const MAX_SQUARE: f32 = 4.0;

/// Part of a writer's longest pause from which a pass begins to be a risk: one
/// a little under the limit may turn out a little over it.
const PAUSE_RISK_FROM: f64 = 0.82;

/// Loss of a request of such a value whose first event comes after `first` of
/// the time that it has for it.
#[must_use]
pub fn first_event_loss(value: f32, first: Duration, limit: Duration) -> f32 {
    let part = first.as_secs_f64() / limit.as_secs_f64().max(1e-3);
    let late = if part > FIRST_PART { LATE_LOSS } else { 0.0 };
    let part = part as f32;
    value * (late + TIME_LOSS * (part * part).min(MAX_SQUARE))
}

/// Loss of an answer of such a value that stands still for a whole pass.
#[must_use]
pub fn pause_loss(value: f32, pass: Duration, longest_pause: Duration) -> f32 {
    let part = pass.as_secs_f64() / longest_pause.as_secs_f64().max(1e-6);
    let risk = ((part - PAUSE_RISK_FROM) / (1.0 - PAUSE_RISK_FROM)).clamp(0.0, 1.0);
    value * LATE_LOSS * risk as f32
}
