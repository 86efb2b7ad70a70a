//! Direct dispatch: sends a short request to a target without probing first.
//!
//! Probing costs a network round trip and several messages. If a target is a good choice anyway
//! and its last reported wait is short, the request is dispatched to it at once, together with
//! the longest acceptable wait. An agent that predicts a longer wait refuses the attempt as not
//! run, and only then does the entry probe other targets.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::core::EntryCore;
use super::request::Phase;
use super::route::RouteQuery;
use crate::time::Tick;
use crate::wire::Call;

/// Longest predicted wait that is acceptable for a direct dispatch.
pub(super) const MAX_DIRECT_WAIT: Duration = Duration::from_millis(50);

/// Longest prompt, in tokens, that is dispatched directly. For a longer one a wrong choice costs
/// more than the probes.
pub(super) const MAX_DIRECT_TOKENS: u64 = 8_192;

/// Time for which a reported wait is taken into account.
const WAIT_TTL: Duration = Duration::from_millis(500);

/// Maximum number of prompt prefixes that are remembered.
const MAX_PREFIXES: usize = 2_048;

/// The wait that a target last reported.
#[derive(Clone, Copy, Debug)]
struct WaitReport {
    wait: Duration,
    at: Tick,
}

/// Recently reported waits and recently seen prompt prefixes, by which a target is chosen without
/// probing.
#[derive(Debug, Default)]
pub(super) struct DirectHistory {
    waits: HashMap<Arc<str>, WaitReport>,
    prefixes: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl DirectHistory {
    /// Stores the wait that a target reported.
    pub(super) fn set_wait(&mut self, target: &Arc<str>, wait: Duration, now: Tick) {
        self.waits.insert(target.clone(), WaitReport { wait, at: now });
    }

    /// Forgets the wait of a target, for example because its connection was lost.
    pub(super) fn forget(&mut self, target: &str) {
        self.waits.remove(target);
    }

    /// Remembers the first prefix of a prompt. Returns `true` if it has been seen before.
    pub(super) fn insert_prefix(&mut self, hash: u64) -> bool {
        if let Some(count) = self.prefixes.get_mut(&hash) {
            *count += 1;
            return true;
        }
        if self.order.len() == MAX_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
        self.order.push_back(hash);
        self.prefixes.insert(hash, 1);
        false
    }

    /// The last reported wait of a target; zero if the report is older than `WAIT_TTL`.
    fn wait(&self, target: &str, now: Tick) -> Duration {
        let report = self.waits.get(target).filter(|report| now.since(report.at) < WAIT_TTL);
        report.map_or(Duration::ZERO, |report| report.wait)
    }
}

impl EntryCore {
    /// Dispatches a new request without probing if a target is likely to run it at once.
    /// Returns `false` if the request has to be probed for.
    pub(super) fn try_direct(&mut self, number: u64, now: Tick) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        if !self.tuning.policy.allows_direct || request.need.prompt > MAX_DIRECT_TOKENS {
            return false;
        }
        let query = RouteQuery {
            service: &request.arrival.service,
            prefix: request.prefix,
            failure_domain: &self.failure_domain,
            entry: &self.id.name,
            tried: &[],
            count: 0,
        };
        let direct_targets = self.table.direct_targets(&query, now);
        let connected = direct_targets.into_iter().filter(|target| self.links.contains_key(target));
        let best = connected.min_by_key(|target| {
            (self.history.wait(target, now), self.attempts_at(target), target.clone())
        });
        let Some(target) = best else { return false };
        if self.history.wait(&target, now) > MAX_DIRECT_WAIT {
            return false;
        }
        let Some(request) = self.requests.get_mut(&number) else {
            return false;
        };
        request.attempt += 1;
        request.is_direct = true;
        let reason = match (&request.arrival.call, request.prefix) {
            (Call::Model { .. }, Some(_)) => "without asking: prompts that begin alike go there",
            _ => "without asking: one of this entry's own targets, not known to be busy",
        };
        self.counts.direct += 1;
        self.dispatch(number, &target, reason.to_owned(), now);
        true
    }

    /// Number of this entry's live attempts at a target.
    pub(super) fn attempts_at(&self, target: &str) -> usize {
        let attempts = self.requests.values().filter_map(|request| request.attempt_target());
        attempts.filter(|(name, _)| &***name == target).count()
    }

    /// Handles a direct dispatch that the target refused as too busy: probes other targets.
    ///
    /// The refused dispatch does not count as an attempt of the request.
    pub(super) fn on_direct_refused(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.dispatches = request.dispatches.saturating_sub(1);
        request.phase = Phase::Backoff { until: now };
        self.probe_targets(number, now);
    }
}
