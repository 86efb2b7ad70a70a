//! How long callers of a route wait, and so which of them have come before.
//!
//! A caller says how much longer it will wait. Those of one route wait equally
//! long in all, so one that has less time left than others began with has spent
//! the rest on earlier tries: its first event is late by that much.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::rules::RouteRule;

/// Difference below which two callers wait equally long: the time on the way to
/// an entry, and what callers round off.
const SAME_PATIENCE: Duration = Duration::from_millis(50);

/// The longest time that callers of each route were seen to wait.
#[derive(Debug, Default)]
pub struct PatienceBook {
    longest: HashMap<RouteName, Duration>,
}

/// Host and path prefix of a route.
type RouteName = (Arc<str>, Arc<str>);

impl PatienceBook {
    /// Time that a caller of a route spent on earlier tries, who will wait for
    /// `patience` more. What is over the route's own limit says nothing.
    pub fn time_spent(&mut self, route: &RouteRule, patience: Option<Duration>) -> Duration {
        let Some(patience) = patience else { return Duration::ZERO };
        let patience = patience.min(route.time_limit);
        let name = (route.host.clone(), route.path_prefix.clone());
        let longest = self.longest.entry(name).or_default();
        *longest = patience.max(*longest).min(route.time_limit);
        let spent = longest.saturating_sub(patience);
        if spent < SAME_PATIENCE { Duration::ZERO } else { spent }
    }

    /// Forgets all routes: another configuration may have others.
    pub fn clear(&mut self) {
        self.longest.clear();
    }
}
