//! What an agent's core hears and what it wants done.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::cache::CacheEvent;
use crate::config::Urgency;
use crate::id::{AttemptId, ProcessId};
use crate::verdict::Verdict;
use crate::wire::{Call, Shard, ToAgent, ToEntry};

/// A connection from an entry, counted over the agent's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// What an engine says of itself when it is ready.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFacts {
    /// Address by which other engines reach it.
    pub address: Arc<str>,
    /// Memory in tokens, zero for a plain service.
    pub capacity: u64,
    /// Most runs at a time.
    pub max_batch: usize,
    /// Models that are loaded; empty for a plain service.
    pub models: Vec<Arc<str>>,
}

/// A run or a reservation that the engine reports to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHolding {
    /// Name that an agent gave it.
    pub id: String,
}

/// Counts at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Reason of the end.
    pub finish_reason: Arc<str>,
}

/// What happens to a run at its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// Status and content type of a plain service's answer.
    Head(u16, Arc<str>),
    /// A part of the answer.
    Text(Bytes),
    /// The prefill reached its limit; so many tokens are done.
    Paused(u64),
    /// The answer is whole.
    Done(RunUsage),
    /// The target wants nothing more for so long.
    BackOff(Duration),
    /// It ended otherwise.
    Failed(Verdict, Arc<str>),
    /// The target holds nothing of it any more.
    Cancelled,
}

/// What an agent's core hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry connected. Its earlier connections are void from now on.
    PeerUp(ConnId, ProcessId),
    /// A connection ended.
    PeerGone(ConnId),
    /// A message came.
    Peer(ConnId, ToAgent),
    /// The target is reset and ready.
    TargetReady(EngineFacts),
    /// The target does not answer.
    TargetLost,
    /// Something happened to a run.
    Run(AttemptId, RunEvent),
    /// Memory for a group is reserved, or could not be.
    Reserved(AttemptId, bool),
    /// Memory for a group is given back.
    Unreserved(AttemptId),
    /// A change of the prefix cache.
    Cache(CacheEvent),
    /// What the engine says it holds.
    EngineHoldings(Vec<EngineHolding>),
    /// A planned stop begins.
    Drain,
    /// Time has passed.
    Wake,
}

/// One run to be given to the target.
#[derive(Clone, Debug)]
pub struct StartRun {
    /// Its name.
    pub id: AttemptId,
    /// What is to be done.
    pub call: Call,
    /// Client account, which salts the prefix cache.
    pub account: Arc<str>,
    /// For the engine's own order.
    pub urgency: Urgency,
    /// The caller's body.
    pub body: Vec<Bytes>,
    /// Tokens to prefill before the run pauses; none for all.
    pub prefill_limit: Option<u64>,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// Memory on further engines.
    pub shards: Vec<Shard>,
    /// Time left.
    pub remaining: Duration,
}

/// What an agent's core wants done.
#[derive(Debug)]
pub enum Effect {
    /// Send a message.
    Send(ConnId, ToEntry),
    /// Cancel all that the target still runs, then report it ready.
    Reset,
    /// Start a run.
    Start(Box<StartRun>),
    /// Let a paused run prefill up to so many tokens; none for all.
    Resume(AttemptId, Option<u64>),
    /// End a run; answered by [`RunEvent::Cancelled`].
    Cancel(AttemptId),
    /// End a run, or give back a reservation, that no attempt stands for.
    CancelStray(String),
    /// Reserve memory for a group.
    Reserve(AttemptId, u64),
    /// Give it back; answered by [`Event::Unreserved`].
    Unreserve(AttemptId),
    /// Note an event on the time line.
    Record {
        /// The attempt's request.
        request: String,
        /// Kind of event.
        kind: &'static str,
        /// For a reader.
        detail: String,
    },
    /// The planned stop is complete.
    Stopped,
}

/// Bounds by which an agent works.
#[derive(Clone, Debug)]
pub struct AgentTuning {
    /// Tokens of prefill that go to the engine in one piece.
    pub piece_tokens: u64,
    /// Long prompts that are prefilled at one time, piece by piece in turn.
    pub max_long: usize,
    /// Tokens of prefill at the engine at one time, beyond a first run.
    pub prefill_tokens: u64,
    /// Most attempts that wait.
    pub max_queue: usize,
    /// How long a run outlives the loss of its connection.
    pub orphan_grace: Duration,
    /// How long an outcome is kept after its attempt's time limit.
    pub ledger_margin: Duration,
    /// How long a run that does not fit lets smaller ones pass.
    pub patience: Duration,
    /// How long a group's claim on memory lets single runs pass.
    pub claim_patience: Duration,
    /// Stop the program at a broken invariant.
    pub strict: bool,
}

impl Default for AgentTuning {
    fn default() -> Self {
        AgentTuning {
            piece_tokens: 8_192,
            prefill_tokens: 16_384,
            max_long: 4,
            max_queue: 512,
            orphan_grace: Duration::from_secs(10),
            ledger_margin: Duration::from_secs(60),
            patience: Duration::from_secs(5),
            claim_patience: Duration::from_millis(500),
            strict: cfg!(debug_assertions),
        }
    }
}
