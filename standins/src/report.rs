//! Figures of a run of the load tool.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde::Serialize;
use shalelane::metrics::length_class;

use crate::load::{PlannedCall, RequestEnd, RequestOutcome};
use crate::plain_server::OrderCounts;

/// Longest prompt of a short request, in tokens.
pub const SHORT: u64 = 4_000;

/// Times of one class of prompts, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ClassTimes {
    /// Requests.
    pub count: u64,
    /// Half of them were faster.
    pub p50: f64,
    /// 95 in 100 were faster.
    pub p95: f64,
    /// 99 in 100 were faster.
    pub p99: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests made.
    pub requests: u64,
    /// Whole and right answers.
    pub finished: u64,
    /// Final failures other than refusals.
    pub failed: u64,
    /// Refusals as not run.
    pub refused: u64,
    /// Requests without a final answer, and orders that were answered but not
    /// run.
    pub lost: u64,
    /// Orders that ran more than once, or ran though called not run.
    pub doubled: u64,
    /// Answers to another request.
    pub mixed: u64,
    /// Tokens that engines still hold at the end.
    pub leaked_tokens: u64,
    /// Time to the first token by class of prompt length.
    pub ttft_ms: BTreeMap<String, ClassTimes>,
    /// 95th percentile of short prompts' time to the first token while long
    /// ones ran, over that while none did.
    pub short_slowdown: f64,
    /// Longest turn of any daemon's loop, in milliseconds.
    pub loop_turn_max_ms: f64,
}

/// Percentiles of times.
#[must_use]
pub fn to_times(times: &[Duration]) -> ClassTimes {
    const DIGITS: u8 = 3;
    const MOST: u64 = 3_600_000_000;
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MOST, DIGITS) else {
        return ClassTimes::default();
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    ClassTimes { count: histogram.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

impl LoadReport {
    /// Sums up what came of all requests.
    #[must_use]
    pub fn from_outcomes(outcomes: &[RequestOutcome], orders: &OrderCounts) -> Self {
        let mut report = LoadReport { requests: outcomes.len() as u64, ..LoadReport::default() };
        let mut classes: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        for outcome in outcomes {
            report.count_end(outcome);
            report.count_order(outcome, orders);
            let (PlannedCall::Model { tokens, .. }, Some(first)) =
                (&outcome.planned.call, outcome.first)
            else {
                continue;
            };
            classes.entry(length_class(*tokens).to_owned()).or_default().push(first);
        }
        for (class, times) in classes {
            report.ttft_ms.insert(class, to_times(&times));
        }
        report.short_slowdown = to_slowdown(outcomes);
        report
    }

    fn count_end(&mut self, outcome: &RequestOutcome) {
        match &outcome.end {
            RequestEnd::Finished => self.finished += 1,
            RequestEnd::Mixed => self.mixed += 1,
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
        let runs = orders.get(order).copied().unwrap_or(0);
        let is_not_run =
            matches!(&outcome.end, RequestEnd::Failed(_, verdict) if verdict == "not-run");
        if runs > 1 || (runs > 0 && is_not_run) {
            self.doubled += 1;
        }
        if runs == 0 && outcome.end == RequestEnd::Finished {
            self.lost += 1;
        }
    }

    /// Returns true where every promise was kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled + self.mixed + self.leaked_tokens == 0 && self.finished > 0
    }

    /// Writes the figures for a reader.
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
            "\nslowdown of short prompts while long ones run: {:.2}\nlongest turn of a loop: {:.1} ms",
            self.short_slowdown, self.loop_turn_max_ms
        );
        text
    }
}

/// Times to the first token of prompts up to a length.
#[must_use]
pub fn short_firsts(outcomes: &[RequestOutcome], most: u64) -> Vec<Duration> {
    let is_short = |outcome: &&RequestOutcome| matches!(outcome.planned.call, PlannedCall::Model { tokens, .. } if tokens <= most);
    outcomes.iter().filter(is_short).filter_map(|outcome| outcome.first).collect()
}

/// Ratio of short prompts' p95 in the mixed phase over the quiet one.
fn to_slowdown(outcomes: &[RequestOutcome]) -> f64 {
    let (quiet, mixed): (Vec<_>, Vec<_>) =
        outcomes.iter().cloned().partition(|outcome| outcome.planned.phase == 0);
    let p95 = |part: &[RequestOutcome]| to_times(&short_firsts(part, SHORT)).p95;
    let (quiet, mixed) = (p95(&quiet), p95(&mixed));
    if quiet > 0.0 { mixed / quiet } else { 0.0 }
}
