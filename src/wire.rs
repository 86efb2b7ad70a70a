//! Messages between entries and agents, and their frames.
//!
//! Control messages are CBOR. Prompt text and answer text travel in separate
//! data frames with a fixed-size header, so that a prompt of several megabytes
//! is sliced and never copied on its way.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::account_quota::AccountShare;
use crate::config::{ConfigVersion, Urgency};
use crate::error::{Error, ErrorCode, Result};
use crate::id::{AttemptKey, Incarnation};
use crate::prefix::PrefixHashes;
use crate::verdict::Verdict;

/// Version of the protocol between entries and agents.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of a frame that either side accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Maximum payload of one body frame, in bytes.
pub const BODY_FRAME_BYTES: usize = 64 * 1024;

const KIND_CONTROL: u8 = 0;
const KIND_BODY: u8 = 1;
const KIND_CHUNK: u8 = 2;
/// Length of a data frame's header: kind, request number, attempt number and offset.
const HEADER_LEN: usize = 1 + 8 + 2 + 8;

/// Tokens that a request needs in an engine's memory (its KV cache).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenNeed {
    /// Estimated number of prompt tokens.
    #[serde(rename = "p")]
    pub prompt: u64,
    /// Maximum number of answer tokens.
    #[serde(rename = "a")]
    pub answer: u64,
}

impl TokenNeed {
    /// Returns the tokens of memory that prompt and answer take together.
    #[must_use]
    pub fn total(self) -> u64 {
        self.prompt + self.answer
    }
}

/// Asks an agent for its predictions about a request, without dispatching it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Number of the probe, repeated in the answer.
    #[serde(rename = "n")]
    pub number: u64,
    /// Requested model.
    #[serde(rename = "m")]
    pub model: Arc<str>,
    /// Tokens that the request needs.
    #[serde(rename = "t")]
    pub need: TokenNeed,
    /// Urgency of the request.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// Hashes of the prompt's prefixes.
    #[serde(rename = "x")]
    pub prefix_hashes: PrefixHashes,
}

/// An agent's predictions about a probed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Number of the answered probe.
    #[serde(rename = "n")]
    pub number: u64,
    /// `false` if the target is leaving, is not ready or lacks the model.
    #[serde(rename = "o")]
    pub is_available: bool,
    /// Predicted wait before the engine starts the request, in microseconds.
    #[serde(rename = "w")]
    pub wait_us: u64,
    /// Predicted time to prefill the uncached part of the prompt, in microseconds.
    #[serde(rename = "p")]
    pub prefill_us: u64,
    /// Number of prompt tokens in the engine's prefix cache.
    #[serde(rename = "c")]
    pub cached_tokens: u64,
    /// Tokens of memory that are not leased.
    #[serde(rename = "f")]
    pub free_tokens: u64,
    /// Total tokens of memory, zero for a plain service.
    #[serde(rename = "k")]
    pub capacity_tokens: u64,
    /// Highest configuration version that the agent has received.
    #[serde(rename = "v")]
    pub config_version: ConfigVersion,
}

/// A part of a prompt's memory that another engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Address of the engine.
    pub engine: Arc<str>,
    /// Tokens held on that engine.
    pub tokens: u64,
}

/// The call that a target executes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A completion request to a model, with the caller's JSON body.
    Model {
        /// Requested model.
        model: Arc<str>,
        /// Path of the caller's request.
        path: Arc<str>,
    },
    /// A call of a plain service.
    Plain {
        /// HTTP method.
        method: Arc<str>,
        /// Path and query, relative to the service.
        path: Arc<str>,
        /// Content type of the body.
        content_type: Arc<str>,
        /// The caller's idempotency key, empty if the request has none.
        key: Arc<str>,
    },
}

/// Hands one attempt of a request to an agent. The body follows in body frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Incarnation of the agent that the attempt is addressed to.
    pub incarnation: Incarnation,
    /// The call to execute.
    pub call: Call,
    /// Client account that fair queueing charges.
    pub account: Arc<str>,
    /// Weight of the account in fair queueing.
    pub weight: u32,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Tokens that the request needs.
    pub need: TokenNeed,
    /// Hashes of the prompt's prefixes.
    #[serde(rename = "marks")]
    pub prefix_hashes: PrefixHashes,
    /// Length of the body that follows, in bytes.
    pub body_len: u64,
    /// Time left until the request's deadline, in microseconds.
    pub remaining_us: u64,
    /// Parts of the prompt's memory that other engines hold for this attempt.
    pub shards: Vec<Shard>,
    /// Longest predicted wait with which the agent may accept the attempt, in microseconds.
    pub max_wait_us: u64,
}

/// Asks for the rest of an answer, or for the outcome of an attempt.
///
/// An agent that does not know the attempt refuses it permanently, so that a
/// dispatch that arrives later can not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Incarnation of the agent that the attempt was addressed to.
    pub incarnation: Incarnation,
    /// Number of answer bytes that the entry has received.
    pub offset: u64,
}

/// Reserves memory for a sharded prefill, or renews the reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The attempt that the memory is for.
    pub attempt: AttemptKey,
    /// Tokens to reserve.
    pub tokens: u64,
    /// Time until the reservation expires, in microseconds.
    pub expires_us: u64,
    /// `true` if the message only renews a reservation. A renewal never creates a new
    /// reservation, because the contents of the expired one would be missing.
    pub is_renewal: bool,
}

/// Asks an agent to admit a request of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountQuery {
    /// Number of the request at the entry.
    #[serde(rename = "n")]
    pub number: u64,
    /// The client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Part of the account's limits that the shares of the entries leave over.
    #[serde(rename = "r")]
    pub remainder: AccountShare,
    /// `true` if an earlier incarnation of the agent has already admitted the request.
    #[serde(rename = "h")]
    pub was_admitted: bool,
}

/// A message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Asks for predictions about a request.
    #[serde(rename = "p")]
    Probe(Probe),
    /// Hands over an attempt.
    #[serde(rename = "d")]
    Dispatch(Dispatch),
    /// The next part of an attempt's body.
    #[serde(skip)]
    Body(AttemptKey, Bytes),
    /// Cancels an attempt whose answer is no longer needed.
    #[serde(rename = "c")]
    Cancel(AttemptKey),
    /// Asks for the rest of an answer, or for the outcome of an attempt.
    #[serde(rename = "r")]
    Resume(Resume),
    /// Reserves memory, or renews a reservation.
    #[serde(rename = "h")]
    Hold(Hold),
    /// Releases reserved memory.
    #[serde(rename = "l")]
    Release(AttemptKey),
    /// Announces the configuration version in force at the entry.
    #[serde(rename = "v")]
    ConfigVersion(ConfigVersion),
    /// Asks for the admission of a request of a client account.
    #[serde(rename = "g")]
    QueryAccount(AccountQuery),
    /// Releases the admission of a request that has ended, or withdraws the query for it.
    #[serde(rename = "e")]
    ReleaseAccount(u64),
}

/// The reason why an agent refuses an attempt. A refused attempt was not run.
#[derive(
    Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The attempt is addressed to another incarnation of the agent.
    #[display("other-incarnation")]
    OtherIncarnation,
    /// The target is leaving.
    #[display("leaving")]
    Leaving,
    /// The engine is not ready, or lacks the model.
    #[display("not-ready")]
    NotReady,
    /// The engine does not free enough memory within the time left.
    #[display("no-memory")]
    NoMemory,
    /// The queue ahead of the attempt does not finish within the time left.
    #[display("too-late")]
    TooLate,
    /// The predicted wait exceeds the attempt's limit.
    #[display("busy")]
    Busy,
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
    /// The attempt was cancelled before its dispatch arrived.
    #[display("given-up")]
    GivenUp,
    /// The agent could not connect to the target.
    #[display("unreachable")]
    Unreachable,
}

/// Figures of a complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Length of the whole answer, in bytes.
    pub length: u64,
    /// Number of prompt tokens, as counted by the engine.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that came from the prefix cache.
    pub cached_tokens: u64,
    /// Number of answer tokens.
    pub answer_tokens: u64,
    /// Finish reason, as reported by the engine.
    pub finish_reason: Arc<str>,
    /// Time that the attempt waited at the agent, in microseconds.
    pub waited_us: u64,
    /// Predicted wait of a short request at the agent now, in microseconds.
    pub wait_us: u64,
}

/// A message from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Answers whether a request of a client account is admitted.
    #[serde(rename = "g")]
    AccountAnswer {
        /// Number of the request at the entry.
        number: u64,
        /// Time after which to ask again, in microseconds; `None` if the request is admitted.
        wait_us: Option<u64>,
    },
    /// Answers a probe.
    #[serde(rename = "p")]
    ProbeAnswer(ProbeAnswer),
    /// The attempt is queued.
    #[serde(rename = "a")]
    Accepted(AttemptKey),
    /// The attempt was refused: it was not run and never will be.
    #[serde(rename = "r")]
    Refused {
        /// The attempt.
        attempt: AttemptKey,
        /// Reason of the refusal.
        refusal: Refusal,
        /// Time after which to try again, in microseconds.
        retry_us: u64,
    },
    /// Status and content type of a plain service's answer.
    #[serde(rename = "s")]
    Head {
        /// The attempt.
        attempt: AttemptKey,
        /// HTTP status code.
        status: u16,
        /// Content type.
        content_type: Arc<str>,
    },
    /// A part of the answer, starting at `offset`.
    #[serde(skip)]
    Chunk {
        /// The attempt.
        attempt: AttemptKey,
        /// Number of answer bytes before this part.
        offset: u64,
        /// Bytes of the part.
        text: Bytes,
    },
    /// The answer is complete.
    #[serde(rename = "d")]
    Done(AttemptKey, Completion),
    /// The attempt ended without a complete answer.
    #[serde(rename = "f")]
    Failed {
        /// The attempt.
        attempt: AttemptKey,
        /// Whether the attempt may have run.
        verdict: Verdict,
        /// Human-readable cause of the failure.
        reason: Arc<str>,
    },
    /// Memory is reserved.
    #[serde(rename = "h")]
    Held {
        /// The attempt.
        attempt: AttemptKey,
        /// Address of the engine that holds the memory.
        engine: Arc<str>,
    },
    /// Memory could not be reserved, or the reservation has ended.
    #[serde(rename = "n")]
    NotHeld(AttemptKey),
    /// The target is leaving and accepts no new work.
    #[serde(rename = "l")]
    Leaving,
    /// The engine has terminated or no longer responds.
    #[serde(rename = "t")]
    TargetLost,
}

/// A message that is encoded as one frame.
pub trait Framed: Sized {
    /// Encodes the message.
    fn to_frame(&self) -> Bytes;

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// The frame is too short, has an unknown kind, or is not CBOR of this type.
    fn from_frame(frame: Bytes) -> Result<Self>;
}

impl Framed for ToAgent {
    fn to_frame(&self) -> Bytes {
        match self {
            ToAgent::Body(attempt, payload) => to_data(KIND_BODY, *attempt, 0, payload),
            control => to_control(control),
        }
    }

    fn from_frame(frame: Bytes) -> Result<Self> {
        match frame.first() {
            Some(&KIND_BODY) => {
                from_data(&frame).map(|(attempt, _, payload)| ToAgent::Body(attempt, payload))
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
            control => to_control(control),
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

/// Encodes a control frame.
pub(crate) fn to_control<T: Serialize>(message: &T) -> Bytes {
    let mut frame = BytesMut::with_capacity(256).writer();
    let _ = std::io::Write::write_all(&mut frame, &[KIND_CONTROL]);
    // Writes to memory can not fail, and every message type is serializable.
    let _ = ciborium::into_writer(message, &mut frame);
    frame.into_inner().freeze()
}

/// Decodes a control frame.
pub(crate) fn from_control<T: DeserializeOwned>(frame: &[u8]) -> Result<T> {
    match frame.split_first() {
        Some((&KIND_CONTROL, body)) => {
            ciborium::from_reader(body).map_err(|_| bad_frame("unknown message"))
        }
        Some(_) => Err(bad_frame("unknown kind")),
        None => Err(bad_frame("empty")),
    }
}

/// Encodes a data frame.
fn to_data(kind: u8, attempt: AttemptKey, offset: u64, payload: &Bytes) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEADER_LEN + payload.len());
    frame.put_u8(kind);
    frame.put_u64(attempt.0);
    frame.put_u16(attempt.1);
    frame.put_u64(offset);
    frame.put_slice(payload);
    frame.freeze()
}

/// Decodes a data frame to its attempt, offset and payload.
fn from_data(frame: &Bytes) -> Result<(AttemptKey, u64, Bytes)> {
    let Some((header, _)) = frame.split_first_chunk::<HEADER_LEN>() else {
        return Err(bad_frame("header cut short"));
    };
    let mut header = &header[1..];
    let key = AttemptKey(header.get_u64(), header.get_u16());
    Ok((key, header.get_u64(), frame.slice(HEADER_LEN..)))
}

#[cold]
fn bad_frame(reason: &'static str) -> Error {
    Error::from_code(ErrorCode::Frame(reason))
}
