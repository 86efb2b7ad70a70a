//! Metrics of an entry.

use std::time::Duration;

use prometheus::{HistogramVec, IntGauge};

use super::core::EntryCore;
use crate::metrics::{CountMirror, MetricsPage, length_class};

#[derive(Debug)]
struct EntryCounters {
    admitted: CountMirror,
    finished: CountMirror,
    failed: CountMirror,
    limited: CountMirror,
    gone: CountMirror,
    dispatched: CountMirror,
    direct: CountMirror,
    refused: CountMirror,
    retried: CountMirror,
    probes: CountMirror,
    groups: CountMirror,
    resumed: CountMirror,
    broken: CountMirror,
}

/// The page that an entry shows.
#[derive(Debug)]
pub(super) struct EntryPage {
    page: MetricsPage,
    counters: EntryCounters,
    open: IntGauge,
    targets: IntGauge,
    config_version: IntGauge,
    longest_turn: IntGauge,
    first_token: HistogramVec,
}

impl EntryPage {
    pub(super) fn new() -> Self {
        let page = MetricsPage::default();
        let count =
            |name: &str, help: &str| page.add_count(&format!("shalelane_entry_{name}"), help);
        let counters = EntryCounters {
            admitted: count("admitted_total", "Requests let in"),
            finished: count("finished_total", "Whole answers"),
            failed: count("failed_total", "Final failures"),
            limited: count("limited_total", "Requests over a limit of their account"),
            gone: count("callers_gone_total", "Callers that went away"),
            dispatched: count("dispatched_total", "Attempts given to agents"),
            direct: count("direct_total", "Attempts given out without asking"),
            refused: count("refused_total", "Attempts refused by agents, not run"),
            retried: count("retried_total", "Attempts after a failure"),
            probes: count("probes_total", "Probes sent"),
            groups: count("groups_total", "Groups of engines formed"),
            resumed: count("resumed_total", "Answers joined again after a lost link"),
            broken: count("broken_invariants_total", "Promises found broken"),
        };
        let gauge =
            |name: &str, help: &str| page.add_gauge(&format!("shalelane_entry_{name}"), help);
        EntryPage {
            open: gauge("open_requests", "Requests without a final answer"),
            targets: gauge("known_targets", "Targets that the platform lists"),
            config_version: gauge("config_version", "Configuration version in force"),
            longest_turn: gauge("longest_turn_us", "Longest turn of the loop, in microseconds"),
            first_token: page.add_first_token(
                "shalelane_entry_first_token_seconds",
                "Time to the first token, by prompt length",
            ),
            counters,
            page,
        }
    }

    pub(super) fn observe_first(&self, tokens: u64, span: Duration) {
        let class = length_class(tokens);
        self.first_token.with_label_values(&[class]).observe(span.as_secs_f64());
    }

    /// Reads the core out and writes the page.
    pub(super) fn to_text(&self, core: &EntryCore, longest: Duration) -> Vec<u8> {
        let counts = core.counts();
        let counters = &self.counters;
        counters.admitted.follow(counts.admitted);
        counters.finished.follow(counts.finished);
        counters.failed.follow(counts.failed);
        counters.limited.follow(counts.limited);
        counters.gone.follow(counts.gone);
        counters.dispatched.follow(counts.dispatched);
        counters.direct.follow(counts.direct);
        counters.refused.follow(counts.refused);
        counters.retried.follow(counts.retried);
        counters.probes.follow(counts.probes);
        counters.groups.follow(counts.groups);
        counters.resumed.follow(counts.resumed);
        counters.broken.follow(core.broken_invariants());
        self.open.set(core.open_requests() as i64);
        self.targets.set(core.known_targets() as i64);
        self.config_version.set(core.config().map_or(0, |config| config.version.0 as i64));
        self.longest_turn.set(longest.as_micros() as i64);
        self.page.to_text()
    }
}
