//! How the fleet of `part_fleet` is set up, and which requests it gets.

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub per_second: f64,
    /// Names of the shared parts; `*` at the end of a name is replaced by a number below 24.
    pub parts: Vec<&'static str>,
    pub from: u64,
    pub until: u64,
}

/// How a fleet is set up.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    pub entries: usize,
    pub engines: usize,
    pub traffic: Vec<Traffic>,
    /// Parts that crash engines, with the share of requests that do so and the time from which.
    pub culprits: Vec<(&'static str, f64, u64)>,
    /// Entries that do not know of parts, as of an earlier version.
    pub old_entries: usize,
    pub has_store: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Times at which all agents restart and lose what they know.
    pub agent_restarts: Vec<u64>,
    /// Times at which an entry restarts and loses what it knows.
    pub entry_restarts: Vec<(u64, usize)>,
    /// From when until when an entry is frozen.
    pub freezes: Vec<(u64, u64, usize)>,
    /// Times at which engines crash by themselves, with the share of all engines.
    pub unrelated_crashes: Vec<(u64, f64)>,
    /// Time from a crash until agents report it, drawn up to this one.
    pub detection_ms: u64,
    /// Time from which no part crashes engines any more.
    pub mended_at: Option<u64>,
    pub seed: u64,
}

impl FleetSetup {
    pub fn new(entries: usize, engines: usize, seed: u64) -> Self {
        FleetSetup {
            entries,
            engines,
            traffic: Vec::new(),
            culprits: Vec::new(),
            old_entries: 0,
            has_store: true,
            loss: 0.0,
            agent_restarts: Vec::new(),
            entry_restarts: Vec::new(),
            freezes: Vec::new(),
            unrelated_crashes: Vec::new(),
            detection_ms: 500,
            mended_at: None,
            seed,
        }
    }
}
