//! Results of a replay as seen by callers.

use std::time::Duration;

use super::load::LoadKind;

/// Score of a late answer; an answer in time scores 1.
const LATE_SCORE: f64 = 0.25;

/// Number of prompt tokens that weigh as much as one additional short request.
const TOKENS_PER_REQUEST_VALUE: f64 = 10_000.0;

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplayEnd {
    /// The replay ended before the request.
    #[default]
    Open,
    /// The answer was complete.
    Answered,
    /// The request was refused and not retried.
    Refused,
    /// The request reached its time limit.
    TimedOut,
}

/// Result of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOutcome {
    /// Index of its kind in the load.
    pub kind: usize,
    /// Length of its prompt in tokens.
    pub prompt: u64,
    /// How it ended.
    pub end: ReplayEnd,
    /// Time from its first arrival to its first event.
    pub time_to_first_event: Option<Duration>,
    /// Longest pause between its events.
    pub longest_pause: Duration,
    /// Longest time that an attempt waited at the entry before it was sent or refused.
    pub waited: Duration,
    /// Number of refusals.
    pub refusals: u32,
}

impl RequestOutcome {
    /// Returns `true` if the first event arrived in time.
    #[must_use]
    pub fn is_first_in_time(&self, kind: &LoadKind) -> bool {
        self.time_to_first_event.is_some_and(|time| time <= kind.max_first_event)
    }

    /// Returns the value of the answer to its caller, from 0 to 1.
    #[must_use]
    pub fn score(&self, kind: &LoadKind) -> f64 {
        if self.end != ReplayEnd::Answered {
            return 0.0;
        }
        let is_in_time = self.is_first_in_time(kind) && self.longest_pause <= kind.max_pause;
        if is_in_time { 1.0 } else { LATE_SCORE }
    }
}

/// Results of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct KindReport {
    /// Name of the kind.
    pub name: &'static str,
    /// Number of requests.
    pub requests: usize,
    /// Requests answered in time.
    pub in_time: usize,
    /// Requests answered with a late first event.
    pub late_first: usize,
    /// Requests answered with a first event in time and an overlong pause.
    pub late_pause: usize,
    /// Requests whose last attempt was refused.
    pub refused: usize,
    /// Requests cancelled at their time limit.
    pub timed_out: usize,
    /// Number of refusals, including those of retried requests.
    pub refusals: u32,
    /// Longest wait at an entry of a request that was refused at least once.
    pub longest_refusal_wait: Duration,
    /// Mean score, weighted by prompt length.
    pub score: f64,
}

/// Sums up the outcomes of each kind.
#[must_use]
pub fn to_reports(kinds: &[LoadKind], outcomes: &[RequestOutcome]) -> Vec<KindReport> {
    let of_kind = |kind| outcomes.iter().filter(move |outcome| outcome.kind == kind);
    let reports = kinds.iter().enumerate();
    reports.map(|(kind, load)| to_report(load, of_kind(kind))).collect()
}

/// Sums up the outcomes of all kinds under the name "all".
///
/// The score is weighted by the value of each request to the relay.
#[must_use]
pub fn to_total(kinds: &[LoadKind], outcomes: &[RequestOutcome]) -> KindReport {
    let (mut total, mut achieved) = (0.0, 0.0);
    for outcome in outcomes {
        let value = 1.0 + outcome.prompt as f64 / TOKENS_PER_REQUEST_VALUE;
        total += value;
        achieved += value * outcome.score(&kinds[outcome.kind]);
    }
    KindReport {
        name: "all",
        requests: outcomes.len(),
        score: achieved / total,
        ..KindReport::default()
    }
}

fn to_report<'a>(
    kind: &LoadKind,
    outcomes: impl Iterator<Item = &'a RequestOutcome>,
) -> KindReport {
    let mut report = KindReport { name: kind.name, ..KindReport::default() };
    let (mut total, mut achieved) = (0.0, 0.0);
    for outcome in outcomes {
        report.requests += 1;
        report.refusals += outcome.refusals;
        let size = 0.3 + 0.7 * outcome.prompt as f64 / kind.prompt as f64;
        total += size;
        achieved += size * outcome.score(kind);
        match outcome.end {
            ReplayEnd::Answered if !outcome.is_first_in_time(kind) => report.late_first += 1,
            ReplayEnd::Answered if outcome.longest_pause > kind.max_pause => report.late_pause += 1,
            ReplayEnd::Answered => report.in_time += 1,
            ReplayEnd::Refused => report.refused += 1,
            ReplayEnd::TimedOut => report.timed_out += 1,
            ReplayEnd::Open => {}
        }
        if outcome.refusals > 0 {
            report.longest_refusal_wait = report.longest_refusal_wait.max(outcome.waited);
        }
    }
    report.score = if total > 0.0 { achieved / total } else { 1.0 };
    report
}
