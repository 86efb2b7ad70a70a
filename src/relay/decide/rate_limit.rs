//! Requests per second that a target accepts from all entries together.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum interval between two requests, however low the rate: only an answer can announce
/// that the rate has changed.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// Requests per second above which a rate is no bound in practice.
const MAX_RATE: f64 = 1e6;

/// Requests per second that a target accepts from all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit; `None` if the number is negative or not finite. Limits above a million
    /// are reduced to a million.
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
        // `abs` turns a negative zero into zero.
        (number.is_finite() && number >= 0.0).then(|| RateLimit(number.abs().min(MAX_RATE)))
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the lower of two limits; `None` if there is neither.
    #[must_use]
    pub fn lower(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(RateLimit(one.0.min(other.0))),
            (one, other) => one.or(other),
        }
    }

    /// Returns the interval between two requests.
    #[must_use]
    pub fn to_interval(self) -> Duration {
        let interval = Duration::try_from_secs_f64(self.0.recip());
        interval.map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
    }
}

/// What an answer states about the rate limit of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateNotice {
    /// The answer states no limit.
    #[default]
    Absent,
    /// The answer states a value that is not a valid limit.
    Unreadable,
    /// The answer states a limit.
    Limit(RateLimit),
}

impl RateNotice {
    /// Parses the values of an answer; the lowest of several limits applies.
    ///
    /// # Example
    ///
    /// ```
    /// use shalelane::relay::decide::rate_limit::RateNotice;
    ///
    /// assert_eq!(RateNotice::from_texts([]), RateNotice::Absent);
    /// assert_eq!(RateNotice::from_texts(["soon"]), RateNotice::Unreadable);
    /// assert_eq!(RateNotice::from_texts(["3", "2"]), RateNotice::from_texts(["2.0"]));
    /// ```
    pub fn from_texts<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut notice = RateNotice::Absent;
        for text in texts {
            let rate = text.trim().parse().ok().and_then(RateLimit::from_per_second);
            notice = match (notice, rate) {
                (RateNotice::Limit(known), Some(rate)) if known <= rate => RateNotice::Limit(known),
                (_, Some(rate)) => RateNotice::Limit(rate),
                (RateNotice::Limit(known), None) => RateNotice::Limit(known),
                (_, None) => RateNotice::Unreadable,
            };
        }
        notice
    }

    /// Returns the limit that the answer states; `None` if it states no valid one.
    #[must_use]
    pub fn rate(self) -> Option<RateLimit> {
        match self {
            RateNotice::Limit(rate) => Some(rate),
            RateNotice::Absent | RateNotice::Unreadable => None,
        }
    }
}
