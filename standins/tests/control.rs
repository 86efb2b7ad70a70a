//! What grows with the entries of a fleet: calls to the platform's store, and the time until all
//! of them have a change.

use standins::control::{ControlFigures, ControlPlan, play};

const SEED: u64 = 20_261_203;

fn figures(entries: usize) -> ControlFigures {
    let figures = play(ControlPlan::of(entries, SEED));
    println!("seed {SEED}: {figures:?}");
    figures
}

/// Bound for changes of the configuration on the largest deployment, in milliseconds.
const APPLY_MS: u64 = 5_000;

#[test]
fn twice_the_entries_make_about_as_many_calls_after_the_start() {
    let (once, twice) = (figures(120), figures(240));
    let grown = twice.later_calls() as f64 / once.later_calls() as f64;
    assert!(grown < 1.5, "{grown} times the calls");
    // Alone, each entry had a call for each change of the configuration, and more.
    assert!(twice.later_calls() < 2 * 240, "{} calls", twice.later_calls());
}

/// Past failure, of the model at 2,400 entries: each entry had news told by a fixed number of
/// agents, whatever part of the entries an agent reaches, so that ever more missed them.
#[test]
fn news_reach_all_where_an_agent_reaches_few_of_them() {
    let plan = ControlPlan { engines: 1_800, ..ControlPlan::of(100, SEED) };
    let figures = play(plan);
    println!("seed {SEED}: {figures:?}");
    let missed = figures.catch_ups + figures.config_reads;
    assert!(missed <= 100, "{missed} calls for news that were missed by 100 entries");
}

#[test]
fn starts_take_a_few_calls_of_each_entry_at_any_size() {
    for entries in [60, 120, 240] {
        let each = figures(entries).start_calls as f64 / entries as f64;
        assert!(each < 8.0, "{each} calls of each of {entries} entries");
    }
}

#[test]
fn every_entry_has_a_change_within_half_of_the_bound() {
    for entries in [60, 120, 240] {
        let last = figures(entries).last_ms;
        assert!(last <= APPLY_MS / 2, "{last} ms until the last of {entries} entries");
    }
}
