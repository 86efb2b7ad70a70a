//! Verdicts on whether a request may have run.

use derive_more::Display;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that did not get a complete answer.
///
/// Every layer reports its failures with a verdict, and a layer may retry a
/// request only if [`Verdict::may_retry`] allows it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The target did not receive the request and never will.
    #[display("not-run")]
    NotRun,
    /// It is unknown whether the target ran the request.
    #[display("may-have-run")]
    MayHaveRun,
    /// The target ran the request.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Returns `true` if another attempt is safe: the request has not run, or it is
    /// declared `repeatable` and may run twice.
    #[must_use]
    pub fn may_retry(self, repeatable: bool) -> bool {
        repeatable || self == Verdict::NotRun
    }

    /// Combines the verdicts of two attempts of one request.
    #[must_use]
    pub fn join(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

/// Returns `true` if a status tells callers that the request has not run and never will, so that
/// they may send it again.
#[must_use]
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns `true` if a status ends an exchange: those below 200 are interim, and HTTP defines none
/// above 599 (RFC 9110, section 15).
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
