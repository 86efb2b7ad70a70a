//! Messages between entries and agents about parts of prompts.

use serde::{Deserialize, Serialize};

use super::part_evidence::{PartSet, ServedCounts};
use super::prompt_part::PromptPart;
use super::request_digest::RequestDigest;
use super::targets::TargetInstance;

/// Reporter of a sum over entries, which is no entry's number.
pub const AGENT_REPORTER: u64 = 0;

/// A crash of an engine under an attempt, as exchanged between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// The engine.
    #[serde(rename = "l")]
    pub instance: TargetInstance,
    /// The request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// Shared parts of its prompt.
    #[serde(rename = "p")]
    pub parts: Vec<PromptPart>,
    /// Time since the request was sent, in milliseconds.
    #[serde(rename = "s")]
    pub sent_ago_ms: u32,
    /// Time since its connection broke, in milliseconds.
    #[serde(rename = "b")]
    pub broke_ago_ms: u32,
}

/// Requests with a part that one entry, or several together, have served since a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartServedReport {
    /// The part.
    #[serde(rename = "p")]
    pub part: PromptPart,
    /// The process that counts.
    #[serde(rename = "e")]
    pub reporter: u64,
    /// Numbers of requests.
    #[serde(rename = "n")]
    pub served: ServedCounts,
}

/// A quarantine of parts, as announced between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNotice {
    /// The parts.
    #[serde(rename = "p")]
    pub parts: PartSet,
    /// Time left, in milliseconds; zero if the quarantine is lifted.
    #[serde(rename = "t")]
    pub left_ms: u64,
    /// Number of times that it was renewed.
    #[serde(rename = "n")]
    pub renewals: u32,
}

impl PartNotice {
    /// Returns the order in which notices about the same parts replace one another.
    #[must_use]
    pub fn generation(&self) -> (u32, bool) {
        (self.renewals, self.left_ms == 0)
    }
}

/// A message about parts.
#[derive(Clone, Debug, PartialEq)]
pub enum PartMessage {
    /// An engine crashed under an attempt.
    Crashed(PartCrashReport),
    /// Requests with a suspected part were served.
    Served(PartServedReport),
    /// A part is no longer suspected.
    Cleared(PromptPart),
    /// Parts are quarantined from now on, or no longer.
    Quarantined(PartNotice),
}
