//! A stream on an engine and its load there.

use serde::{Deserialize, Serialize};

use super::loss::PAUSE_RISK_FROM;

/// Key of a stream, unique over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey {
    /// Incarnation of the entry that sent the stream.
    #[serde(rename = "e")]
    pub entry: u64,
    /// Number of the stream at that entry.
    #[serde(rename = "n")]
    pub number: u64,
}

/// Load of a request on one engine. The serialized names are short, since each entry receives
/// several hundred loads a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamLoad {
    /// Time to prefill the prompt or its shard, in microseconds.
    #[serde(rename = "r")]
    pub prefill_us: u64,
    /// Prompt tokens that are prefilled here.
    #[serde(rename = "t")]
    pub tokens: u64,
    /// Whether this is a shard of a prompt that several engines prefill.
    #[serde(rename = "j")]
    pub is_shard: bool,
    /// Tokens of context while decoding; zero for a helper.
    #[serde(rename = "c")]
    pub context: u64,
    /// Memory on this engine, in tokens.
    #[serde(rename = "m")]
    pub memory: u64,
    /// Expected number of decoding passes; zero for a helper.
    #[serde(rename = "p")]
    pub passes: u32,
    /// Time that the request waited before it was placed, in microseconds.
    #[serde(rename = "w")]
    pub waited_us: u64,
    /// Predicted time from the placement to the first event, in microseconds.
    #[serde(rename = "s")]
    pub first_event_us: u64,
    /// Time from arrival within which the first event is in time, in microseconds.
    #[serde(rename = "l")]
    pub first_event_limit_us: u64,
    /// Longest pause between events that is in time, in microseconds.
    #[serde(rename = "g")]
    pub longest_pause_us: u64,
    /// Value of the request, in short requests.
    #[serde(rename = "v")]
    pub value: f32,
    /// Fraction of its longest pause from which a pass counts as a risk.
    #[serde(
        rename = "k",
        default = "default_pause_risk",
        skip_serializing_if = "is_default_pause_risk"
    )]
    pub pause_risk_from: f32,
}

fn default_pause_risk() -> f32 {
    PAUSE_RISK_FROM
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
fn is_default_pause_risk(risk_from: &f32) -> bool {
    *risk_from == PAUSE_RISK_FROM
}

impl StreamLoad {
    /// Returns `true` if the engine decodes the stream after its prefill.
    #[must_use]
    pub fn has_decode(&self) -> bool {
        self.passes > 0
    }
}
