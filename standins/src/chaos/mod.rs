//! Randomised runs of the product's entry and agent cores under faults, in virtual time.
//!
//! A run is fully determined by its seed. The cores check their invariants on every event, the
//! callers check every answer, and at the end no engine or agent may hold memory.

mod agents;
mod arrivals;
mod callers;
mod entries;
mod faults;
mod links;
mod plan;
mod targets;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use shalelane::mutant::{Mutant, set_mutant};

pub use self::plan::{ChaosPlan, FaultKind, PlannedFault};
pub use self::world::ChaosOutcome;
use self::world::{SharedLog, World};

/// Executes one run.
#[must_use]
pub fn run_plan(plan: &ChaosPlan) -> ChaosOutcome {
    run_mutant(plan, None)
}

/// Executes one run with an optional seeded fault (mutant) in the cores.
#[must_use]
pub fn run_mutant(plan: &ChaosPlan, mutant: Option<Mutant>) -> ChaosOutcome {
    let log = SharedLog::default();
    let inner = log.clone();
    set_mutant(mutant);
    let result = catch_unwind(AssertUnwindSafe(|| World::new(plan, inner).run()));
    set_mutant(None);
    let mut outcome = result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        let violations = vec![text.unwrap_or_else(|| "a core panicked".to_owned())];
        ChaosOutcome { violations, ..ChaosOutcome::default() }
    });
    outcome.log = log.take().into();
    outcome
}

/// Results of the runs of a range of seeds.
#[derive(Clone, Debug, Default)]
pub struct SeedsOutcome {
    /// Number of requests with a complete answer.
    pub finished: usize,
    /// Number of failed requests.
    pub failed: usize,
    /// Lowest seed found whose run violated a guarantee, with its outcome.
    pub violating_run: Option<(u64, ChaosOutcome)>,
}

/// Executes the runs of the seeds from `first` up to, but not including, `end` on all processors.
///
/// The runs have an optional seeded fault (mutant) in the cores. Stops soon after the first
/// violation of a guarantee.
#[must_use]
pub fn run_seeds(first: u64, end: u64, mutant: Option<Mutant>) -> SeedsOutcome {
    let next = AtomicU64::new(first);
    let sum = Mutex::new(SeedsOutcome::default());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| run_next_seeds(&next, end, mutant, &sum));
        }
    });
    sum.into_inner().unwrap_or_default()
}

fn run_next_seeds(next: &AtomicU64, end: u64, mutant: Option<Mutant>, sum: &Mutex<SeedsOutcome>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let outcome = run_mutant(&ChaosPlan::from_seed(seed), mutant);
        let Ok(mut sum) = sum.lock() else { return };
        sum.finished += outcome.finished;
        sum.failed += outcome.failed;
        let is_lower = sum.violating_run.as_ref().is_none_or(|(other, _)| seed < *other);
        if !outcome.violations.is_empty() && is_lower {
            sum.violating_run = Some((seed, outcome));
        }
        if sum.violating_run.is_some() {
            return;
        }
    }
}
