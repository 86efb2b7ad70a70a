//! `Retry-After` header, by which a server that refuses a request asks for back-off.

use std::time::Duration;

use hyper::header::{HeaderMap, RETRY_AFTER};

/// Upper limit of the time: a much longer one is more likely a mistake than intended, and the next
/// answer can repeat it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);

/// Parses the back-off time, in seconds with an optional fraction; `None` if no value is a positive
/// number.
///
/// Of several values the largest one applies, limited to [`MAX_RETRY_AFTER`].
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use hyper::header::HeaderMap;
/// use shalelane::retry_after::parse_retry_after;
///
/// let mut headers = HeaderMap::new();
/// headers.append("retry-after", "soon".parse().unwrap());
/// assert_eq!(parse_retry_after(&headers), None);
/// headers.append("retry-after", "2.5".parse().unwrap());
/// assert_eq!(parse_retry_after(&headers), Some(Duration::from_millis(2_500)));
/// ```
#[must_use]
pub fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let texts = headers.get_all(RETRY_AFTER).into_iter().filter_map(|value| value.to_str().ok());
    let values = texts.flat_map(|text| text.split(','));
    let seconds = values.filter_map(|value| value.trim().parse::<f64>().ok());
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
    let times =
        seconds.map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER));
    times.max().map(|time| time.min(MAX_RETRY_AFTER))
}
