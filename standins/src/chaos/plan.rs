//! Plan of the faults of a run.

use quickcheck::{Arbitrary, Gen};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Virtual time, in milliseconds, in which requests arrive and faults begin.
pub const ARRIVAL_PERIOD_MS: u64 = 20_000;

/// Number of engines, each with an agent; one more agent serves a plain service.
pub const ENGINES: usize = 4;

/// Number of entries.
pub const ENTRIES: usize = 2;

/// Number of requests.
pub const REQUESTS: usize = 60;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The link between an entry and an agent is cut.
    LinkCut {
        /// The entry.
        entry: usize,
        /// The agent.
        agent: usize,
    },
    /// Messages on a link are lost without notice until a side detects it.
    HalfOpen {
        /// The entry.
        entry: usize,
        /// The agent.
        agent: usize,
    },
    /// An agent crashes and restarts.
    AgentCrash {
        /// The agent.
        agent: usize,
        /// Time until the restart, in milliseconds.
        down_ms: u64,
    },
    /// An entry crashes and restarts.
    EntryCrash {
        /// The entry.
        entry: usize,
        /// Time until the restart, in milliseconds.
        down_ms: u64,
    },
    /// An engine crashes and restarts without runs, reservations and cache.
    EngineCrash {
        /// The agent of the engine.
        agent: usize,
        /// Time until the restart, in milliseconds.
        down_ms: u64,
    },
    /// An agent process is suspended.
    AgentPause {
        /// The agent.
        agent: usize,
        /// Length of the pause, in milliseconds.
        pause_ms: u64,
    },
    /// An entry process is suspended.
    EntryPause {
        /// The entry.
        entry: usize,
        /// Length of the pause, in milliseconds.
        pause_ms: u64,
    },
    /// An agent drains and stops, and its next incarnation starts.
    Drain {
        /// The agent.
        agent: usize,
    },
    /// All links of a failure domain are cut at once.
    DomainCut {
        /// The domain, which holds every second agent.
        domain: usize,
    },
    /// An entry receives an outdated configuration.
    StaleConfig {
        /// The entry.
        entry: usize,
    },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Virtual milliseconds since the start.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// All faults of a run, and the seed of its other random choices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChaosPlan {
    /// Seed of arrivals and delays.
    pub seed: u64,
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl ChaosPlan {
    /// Generates a plan of up to 12 faults.
    #[must_use]
    pub fn from_seed(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(0..=12);
        let faults = (0..count).map(|_| PlannedFault::random(&mut rng)).collect();
        ChaosPlan { seed, faults }
    }
}

impl PlannedFault {
    fn random(rng: &mut StdRng) -> Self {
        let at_ms = rng.random_range(0..ARRIVAL_PERIOD_MS);
        let entry = rng.random_range(0..ENTRIES);
        let agent = rng.random_range(0..=ENGINES);
        let engine = rng.random_range(0..ENGINES);
        let down_ms = rng.random_range(50..4_000);
        let pause_ms = rng.random_range(50..15_000);
        let kind = match rng.random_range(0..10) {
            0 => FaultKind::LinkCut { entry, agent },
            1 => FaultKind::HalfOpen { entry, agent },
            2 => FaultKind::AgentCrash { agent, down_ms },
            3 => FaultKind::EntryCrash { entry, down_ms },
            4 => FaultKind::EngineCrash { agent: engine, down_ms },
            5 => FaultKind::AgentPause { agent, pause_ms },
            6 => FaultKind::EntryPause { entry, pause_ms },
            7 => FaultKind::Drain { agent },
            8 => FaultKind::DomainCut { domain: agent % 2 },
            _ => FaultKind::StaleConfig { entry },
        };
        PlannedFault { at_ms, kind }
    }
}

impl Arbitrary for ChaosPlan {
    fn arbitrary(g: &mut Gen) -> Self {
        ChaosPlan::from_seed(u64::arbitrary(g))
    }

    /// Yields all plans with one fault fewer, so that a failing plan shrinks to the faults that it
    /// needs.
    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let without = move |omitted: usize| {
            let mut faults = plan.faults.clone();
            faults.remove(omitted);
            ChaosPlan { seed: plan.seed, faults }
        };
        Box::new((0..self.faults.len()).map(without))
    }
}
