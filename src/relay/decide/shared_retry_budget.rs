//! Retries beyond the ratio of each entry: one agent grants them for all entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::permit_issuer::PermitReply;
use crate::time::Tick;

/// Share of the shared retries that the first agent grants in a window.
const FIRST_SHARE: f64 = 0.4;

/// Share that the second agent grants, to entries which the first does not answer.
const SECOND_SHARE: f64 = 0.1;

/// Share of an agent's grants in a window that it may issue at once. The rest accrues evenly.
const BURST_SHARE: f64 = 0.75;

/// Share of the shared retries that the first agent may grant when it starts. The grants before
/// its start are not known, so this share is separate from the others: with it, the bound
/// holds over two starts in a window. Without it, callers are refused if their targets restart
/// together with all other processes.
const START_SHARE: f64 = 0.25;

/// Maximum number of services for which an agent counts retries.
const MAX_SERVICES: usize = 256;

/// An entry's request for a retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryGrantRequest {
    /// The service.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Retries of all entries in a window, beyond their ratio.
    #[serde(rename = "n")]
    pub slack: f64,
    /// Length of the window, in milliseconds.
    #[serde(rename = "w")]
    pub window_ms: u32,
    /// Whether this agent is the second, asked because the first did not answer.
    #[serde(rename = "x")]
    pub is_second: bool,
}

#[derive(Debug)]
struct RetryBucket {
    credit: f64,
    filled_at: Tick,
}

/// The retries that an agent may still grant: a token bucket for each service.
#[derive(Debug, Default)]
pub struct SharedRetryBudget {
    buckets: HashMap<(Arc<str>, bool), RetryBucket>,
    /// Time since which all grants are known.
    known_since: Tick,
}

impl SharedRetryBudget {
    /// Answers the request of an entry.
    pub fn on_request(&mut self, request: &RetryGrantRequest, now: Tick) -> PermitReply {
        let (share, start) =
            if request.is_second { (SECOND_SHARE, 0.0) } else { (FIRST_SHARE, START_SHARE) };
        let window = f64::from(request.window_ms.max(1)) / 1e3;
        let slack = if request.slack.is_finite() { request.slack.max(0.0) } else { 0.0 };
        let granted = slack * share;
        let max = granted * BURST_SHARE;
        let per_second = granted * (1.0 - BURST_SHARE) / window;
        let bucket = self.bucket(request, slack * start, now);
        let earned = now.since(bucket.filled_at).as_secs_f64() * per_second;
        bucket.credit = (bucket.credit + earned).min(max);
        bucket.filled_at = now;
        if bucket.credit < 1.0 {
            let wait = Duration::try_from_secs_f64((1.0 - bucket.credit) / per_second);
            let wait_ms = wait.ok().and_then(|wait| wait.as_millis().try_into().ok());
            return PermitReply::Refused { wait_ms: wait_ms.unwrap_or(request.window_ms) };
        }
        bucket.credit -= 1.0;
        PermitReply::Granted { after_ms: 0 }
    }

    fn bucket(&mut self, request: &RetryGrantRequest, start: f64, now: Tick) -> &mut RetryBucket {
        let key = (request.service.clone(), request.is_second);
        if self.buckets.len() >= MAX_SERVICES && !self.buckets.contains_key(&key) {
            let idle = self.buckets.iter().min_by_key(|(_, bucket)| bucket.filled_at);
            if let Some(idle) = idle.map(|(key, _)| key.clone()) {
                self.buckets.remove(&idle);
                self.known_since = now;
            }
        }
        let filled_at = self.known_since;
        let credit = if filled_at == Tick::default() { start } else { 0.0 };
        self.buckets.entry(key).or_insert(RetryBucket { credit, filled_at })
    }
}
