//! Events, requests and engines of the fleet of `part_fleet`.

use std::collections::BTreeSet;

use shalelane::relay::decide::part_board::PartBoard;
use shalelane::relay::decide::part_evidence::PartSet;
use shalelane::relay::decide::part_message::PartMessage;
use shalelane::time::Tick;

/// A request that was sent to an engine.
#[derive(Clone, Debug)]
pub struct FleetRequest {
    pub entry: usize,
    pub engine: usize,
    pub incarnation: u64,
    pub parts: PartSet,
    /// Its number among all arrivals.
    pub arrival: usize,
    pub sent_at: Tick,
    pub began_at: Option<Tick>,
}

/// What happens in a fleet.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    Arrive { kind: usize },
    Begin(usize),
    Serve(usize),
    Finish(usize),
    Confirm { engine: usize, incarnation: u64 },
    Return(usize),
    ToAgent { agent: usize, from: usize, message: PartMessage },
    ToEntry { entry: usize, message: PartMessage },
    StoreChanged { entry: usize },
    Sweep,
    RestartAgents,
    RestartEntry(usize),
    Crash { share: f64 },
}

/// One arrival of a request, and what became of its first attempt.
#[derive(Clone, Debug)]
pub struct FleetArrival {
    pub at: Tick,
    pub kind: usize,
    pub entry: usize,
    pub has_begun: bool,
    pub was_refused: bool,
    pub reached_engine: bool,
}

/// An engine with its agent.
pub struct FleetEngine {
    pub incarnation: u64,
    pub is_up: bool,
    pub open: BTreeSet<usize>,
    pub agent: PartBoard,
}
