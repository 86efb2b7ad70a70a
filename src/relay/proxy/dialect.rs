//! How callers and targets are spoken to: names and formats, which an adapter
//! gives, for the decisions that are made here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderMap;

use crate::relay::decide::target_notice::TargetNotice;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct CallerHead {
    /// Names this one sending of the request.
    pub attempt: Option<Arc<str>>,
    /// Key of the caller's account.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Id of the last event that the caller has of this stream.
    pub resume_after: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Most tokens of the answer.
    pub most_answer_tokens: Option<u64>,
    /// The caller's guess at the tokens of the answer.
    pub guessed_answer_tokens: Option<u64>,
}

/// A target that helps to read a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperSeat {
    /// Where it listens.
    pub address: SocketAddr,
    /// Name of the memory that was reserved there, none where only its time
    /// is used.
    pub reservation: Option<Arc<str>>,
}

/// What the head of a request to a target says beside what the caller said.
#[derive(Clone, Debug)]
pub struct TargetHead<'a> {
    /// The life of the target that the request is meant for.
    pub incarnation: &'a str,
    /// The account that the caller's key belongs to.
    pub account: Option<&'a str>,
    /// Time that is left for it.
    pub time_left: Duration,
    /// Id of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// Targets that help to read the prompt.
    pub helpers: &'a [HelperSeat],
}

/// What the head of a target's answer says.
#[expect(clippy::struct_excessive_bools, reason = "independent marks of a message")]
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The sending of a request that it answers.
    pub attempt: Option<Arc<str>>,
    /// True where it carries the signature of a target.
    pub is_signed: bool,
    /// True where the target says for sure that it did not run the request.
    pub is_not_run: bool,
    /// True where another life of a target has the address.
    pub is_replaced: bool,
    /// True where the body is in an encoding that nobody asked for.
    pub is_encoded: bool,
    /// How long the target keeps the connection without use.
    pub keep_alive: Option<Duration>,
    /// True where the target closes the connection.
    pub is_last: bool,
    /// Address of a target that the answer blames.
    pub blamed: Option<SocketAddr>,
    /// What the target says of itself.
    pub notice: TargetNotice,
}

/// Memory to be reserved at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Its name, chosen here.
    pub id: Arc<str>,
    /// How many tokens it holds.
    pub tokens: u64,
    /// How long it lasts without renewal.
    pub hold: Duration,
    /// Whether it may wait for memory that is not free now. Nothing new is let
    /// in at the target while it does.
    pub may_wait: bool,
}

/// What a target says to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveReply {
    /// The memory is set aside.
    Held,
    /// It will be set aside as soon as it is free.
    Waiting,
    /// It is not free.
    Refused,
}

/// A call to a target that is not a caller's request.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Path to be sent to.
    pub path: &'static str,
    /// Body in JSON.
    pub body: Vec<u8>,
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetReport {
    /// How much slower than declared it works.
    pub pace: f64,
    /// When it started, in Unix milliseconds, where it says so.
    pub born_ms: Option<u64>,
}

/// How callers are spoken to.
#[derive(Clone, Copy, Debug)]
pub struct CallerDialect {
    /// Reads the head of a request.
    pub parse_head: fn(&HeaderMap) -> CallerHead,
    /// Says in an answer when to come back.
    pub set_retry_after: fn(&mut HeaderMap, Duration),
    /// Path by which the balancer asks whether this process takes callers.
    pub readiness_path: &'static str,
}

/// How targets are spoken to.
#[derive(Clone, Copy, Debug)]
pub struct TargetDialect {
    /// Takes out of a caller's head what is not for targets, and adds what is.
    pub set_head: fn(&mut HeaderMap, &TargetHead<'_>),
    /// Reads the head of an answer.
    pub parse_answer: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Takes out of an answer's head what is not for callers.
    pub clear_answer: fn(&mut HeaderMap),
    /// A call that reserves memory or renews a reservation.
    pub to_reserve: fn(&Reservation) -> TargetCall,
    /// A call that gives memory back.
    pub to_release: fn(&str) -> TargetCall,
    /// Reads the answer to a reservation.
    pub parse_reserve: fn(StatusCode) -> ReserveReply,
    /// Path of the target's report of itself.
    pub report_path: &'static str,
    /// Reads that report.
    pub parse_report: fn(&[u8]) -> crate::Result<TargetReport>,
}
