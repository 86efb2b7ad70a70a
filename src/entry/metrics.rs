//! Metrics of an entry.

use std::cell::Cell;
use std::time::Duration;

use prometheus::{HistogramVec, IntGauge};

use super::core::EntryCore;
use crate::metrics::{MetricsRegistry, MirroredCounter, length_class};

#[derive(Debug)]
struct EntryCounters {
    admitted: MirroredCounter,
    finished: MirroredCounter,
    failed: MirroredCounter,
    over_limit: MirroredCounter,
    callers_gone: MirroredCounter,
    dispatched: MirroredCounter,
    direct: MirroredCounter,
    refused: MirroredCounter,
    retried: MirroredCounter,
    probes: MirroredCounter,
    groups: MirroredCounter,
    resumed: MirroredCounter,
    broken_invariants: MirroredCounter,
}

/// Metrics that an entry exposes.
#[derive(Debug)]
pub(super) struct EntryMetrics {
    registry: MetricsRegistry,
    counters: EntryCounters,
    open_requests: IntGauge,
    known_targets: IntGauge,
    config_version: IntGauge,
    longest_iteration: IntGauge,
    first_token: HistogramVec,
    closed_unread: MirroredCounter,
    closed_unread_count: Cell<u64>,
}

impl EntryMetrics {
    pub(super) fn new() -> Self {
        let registry = MetricsRegistry::default();
        let count =
            |name: &str, help: &str| registry.add_counter(&format!("shalelane_entry_{name}"), help);
        let counters = EntryCounters {
            admitted: count("admitted_total", "Requests let in"),
            finished: count("finished_total", "Whole answers"),
            failed: count("failed_total", "Final failures"),
            over_limit: count("limited_total", "Requests over a limit of their account"),
            callers_gone: count("callers_gone_total", "Callers that went away"),
            dispatched: count("dispatched_total", "Attempts given to agents"),
            direct: count("direct_total", "Attempts given out without asking"),
            refused: count("refused_total", "Attempts refused by agents, not run"),
            retried: count("retried_total", "Attempts after a failure"),
            probes: count("probes_total", "Probes sent"),
            groups: count("groups_total", "Groups of engines formed"),
            resumed: count("resumed_total", "Answers joined again after a lost link"),
            broken_invariants: count("broken_invariants_total", "Promises found broken"),
        };
        let gauge =
            |name: &str, help: &str| registry.add_gauge(&format!("shalelane_entry_{name}"), help);
        EntryMetrics {
            open_requests: gauge("open_requests", "Requests without a final answer"),
            known_targets: gauge("known_targets", "Targets that the platform lists"),
            config_version: gauge("config_version", "Configuration version in force"),
            longest_iteration: gauge(
                "longest_turn_us",
                "Longest turn of the loop, in microseconds",
            ),
            first_token: registry.add_first_token_histogram(
                "shalelane_entry_first_token_seconds",
                "Time to the first token, by prompt length",
            ),
            closed_unread: count("closed_unread_total", "Connections over the limit"),
            closed_unread_count: Cell::new(0),
            counters,
            registry,
        }
    }

    /// Counts a connection that was closed unread because too many were open.
    pub(super) fn record_closed_unread(&self) {
        self.closed_unread_count.set(self.closed_unread_count.get() + 1);
    }

    pub(super) fn observe_first(&self, tokens: u64, elapsed: Duration) {
        let class = length_class(tokens);
        self.first_token.with_label_values(&[class]).observe(elapsed.as_secs_f64());
    }

    /// Updates the metrics from the core and returns them in the text format.
    pub(super) fn to_text(&self, core: &EntryCore, longest: Duration) -> Vec<u8> {
        let counts = core.counts();
        let counters = &self.counters;
        counters.admitted.advance_to(counts.admitted);
        counters.finished.advance_to(counts.finished);
        counters.failed.advance_to(counts.failed);
        counters.over_limit.advance_to(counts.over_limit);
        counters.callers_gone.advance_to(counts.callers_gone);
        counters.dispatched.advance_to(counts.dispatched);
        counters.direct.advance_to(counts.direct);
        counters.refused.advance_to(counts.refused);
        counters.retried.advance_to(counts.retried);
        counters.probes.advance_to(counts.probes);
        counters.groups.advance_to(counts.groups);
        counters.resumed.advance_to(counts.resumed);
        counters.broken_invariants.advance_to(core.broken_invariants());
        self.closed_unread.advance_to(self.closed_unread_count.get());
        self.open_requests.set(core.open_requests() as i64);
        self.known_targets.set(core.known_targets() as i64);
        self.config_version.set(core.config().map_or(0, |config| config.version.0 as i64));
        self.longest_iteration.set(longest.as_micros() as i64);
        self.registry.to_text()
    }
}
