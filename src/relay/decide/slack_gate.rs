//! Second attempts beside each entry's own share: one agent gives them for all entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::permit_desk::PermitReply;
use crate::time::Tick;

/// Part of the slack that the first agent gives in a window.
const FIRST_PART: f64 = 0.4;

/// Part that the second one gives, to entries that the first does not answer.
const SECOND_PART: f64 = 0.1;

/// Part of what an agent gives in a window that it may give at once. The rest comes evenly.
const BURST_PART: f64 = 0.75;

/// Part of the slack that the first agent has to give when it starts. What it gave before is
/// not known, so it is apart from the rest: with it the bound holds over two starts in a
/// window. Without it callers that meet targets which have started again with all other
/// processes are refused.
const START_PART: f64 = 0.25;

/// Most services of which an agent counts second attempts.
const MOST_SERVICES: usize = 256;

/// An entry's question for a second attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlackAsk {
    /// The service.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Second attempts over all entries in a window, beside their share.
    #[serde(rename = "n")]
    pub slack: f64,
    /// Length of the window, in milliseconds.
    #[serde(rename = "w")]
    pub window_ms: u32,
    /// Whether the first agent did not answer, and this is the second.
    #[serde(rename = "x")]
    pub is_second: bool,
}

#[derive(Debug)]
struct SlackBucket {
    credit: f64,
    filled_at: Tick,
}

/// What an agent has left to give, by service.
#[derive(Debug, Default)]
pub struct SlackGate {
    buckets: HashMap<(Arc<str>, bool), SlackBucket>,
    /// Since when all that was given is known.
    known_since: Tick,
}

impl SlackGate {
    /// Answers an entry.
    pub fn on_ask(&mut self, ask: &SlackAsk, now: Tick) -> PermitReply {
        let (part, start) =
            if ask.is_second { (SECOND_PART, 0.0) } else { (FIRST_PART, START_PART) };
        let window = f64::from(ask.window_ms.max(1)) / 1e3;
        let slack = if ask.slack.is_finite() { ask.slack.max(0.0) } else { 0.0 };
        let given = slack * part;
        let most = given * BURST_PART;
        let per_second = given * (1.0 - BURST_PART) / window;
        let bucket = self.bucket(ask, slack * start, now);
        let earned = now.since(bucket.filled_at).as_secs_f64() * per_second;
        bucket.credit = (bucket.credit + earned).min(most);
        bucket.filled_at = now;
        if bucket.credit < 1.0 {
            let wait = Duration::try_from_secs_f64((1.0 - bucket.credit) / per_second);
            let wait_ms = wait.ok().and_then(|wait| wait.as_millis().try_into().ok());
            return PermitReply::Refused { wait_ms: wait_ms.unwrap_or(ask.window_ms) };
        }
        bucket.credit -= 1.0;
        PermitReply::Granted { after_ms: 0 }
    }

    fn bucket(&mut self, ask: &SlackAsk, start: f64, now: Tick) -> &mut SlackBucket {
        let key = (ask.service.clone(), ask.is_second);
        if self.buckets.len() >= MOST_SERVICES && !self.buckets.contains_key(&key) {
            let idle = self.buckets.iter().min_by_key(|(_, bucket)| bucket.filled_at);
            if let Some(idle) = idle.map(|(key, _)| key.clone()) {
                self.buckets.remove(&idle);
                self.known_since = now;
            }
        }
        let filled_at = self.known_since;
        let credit = if filled_at == Tick::default() { start } else { 0.0 };
        self.buckets.entry(key).or_insert(SlackBucket { credit, filled_at })
    }
}
