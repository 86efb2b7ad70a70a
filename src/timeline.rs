//! The timeline: a process's recent events, ordered across processes by a hybrid clock.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::ProcessId;

/// Timestamp of a hybrid clock: wall time in microseconds since 1970, then a counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime(pub u64, pub u32);

/// Hybrid logical clock: it never runs backwards and follows the timestamps of peers.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Returns the next timestamp, given the wall time in microseconds since 1970.
    pub fn read(&mut self, wall: u64) -> HybridTime {
        self.last = if wall > self.last.0 {
            HybridTime(wall, 0)
        } else {
            HybridTime(self.last.0, self.last.1 + 1)
        };
        self.last
    }

    /// Observes a peer's timestamp, so that later timestamps of this clock follow it.
    pub fn observe(&mut self, peer: HybridTime) {
        self.last = self.last.max(peer);
    }
}

/// One event of the timeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventRecord {
    /// Time of the event, comparable across processes.
    pub at: HybridTime,
    /// Name of the process that recorded the event.
    pub process: Arc<str>,
    /// The request that the event concerns, empty if there is none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// Kind of the event, one of a fixed set of texts.
    pub kind: Arc<str>,
    /// Human-readable figures and names.
    pub detail: String,
}

/// Ring buffer of the newest events of one process.
#[derive(Debug)]
pub struct EventTimeline {
    process: ProcessId,
    clock: HybridClock,
    records: VecDeque<EventRecord>,
    capacity: usize,
    dropped: u64,
}

impl EventTimeline {
    /// Creates an empty ring buffer for `capacity` events.
    #[must_use]
    pub fn new(process: ProcessId, capacity: usize) -> Self {
        EventTimeline {
            process,
            clock: HybridClock::default(),
            records: VecDeque::with_capacity(capacity),
            capacity,
            dropped: 0,
        }
    }

    /// Appends an event, and drops the oldest one if the ring buffer is full.
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

    /// Observes a peer's timestamp.
    pub fn observe(&mut self, peer: HybridTime) {
        self.clock.observe(peer);
    }

    /// Returns a timestamp for a message to a peer.
    pub fn read_clock(&mut self, wall: u64) -> HybridTime {
        self.clock.read(wall)
    }

    /// Returns the stored events that concern `request`, or all events if it is empty.
    pub fn select<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a EventRecord> {
        self.records.iter().filter(move |record| request.is_empty() || record.request == request)
    }

    /// Returns the number of events that were dropped because the ring buffer was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
