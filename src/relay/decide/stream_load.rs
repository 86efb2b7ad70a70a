//! A stream at an engine, and what it costs there.

use serde::{Deserialize, Serialize};

/// Names a stream among those of all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey {
    /// Incarnation of the entry that sent it.
    #[serde(rename = "e")]
    pub entry: u64,
    /// Number of the stream there.
    #[serde(rename = "n")]
    pub number: u64,
}

/// What a request costs one engine. Names are short on the wire: each entry is told of
/// some hundred of these a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamLoad {
    /// Time to read its prompt, or its part of it, in microseconds.
    #[serde(rename = "r")]
    pub read_us: u64,
    /// Tokens of the prompt, or of the part, that are read here.
    #[serde(rename = "t")]
    pub tokens: u64,
    /// True where other engines read parts of the same prompt.
    #[serde(rename = "j")]
    pub is_part: bool,
    /// Tokens of context while it writes, zero for a helper that only reads.
    #[serde(rename = "c")]
    pub context: u64,
    /// Tokens of memory it takes here.
    #[serde(rename = "m")]
    pub memory: u64,
    /// Passes that it is likely to write for, zero for a helper.
    #[serde(rename = "p")]
    pub passes: u32,
    /// Time it has waited before it was placed, in microseconds.
    #[serde(rename = "w")]
    pub waited_us: u64,
    /// Foretold time from then to its first event, in microseconds.
    #[serde(rename = "s")]
    pub start_us: u64,
    /// Time from its arrival for a first event in time, in microseconds.
    #[serde(rename = "l")]
    pub limit_us: u64,
    /// Longest pause between its events that is still in time, in microseconds.
    #[serde(rename = "g")]
    pub pause_us: u64,
    /// What it is worth, in short requests.
    #[serde(rename = "v")]
    pub value: f32,
}

impl StreamLoad {
    /// Returns true where it writes here once it is read.
    #[must_use]
    pub fn is_writer(&self) -> bool {
        self.passes > 0
    }
}
