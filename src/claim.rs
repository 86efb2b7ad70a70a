//! Claims on callers' own idempotency keys: who may run a key's request.
//!
//! The claims of a shard form a log in the store. Each segment is an object
//! that is created once, under the next number, and holds all claims that
//! waited at its writer: one write for many claims. Whoever creates a segment
//! has read all earlier ones, so a key has one owner.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::hex::to_hex;

/// Logs over which keys are spread.
pub const SHARDS: u8 = 8;

/// How long a claim is remembered, in seconds.
pub const RETENTION: u64 = 3_600;

/// A caller's key, bound to its account and service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Hashes a key, so that what a caller chose stands nowhere.
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

    /// The log that this key belongs to.
    #[must_use]
    pub fn shard(&self) -> u8 {
        let first = u8::from_str_radix(&self.0[..2], 16).unwrap_or(0);
        first % SHARDS
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The key.
    pub key: ClaimKey,
    /// The request that claims it, or gives it back.
    pub request: String,
    /// The request was not run, and the key is free again.
    #[serde(default)]
    pub is_release: bool,
}

/// One object of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSegment {
    /// Random text by which a writer knows its own segment again.
    pub token: String,
    /// When it was written, in seconds since 1970.
    pub at: u64,
    /// Its lines, in order.
    pub records: Vec<ClaimRecord>,
}

/// Where a log begins for readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHead {
    /// Number of the first segment whose claims are remembered.
    pub first: u64,
    /// Epoch of the store in which the log is known to be whole again.
    #[serde(default)]
    pub epoch: u64,
}

impl Default for ClaimHead {
    /// The head of a log that nobody has begun.
    fn default() -> Self {
        ClaimHead { first: 1, epoch: 0 }
    }
}

#[derive(Clone, Debug)]
struct ClaimOwner {
    request: String,
    at: u64,
}

/// A log as far as it has been read.
#[derive(Debug)]
pub struct ClaimLog {
    next: u64,
    owners: HashMap<ClaimKey, ClaimOwner>,
    starts: Vec<(u64, u64)>,
}

impl ClaimLog {
    /// A log to be read from a segment on.
    #[must_use]
    pub fn new(head: ClaimHead) -> Self {
        ClaimLog { next: head.first, owners: HashMap::new(), starts: Vec::new() }
    }

    /// Number of the segment that comes next.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes the next segment.
    pub fn push(&mut self, segment: &ClaimSegment) {
        for record in &segment.records {
            let owner = self.owners.get(&record.key);
            let is_own = owner.is_some_and(|owner| owner.request == record.request);
            if record.is_release {
                if is_own {
                    self.owners.remove(&record.key);
                }
            } else if owner.is_none() {
                let owner = ClaimOwner { request: record.request.clone(), at: segment.at };
                self.owners.insert(record.key.clone(), owner);
            }
        }
        self.starts.push((self.next, segment.at));
        self.next += 1;
    }

    /// The request that a key belongs to.
    #[must_use]
    pub fn owner(&self, key: &ClaimKey) -> Option<&str> {
        self.owners.get(key).map(|owner| owner.request.as_str())
    }

    /// The lines of a batch that are worth writing: claims on keys that are
    /// free, the first of each, and releases of keys by their owners.
    #[must_use]
    pub fn select(&self, batch: &[ClaimRecord]) -> Vec<ClaimRecord> {
        let mut selected: Vec<ClaimRecord> = Vec::new();
        for record in batch {
            let owner = self.owner(&record.key);
            let is_wanted = if record.is_release {
                owner == Some(record.request.as_str())
            } else {
                owner.is_none() && !selected.iter().any(|other| other.key == record.key)
            };
            if is_wanted {
                selected.push(record.clone());
            }
        }
        selected
    }

    /// The claims that a log which was read anew lacks, since the store has lost them.
    #[must_use]
    pub fn missing_in(&self, other: &ClaimLog) -> Vec<ClaimRecord> {
        let missing = self.owners.iter().filter(|(key, _)| !other.owners.contains_key(*key));
        let records = missing.map(|(key, owner)| ClaimRecord {
            key: key.clone(),
            request: owner.request.clone(),
            is_release: false,
        });
        records.collect()
    }

    /// Forgets claims that are older than the retention. Returns the number of the first
    /// segment that counts now, if that has moved.
    pub fn expire(&mut self, now: u64) -> Option<u64> {
        let oldest = now.saturating_sub(RETENTION);
        self.owners.retain(|_, owner| owner.at >= oldest);
        let old = self.starts.iter().take_while(|(_, at)| *at < oldest).count();
        let (last, _) = self.starts.drain(..old).next_back()?;
        Some(last + 1)
    }

    /// How many claims are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns true where no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}
