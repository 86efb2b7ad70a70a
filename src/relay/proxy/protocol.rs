//! Protocol adapters: functions and names that translate the protocols of callers and targets into
//! the types that the relay decides on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderMap;

use crate::relay::decide::prompt_part::PromptPart;
use crate::relay::decide::target_notice::TargetNotice;

/// Contents of the headers of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallerHead {
    /// Id of this attempt of the caller to send the request.
    pub attempt: Option<Arc<str>>,
    /// API key of the caller's account.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits for the answer.
    pub time_limit: Option<Duration>,
    /// Id of the last event of this stream that the caller has received.
    pub resume_after: Option<u64>,
    /// Parts of the prompt that other prompts may share, each once, sorted by name.
    pub shared_parts: Arc<[PromptPart]>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Option<u64>,
    /// Maximum number of tokens in the answer.
    pub max_answer_tokens: Option<u64>,
    /// Number of answer tokens that the caller expects.
    pub expected_answer_tokens: Option<u64>,
}

/// A target that helps to prefill a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperReservation {
    /// Address at which the helper listens.
    pub address: SocketAddr,
    /// Id of the memory reservation at the helper; `None` if the helper gives only compute time.
    pub reservation: Option<Arc<str>>,
}

/// What the headers of a request to a target carry in addition to the caller's headers.
#[derive(Clone, Debug)]
pub struct TargetHead<'a> {
    /// Incarnation of the target that the request is meant for.
    pub incarnation: &'a str,
    /// Account that the caller's key belongs to.
    pub account: Option<&'a str>,
    /// Number of ranks of its service that are more urgent; `None` if all requests of the service
    /// are equally urgent.
    pub more_urgent: Option<u8>,
    /// Time that is left for the request.
    pub time_left: Duration,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<u64>,
    /// Targets that help to prefill the prompt.
    pub helpers: &'a [HelperReservation],
}

/// Contents of the headers of a target's answer.
#[expect(clippy::struct_excessive_bools, reason = "independent flags of a message")]
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Id of the attempt that is answered.
    pub attempt: Option<Arc<str>>,
    /// Whether the answer carries the signature of a target.
    pub is_signed: bool,
    /// Whether the target states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another instance of a target now uses the address.
    pub is_replaced: bool,
    /// Whether the body has a content encoding, although none was requested.
    pub is_encoded: bool,
    /// Time for which the target keeps the idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection after this answer.
    pub closes_connection: bool,
    /// Address of another target that the answer names as the cause of its failure.
    pub failed_address: Option<SocketAddr>,
    /// What the target reports about itself.
    pub notice: TargetNotice,
}

/// A request to reserve memory at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Id of the reservation, chosen by this entry.
    pub id: Arc<str>,
    /// Number of tokens that the memory is reserved for.
    pub tokens: u64,
    /// Time after which the reservation expires unless it is renewed.
    pub ttl: Duration,
    /// Whether the reservation may wait for memory that is not free yet. The target admits no new
    /// requests while a reservation waits.
    pub may_wait: bool,
}

/// A target's reply to a reservation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveReply {
    /// The memory is reserved.
    Held,
    /// The memory will be reserved as soon as it is free.
    Waiting,
    /// The memory is not free.
    Refused,
}

/// A call that the entry itself makes to a target, rather than on behalf of a caller.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Path of the call.
    pub path: &'static str,
    /// JSON body.
    pub body: Vec<u8>,
}

/// A target's report about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetReport {
    /// Slowdown: the factor by which the target is slower than declared.
    pub pace: f64,
    /// Start time in Unix milliseconds; `None` if the target does not state it.
    pub started_ms: Option<u64>,
}

/// Protocol adapter for callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerProtocol {
    /// Parses the headers of a request.
    pub parse_head: fn(&HeaderMap) -> CallerHead,
    /// Sets the time after which the caller may retry in the headers of an answer.
    pub set_retry_after: fn(&mut HeaderMap, Duration),
    /// Path at which the load balancer checks whether this process accepts callers.
    pub readiness_path: &'static str,
}

/// Protocol adapter for targets.
#[derive(Clone, Copy, Debug)]
pub struct TargetProtocol {
    /// Removes the caller's headers that are not meant for targets, and adds those of the
    /// [`TargetHead`].
    pub set_head: fn(&mut HeaderMap, &TargetHead<'_>),
    /// Parses the status and headers of an answer.
    pub parse_answer: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Removes the headers of an answer that are not meant for callers.
    pub clear_answer: fn(&mut HeaderMap),
    /// Builds the call that makes or renews a reservation.
    pub to_reserve: fn(&Reservation) -> TargetCall,
    /// Builds the call that releases a reservation.
    pub to_release: fn(&str) -> TargetCall,
    /// Parses the status of the answer to a reservation call.
    pub parse_reserve: fn(StatusCode) -> ReserveReply,
    /// Path of the target's report about itself.
    pub report_path: &'static str,
    /// Parses the body of that report.
    pub parse_report: fn(&[u8]) -> crate::Result<TargetReport>,
}
