//! Bounds the growth, with the number of entries, of the calls to the platform's store and of the
//! time until all entries have a configuration change.

use standins::control::{ControlFigures, ControlPlan, simulate};

const SEED: u64 = 20_261_203;

fn figures(entries: usize) -> ControlFigures {
    let figures = simulate(ControlPlan::with_entries(entries, SEED));
    println!("seed {SEED}: {figures:?}");
    figures
}

/// Bound on the time until a configuration change is applied everywhere on the largest
/// deployment, in milliseconds.
const APPLY_MS: u64 = 5_000;

#[test]
fn calls_after_the_start_grow_less_than_the_entries() {
    let (once, twice) = (figures(120), figures(240));
    let growth = twice.later_calls() as f64 / once.later_calls() as f64;
    assert!(growth < 1.5, "calls grew by a factor of {growth}");
    // Without sharing, each entry makes at least one call for each configuration change.
    assert!(twice.later_calls() < 2 * 240, "{} calls after the start", twice.later_calls());
}

/// Guards against a failure of the model at 2,400 entries: updates were relayed by a fixed number
/// of agents regardless of the fraction of entries that an agent reaches, so that the larger the
/// fleet, the more entries missed them.
#[test]
fn updates_reach_all_entries_if_each_agent_reaches_few() {
    let plan = ControlPlan { engines: 1_800, ..ControlPlan::with_entries(100, SEED) };
    let figures = simulate(plan);
    println!("seed {SEED}: {figures:?}");
    let missed = figures.catch_ups + figures.config_reads;
    assert!(missed <= 100, "{missed} calls of 100 entries for missed updates");
}

#[test]
fn start_calls_per_entry_are_bounded_at_any_size() {
    for entries in [60, 120, 240] {
        let per_entry = figures(entries).start_calls as f64 / entries as f64;
        assert!(per_entry < 8.0, "{per_entry} start calls per entry with {entries} entries");
    }
}

#[test]
fn every_entry_has_a_change_within_half_of_the_bound() {
    for entries in [60, 120, 240] {
        let last = figures(entries).last_ms;
        assert!(last <= APPLY_MS / 2, "{last} ms until all {entries} entries have the change");
    }
}
