//! State of one attempt at an agent, from its dispatch to its end.

use std::sync::Arc;

use bytes::Bytes;

use super::event::ConnId;
use super::output::RunOutput;
use crate::time::Tick;
use crate::wire::{Call, Dispatch};

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// The body is being received.
    Receiving,
    /// The attempt waits to be sent to the target.
    Queued,
    /// The target runs the attempt and has produced no output yet.
    Prefilling,
    /// A piece of the prompt is prefilled and the next piece waits to be scheduled.
    Paused,
    /// The target produces the answer.
    Decoding,
    /// The attempt has failed or was cancelled, and the target has yet to release it.
    Cancelling,
}

#[derive(Debug)]
pub(super) struct Run {
    pub(super) dispatch: Dispatch,
    pub(super) conn: Option<ConnId>,
    pub(super) state: RunState,
    pub(super) body: Vec<Bytes>,
    pub(super) received: u64,
    pub(super) head: Option<(u16, Arc<str>)>,
    pub(super) output: RunOutput,
    pub(super) arrived: Tick,
    /// Start of the current wait or prefill piece.
    pub(super) phase_start: Tick,
    pub(super) started: Option<Tick>,
    pub(super) first_output: Option<Tick>,
    pub(super) deadline: Tick,
    pub(super) disconnected_at: Option<Tick>,
    /// Prompt tokens assumed to be cached at the dispatch.
    pub(super) cached: u64,
    /// Prompt tokens prefilled so far, including cached ones.
    pub(super) prefilled: u64,
    /// Prompt tokens up to which the target may prefill at present.
    pub(super) granted: u64,
    /// Whether the target was lost while the run was on its way to it.
    pub(super) is_lost: bool,
    /// Whether no other run was in prefill when the current piece started.
    pub(super) prefills_alone: bool,
    /// Chunks of the answer received so far.
    pub(super) answer_chunks: u64,
}

impl Run {
    pub(super) fn new(dispatch: Dispatch, conn: ConnId, now: Tick, cached: u64) -> Self {
        let deadline = now + std::time::Duration::from_micros(dispatch.remaining_us);
        let state = if dispatch.body_len == 0 { RunState::Queued } else { RunState::Receiving };
        Run {
            dispatch,
            conn: Some(conn),
            state,
            body: Vec::new(),
            received: 0,
            head: None,
            output: RunOutput::new(),
            arrived: now,
            phase_start: now,
            started: None,
            first_output: None,
            deadline,
            disconnected_at: None,
            cached,
            prefilled: cached,
            granted: cached,
            is_lost: false,
            prefills_alone: false,
            answer_chunks: 0,
        }
    }

    /// Returns the memory that the run needs at this target, in tokens.
    pub(super) fn local_tokens(&self) -> u64 {
        local_tokens(&self.dispatch)
    }

    /// Returns the prompt tokens that are not prefilled yet.
    pub(super) fn left_to_prefill(&self) -> u64 {
        self.dispatch.need.prompt.saturating_sub(self.prefilled)
    }

    /// Returns the tokens that the target is prefilling at present.
    pub(super) fn in_prefill(&self) -> u64 {
        match self.state {
            RunState::Prefilling => self.granted.saturating_sub(self.prefilled),
            _ => 0,
        }
    }

    pub(super) fn is_plain(&self) -> bool {
        matches!(self.dispatch.call, Call::Plain { .. })
    }

    /// Returns `true` while the target holds the run.
    pub(super) fn is_at_target(&self) -> bool {
        !matches!(self.state, RunState::Receiving | RunState::Queued)
    }

    /// Returns `true` if the target has shown that it received the run.
    pub(super) fn has_arrived(&self) -> bool {
        self.head.is_some() || self.first_output.is_some() || self.prefilled > self.cached
    }

    /// Returns `true` if the scheduler decides on the run's next step.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, RunState::Queued | RunState::Paused)
    }
}

/// Returns the memory that a dispatch needs at its target, in tokens: that of its shards on
/// other engines does not count.
pub(super) fn local_tokens(dispatch: &Dispatch) -> u64 {
    let sharded: u64 = dispatch.shards.iter().map(|shard| shard.tokens).sum();
    dispatch.need.total().saturating_sub(sharded)
}
