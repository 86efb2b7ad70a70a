//! Messages between entries and agents, and their frames.
//!
//! Control messages are CBOR. Prompt text and answer text travel in frames
//! of their own with a fixed head, so that a prompt of megabytes is sliced,
//! never copied, on its way.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::account_gate::AccountShare;
use crate::config::{ConfigVersion, Urgency};
use crate::error::{Error, ErrorCode, Result};
use crate::id::{AttemptKey, Incarnation};
use crate::prefix::PrefixMarks;
use crate::verdict::Verdict;

/// Version of the protocol that this build speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest frame that either side accepts, in bytes.
pub const MAX_FRAME: usize = 256 * 1024;

/// Payload of one body frame, in bytes.
pub const BODY_FRAME: usize = 64 * 1024;

const KIND_CONTROL: u8 = 0;
const KIND_BODY: u8 = 1;
const KIND_CHUNK: u8 = 2;
const HEAD: usize = 1 + 8 + 2 + 8;

/// Tokens that a request needs of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenNeed {
    /// Estimated tokens of the prompt.
    #[serde(rename = "p")]
    pub prompt: u64,
    /// Most tokens of the answer.
    #[serde(rename = "a")]
    pub answer: u64,
}

impl TokenNeed {
    /// Tokens of memory that prompt and answer take together.
    #[must_use]
    pub fn total(self) -> u64 {
        self.prompt + self.answer
    }
}

/// Asks an agent what it would do with a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Names the answer.
    #[serde(rename = "n")]
    pub number: u64,
    /// Model wanted.
    #[serde(rename = "m")]
    pub model: Arc<str>,
    /// Tokens needed.
    #[serde(rename = "t")]
    pub need: TokenNeed,
    /// Urgency of the request.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// Marks of the prompt.
    #[serde(rename = "x")]
    pub marks: PrefixMarks,
}

/// What an agent would do with a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Number of the probe.
    #[serde(rename = "n")]
    pub number: u64,
    /// False where the target is leaving, not ready or lacks the model.
    #[serde(rename = "o")]
    pub open: bool,
    /// Predicted wait before the engine takes the request, in microseconds.
    #[serde(rename = "w")]
    pub wait_us: u64,
    /// Predicted time to prefill what is not cached, in microseconds.
    #[serde(rename = "p")]
    pub prefill_us: u64,
    /// Tokens of the prompt that are cached.
    #[serde(rename = "c")]
    pub cached_tokens: u64,
    /// Tokens of memory that no lease holds.
    #[serde(rename = "f")]
    pub free_tokens: u64,
    /// Tokens of memory in all, zero for a plain service.
    #[serde(rename = "k")]
    pub capacity_tokens: u64,
    /// Highest configuration version that the agent has heard of.
    #[serde(rename = "v")]
    pub config_version: ConfigVersion,
}

/// A part of a prompt's memory on a further engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Address of the engine that holds it.
    pub engine: Arc<str>,
    /// Tokens held there.
    pub tokens: u64,
}

/// How a target is called.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A model's completion of a caller's JSON body.
    Model {
        /// Model wanted.
        model: Arc<str>,
        /// Path of the caller's request.
        path: Arc<str>,
    },
    /// A plain service's call.
    Plain {
        /// Method.
        method: Arc<str>,
        /// Path and query below the service.
        path: Arc<str>,
        /// Content type of the body.
        content_type: Arc<str>,
        /// The caller's idempotency key, empty where it gave none.
        key: Arc<str>,
    },
}

/// Gives an agent one attempt of a request. The body follows in body frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The agent's life that this attempt is meant for.
    pub incarnation: Incarnation,
    /// What is to be done.
    pub call: Call,
    /// Client account, for fair shares.
    pub account: Arc<str>,
    /// Share of the account.
    pub weight: u32,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Tokens needed.
    pub need: TokenNeed,
    /// Marks of the prompt.
    pub marks: PrefixMarks,
    /// Bytes of the body that follows.
    pub body_len: u64,
    /// Time left, in microseconds.
    pub remaining_us: u64,
    /// Memory that further engines hold for this attempt.
    pub shards: Vec<Shard>,
    /// Longest predicted wait that it bears, in microseconds.
    pub max_wait_us: u64,
}

/// Asks for the rest of an answer, or for the fate of an attempt.
///
/// An agent that does not know the attempt refuses it for good, so that a
/// dispatch that comes later can not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The agent's life that the attempt was meant for.
    pub incarnation: Incarnation,
    /// Bytes of the answer that have arrived.
    pub offset: u64,
}

/// Reserves memory for a group, or prolongs the reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The attempt that the memory is for.
    pub attempt: AttemptKey,
    /// Tokens.
    pub tokens: u64,
    /// Time until the reservation expires, in microseconds.
    pub expires_us: u64,
    /// Prolongs a reservation, and never makes a new one: what an older one
    /// held would be missing.
    pub is_renewal: bool,
}

/// Asks an agent to let a request of a client account in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountAsk {
    /// Number of the request at the entry.
    #[serde(rename = "n")]
    pub number: u64,
    /// The account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// What the account may have beside the shares of all entries.
    #[serde(rename = "r")]
    pub rest: AccountShare,
    /// True where a former life of the agent let it in.
    #[serde(rename = "h")]
    pub is_held: bool,
}

/// From an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Asks what the agent would do.
    #[serde(rename = "p")]
    Probe(Probe),
    /// Gives it an attempt.
    #[serde(rename = "d")]
    Dispatch(Dispatch),
    /// A part of an attempt's body, in order.
    #[serde(skip)]
    Body(AttemptKey, Bytes),
    /// Ends an attempt that nobody wants any more.
    #[serde(rename = "c")]
    Cancel(AttemptKey),
    /// Asks for the rest of an answer.
    #[serde(rename = "r")]
    Resume(Resume),
    /// Reserves memory.
    #[serde(rename = "h")]
    Hold(Hold),
    /// Gives reserved memory back.
    #[serde(rename = "l")]
    Release(AttemptKey),
    /// Tells the configuration version in force at the entry.
    #[serde(rename = "v")]
    ConfigVersion(ConfigVersion),
    /// Asks it to let a request in.
    #[serde(rename = "g")]
    AskAccount(AccountAsk),
    /// Such a request has ended, or is not asked for any more.
    #[serde(rename = "e")]
    ReleaseAccount(u64),
}

/// Why an agent did not take an attempt. Each of these means it was not run.
#[derive(
    Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The attempt is meant for another life of the agent.
    #[display("other-incarnation")]
    OtherIncarnation,
    /// The target is leaving.
    #[display("leaving")]
    Leaving,
    /// The engine is not ready, or lacks the model.
    #[display("not-ready")]
    NotReady,
    /// Not enough memory within the time left.
    #[display("no-memory")]
    NoMemory,
    /// The queue could not be done within the time left.
    #[display("too-late")]
    TooLate,
    /// The wait is longer than the attempt bears.
    #[display("busy")]
    Busy,
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
    /// The attempt was given up before it came.
    #[display("given-up")]
    GivenUp,
    /// The target could not be connected to.
    #[display("unreachable")]
    Unreachable,
}

/// How an answer ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Bytes of the whole answer.
    pub length: u64,
    /// Tokens of the prompt, as the engine counted them.
    pub prompt_tokens: u64,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Reason of the end, as the engine gave it.
    pub finish_reason: Arc<str>,
    /// Microseconds that the attempt waited at the agent.
    pub waited_us: u64,
    /// Microseconds that a short request would wait there now.
    pub wait_us: u64,
}

/// From an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Answers whether a request of a client account is let in.
    #[serde(rename = "g")]
    AccountAnswer {
        /// Number of the request at the entry.
        number: u64,
        /// Time after which there may be room, in microseconds; none where it is let in.
        wait_us: Option<u64>,
    },
    /// Answers a probe.
    #[serde(rename = "p")]
    ProbeAnswer(ProbeAnswer),
    /// The attempt is queued.
    #[serde(rename = "a")]
    Accepted(AttemptKey),
    /// The attempt was not run and never will be.
    #[serde(rename = "r")]
    Refused {
        /// The attempt.
        attempt: AttemptKey,
        /// Why.
        refusal: Refusal,
        /// When to ask again, in microseconds.
        retry_us: u64,
    },
    /// Status and content type of a plain service's answer.
    #[serde(rename = "s")]
    Head {
        /// The attempt.
        attempt: AttemptKey,
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Arc<str>,
    },
    /// A part of the answer, from `offset` on.
    #[serde(skip)]
    Chunk {
        /// The attempt.
        attempt: AttemptKey,
        /// Bytes of the answer before this part.
        offset: u64,
        /// The part.
        text: Bytes,
    },
    /// The answer is whole.
    #[serde(rename = "d")]
    Done(AttemptKey, Completion),
    /// The attempt ended without a whole answer.
    #[serde(rename = "f")]
    Failed {
        /// The attempt.
        attempt: AttemptKey,
        /// Whether it may have run.
        verdict: Verdict,
        /// For a reader.
        reason: Arc<str>,
    },
    /// Memory is reserved.
    #[serde(rename = "h")]
    Held {
        /// The attempt.
        attempt: AttemptKey,
        /// Address of the engine that holds it.
        engine: Arc<str>,
    },
    /// Memory is not reserved, or no longer.
    #[serde(rename = "n")]
    NotHeld(AttemptKey),
    /// The target is leaving: no new work.
    #[serde(rename = "l")]
    Leaving,
    /// The engine has ended, or does not answer any more.
    #[serde(rename = "t")]
    TargetLost,
}

/// A message that has a frame.
pub trait Framed: Sized {
    /// Writes the frame.
    fn to_frame(&self) -> Bytes;

    /// Reads a frame.
    ///
    /// # Errors
    ///
    /// A frame that is too short, of an unknown kind, or not CBOR of this type.
    fn from_frame(frame: Bytes) -> Result<Self>;
}

impl Framed for ToAgent {
    fn to_frame(&self) -> Bytes {
        match self {
            ToAgent::Body(attempt, text) => to_data(KIND_BODY, *attempt, 0, text),
            other => to_control(other),
        }
    }

    fn from_frame(frame: Bytes) -> Result<Self> {
        match frame.first() {
            Some(&KIND_BODY) => {
                from_data(&frame).map(|(attempt, _, text)| ToAgent::Body(attempt, text))
            }
            _ => from_control(&frame),
        }
    }
}

impl Framed for ToEntry {
    fn to_frame(&self) -> Bytes {
        match self {
            ToEntry::Chunk { attempt, offset, text } => {
                to_data(KIND_CHUNK, *attempt, *offset, text)
            }
            other => to_control(other),
        }
    }

    fn from_frame(frame: Bytes) -> Result<Self> {
        match frame.first() {
            Some(&KIND_CHUNK) => {
                let (attempt, offset, text) = from_data(&frame)?;
                Ok(ToEntry::Chunk { attempt, offset, text })
            }
            _ => from_control(&frame),
        }
    }
}

pub(crate) fn to_control<T: Serialize>(message: &T) -> Bytes {
    let mut frame = BytesMut::with_capacity(256).writer();
    let _ = std::io::Write::write_all(&mut frame, &[KIND_CONTROL]);
    // Writing to memory can not fail, and every message type is serializable.
    let _ = ciborium::into_writer(message, &mut frame);
    frame.into_inner().freeze()
}

pub(crate) fn from_control<T: DeserializeOwned>(frame: &[u8]) -> Result<T> {
    match frame.split_first() {
        Some((&KIND_CONTROL, rest)) => {
            ciborium::from_reader(rest).map_err(|_| bad_frame("not a known message"))
        }
        Some(_) => Err(bad_frame("unknown kind")),
        None => Err(bad_frame("empty")),
    }
}

fn to_data(kind: u8, attempt: AttemptKey, offset: u64, text: &Bytes) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEAD + text.len());
    frame.put_u8(kind);
    frame.put_u64(attempt.0);
    frame.put_u16(attempt.1);
    frame.put_u64(offset);
    frame.put_slice(text);
    frame.freeze()
}

fn from_data(frame: &Bytes) -> Result<(AttemptKey, u64, Bytes)> {
    let Some((head, _)) = frame.split_first_chunk::<HEAD>() else {
        return Err(bad_frame("short head"));
    };
    let mut head = &head[1..];
    let key = AttemptKey(head.get_u64(), head.get_u16());
    Ok((key, head.get_u64(), frame.slice(HEAD..)))
}

#[cold]
fn bad_frame(text: &'static str) -> Error {
    Error::from_code(ErrorCode::Frame(text))
}
