//! Failure domains that are taken out of service: nothing more is sent to their targets.
//!
//! What is known of them is proven as the configuration is, by the same reads and the same
//! answers of other entries, so that no entry serves by older knowledge than its lease allows.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Tick;

/// Time after the store came back from a copy within which domains that it leaves out are
/// not taken to be in service: they are written again meanwhile.
const REWRITTEN_SPAN: Duration = Duration::from_secs(5);

/// The domains that are out of service.
#[derive(Debug, Default)]
pub struct EvacuationSet {
    domains: BTreeSet<Arc<str>>,
    proven_at: Option<Tick>,
    epoch: u64,
    /// When what the store leaves out counts again.
    settled_at: Tick,
}

impl EvacuationSet {
    /// The domains.
    #[must_use]
    pub fn domains(&self) -> &BTreeSet<Arc<str>> {
        &self.domains
    }

    /// Takes the domains that were out of service at `proven_at`, in an epoch of the store.
    /// Returns true where that changes anything.
    pub fn take(
        &mut self,
        domains: impl IntoIterator<Item = Arc<str>>,
        epoch: u64,
        proven_at: Tick,
        now: Tick,
    ) -> bool {
        if self.proven_at.is_some_and(|known| known > proven_at) || epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch && self.proven_at.is_some() {
            self.settled_at = now + REWRITTEN_SPAN;
        }
        self.epoch = epoch;
        self.proven_at = Some(proven_at);
        let mut domains: BTreeSet<Arc<str>> = domains.into_iter().collect();
        if now < self.settled_at {
            domains.extend(self.domains.iter().cloned());
        }
        let is_changed = domains != self.domains;
        self.domains = domains;
        is_changed
    }
}
