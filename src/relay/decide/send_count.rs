//! How many sends one request may take, beside the budget of second attempts.
//!
//! The load that it answers: targets that are full or fail, one after the other,
//! while a request has time left. Runs are bounded by the route, which says at how
//! many targets a request may be; refusals by a count of their own, since a caller
//! is told better when to come back than tried at target after target.

/// Sends beyond the runs that a request may have: those that were refused.
const REFUSED_SENDS: usize = 2;

/// How a send ended that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// Nothing was sent.
    NotSent,
    /// It was refused, and has not run.
    Refused,
    /// It may have run.
    MayHaveRun,
    /// It was on a kept connection that its target had forgotten.
    Stale,
}

/// Counts the sends of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendCount {
    runs: usize,
    sends: usize,
}

impl SendCount {
    /// Counts a send that ended.
    pub fn note(&mut self, end: SendEnd) {
        match end {
            SendEnd::NotSent => {}
            SendEnd::Refused | SendEnd::Stale => self.sends += 1,
            SendEnd::MayHaveRun => {
                self.sends += 1;
                self.runs += 1;
            }
        }
    }

    /// Sends that may have run.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// Returns true where nothing was sent yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sends == 0
    }

    /// Returns true where another send is in bounds of so many runs.
    #[must_use]
    pub fn permits(&self, most_runs: usize) -> bool {
        self.runs < most_runs && self.sends < most_runs + REFUSED_SENDS
    }
}
