//! Counters and histograms of the relay, in the Prometheus text format.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounterVec, IntGauge};

use super::core::RelayCore;
use super::core::configuration::DeltaVerdict;
use super::decide::permit_issuer::PermitReply;
use super::decide::rate_limit::RateNotice;
use super::decide::target_notice::TargetNotice;
use super::log_line::{ConnectionEnd, RequestEnd, RetryOutcome};
use crate::memory_budget::BudgetFigures;
use crate::metrics::{MetricsRegistry, MirroredCounter, length_class};
use crate::time::Tick;

/// Purpose of a call to the store.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoreCall {
    ConfigRead,
    ConfigWatch,
    ListRead,
    ListWatch,
    QuarantineWrite,
    EvacuationRead,
}

impl StoreCall {
    fn as_str(self) -> &'static str {
        match self {
            StoreCall::ConfigRead => "config_read",
            StoreCall::ConfigWatch => "config_watch",
            StoreCall::ListRead => "list_read",
            StoreCall::ListWatch => "list_watch",
            StoreCall::QuarantineWrite => "quarantine_write",
            StoreCall::EvacuationRead => "evacuation_read",
        }
    }
}

/// Counters of the relay, and the metrics registry that exposes them.
#[derive(Debug)]
pub(crate) struct RelayCounts {
    pub(crate) requests: u64,
    pub(crate) attempts: u64,
    pub(crate) failed_attempts: u64,
    pub(crate) ejections: u64,
    pub(crate) store_failures: u64,
    pub(crate) shared_proofs: u64,
    /// Connections of callers that were closed unread.
    pub(crate) closed_unread: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    broken: u64,
    caller_left: u64,
    registry: MetricsRegistry,
    mirrors: [MirroredCounter; 13],
    store_calls: IntCounterVec,
    missed_changes: IntCounterVec,
    notices: IntCounterVec,
    permits: IntCounterVec,
    retries: IntCounterVec,
    first_event: HistogramVec,
    faults: IntCounterVec,
    connection_ends: IntCounterVec,
    /// Ends of requests where ranks differ, by the number of more urgent ranks and the outcome.
    ranked_ends: IntCounterVec,
    /// Requests by the number of targets that may have run them.
    run_targets: IntCounterVec,
    config_version: IntGauge,
    memory: MemoryGauges,
    proof_age: IntGauge,
    serves_unproven: IntGauge,
    store_epoch: IntGauge,
    targets: IntGauge,
    quarantined: IntGauge,
    quarantined_parts: IntGauge,
    suspected_parts: IntGauge,
}

/// Metrics of what callers make the process hold.
#[derive(Debug)]
struct MemoryGauges {
    held_bytes: IntGauge,
    limit_bytes: IntGauge,
    crowding: IntCounterVec,
}

impl MemoryGauges {
    fn new(registry: &MetricsRegistry) -> Self {
        MemoryGauges {
            held_bytes: registry.add_gauge(
                "shalelane_relay_caller_memory_bytes",
                "memory that connections of callers hold",
            ),
            limit_bytes: registry.add_gauge(
                "shalelane_relay_caller_memory_limit_bytes",
                "memory that connections of callers may hold",
            ),
            crowding: registry.add_counter_vec(
                "shalelane_relay_crowding_total",
                "what was done since callers hold too much, by action",
                "action",
            ),
        }
    }

    fn update(&self, figures: &BudgetFigures) {
        self.held_bytes.set(figures.held as i64);
        self.limit_bytes.set(figures.limit as i64);
        for (action, count) in [("refused", figures.refused), ("closed", figures.closed)] {
            let counter = self.crowding.with_label_values(&[action]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }
}

impl Default for RelayCounts {
    fn default() -> Self {
        let registry = MetricsRegistry::default();
        let mirrors = add_mirrors(&registry);
        let first_event = registry.add_first_token_histogram(
            "shalelane_relay_first_event_seconds",
            "time to the first event of a stream, by length of its prompt",
        );
        RelayCounts {
            requests: 0,
            attempts: 0,
            failed_attempts: 0,
            ejections: 0,
            store_calls: registry.add_counter_vec(
                "shalelane_relay_store_calls_total",
                "calls to the store, by what for",
                "kind",
            ),
            missed_changes: registry.add_counter_vec(
                "shalelane_relay_missed_config_changes_total",
                "configuration changes of other entries that did not apply here, by reason",
                "reason",
            ),
            notices: registry.add_counter_vec(
                "shalelane_relay_target_notices_total",
                "answers that said something of their target, by what",
                "kind",
            ),
            permits: registry.add_counter_vec(
                "shalelane_relay_permits_total",
                "questions whether a target that takes few requests takes one, by answer",
                "answer",
            ),
            retries: registry.add_counter_vec(
                "shalelane_relay_retries_total",
                "retries that requests needed, by what paid for them or refused them",
                "outcome",
            ),
            store_failures: 0,
            shared_proofs: 0,
            closed_unread: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            broken: 0,
            caller_left: 0,
            config_version: registry
                .add_gauge("shalelane_relay_config_version", "configuration in force"),
            memory: MemoryGauges::new(&registry),
            proof_age: registry
                .add_gauge("shalelane_relay_proof_age_ms", "age of the proof that it is current"),
            serves_unproven: registry.add_gauge(
                "shalelane_relay_serves_unproven",
                "1 while callers are served by a configuration that can not be proven current",
            ),
            store_epoch: registry.add_gauge(
                "shalelane_relay_store_epoch",
                "times that the store came back from a copy",
            ),
            targets: registry.add_gauge("shalelane_relay_targets", "known targets"),
            quarantined: registry.add_gauge(
                "shalelane_relay_held_back",
                "requests that are held back since targets ended under them",
            ),
            quarantined_parts: registry.add_gauge(
                "shalelane_relay_quarantined_parts",
                "sets of parts of prompts that are quarantined since engines crashed under them",
            ),
            suspected_parts: registry.add_gauge(
                "shalelane_relay_suspected_parts",
                "parts of prompts under which engines crashed and which are not cleared",
            ),
            first_event,
            faults: registry.add_counter_vec(
                "shalelane_relay_faults_total",
                "requests that the relay answered with a failure of its own, by its code",
                "code",
            ),
            connection_ends: registry.add_counter_vec(
                "shalelane_relay_connection_ends_total",
                "connections of callers that ended, by how",
                "reason",
            ),
            ranked_ends: registry.add_counter_vec(
                "shalelane_relay_ranked_ends_total",
                "ends of requests of services whose requests differ in urgency, by the number of \
                 more urgent ranks and the outcome",
                "rank_and_end",
            ),
            run_targets: registry.add_counter_vec(
                "shalelane_relay_run_targets_total",
                "requests, by the number of targets that may have run them",
                "targets",
            ),
            mirrors,
            registry,
        }
    }
}

/// Registers the counters that mirror the totals of [`RelayCounts`], in the order of `to_text`.
fn add_mirrors(registry: &MetricsRegistry) -> [MirroredCounter; 13] {
    [
        registry.add_counter("shalelane_relay_requests_total", "requests read"),
        registry.add_counter("shalelane_relay_attempts_total", "sends to targets"),
        registry.add_counter("shalelane_relay_failed_attempts_total", "sends without an answer"),
        registry.add_counter("shalelane_relay_ejections_total", "times a target was left alone"),
        registry.add_counter("shalelane_relay_store_failures_total", "failed calls to the store"),
        registry.add_counter("shalelane_relay_shared_proofs_total", "proofs of other entries"),
        registry.add_counter("shalelane_relay_answered_total", "requests answered whole"),
        registry.add_counter("shalelane_relay_refused_total", "requests refused as not run"),
        registry.add_counter("shalelane_relay_failed_total", "requests that failed"),
        registry.add_counter("shalelane_relay_broken_total", "answers that broke off"),
        registry.add_counter("shalelane_relay_caller_left_total", "callers that left"),
        registry.add_counter("shalelane_relay_lost_lines_total", "log lines that nobody took"),
        registry.add_counter(
            "shalelane_relay_closed_unread_total",
            "connections of callers that were closed unread for lack of capacity",
        ),
    ]
}

impl RelayCounts {
    /// Counts the outcome of a request.
    pub(crate) fn record_end(&mut self, outcome: RequestEnd) {
        let count = match outcome {
            RequestEnd::Answered => &mut self.answered,
            RequestEnd::Refused => &mut self.refused,
            RequestEnd::Failed => &mut self.failed,
            RequestEnd::Broken => &mut self.broken,
            RequestEnd::CallerLeft => &mut self.caller_left,
        };
        *count += 1;
    }

    /// Counts the outcome of a request of a service whose requests differ in urgency. Targets know
    /// ten ranks, so that the number of label values is small.
    pub(crate) fn record_ranked_end(&self, more_urgent: u8, outcome: RequestEnd) {
        let label = format!("{}_{outcome}", more_urgent.min(9));
        self.ranked_ends.with_label_values(&[&label]).inc();
    }

    /// Counts a request by the number of targets that may have run it, which routes bound. Nine
    /// stands for more as well.
    pub(crate) fn record_run_targets(&self, count: usize) {
        self.run_targets.with_label_values(&[&count.min(9).to_string()]).inc();
    }

    /// Counts a finished call to the store.
    pub(crate) fn record_store_call(&self, call: StoreCall) {
        self.store_calls.with_label_values(&[call.as_str()]).inc();
    }

    /// Counts a change of the configuration from another entry that does not apply here.
    pub(crate) fn record_missed_change(&self, verdict: DeltaVerdict) {
        self.missed_changes.with_label_values(&[&verdict.to_string()]).inc();
    }

    /// Counts what an answer stated about its target.
    pub(crate) fn record_notice(&self, notice: &TargetNotice) {
        let kinds = [
            ("leaving", notice.is_leaving),
            ("backoff", notice.backoff.is_some()),
            ("rate", notice.rate != RateNotice::Absent),
        ];
        for (kind, _) in kinds.into_iter().filter(|(_, is_present)| *is_present) {
            self.notices.with_label_values(&[kind]).inc();
        }
    }

    /// Counts the outcome of a request for a permit, `None` if no answer came.
    pub(crate) fn record_permit(&self, reply: Option<PermitReply>) {
        let kind = match reply {
            Some(PermitReply::Granted { .. }) => "granted",
            Some(PermitReply::Refused { .. }) => "refused",
            Some(PermitReply::Open) => "open",
            None => "unanswered",
        };
        self.permits.with_label_values(&[kind]).inc();
    }

    /// Counts the end of a caller's connection.
    pub(crate) fn record_connection_end(&self, end: ConnectionEnd) {
        self.connection_ends.with_label_values(&[&end.to_string()]).inc();
    }

    /// Counts a retry that a request needed.
    pub(crate) fn record_retry(&self, outcome: RetryOutcome) {
        self.retries.with_label_values(&[&outcome.to_string()]).inc();
    }

    /// Counts a failure answered by the relay itself. `code` is one of a small, fixed set.
    pub(crate) fn record_fault(&self, code: &'static str) {
        self.faults.with_label_values(&[code]).inc();
    }

    /// Records the time to the first event of a stream.
    pub(crate) fn record_first_event(&self, prompt_tokens: u64, first: Duration) {
        let length = length_class(prompt_tokens);
        self.first_event.with_label_values(&[length]).observe(first.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn to_text(
        &self,
        core: &RelayCore,
        memory: &BudgetFigures,
        lost_lines: u64,
        now: Tick,
    ) -> Vec<u8> {
        self.memory.update(memory);
        let counts = [
            self.requests,
            self.attempts,
            self.failed_attempts,
            self.ejections,
            self.store_failures,
            self.shared_proofs,
            self.answered,
            self.refused,
            self.failed,
            self.broken,
            self.caller_left,
            lost_lines,
            self.closed_unread,
        ];
        for (mirror, count) in self.mirrors.iter().zip(counts) {
            mirror.advance_to(count);
        }
        let age = core.lease().age(now).unwrap_or(Duration::MAX);
        self.config_version.set(core.rules().version() as i64);
        self.proof_age.set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let is_unproven = core.lease().permits_keys(now) && !core.lease().is_held(now);
        self.serves_unproven.set(i64::from(is_unproven));
        self.store_epoch.set(core.store_epoch() as i64);
        self.targets.set(core.targets.iter().count() as i64);
        self.quarantined.set(core.quarantine().quarantined().active_count(now) as i64);
        let parts = &core.quarantine().parts;
        self.quarantined_parts.set(parts.quarantined().active_count(now) as i64);
        self.suspected_parts.set(parts.suspect_count() as i64);
        self.registry.to_text()
    }
}
