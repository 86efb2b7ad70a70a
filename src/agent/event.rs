//! Input events and output effects of the agent's core.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::cache::CacheEvent;
use crate::config::Urgency;
use crate::id::{AttemptId, ProcessId};
use crate::verdict::Verdict;
use crate::wire::{Call, Shard, ToAgent, ToEntry};

/// Number of a connection from an entry, unique within the agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Properties that an engine reports when it becomes ready.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFacts {
    /// Address at which other engines reach it.
    pub address: Arc<str>,
    /// Memory in tokens; zero for a plain service.
    pub capacity: u64,
    /// Maximum number of concurrent runs.
    pub max_batch: usize,
    /// Models that are loaded; empty for a plain service.
    pub models: Vec<Arc<str>>,
}

/// A run or memory reservation that the engine reports as held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHolding {
    /// Identifier that an agent gave to it.
    pub id: String,
}

/// Token counts of a completed run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Finish reason that the engine gave.
    pub finish_reason: Arc<str>,
}

/// An event of a run at its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// The status and content type of a plain service's answer arrived.
    Head(u16, Arc<str>),
    /// A part of the answer arrived.
    Text(Bytes),
    /// The prefill paused at its limit, with this number of prompt tokens done.
    Paused(u64),
    /// The answer is complete.
    Done(RunUsage),
    /// The target asked for no new runs for this duration.
    BackOff(Duration),
    /// The run failed.
    Failed(Verdict, Arc<str>),
    /// The target has released all that the run held.
    Cancelled,
}

impl RunEvent {
    /// Returns `true` if the event shows that the target works on the run.
    #[must_use]
    pub fn is_progress(&self) -> bool {
        matches!(
            self,
            RunEvent::Head(..) | RunEvent::Text(_) | RunEvent::Paused(_) | RunEvent::Done(_)
        )
    }
}

/// An input of the agent's core.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry connected. This invalidates its earlier connections.
    PeerUp(ConnId, ProcessId),
    /// A connection ended.
    PeerGone(ConnId),
    /// A message arrived on a connection.
    Peer(ConnId, ToAgent),
    /// The target has been reset and is ready.
    TargetReady(EngineFacts),
    /// The target no longer answers, or has restarted.
    TargetLost,
    /// An event of a run.
    Run(AttemptId, RunEvent),
    /// The engine answered a reservation for a hold: `true` if it reserved the memory.
    Reserved(AttemptId, bool),
    /// The engine has released the reservation of a hold.
    Unreserved(AttemptId),
    /// The engine's prefix cache changed.
    Cache(CacheEvent),
    /// The engine reported the runs and reservations that it holds.
    EngineHoldings(Vec<EngineHolding>),
    /// The agent is to drain: it refuses new and queued work, and runs at the target continue.
    Drain,
    /// The time limit of the drain has passed: the open runs fail.
    DrainTimedOut,
    /// Time has passed; due timers are processed.
    Wake,
}

/// A run to start at the target.
#[derive(Clone, Debug)]
pub struct StartRun {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// The call to make.
    pub call: Call,
    /// Client account; salts the engine's prefix cache.
    pub account: Arc<str>,
    /// Urgency, from which the engine's run priority is derived.
    pub urgency: Urgency,
    /// Body of the caller's request.
    pub body: Vec<Bytes>,
    /// Prompt tokens to prefill before the run pauses; `None` for the whole prompt.
    pub prefill_limit: Option<u64>,
    /// Maximum tokens of the answer.
    pub answer_tokens: u64,
    /// Memory reserved on other engines.
    pub shards: Vec<Shard>,
    /// Time left until the attempt's deadline.
    pub remaining: Duration,
}

/// An action that the agent's core requests from its daemon.
#[derive(Debug)]
pub enum Effect {
    /// Send a message on a connection.
    Send(ConnId, ToEntry),
    /// Cancel everything that the target still runs, then report it ready.
    Reset,
    /// Start a run.
    Start(Box<StartRun>),
    /// Resume a paused run up to this number of prompt tokens; `None` for the whole prompt.
    Resume(AttemptId, Option<u64>),
    /// Cancel a run; answered by [`RunEvent::Cancelled`].
    Cancel(AttemptId),
    /// Cancel an orphan: a run or reservation at the engine that belongs to no known attempt.
    CancelOrphan(String),
    /// Reserve engine memory, in tokens, for a hold; answered by [`Event::Reserved`].
    Reserve(AttemptId, u64),
    /// Release the reservation of a hold; answered by [`Event::Unreserved`].
    Unreserve(AttemptId),
    /// Record an event in the timeline.
    Record {
        /// Identifier of the attempt's request.
        request: String,
        /// Kind of event.
        kind: &'static str,
        /// Human-readable detail.
        detail: String,
    },
    /// The agent has drained and can exit.
    Stopped,
}

/// Limits and timeouts of an agent.
#[derive(Clone, Debug)]
pub struct AgentTuning {
    /// Maximum tokens of one prefill piece: longer prompts are prefilled piece by piece.
    pub piece_tokens: u64,
    /// Maximum number of long prompts whose pieces are prefilled in alternation.
    pub max_long: usize,
    /// Maximum tokens in prefill at the engine at one time. A run may exceed it while no other
    /// run is in prefill.
    pub prefill_tokens: u64,
    /// Maximum number of queued attempts.
    pub max_queue: usize,
    /// Time for which a run continues after the loss of its connection.
    pub disconnect_grace: Duration,
    /// Time for which an outcome is kept after its attempt's deadline.
    pub ledger_margin: Duration,
    /// Time for which smaller runs may overtake a queued run that does not fit in memory.
    pub bypass_window: Duration,
    /// Time for which single-engine runs may overtake a pending hold.
    pub hold_bypass_window: Duration,
    /// Panic on a broken invariant.
    pub strict: bool,
}

impl Default for AgentTuning {
    fn default() -> Self {
        AgentTuning {
            piece_tokens: 8_192,
            prefill_tokens: 16_384,
            max_long: 4,
            max_queue: 512,
            disconnect_grace: Duration::from_secs(10),
            ledger_margin: Duration::from_secs(60),
            bypass_window: Duration::from_secs(5),
            hold_bypass_window: Duration::from_millis(500),
            strict: cfg!(debug_assertions),
        }
    }
}
