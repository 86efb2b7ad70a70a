//! `Retry-After`, by which a server that turns a request away says for how long it wants
//! nothing more.

use std::time::Duration;

use hyper::header::{HeaderMap, RETRY_AFTER};

/// Longest time that is taken: a value that is far off is more likely a mistake than a wish,
/// and the next answer may repeat it.
pub const LONGEST_WAIT: Duration = Duration::from_secs(600);

/// Reads the time, in seconds and fractions; none where no value is such a time. Of several
/// the longest holds, and one beyond [`LONGEST_WAIT`] counts as that.
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
    let times = seconds.map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT));
    times.max().map(|time| time.min(LONGEST_WAIT))
}
