//! Two settings under the same loads and seeds, for whoever judges a change.

use std::fmt::Write;

use shalelane::relay::decide::policy::RelayPolicy;

use super::load::{ReplayLoad, all_loads};
use super::outcome::{KindReport, to_reports, to_total};
use super::world::{ReplayFleet, replay};

/// Mean worth of each kind under one setting, and how far it differs from the first.
#[derive(Clone, Debug)]
pub struct ExperimentRow {
    /// Name of the load.
    pub load: String,
    /// Name of the kind.
    pub kind: &'static str,
    /// Mean worth under the first setting.
    pub base: f64,
    /// Mean difference of the other one.
    pub difference: f64,
    /// Standard error of that.
    pub error: f64,
}

fn play(policy: RelayPolicy, load: &ReplayLoad, seed: u64) -> Vec<KindReport> {
    let (outcomes, _) = replay(&ReplayFleet::new(policy), load, seed);
    let mut reports = to_reports(&load.kinds, &outcomes);
    reports.push(to_total(&load.kinds, &outcomes));
    reports
}

/// Plays all loads with each seed under both settings.
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
    let runs: Vec<_> =
        seeds.iter().map(|seed| (play(base, load, *seed), play(other, load, *seed))).collect();
    let to_row = |kind: usize| {
        let bases: Vec<_> = runs.iter().map(|(base, _)| base[kind].worth).collect();
        let differences: Vec<_> =
            runs.iter().map(|(base, other)| other[kind].worth - base[kind].worth).collect();
        let (difference, error) = to_mean(&differences);
        let kind = runs[0].0[kind].name;
        ExperimentRow { load: load.name.clone(), kind, base: to_mean(&bases).0, difference, error }
    };
    (0..=load.kinds.len()).map(to_row).collect()
}

/// The mean of some figures, and its standard error.
fn to_mean(figures: &[f64]) -> (f64, f64) {
    let count = figures.len().max(1) as f64;
    let mean = figures.iter().sum::<f64>() / count;
    let square = figures.iter().map(|figure| (figure - mean).powi(2)).sum::<f64>();
    (mean, (square / (count - 1.0).max(1.0) / count).sqrt())
}

/// What became of the requests of each kind in one run of each load.
#[must_use]
pub fn to_details(policy: RelayPolicy, seed: u64) -> String {
    let mut text = String::from(
        "load         kind     asked in time  first  pause refused cut off refusals  wait, ms\n",
    );
    for load in all_loads() {
        for report in play(policy, &load, seed) {
            let KindReport { name, asked, in_time, late_first, late_pause, .. } = report;
            let KindReport { refused, timed_out, refusals, .. } = report;
            let wait = report.longest_refusal_wait.as_millis();
            // Writing to a text does not fail.
            let _ = writeln!(
                text,
                "{:<12} {name:<8} {asked:>5} {in_time:>7} {late_first:>6} {late_pause:>6} \
                 {refused:>7} {timed_out:>7} {refusals:>8} {wait:>9}",
                load.name
            );
        }
    }
    text
}

/// Writes rows for a reader.
#[must_use]
pub fn to_table(rows: &[ExperimentRow]) -> String {
    let mut text = String::from("load         kind      worth   other less it   standard error\n");
    for row in rows {
        let ExperimentRow { load, kind, base, difference, error } = row;
        // Writing to a text does not fail.
        let _ =
            writeln!(text, "{load:<12} {kind:<8} {base:>6.3} {difference:>+15.4} {error:>16.4}");
    }
    text
}
