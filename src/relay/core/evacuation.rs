//! Failure domains that are out of service.

use std::sync::Arc;

use super::RelayCore;
use crate::relay::discovery::source::EvacuationList;
use crate::time::Tick;

impl RelayCore {
    /// Applies the list of failure domains that were out of service at `proven_at`. Returns `true`
    /// if that changes anything. What the same read proves about the configuration may only be
    /// applied afterwards.
    pub fn apply_evacuations(&mut self, list: EvacuationList, proven_at: Tick, now: Tick) -> bool {
        let EvacuationList { domains, epoch } = list;
        if !self.evacuations.apply(domains, epoch, proven_at, now) {
            return false;
        }
        self.targets.set_evacuated(self.evacuations.domains().clone(), now);
        self.choose_engines(now);
        true
    }

    /// Returns the failure domains that are out of service.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuations.domains().iter()
    }
}
