//! Summary of the outcomes of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde::Serialize;
use shalelane::metrics::length_class;

use crate::load::{PlannedCall, RequestEnd, RequestOutcome};
use crate::plain_server::OrderCounts;

/// Maximum prompt length of a short request, in tokens.
pub const MAX_SHORT_TOKENS: u64 = 4_000;

/// Latency percentiles of a class of requests, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencySummary {
    /// Number of requests.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Complete and correct answers.
    pub finished: u64,
    /// Failures other than refusals.
    pub failed: u64,
    /// Requests that an entry refused without executing them.
    pub refused: u64,
    /// Requests without a final answer, and orders that were answered but not executed.
    pub lost: u64,
    /// Orders executed more than once, or executed although the verdict was `not-run`.
    pub doubled: u64,
    /// Complete answers with a wrong text.
    pub mixed: u64,
    /// Tokens for which engines still hold memory at the end.
    pub leaked_tokens: u64,
    /// Time to first token in milliseconds, by class of prompt length.
    pub ttft_ms: BTreeMap<String, LatencySummary>,
    /// Ratio of short prompts' p95 time to first token in the mixed phase to that in the quiet
    /// phase, which has no long prompts.
    pub short_slowdown: f64,
    /// Longest iteration of any daemon's event loop, in milliseconds.
    #[serde(rename = "loop_turn_max_ms")]
    pub max_loop_iteration_ms: f64,
}

/// Computes the percentiles of a set of times. Times above one hour count as one hour.
#[must_use]
pub fn to_latency_summary(times: &[Duration]) -> LatencySummary {
    const SIGNIFICANT_DIGITS: u8 = 3;
    const MAX_MICROS: u64 = 3_600_000_000;
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
    else {
        return LatencySummary::default();
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    LatencySummary { count: histogram.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

impl LoadReport {
    /// Summarizes the outcomes of all requests. `orders` holds the executions of each order.
    #[must_use]
    pub fn from_outcomes(outcomes: &[RequestOutcome], orders: &OrderCounts) -> Self {
        let mut report = LoadReport { requests: outcomes.len() as u64, ..LoadReport::default() };
        let mut classes: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        for outcome in outcomes {
            report.count_end(outcome);
            report.count_order(outcome, orders);
            let (PlannedCall::Model { prompt_tokens, .. }, Some(time_to_first_chunk)) =
                (&outcome.planned.call, outcome.time_to_first_chunk)
            else {
                continue;
            };
            classes
                .entry(length_class(*prompt_tokens).to_owned())
                .or_default()
                .push(time_to_first_chunk);
        }
        for (class, times) in classes {
            report.ttft_ms.insert(class, to_latency_summary(&times));
        }
        report.short_slowdown = to_slowdown(outcomes);
        report
    }

    fn count_end(&mut self, outcome: &RequestOutcome) {
        match &outcome.end {
            RequestEnd::Finished => self.finished += 1,
            RequestEnd::WrongAnswer => self.mixed += 1,
            RequestEnd::Lost(_) => self.lost += 1,
            RequestEnd::Failed(status, verdict) => {
                let is_refusal = verdict == "not-run"
                    && matches!(
                        *status,
                        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
                    );
                if is_refusal {
                    self.refused += 1;
                } else {
                    self.failed += 1;
                }
            }
        }
    }

    fn count_order(&mut self, outcome: &RequestOutcome, orders: &OrderCounts) {
        let PlannedCall::Order { order, .. } = &outcome.planned.call else {
            return;
        };
        let executions = orders.get(order).copied().unwrap_or(0);
        let is_not_run =
            matches!(&outcome.end, RequestEnd::Failed(_, verdict) if verdict == "not-run");
        if executions > 1 || (executions > 0 && is_not_run) {
            self.doubled += 1;
        }
        if executions == 0 && outcome.end == RequestEnd::Finished {
            self.lost += 1;
        }
    }

    /// Returns `true` if no guarantee was violated and at least one request finished.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled + self.mixed + self.leaked_tokens == 0 && self.finished > 0
    }

    /// Formats the report as text.
    #[must_use]
    pub fn to_table(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{} requests: {} finished, {} refused, {} failed; {} lost, {} doubled, {} mixed; \
             {} tokens leaked",
            self.requests,
            self.finished,
            self.refused,
            self.failed,
            self.lost,
            self.doubled,
            self.mixed,
            self.leaked_tokens
        );
        let _ =
            writeln!(text, "\nprompt tokens   count   time to first token in ms: p50, p95, p99");
        for (class, times) in &self.ttft_ms {
            let _ = writeln!(
                text,
                "{class:<14} {:>6} {:>10.0} {:>10.0} {:>10.0}",
                times.count, times.p50, times.p95, times.p99
            );
        }
        let _ = writeln!(
            text,
            "\nslowdown of short prompts while long ones run: {:.2}\nlongest event loop iteration: {:.1} ms",
            self.short_slowdown, self.max_loop_iteration_ms
        );
        text
    }
}

/// Returns the times to first token of requests whose prompt has at most `max_tokens` tokens.
#[must_use]
pub fn short_prompt_ttfts(outcomes: &[RequestOutcome], max_tokens: u64) -> Vec<Duration> {
    let is_short = |outcome: &&RequestOutcome| matches!(outcome.planned.call, PlannedCall::Model { prompt_tokens, .. } if prompt_tokens <= max_tokens);
    outcomes.iter().filter(is_short).filter_map(|outcome| outcome.time_to_first_chunk).collect()
}

/// Returns the ratio of short prompts' p95 in the mixed phase to that in the quiet phase; 0 without
/// a quiet phase.
fn to_slowdown(outcomes: &[RequestOutcome]) -> f64 {
    let (quiet, mixed): (Vec<_>, Vec<_>) =
        outcomes.iter().cloned().partition(|outcome| outcome.planned.phase == 0);
    let p95 = |part: &[RequestOutcome]| {
        to_latency_summary(&short_prompt_ttfts(part, MAX_SHORT_TOKENS)).p95
    };
    let (quiet, mixed) = (p95(&quiet), p95(&mixed));
    if quiet > 0.0 { mixed / quiet } else { 0.0 }
}
