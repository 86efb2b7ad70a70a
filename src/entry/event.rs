//! Events that an entry's core handles, and the effects that it returns.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::Serialize;

use crate::config::{AccountPolicy, Config};
use crate::hosts::HostDelta;
use crate::id::Incarnation;
use crate::prefix::PrefixHashes;
use crate::verdict::Verdict;
use crate::wire::{Call, Completion, ToAgent, ToEntry};

/// A caller's request, parsed and authorized, with its whole body.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the request, unique within this incarnation of the entry.
    pub number: u64,
    /// Policy of the client account.
    pub policy: Rc<AccountPolicy>,
    /// Service whose targets can run the request.
    pub service: Arc<str>,
    /// The call to make.
    pub call: Call,
    /// Length of the prompt text in bytes; zero for a plain service.
    pub prompt_bytes: u64,
    /// Maximum number of tokens in the answer.
    pub max_answer_tokens: u64,
    /// Hashes of the prompt's prefixes.
    pub prefix_hashes: PrefixHashes,
    /// The caller's body, unchanged.
    pub body: Bytes,
    /// Whether the request may be retried after an attempt that may have run.
    pub repeatable: bool,
}

/// Input of an entry's core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// The caller of this request disconnected.
    CallerDisconnected(u64),
    /// A connection to a target's agent was established.
    AgentUp(Arc<str>, Incarnation),
    /// The connection to a target's agent was closed, or could not be established.
    AgentDown(Arc<str>),
    /// A target's agent sent a message.
    AgentMessage(Arc<str>, ToEntry),
    /// The platform's list of hosts changed.
    Hosts(HostDelta),
    /// A configuration was read from the store.
    Config(Arc<Config>),
    /// The entry is to drain within a time limit: it admits no more requests and finishes the open
    /// ones.
    Drain(Duration),
    /// The time limit of the drain has passed: the open requests fail.
    DrainTimedOut,
    /// A timer may be due.
    Wake,
}

/// Reason why a request ended without a whole answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The account exceeds its request rate or its number of requests in flight.
    #[display("limit_exceeded")]
    LimitExceeded,
    /// No target could finish the request within its time limit.
    #[display("overloaded")]
    Overloaded,
    /// No target of the service is known to be alive.
    #[display("no_target")]
    NoTarget,
    /// The time limit passed.
    #[display("time_limit")]
    TimeLimit,
    /// An attempt failed at the target and is not retried.
    #[display("target_failed")]
    TargetFailed,
    /// The request is quarantined, because targets crashed while they ran it.
    #[display("held_back")]
    #[serde(rename = "held_back")]
    Quarantined,
    /// The entry is draining or has stopped.
    #[display("stopping")]
    Stopping,
    /// No time limit covers a prompt of this length.
    #[display("prompt_too_long")]
    PromptTooLong,
}

/// The final answer of a request that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The reason.
    pub code: FailureCode,
    /// Description for human readers.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// A part of the answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status and content type of a plain service's answer.
    Head(u16, Arc<str>),
    /// The next bytes of the answer's body.
    Text(Bytes),
    /// The answer is complete.
    Done(Completion),
    /// The request failed; no further part follows.
    Failed(Failure),
}

/// An action that an entry's core asks the daemon to take.
#[derive(Debug)]
pub enum Effect {
    /// Send a part of the answer to the caller of this request.
    Reply(u64, Reply),
    /// Send a message to a target's agent, and connect first if there is no connection.
    Send(Arc<str>, ToAgent),
    /// Record an event in the timeline.
    Record {
        /// Number of the request; zero if the event concerns none.
        number: u64,
        /// Kind of event.
        kind: &'static str,
        /// Description for human readers.
        detail: String,
    },
    /// Read the configuration: an agent announced a newer version.
    PullConfig,
    /// The entry has drained and can exit.
    Stopped,
}

/// Limits and timeouts of an entry.
#[derive(Clone, Debug)]
pub struct EntryTuning {
    /// Number of targets probed for a request.
    pub candidates: usize,
    /// Number of targets probed for a prompt that may need several engines.
    pub wide_candidates: usize,
    /// Prompt length in tokens from which `wide_candidates` targets are probed.
    pub wide_tokens: u64,
    /// Time after which the best offer so far is taken without waiting for more.
    pub probe_soft_timeout: Duration,
    /// Time after which a probe without an answer counts as failed.
    pub probe_timeout: Duration,
    /// Time for which a target that did not answer is not chosen.
    pub suspect_duration: Duration,
    /// Maximum number of attempts of a request.
    pub max_attempts: u16,
    /// Time for which the entry tries to resume an attempt after its connection was lost.
    pub resume_timeout: Duration,
    /// Base of the exponential backoff before another attempt.
    pub backoff: Duration,
    /// Timeout for reserving memory for a group, at each member.
    pub hold_timeout: Duration,
    /// Time to live of the memory that a member holds for a group.
    pub hold_ttl: Duration,
    /// Retries that each admitted request adds to the retry budget.
    pub retry_ratio: f64,
    /// Number of finished requests whose decisions are kept.
    pub decision_capacity: usize,
    /// Policy by which targets are chosen.
    pub policy: RoutePolicy,
    /// Panic if an invariant is broken, instead of only counting it.
    pub strict: bool,
}

/// Function that chooses one of the names of open targets.
type PickFn = dyn Fn(&[Arc<str>]) -> Option<Arc<str>> + Send + Sync;

/// Custom choice of one of the open targets of a service.
#[derive(Clone)]
pub struct TargetPick(pub Arc<PickFn>);

impl fmt::Debug for TargetPick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TargetPick")
    }
}

/// Policy by which targets are chosen.
#[derive(Clone, Debug)]
pub struct RoutePolicy {
    /// Dispatch short requests without probing if a target is likely to run them at once.
    pub allows_direct: bool,
    /// Chooses the one target to probe, instead of probing several; used for comparisons.
    pub pick: Option<TargetPick>,
}

impl Default for EntryTuning {
    fn default() -> Self {
        EntryTuning {
            candidates: 4,
            wide_candidates: 12,
            wide_tokens: 100_000,
            probe_soft_timeout: Duration::from_millis(20),
            probe_timeout: Duration::from_millis(500),
            suspect_duration: Duration::from_secs(2),
            max_attempts: 6,
            resume_timeout: Duration::from_secs(5),
            backoff: Duration::from_millis(50),
            hold_timeout: Duration::from_secs(30),
            hold_ttl: Duration::from_secs(10),
            retry_ratio: 0.1,
            decision_capacity: 2048,
            policy: RoutePolicy { allows_direct: true, pick: None },
            strict: cfg!(debug_assertions),
        }
    }
}
