//! Giving a short request to a target without asking first.
//!
//! Asking costs a turn on the network and several messages. Where a target
//! that is a good choice anyway was quick the last time it was heard of, the
//! request goes there at once, with the longest wait that it would bear. An
//! agent that predicts a longer one refuses it as not run, and only then
//! others are asked.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::core::EntryCore;
use super::request::Phase;
use super::route::RouteQuery;
use crate::time::Tick;
use crate::wire::Call;

/// Longest wait that a request bears which is given out without asking.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(50);

/// Prompts above this length are asked about: a wrong choice costs more than
/// the question.
pub(super) const MAX_TOKENS: u64 = 8_192;

/// How long a target counts as slow after it was.
const NOTE_SPAN: Duration = Duration::from_millis(500);

/// Beginnings of prompts that are remembered.
const REMEMBERED: usize = 2_048;

/// What was last heard of a target's wait.
#[derive(Clone, Copy, Debug)]
struct WaitNote {
    wait: Duration,
    at: Tick,
}

/// What an entry remembers, to choose a target without asking.
#[derive(Debug, Default)]
pub(super) struct DirectMemory {
    waits: HashMap<Arc<str>, WaitNote>,
    beginnings: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl DirectMemory {
    /// Notes what a target said of its wait.
    pub(super) fn note_wait(&mut self, target: &Arc<str>, wait: Duration, now: Tick) {
        self.waits.insert(target.clone(), WaitNote { wait, at: now });
    }

    /// Forgets a target's wait, as when its link ends.
    pub(super) fn forget(&mut self, target: &str) {
        self.waits.remove(target);
    }

    /// Notes the beginning of a prompt. Returns true where it has come before.
    pub(super) fn is_known_beginning(&mut self, hash: u64) -> bool {
        if let Some(count) = self.beginnings.get_mut(&hash) {
            *count += 1;
            return true;
        }
        if self.order.len() == REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.beginnings.remove(&oldest);
        }
        self.order.push_back(hash);
        self.beginnings.insert(hash, 1);
        false
    }

    /// The wait that a target last spoke of, zero where that is long ago.
    fn wait(&self, target: &str, now: Tick) -> Duration {
        let note = self.waits.get(target).filter(|note| now.since(note.at) < NOTE_SPAN);
        note.map_or(Duration::ZERO, |note| note.wait)
    }
}

impl EntryCore {
    /// Gives a new request to a target at once where that is likely to do.
    pub(super) fn try_direct(&mut self, number: u64, now: Tick) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        if !self.tuning.policy.is_direct || request.need.prompt > MAX_TOKENS {
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
        let likely = self.table.likely(&query, now);
        let linked = likely.into_iter().filter(|target| self.links.contains_key(target));
        let best = linked.min_by_key(|target| {
            (self.memory.wait(target, now), self.attempts_at(target), target.clone())
        });
        let Some(target) = best else { return false };
        if self.memory.wait(&target, now) > MAX_WAIT {
            return false;
        }
        let Some(request) = self.requests.get_mut(&number) else {
            return false;
        };
        request.attempt += 1;
        request.is_direct = true;
        let why = match (&request.arrival.call, request.prefix) {
            (Call::Model { .. }, Some(_)) => "without asking: prompts that begin alike go there",
            _ => "without asking: one of this entry's own targets, not known to be busy",
        };
        self.counts.direct += 1;
        self.dispatch(number, &target, why.to_owned(), now);
        true
    }

    /// Attempts of this entry that a target has.
    pub(super) fn attempts_at(&self, target: &str) -> usize {
        let holders = self.requests.values().filter_map(|request| request.holder());
        holders.filter(|(holder, _)| &***holder == target).count()
    }

    /// A target was busier than a request bears that was given out without
    /// asking: now others are asked.
    pub(super) fn on_busy(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.dispatches = request.dispatches.saturating_sub(1);
        request.phase = Phase::Backoff { until: now };
        self.ask(number, now);
    }
}
