//! Randomised runs of the real cores under faults, in virtual time.

use quickcheck::{Gen, QuickCheck};
use shalelane::mutant::Mutant;
use standins::chaos::{ChaosPlan, run_plan, run_seeds};

/// Seeds that CI runs; `standins -- chaos` runs more.
const SEEDS: u64 = 300;

/// Seeds within which each fault in the cores must be caught.
const MUTANT_SEEDS: u64 = 4_000;

#[test]
fn fixed_seeds_break_no_promise() {
    println!("seeds 0..{SEEDS}");
    let outcome = run_seeds(0, SEEDS, None);
    assert!(outcome.broken.is_none(), "{:?}", outcome.broken.map(|(seed, one)| (seed, one.broken)));
    assert!(outcome.finished > 40 * SEEDS as usize, "{} finished", outcome.finished);
}

#[test]
fn a_run_is_made_from_its_seed_alone() {
    let plan = ChaosPlan::from_seed(11);
    assert_eq!(run_plan(&plan).log, run_plan(&plan).log);
}

/// Past finding: an agent that was paused again before it went on was thought
/// to have heard of its drain at the end of the first pause.
#[test]
fn a_drain_counts_from_when_its_agent_hears_of_it() {
    let broken = run_plan(&ChaosPlan::from_seed(2_448_314_608)).broken;
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn generated_plans_break_no_promise() {
    const SEED: u64 = 20_261_202;
    println!("seed {SEED}");
    let holds = |plan: ChaosPlan| run_plan(&plan).broken.is_empty();
    let generator = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(generator).tests(60).quickcheck(holds as fn(ChaosPlan) -> bool);
}

#[test]
fn every_fault_in_the_cores_is_caught() {
    // The panics of the checks are what this test is for.
    std::panic::set_hook(Box::new(|_| {}));
    for mutant in Mutant::ALL {
        let caught = run_seeds(0, MUTANT_SEEDS, Some(mutant)).broken;
        assert!(caught.is_some(), "{mutant:?} was missed");
    }
}
