//! Compares two relay policies under the same loads and seeds.

use std::fmt::Write;

use shalelane::relay::decide::policy::RelayPolicy;

use super::load::{ReplayLoad, all_loads};
use super::outcome::{KindReport, to_reports, to_total};
use super::world::{ReplayFleet, replay};

/// Mean score of a kind under the base policy, and its difference under the other policy.
#[derive(Clone, Debug)]
pub struct ExperimentRow {
    /// Name of the load.
    pub load: String,
    /// Name of the kind.
    pub kind: &'static str,
    /// Mean score under the base policy.
    pub base: f64,
    /// Mean difference of the score under the other policy.
    pub difference: f64,
    /// Standard error of the difference.
    pub error: f64,
}

fn run_load(policy: RelayPolicy, load: &ReplayLoad, seed: u64) -> Vec<KindReport> {
    let (outcomes, _) = replay(&ReplayFleet::new(policy), load, seed);
    let mut reports = to_reports(&load.kinds, &outcomes);
    reports.push(to_total(&load.kinds, &outcomes));
    reports
}

/// Runs all loads with each seed under both policies.
#[must_use]
pub fn compare(base: RelayPolicy, other: RelayPolicy, seeds: &[u64]) -> Vec<ExperimentRow> {
    all_loads().iter().flat_map(|load| compare_load(base, other, load, seeds)).collect()
}

fn compare_load(
    base: RelayPolicy,
    other: RelayPolicy,
    load: &ReplayLoad,
    seeds: &[u64],
) -> Vec<ExperimentRow> {
    let runs: Vec<_> = seeds
        .iter()
        .map(|seed| (run_load(base, load, *seed), run_load(other, load, *seed)))
        .collect();
    let to_row = |kind: usize| {
        let bases: Vec<_> = runs.iter().map(|(base, _)| base[kind].score).collect();
        let differences: Vec<_> =
            runs.iter().map(|(base, other)| other[kind].score - base[kind].score).collect();
        let (difference, error) = mean_with_error(&differences);
        let kind = runs[0].0[kind].name;
        ExperimentRow {
            load: load.name.clone(),
            kind,
            base: mean_with_error(&bases).0,
            difference,
            error,
        }
    };
    (0..=load.kinds.len()).map(to_row).collect()
}

/// Returns the mean of the figures and its standard error.
fn mean_with_error(figures: &[f64]) -> (f64, f64) {
    let count = figures.len().max(1) as f64;
    let mean = figures.iter().sum::<f64>() / count;
    let square = figures.iter().map(|figure| (figure - mean).powi(2)).sum::<f64>();
    (mean, (square / (count - 1.0).max(1.0) / count).sqrt())
}

/// Formats the results of each kind in one run of each load as a table.
#[must_use]
pub fn to_details(policy: RelayPolicy, seed: u64) -> String {
    let mut text = String::from(
        "load         kind     total in time  first  pause refused cut off refusals  wait, ms\n",
    );
    for load in all_loads() {
        for report in run_load(policy, &load, seed) {
            let KindReport { name, requests, in_time, late_first, late_pause, .. } = report;
            let KindReport { refused, timed_out, refusals, .. } = report;
            let wait = report.longest_refusal_wait.as_millis();
            // Writing to a `String` is infallible.
            let _ = writeln!(
                text,
                "{:<12} {name:<8} {requests:>5} {in_time:>7} {late_first:>6} {late_pause:>6} \
                 {refused:>7} {timed_out:>7} {refusals:>8} {wait:>9}",
                load.name
            );
        }
    }
    text
}

/// Formats the rows as a table.
#[must_use]
pub fn to_table(rows: &[ExperimentRow]) -> String {
    let mut text = String::from("load         kind      score      difference   standard error\n");
    for row in rows {
        let ExperimentRow { load, kind, base, difference, error } = row;
        // Writing to a `String` is infallible.
        let _ =
            writeln!(text, "{load:<12} {kind:<8} {base:>6.3} {difference:>+15.4} {error:>16.4}");
    }
    text
}
