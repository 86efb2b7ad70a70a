//! Randomised runs of the product's entry and agent cores under faults, in virtual time.

use quickcheck::{Gen, QuickCheck};
use shalelane::mutant::Mutant;
use standins::chaos::{ChaosPlan, run_plan, run_seeds};

/// Number of seeds that CI runs; `standins -- chaos` runs more.
const SEEDS: u64 = 300;

/// Number of seeds within which each mutant of the cores must be detected.
const MUTANT_SEEDS: u64 = 4_000;

#[test]
fn fixed_seeds_violate_no_guarantee() {
    println!("seeds 0..{SEEDS}");
    let outcome = run_seeds(0, SEEDS, None);
    assert!(
        outcome.violating_run.is_none(),
        "{:?}",
        outcome.violating_run.map(|(seed, run)| (seed, run.violations))
    );
    assert!(outcome.finished > 40 * SEEDS as usize, "{} requests finished", outcome.finished);
}

#[test]
fn equal_seeds_give_equal_runs() {
    let plan = ChaosPlan::from_seed(11);
    assert_eq!(run_plan(&plan).log, run_plan(&plan).log);
}

/// Guards against a fault of the check: if an agent was paused again before it resumed, the check
/// took the end of the first pause as the time at which the agent received its drain.
#[test]
fn a_drain_starts_when_its_agent_receives_it() {
    let violations = run_plan(&ChaosPlan::from_seed(2_448_314_608)).violations;
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn generated_plans_violate_no_guarantee() {
    const SEED: u64 = 20_261_202;
    println!("seed {SEED}");
    let is_clean = |plan: ChaosPlan| run_plan(&plan).violations.is_empty();
    let generator = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(generator).tests(60).quickcheck(is_clean as fn(ChaosPlan) -> bool);
}

#[test]
fn every_mutant_of_the_cores_is_detected() {
    // This test provokes panics of the checks, so their output is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    for mutant in Mutant::ALL {
        let detected = run_seeds(0, MUTANT_SEEDS, Some(mutant)).violating_run;
        assert!(detected.is_some(), "mutant {mutant:?} was not detected");
    }
}
