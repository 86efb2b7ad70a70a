//! What the core knows of failure domains that are out of service.

use std::sync::Arc;

use super::RelayCore;
use crate::relay::discovery::feed::EvacuationList;
use crate::time::Tick;

impl RelayCore {
    /// Takes the failure domains that were out of service at `proven_at`. Returns true where
    /// that changes anything. What is proven of the configuration then may be taken after it.
    pub fn take_evacuations(&mut self, list: EvacuationList, proven_at: Tick, now: Tick) -> bool {
        let EvacuationList { domains, epoch } = list;
        if !self.evacuations.take(domains, epoch, proven_at, now) {
            return false;
        }
        self.targets.set_evacuated(self.evacuations.domains().clone(), now);
        self.choose_engines(now);
        true
    }

    /// The failure domains that are out of service.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuations.domains().iter()
    }
}
