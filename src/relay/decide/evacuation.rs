//! Failure domains that are out of service: nothing more is sent to their targets.
//!
//! The list of these domains is proven like the configuration: by the same reads and the same
//! answers of other entries. So no entry serves with older knowledge than its lease allows.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Tick;

/// Time after the store was restored from a backup for which a domain that it omits is still
/// out of service: evacuations that the backup lacks are written again meanwhile.
const REWRITE_WINDOW: Duration = Duration::from_secs(5);

/// The failure domains that are out of service.
#[derive(Debug, Default)]
pub struct EvacuationSet {
    domains: BTreeSet<Arc<str>>,
    proven_at: Option<Tick>,
    epoch: u64,
    /// When a domain that the store omits counts as in service again.
    trusted_at: Tick,
}

impl EvacuationSet {
    /// Returns the domains.
    #[must_use]
    pub fn domains(&self) -> &BTreeSet<Arc<str>> {
        &self.domains
    }

    /// Applies the domains that were out of service at `proven_at`, in an epoch of the store.
    ///
    /// Returns `true` if that changes the set.
    pub fn apply(
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
            self.trusted_at = now + REWRITE_WINDOW;
        }
        self.epoch = epoch;
        self.proven_at = Some(proven_at);
        let mut domains: BTreeSet<Arc<str>> = domains.into_iter().collect();
        if now < self.trusted_at {
            domains.extend(self.domains.iter().cloned());
        }
        let is_changed = domains != self.domains;
        self.domains = domains;
        is_changed
    }
}
