//! Limits the sends of one request, besides the retry budget.
//!
//! This matters if one target after the other is full or fails while a request has time left.
//! The route limits the runs by its maximum number of targets. Refusals have a limit of their
//! own, since a `retry-after` is better for the caller than further targets.

/// Number of refused sends that a request may have in addition to its runs.
const MAX_REFUSED_SENDS: usize = 2;

/// How a send without an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// Nothing was sent.
    NotSent,
    /// The target refused the request without running it.
    Refused,
    /// The target may have run the request.
    MayHaveRun,
}

/// Counts the sends of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendCount {
    runs: usize,
    sends: usize,
}

impl SendCount {
    /// Records a send that has ended.
    pub fn record(&mut self, end: SendEnd) {
        match end {
            SendEnd::NotSent => {}
            SendEnd::Refused => self.sends += 1,
            SendEnd::MayHaveRun => {
                self.sends += 1;
                self.runs += 1;
            }
        }
    }

    /// Number of sends that may have run.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// Returns `true` if nothing was sent yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sends == 0
    }

    /// Returns `true` if another send is within the limit of runs.
    #[must_use]
    pub fn allows(&self, max_runs: usize) -> bool {
        self.runs < max_runs && self.sends < max_runs + MAX_REFUSED_SENDS
    }
}
