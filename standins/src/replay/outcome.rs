//! What callers of a replay got.

use std::time::Duration;

use super::load::LoadKind;

/// Part of its worth that a late answer has.
const LATE_WORTH: f64 = 0.25;

/// Tokens that are worth as much as one more short request.
const TOKENS_PER_VALUE: f64 = 10_000.0;

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplayEnd {
    /// The replay was over before it.
    #[default]
    Open,
    /// Its answer was whole.
    Answered,
    /// It was refused, and did not come again.
    Refused,
    /// Its time was up.
    TimedOut,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOutcome {
    /// Its kind, as a number among the kinds.
    pub kind: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// How it ended.
    pub end: ReplayEnd,
    /// Time from its first arrival to its first event.
    pub first: Option<Duration>,
    /// Longest pause between its events.
    pub pause: Duration,
    /// Time that it waited at an entry before it was sent or refused.
    pub waited: Duration,
    /// Refusals that it got.
    pub refusals: u32,
}

impl RequestOutcome {
    /// Returns true where its first event came in time.
    #[must_use]
    pub fn is_first_in_time(&self, kind: &LoadKind) -> bool {
        self.first.is_some_and(|first| first <= kind.first_limit)
    }

    /// What its answer is worth to its caller, from 0 to 1.
    #[must_use]
    pub fn worth(&self, kind: &LoadKind) -> f64 {
        if self.end != ReplayEnd::Answered {
            return 0.0;
        }
        let is_in_time = self.is_first_in_time(kind) && self.pause <= kind.longest_pause;
        if is_in_time { 1.0 } else { LATE_WORTH }
    }
}

/// What became of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct KindReport {
    /// Its name.
    pub name: &'static str,
    /// Requests.
    pub asked: usize,
    /// Answered in time.
    pub in_time: usize,
    /// Answered with a late first event.
    pub late_first: usize,
    /// Answered with a first event in time and a pause that was too long.
    pub late_pause: usize,
    /// Refused to the end.
    pub refused: usize,
    /// Cut off at their limit.
    pub timed_out: usize,
    /// Refusals, those of requests that came again included.
    pub refusals: u32,
    /// Longest time that one waited before it was refused.
    pub longest_refusal_wait: Duration,
    /// Mean worth, weighed by the size of prompts.
    pub worth: f64,
}

/// What became of the requests of each kind.
#[must_use]
pub fn to_reports(kinds: &[LoadKind], outcomes: &[RequestOutcome]) -> Vec<KindReport> {
    let of_kind = |kind| outcomes.iter().filter(move |outcome| outcome.kind == kind);
    let reports = kinds.iter().enumerate();
    reports.map(|(kind, load)| to_report(load, of_kind(kind))).collect()
}

/// What all requests earned of what they are worth to the relay, under the name
/// "all".
#[must_use]
pub fn to_total(kinds: &[LoadKind], outcomes: &[RequestOutcome]) -> KindReport {
    let (mut owed, mut earned) = (0.0, 0.0);
    for outcome in outcomes {
        let value = 1.0 + outcome.prompt as f64 / TOKENS_PER_VALUE;
        owed += value;
        earned += value * outcome.worth(&kinds[outcome.kind]);
    }
    KindReport { name: "all", asked: outcomes.len(), worth: earned / owed, ..KindReport::default() }
}

fn to_report<'a>(
    kind: &LoadKind,
    outcomes: impl Iterator<Item = &'a RequestOutcome>,
) -> KindReport {
    let mut report = KindReport { name: kind.name, ..KindReport::default() };
    let (mut owed, mut earned) = (0.0, 0.0);
    for outcome in outcomes {
        report.asked += 1;
        report.refusals += outcome.refusals;
        let size = 0.3 + 0.7 * outcome.prompt as f64 / kind.prompt as f64;
        owed += size;
        earned += size * outcome.worth(kind);
        match outcome.end {
            ReplayEnd::Answered if !outcome.is_first_in_time(kind) => report.late_first += 1,
            ReplayEnd::Answered if outcome.pause > kind.longest_pause => report.late_pause += 1,
            ReplayEnd::Answered => report.in_time += 1,
            ReplayEnd::Refused => report.refused += 1,
            ReplayEnd::TimedOut => report.timed_out += 1,
            ReplayEnd::Open => {}
        }
        if outcome.refusals > 0 {
            report.longest_refusal_wait = report.longest_refusal_wait.max(outcome.waited);
        }
    }
    report.worth = if owed > 0.0 { earned / owed } else { 1.0 };
    report
}
