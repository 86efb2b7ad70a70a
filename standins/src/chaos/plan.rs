//! What goes wrong in a run, and when.

use quickcheck::{Arbitrary, Gen};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Virtual milliseconds in which requests arrive and faults begin.
pub const BUSY_MS: u64 = 20_000;

/// Engines of a run; one more agent stands beside a plain service.
pub const ENGINES: usize = 4;

/// Entries of a run.
pub const ENTRIES: usize = 2;

/// Requests of a run.
pub const REQUESTS: usize = 60;

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The link between an entry and an agent is cut.
    Cut {
        /// The entry.
        entry: usize,
        /// The agent.
        agent: usize,
    },
    /// Messages on a link vanish until one side finds out.
    HalfOpen {
        /// The entry.
        entry: usize,
        /// The agent.
        agent: usize,
    },
    /// An agent dies and comes back.
    AgentDeath {
        /// The agent.
        agent: usize,
        /// Time until it is back, in milliseconds.
        down_ms: u64,
    },
    /// An entry dies and comes back.
    EntryDeath {
        /// The entry.
        entry: usize,
        /// Time until it is back, in milliseconds.
        down_ms: u64,
    },
    /// An engine dies and comes back, empty.
    EngineDeath {
        /// The engine.
        agent: usize,
        /// Time until it is back, in milliseconds.
        down_ms: u64,
    },
    /// An agent stands still, unaware.
    AgentPause {
        /// The agent.
        agent: usize,
        /// For so long, in milliseconds.
        span_ms: u64,
    },
    /// An entry stands still, unaware.
    EntryPause {
        /// The entry.
        entry: usize,
        /// For so long, in milliseconds.
        span_ms: u64,
    },
    /// An agent stops as planned, and another life of it comes back.
    Drain {
        /// The agent.
        agent: usize,
    },
    /// All links of a failure domain are cut at once.
    DomainCut {
        /// The domain: every second agent.
        domain: usize,
    },
    /// An entry is told of an older configuration.
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
    /// What it does.
    pub kind: FaultKind,
}

/// All faults of a run, and the seed of everything else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChaosPlan {
    /// Seed of arrivals and delays.
    pub seed: u64,
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl ChaosPlan {
    /// A plan of up to a dozen faults.
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
        let at_ms = rng.random_range(0..BUSY_MS);
        let entry = rng.random_range(0..ENTRIES);
        let agent = rng.random_range(0..=ENGINES);
        let engine = rng.random_range(0..ENGINES);
        let down_ms = rng.random_range(50..4_000);
        let span_ms = rng.random_range(50..15_000);
        let kind = match rng.random_range(0..10) {
            0 => FaultKind::Cut { entry, agent },
            1 => FaultKind::HalfOpen { entry, agent },
            2 => FaultKind::AgentDeath { agent, down_ms },
            3 => FaultKind::EntryDeath { entry, down_ms },
            4 => FaultKind::EngineDeath { agent: engine, down_ms },
            5 => FaultKind::AgentPause { agent, span_ms },
            6 => FaultKind::EntryPause { entry, span_ms },
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

    /// A failing plan shrinks to the faults that it needs.
    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let without = move |left_out: usize| {
            let mut faults = plan.faults.clone();
            faults.remove(left_out);
            ChaosPlan { seed: plan.seed, faults }
        };
        Box::new((0..self.faults.len()).map(without))
    }
}
