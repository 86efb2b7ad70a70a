//! Loss of requests that come late, in short requests.
//!
//! The same measure applies to the prompt that is placed, to prompts that wait for their
//! prefill, and to answers that are being decoded.

use std::time::Duration;

/// Loss of a late request, as a fraction of its value: a late answer earns about a quarter.
pub const LATE_LOSS: f32 = 0.75;

/// Loss of a request that uses up its time for the first event, as a fraction of its value. An
/// answer that is predicted to be just in time may turn out late.
const TIME_LOSS: f32 = 0.25;

/// Fraction of the time for the first event after which a predicted first event counts as late.
pub const FIRST_EVENT_FRACTION: f64 = 0.8;

/// Maximum of the square of the used fraction of that time, by which `TIME_LOSS` is multiplied.
const MAX_SQUARED_FRACTION: f32 = 4.0;

/// Fraction of the longest pause from which a pass counts as a risk. A pass that is predicted
/// slightly shorter than the limit may turn out slightly longer.
const PAUSE_RISK_FROM: f64 = 0.82;

/// Loss of a request of this value if its first event comes `first` after its arrival.
#[must_use]
pub fn first_event_loss(value: f32, first: Duration, limit: Duration) -> f32 {
    let fraction = first.as_secs_f64() / limit.as_secs_f64().max(1e-3);
    let late = if fraction > FIRST_EVENT_FRACTION { LATE_LOSS } else { 0.0 };
    let fraction = fraction as f32;
    value * (late + TIME_LOSS * (fraction * fraction).min(MAX_SQUARED_FRACTION))
}

/// Loss of an answer of this value that pauses for a whole pass.
#[must_use]
pub fn pause_loss(value: f32, pass: Duration, longest_pause: Duration) -> f32 {
    let fraction = pass.as_secs_f64() / longest_pause.as_secs_f64().max(1e-6);
    let risk = ((fraction - PAUSE_RISK_FROM) / (1.0 - PAUSE_RISK_FROM)).clamp(0.0, 1.0);
    value * LATE_LOSS * risk as f32
}
