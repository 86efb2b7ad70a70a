//! Claims on callers' idempotency keys: they decide which request may run under a key.
//!
//! The claims of a shard form a log in the store. Each segment is an object
//! that is created once, under the next number, and holds all claims that
//! waited at its writer, so one write serves many claims. A writer reads all
//! earlier segments before it creates one, so a key has one owner.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::hex::to_hex;

/// Number of logs over which keys are distributed.
pub const SHARD_COUNT: u8 = 8;

/// Retention period of a claim, in seconds.
pub const RETENTION_SECONDS: u64 = 3_600;

/// Hash of a caller's idempotency key, its client account and its service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Hashes a key, so that the text that a caller chose is not stored.
    #[must_use]
    pub fn new(account: &str, service: &str, key: &str) -> Self {
        const BYTES: usize = 16;
        let mut digest = Sha256::new();
        for part in [account, service, key] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part.as_bytes());
        }
        ClaimKey(to_hex(&digest.finalize()[..BYTES]))
    }

    /// Returns the number of the log that this key belongs to.
    #[must_use]
    pub fn shard(&self) -> u8 {
        let first = u8::from_str_radix(&self.0[..2], 16).unwrap_or(0);
        first % SHARD_COUNT
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One record of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claimed or released key.
    pub key: ClaimKey,
    /// The request that claims or releases the key.
    pub request: String,
    /// `true` if the request was not run and the key is released.
    #[serde(default)]
    pub is_release: bool,
}

/// One segment of a log, stored as one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSegment {
    /// Random text by which a writer recognizes its own segment.
    pub token: String,
    /// Wall time of the write, in seconds since 1970.
    pub at: u64,
    /// Records of the segment, in order.
    pub records: Vec<ClaimRecord>,
}

/// The stored position at which readers start a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHead {
    /// Number of the first segment within the retention period.
    pub first: u64,
    /// Latest store epoch in which the log is known to be complete.
    #[serde(default)]
    pub epoch: u64,
}

impl Default for ClaimHead {
    /// Returns the head of a log without segments.
    fn default() -> Self {
        ClaimHead { first: 1, epoch: 0 }
    }
}

#[derive(Clone, Debug)]
struct ClaimOwner {
    request: String,
    /// Wall time of the claim's segment, in seconds since 1970.
    at: u64,
}

/// Replayed state of a log, up to the last segment read.
#[derive(Debug)]
pub struct ClaimLog {
    next: u64,
    owners: HashMap<ClaimKey, ClaimOwner>,
    /// Number of each segment within the retention period, and its wall time in seconds since
    /// 1970.
    segment_times: Vec<(u64, u64)>,
}

impl ClaimLog {
    /// Creates an empty state that starts at the head's first segment.
    #[must_use]
    pub fn new(head: ClaimHead) -> Self {
        ClaimLog { next: head.first, owners: HashMap::new(), segment_times: Vec::new() }
    }

    /// Returns the number of the next segment.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Applies the next segment.
    pub fn push(&mut self, segment: &ClaimSegment) {
        for record in &segment.records {
            let owner = self.owners.get(&record.key);
            let is_owner = owner.is_some_and(|owner| owner.request == record.request);
            if record.is_release {
                if is_owner {
                    self.owners.remove(&record.key);
                }
            } else if owner.is_none() {
                let owner = ClaimOwner { request: record.request.clone(), at: segment.at };
                self.owners.insert(record.key.clone(), owner);
            }
        }
        self.segment_times.push((self.next, segment.at));
        self.next += 1;
    }

    /// Returns the request that owns a key.
    #[must_use]
    pub fn owner(&self, key: &ClaimKey) -> Option<&str> {
        self.owners.get(key).map(|owner| owner.request.as_str())
    }

    /// Selects the records of a batch that change the log: the first claim on each
    /// free key, and releases of keys by their owners.
    #[must_use]
    pub fn select(&self, batch: &[ClaimRecord]) -> Vec<ClaimRecord> {
        let mut selected: Vec<ClaimRecord> = Vec::new();
        for record in batch {
            let owner = self.owner(&record.key);
            let is_effective = if record.is_release {
                owner == Some(record.request.as_str())
            } else {
                owner.is_none() && !selected.iter().any(|earlier| earlier.key == record.key)
            };
            if is_effective {
                selected.push(record.clone());
            }
        }
        selected
    }

    /// Returns the claims of this log that are missing in `reloaded`, the log that was read
    /// after the store had lost data.
    #[must_use]
    pub fn missing_in(&self, reloaded: &ClaimLog) -> Vec<ClaimRecord> {
        let missing = self.owners.iter().filter(|(key, _)| !reloaded.owners.contains_key(*key));
        let records = missing.map(|(key, owner)| ClaimRecord {
            key: key.clone(),
            request: owner.request.clone(),
            is_release: false,
        });
        records.collect()
    }

    /// Drops claims that are older than the retention period at `now`, a wall time in seconds
    /// since 1970. Returns the number of the first segment within the retention period, if it
    /// has changed.
    pub fn expire(&mut self, now: u64) -> Option<u64> {
        let oldest = now.saturating_sub(RETENTION_SECONDS);
        self.owners.retain(|_, owner| owner.at >= oldest);
        let expired = self.segment_times.iter().take_while(|(_, at)| *at < oldest).count();
        let (last, _) = self.segment_times.drain(..expired).next_back()?;
        Some(last + 1)
    }

    /// Returns the number of claims within the retention period.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns `true` if no claim is within the retention period.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}
