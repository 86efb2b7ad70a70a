//! How many requests a second a target takes from all entries together.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest time between two requests, however low the rate: only an answer tells that the
/// rate has changed.
const LONGEST_STEP: Duration = Duration::from_secs(10);

/// Requests a second beyond which a rate bounds nothing.
const HIGHEST: f64 = 1e6;

/// Requests a second that a target takes from all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit(f64);

impl RateLimit {
    /// A rate, none where the number is no rate. What is too high to bound anything counts
    /// as a million.
    ///
    /// # Example
    ///
    /// ```
    /// use shalelane::relay::decide::rate_limit::RateLimit;
    ///
    /// assert!(RateLimit::from_per_second(1.7).is_some());
    /// assert!(RateLimit::from_per_second(-1.0).is_none());
    /// ```
    #[must_use]
    pub fn from_per_second(number: f64) -> Option<Self> {
        // A negative zero is a zero.
        (number.is_finite() && number >= 0.0).then(|| RateLimit(number.abs().min(HIGHEST)))
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The lower of two rates, none where neither bounds anything.
    #[must_use]
    pub fn lower(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(RateLimit(one.0.min(other.0))),
            (one, other) => one.or(other),
        }
    }

    /// Time between two requests.
    #[must_use]
    pub fn to_step(self) -> Duration {
        let step = Duration::try_from_secs_f64(self.0.recip());
        step.map_or(LONGEST_STEP, |step| step.min(LONGEST_STEP))
    }
}

/// What an answer says of the rate that its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateWord {
    /// Nothing: it names none.
    #[default]
    Silent,
    /// Something that is no rate.
    Unreadable,
    /// It names a rate.
    Named(RateLimit),
}

impl RateWord {
    /// Reads the values of an answer; of several rates the lowest holds.
    ///
    /// # Example
    ///
    /// ```
    /// use shalelane::relay::decide::rate_limit::RateWord;
    ///
    /// assert_eq!(RateWord::from_texts([]), RateWord::Silent);
    /// assert_eq!(RateWord::from_texts(["soon"]), RateWord::Unreadable);
    /// assert_eq!(RateWord::from_texts(["3", "2"]), RateWord::from_texts(["2.0"]));
    /// ```
    pub fn from_texts<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut word = RateWord::Silent;
        for text in texts {
            let rate = text.trim().parse().ok().and_then(RateLimit::from_per_second);
            word = match (word, rate) {
                (RateWord::Named(known), Some(rate)) if known <= rate => RateWord::Named(known),
                (_, Some(rate)) => RateWord::Named(rate),
                (RateWord::Named(known), None) => RateWord::Named(known),
                (_, None) => RateWord::Unreadable,
            };
        }
        word
    }

    /// The rate that it names, if any.
    #[must_use]
    pub fn rate(self) -> Option<RateLimit> {
        match self {
            RateWord::Named(rate) => Some(rate),
            RateWord::Silent | RateWord::Unreadable => None,
        }
    }
}
