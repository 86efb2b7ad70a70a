//! Which targets a request may go to at all, whatever is known of them.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::targets::{TargetSet, TargetState};

/// Failure domains whose targets may run a request.
pub type DomainSet = BTreeSet<Arc<str>>;

/// The targets of a service, in all failure domains or in some.
#[derive(Clone, Copy, Debug)]
pub struct ServiceScope<'a> {
    /// The service.
    pub service: &'a str,
    /// Where its targets have to be, none where any failure domain will do.
    pub domains: Option<&'a DomainSet>,
}

impl<'a> ServiceScope<'a> {
    /// All targets of a service.
    #[must_use]
    pub const fn of(service: &'a str) -> Self {
        ServiceScope { service, domains: None }
    }

    /// Its targets.
    pub fn targets(self, set: &'a TargetSet) -> impl Iterator<Item = &'a TargetState> {
        set.of_service(self.service).filter(move |target| self.permits(target))
    }

    /// Returns true where a target is in a failure domain that is allowed.
    #[must_use]
    pub fn permits(self, target: &TargetState) -> bool {
        self.domains.is_none_or(|domains| domains.contains(&target.record.failure_domain))
    }
}

impl<'a> From<&'a str> for ServiceScope<'a> {
    fn from(service: &'a str) -> Self {
        ServiceScope::of(service)
    }
}

impl<'a> From<&'a Arc<str>> for ServiceScope<'a> {
    fn from(service: &'a Arc<str>) -> Self {
        ServiceScope::of(service)
    }
}
