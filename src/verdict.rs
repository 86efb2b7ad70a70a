//! Whether a request may have run.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is known of a request that did not end with a whole answer.
///
/// Every layer states its failures with a verdict, and a layer may repeat a
/// request only where [`Verdict::may_retry`] allows it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The target did not see the request, and never will.
    #[display("not-run")]
    NotRun,
    /// Nobody can tell whether the target ran the request.
    #[display("may-have-run")]
    MayHaveRun,
    /// The target ran the request.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Returns true where another attempt can not make a request run twice
    /// against its owner's will.
    #[must_use]
    pub fn may_retry(self, repeatable: bool) -> bool {
        repeatable || self == Verdict::NotRun
    }

    /// Joins the verdicts of two attempts of one request.
    #[must_use]
    pub fn join(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}
