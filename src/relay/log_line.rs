//! What the log lines of the relay state: outcomes, and the values of one line.

use std::sync::Arc;
use std::time::Duration;

use super::decide::prompt_part::PromptPart;
use super::decide::request_digest::RequestDigest;
use crate::time::Tick;
use crate::verdict::Verdict;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RequestEnd {
    /// The caller received the whole answer.
    #[display("answered")]
    Answered,
    /// The request was refused before it was sent to any target.
    #[display("refused")]
    Refused,
    /// The request failed after it was sent.
    #[display("failed")]
    Failed,
    /// The answer was cut off.
    #[display("broken")]
    Broken,
    /// The caller disconnected.
    #[display("caller_left")]
    CallerLeft,
}

/// Reason for which a request was not retried after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum RetryStop {
    /// The request may have run, and is not repeatable.
    #[display("may run once only")]
    NotRepeatable,
    /// The time limit of the request was reached.
    #[display("time is up")]
    TimeLimit,
    /// The request was sent as often as its route allows.
    #[display("sent as often as allowed")]
    MaxSends,
    /// The retry budget was spent.
    #[display("retry budget spent")]
    NoBudget,
    /// No target could take the request.
    #[display("no target")]
    NoTarget,
    /// The request is quarantined.
    #[display("held back")]
    Quarantined,
    /// The planned stop of this process leaves no time for it.
    #[display("stopping")]
    Stopping,
}

/// Outcome of a request for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum RetryOutcome {
    /// The entry's own share paid for it.
    #[display("own_share")]
    OwnShare,
    /// An agent granted it from the shared retry budget.
    #[display("granted")]
    Granted,
    /// The agents refused it.
    #[display("refused")]
    Refused,
    /// No agent answered.
    #[display("unanswered")]
    Unanswered,
}

/// How far the current request of a caller's connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ConnectionState {
    /// Nothing of a request was read.
    #[display("idle")]
    Idle,
    /// A part of the head was read.
    #[display("head")]
    Head,
    /// The head was read, and the body was not read whole.
    #[display("body")]
    Body,
    /// The request was read whole, and the answer was not written whole.
    #[display("answering")]
    Answering,
}

/// How the connection of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ConnectionEnd {
    /// By the caller or after the last answer, without a request on it.
    #[display("closed")]
    Closed,
    /// By a stop of this process, without a request on it.
    #[display("stopped")]
    Stopped,
    /// Callers hold too much memory or too many descriptors, this one much for what it moves.
    #[display("crowded")]
    Crowded,
    /// The connection was idle for too long.
    #[display("idle_limit")]
    IdleLimit,
    /// The head of a request did not arrive in time.
    #[display("head_limit")]
    HeadLimit,
    /// The head of a request was invalid.
    #[display("invalid_head")]
    InvalidHead,
    /// The caller closed it while a request on it was read or answered, or it failed.
    #[display("caller_left")]
    CallerLeft,
    /// This process broke the answer off.
    #[display("answer_broken")]
    AnswerBroken,
    /// The answer could not be written.
    #[display("answer_undelivered")]
    AnswerUndelivered,
    /// The request was answered before its body was read whole.
    #[display("answered_unread")]
    AnsweredUnread,
    /// This process ended meanwhile.
    #[display("cut")]
    Cut,
    /// Closed unread: more connections came than are taken.
    #[display("unread_quota")]
    UnreadQuota,
    /// Closed unread: it waited too long after it was taken.
    #[display("unread_late")]
    UnreadLate,
}

impl ConnectionEnd {
    /// Returns `true` if the end disturbs no request, or a line of its own tells of it.
    #[must_use]
    pub fn is_ordinary(self) -> bool {
        matches!(self, ConnectionEnd::Closed | ConnectionEnd::Stopped | ConnectionEnd::UnreadQuota)
    }
}

/// Fields of the log line of a connection.
#[derive(Debug)]
pub struct ConnectionLine<'a> {
    /// How the connection ended.
    pub end: ConnectionEnd,
    /// State in which it ended.
    pub state: ConnectionState,
    /// Error of the connection, empty if there was none.
    pub error: &'a str,
    /// Time since the connection was taken.
    pub age: Duration,
    /// Time since it came into its state.
    pub state_age: Duration,
    /// Number of requests whose heads were read.
    pub requests: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Time since that configuration came into force.
    pub config_age: Duration,
    /// Latest delay of the event loop.
    pub loop_delay: Duration,
}

/// Timing of the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    /// Time from the arrival of the request to the first event.
    pub time_to_first: Option<Duration>,
    /// Longest pause between two events.
    pub longest_pause: Duration,
    last_at: Option<Tick>,
}

impl StreamPace {
    /// Records events that were passed on to the caller.
    pub fn record(&mut self, arrived: Tick, now: Tick) {
        self.time_to_first.get_or_insert(now.since(arrived));
        if let Some(last_at) = self.last_at {
            self.longest_pause = self.longest_pause.max(now.since(last_at));
        }
        self.last_at = Some(now);
    }
}

/// Fields of the log line of a request.
#[derive(Debug)]
pub struct RequestLine<'a> {
    /// Identifier that the caller gave to this send of the request.
    pub id: &'a str,
    /// Outcome of the request.
    pub outcome: RequestEnd,
    /// HTTP status of the answer.
    pub status: u16,
    /// Short reason for the outcome.
    pub reason: &'a str,
    /// Names of the targets that the request was sent to, each once.
    pub targets: &'a str,
    /// Number of times that the request was sent, failed sends included.
    pub sends: usize,
    /// Number of targets that may have run the request.
    pub run_targets: usize,
    /// Digest of the request, `Some` if an attempt of it failed.
    pub digest: Option<RequestDigest>,
    /// Number of more urgent ranks of the service; `None` where all are alike.
    pub more_urgent: Option<u8>,
    /// Reason for which the request was not retried after a failure.
    pub retry_stop: Option<RetryStop>,
    /// Time since the arrival of the request.
    pub elapsed: Duration,
    /// Time to the first event of a stream, and its longest pause.
    pub pace: StreamPace,
    /// Version of the configuration.
    pub version: u64,
    /// Age of the proof that the configuration is current.
    pub proof_age: Option<Duration>,
}

/// Fields of the log line of a failed attempt.
#[derive(Debug)]
pub struct FailedAttemptLine<'a> {
    /// Identifier that the caller gave to this send of the request.
    pub id: &'a str,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Parts of the prompt that other prompts may share.
    pub parts: &'a [PromptPart],
    /// Time for which the attempt had received events.
    pub streamed_for: Duration,
    /// Name of the target.
    pub target: &'a str,
    /// Short reason for the failure.
    pub reason: &'a str,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

/// Fields of the log line of a placement.
#[derive(Debug)]
pub struct PlacementLine<'a> {
    /// Identifier that the caller gave to this send of the request.
    pub id: &'a str,
    /// Name of the target that answers.
    pub target: &'a str,
    /// Names of the targets that prefill shards of the prompt.
    pub helpers: &'a [Arc<str>],
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Predicted time to the first event.
    pub predicted_first: Duration,
    /// Predicted cost, in units of one short request.
    pub cost: f32,
    /// Delay cost: what other requests lose by this placement.
    pub delay_cost: f32,
    /// Own loss: what the request itself loses by a late answer.
    pub own_loss: f32,
    /// Opportunity cost: what later requests lose by the slots and the engine time that it takes.
    pub opportunity_cost: f32,
    /// Number of targets that were considered.
    pub candidates: usize,
}
