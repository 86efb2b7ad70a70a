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
pub const PAUSE_RISK_FROM: f32 = 0.82;

/// The same for a request that less urgent ones must not delay. Entries place prompts at the same
/// moment without knowing of one another's, and several in one pass exceed the limit together,
/// though each alone keeps it.
pub const URGENT_PAUSE_RISK_FROM: f32 = 0.4;

/// Loss of a request of this value if its first event comes `first` after its arrival.
#[must_use]
pub fn first_event_loss(value: f32, first: Duration, limit: Duration) -> f32 {
    let fraction = first.as_secs_f64() / limit.as_secs_f64().max(1e-3);
    let late = if fraction > FIRST_EVENT_FRACTION { LATE_LOSS } else { 0.0 };
    let fraction = fraction as f32;
    value * (late + TIME_LOSS * (fraction * fraction).min(MAX_SQUARED_FRACTION))
}

/// Loss of an answer of this value that pauses for a whole pass. It rises from the fraction
/// `risk_from` of the longest pause.
#[must_use]
pub fn pause_loss(value: f32, pass: Duration, longest_pause: Duration, risk_from: f32) -> f32 {
    let fraction = (pass.as_secs_f64() / longest_pause.as_secs_f64().max(1e-6)) as f32;
    let risk = ((fraction - risk_from) / (1.0 - risk_from)).clamp(0.0, 1.0);
    value * LATE_LOSS * risk
}
