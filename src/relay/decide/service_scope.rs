//! Targets that a request may go to at all, regardless of their state.

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
    /// Failure domains that the targets may be in; `None` for any.
    pub domains: Option<&'a DomainSet>,
}

impl<'a> ServiceScope<'a> {
    /// All targets of a service.
    #[must_use]
    pub const fn of(service: &'a str) -> Self {
        ServiceScope { service, domains: None }
    }

    /// The targets in this scope.
    pub fn targets(self, set: &'a TargetSet) -> impl Iterator<Item = &'a TargetState> {
        set.of_service(self.service).filter(move |target| self.permits(target))
    }

    /// Returns `true` if a target is in a permitted failure domain.
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
