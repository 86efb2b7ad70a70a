//! The time line: what happened where, in an order that holds over processes.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::ProcessId;

/// A reading of the hybrid clock: wall time in microseconds, then a count.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime(pub u64, pub u32);

/// Clock that never runs backwards and follows what it hears from peers.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Reads the clock, given the wall time in microseconds.
    pub fn read(&mut self, wall: u64) -> HybridTime {
        self.last = if wall > self.last.0 {
            HybridTime(wall, 0)
        } else {
            HybridTime(self.last.0, self.last.1 + 1)
        };
        self.last
    }

    /// Notes a peer's reading, so that later readings here order after it.
    pub fn observe(&mut self, peer: HybridTime) {
        self.last = self.last.max(peer);
    }
}

/// One line of the time line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventRecord {
    /// When, ordered over processes.
    pub at: HybridTime,
    /// Who saw it.
    pub process: Arc<str>,
    /// The request it concerns, empty where it concerns none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// What kind of event, in a few fixed words.
    pub kind: Arc<str>,
    /// Figures and names, for a reader.
    pub detail: String,
}

/// Ring of the newest events of one process.
#[derive(Debug)]
pub struct TimeLine {
    process: ProcessId,
    clock: HybridClock,
    records: VecDeque<EventRecord>,
    capacity: usize,
    dropped: u64,
}

impl TimeLine {
    /// Makes an empty ring of `capacity` events.
    #[must_use]
    pub fn new(process: ProcessId, capacity: usize) -> Self {
        TimeLine {
            process,
            clock: HybridClock::default(),
            records: VecDeque::with_capacity(capacity),
            capacity,
            dropped: 0,
        }
    }

    /// Appends an event and forgets the oldest where the ring is full.
    pub fn push(&mut self, wall: u64, request: String, kind: &'static str, detail: String) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
            self.dropped += 1;
        }
        let record = EventRecord {
            at: self.clock.read(wall),
            process: self.process.name.clone(),
            request,
            kind: kind.into(),
            detail,
        };
        self.records.push_back(record);
    }

    /// Notes a peer's clock.
    pub fn observe(&mut self, peer: HybridTime) {
        self.clock.observe(peer);
    }

    /// Reads the clock for a message to a peer.
    pub fn read_clock(&mut self, wall: u64) -> HybridTime {
        self.clock.read(wall)
    }

    /// The kept events that concern `request`, or all where it is empty.
    pub fn select<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a EventRecord> {
        self.records.iter().filter(move |record| request.is_empty() || record.request == request)
    }

    /// How many events the ring has forgotten.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
