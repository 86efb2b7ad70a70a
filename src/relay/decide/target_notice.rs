//! What a target says of itself in its answers, beside what it answers.

use std::time::Duration;

/// What an answer says of the target that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// True where the target is leaving: it takes nothing new from now on.
    pub is_leaving: bool,
    /// Time for which it wants nothing more from this process.
    pub backoff: Option<Duration>,
}

impl TargetNotice {
    /// Returns true where it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == TargetNotice::default()
    }
}
