//! Notices that this process was cut off from all its peers, and when it is in contact again.
//!
//! What it knew when it was cut off is older than the usual intervals suggest, and its calls to the
//! store may hang for as long as their timeouts. A store that is away while peers are heard is no
//! such cut: then the usual intervals apply.

use std::time::Duration;

use crate::time::Tick;

/// Time without any message of a peer from which this process counts as cut off. Agents answer
/// subscriptions, which are sent more often.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Contact with agents and other entries.
#[derive(Debug, Default)]
pub struct PeerContact {
    heard_at: Option<Tick>,
}

impl PeerContact {
    /// Records a message of a peer. Returns when a peer was heard before, if this process was cut
    /// off since.
    pub fn record_heard(&mut self, now: Tick) -> Option<Tick> {
        let was_cut_off = self.is_cut_off(now);
        self.heard_at.replace(now).filter(|_| was_cut_off)
    }

    /// Returns `true` if no peer was heard for long. A process that has not heard any peer yet is
    /// not cut off.
    #[must_use]
    pub fn is_cut_off(&self, now: Tick) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) >= SILENCE_LIMIT)
    }
}
