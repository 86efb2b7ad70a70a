//! One attempt at an agent, from its dispatch to its end.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use super::event::ConnId;
use crate::time::Tick;
use crate::wire::{Call, Dispatch};

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Its body is coming.
    Receiving,
    /// It waits for the target.
    Queued,
    /// The target has it and has not answered yet.
    Prefilling,
    /// A piece of its prompt is done and the next one waits.
    Paused,
    /// The answer comes.
    Decoding,
    /// It has failed or nobody wants it, and the target is to let it go.
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
    pub(super) output: BytesMut,
    pub(super) arrived: Tick,
    /// Since when it waits for what comes next.
    pub(super) since: Tick,
    pub(super) started: Option<Tick>,
    pub(super) first: Option<Tick>,
    pub(super) deadline: Tick,
    pub(super) orphaned: Option<Tick>,
    /// Tokens believed cached before it started.
    pub(super) cached: u64,
    /// Tokens prefilled, cached ones included.
    pub(super) prefilled: u64,
    /// Tokens up to which the target may prefill now.
    pub(super) granted: u64,
    /// Whether the present piece has the engine's prefill to itself.
    pub(super) alone: bool,
    /// Parts of the answer so far.
    pub(super) parts: u64,
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
            output: BytesMut::new(),
            arrived: now,
            since: now,
            started: None,
            first: None,
            deadline,
            orphaned: None,
            cached,
            prefilled: cached,
            granted: cached,
            alone: false,
            parts: 0,
        }
    }

    /// Tokens of memory that it takes at this target.
    pub(super) fn local_tokens(&self) -> u64 {
        local_tokens(&self.dispatch)
    }

    /// Tokens of its prompt that are still to be prefilled.
    pub(super) fn left_to_prefill(&self) -> u64 {
        self.dispatch.need.prompt.saturating_sub(self.prefilled)
    }

    /// Tokens that the target prefills now.
    pub(super) fn in_prefill(&self) -> u64 {
        match self.state {
            RunState::Prefilling => self.granted.saturating_sub(self.prefilled),
            _ => 0,
        }
    }

    pub(super) fn is_plain(&self) -> bool {
        matches!(self.dispatch.call, Call::Plain { .. })
    }

    /// Returns true while the target has it.
    pub(super) fn is_at_target(&self) -> bool {
        !matches!(self.state, RunState::Receiving | RunState::Queued)
    }

    /// Returns true where its next step is up to the scheduler.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, RunState::Queued | RunState::Paused)
    }
}

/// Tokens of memory that a dispatch takes at its target.
pub(super) fn local_tokens(dispatch: &Dispatch) -> u64 {
    let elsewhere: u64 = dispatch.shards.iter().map(|shard| shard.tokens).sum();
    dispatch.need.total().saturating_sub(elsewhere)
}
