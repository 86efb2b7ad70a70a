//! Leases on an engine's memory.

use std::collections::BTreeMap;

use crate::id::AttemptId;
use crate::time::Tick;

/// Purpose of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseUse {
    /// A run on this engine.
    Run,
    /// Memory held for an attempt that is sharded over several engines and does not run here
    /// yet.
    Hold,
}

/// A lease on a part of an engine's memory.
#[derive(Clone, Debug)]
pub struct MemoryLease {
    /// Leased memory, in tokens.
    pub tokens: u64,
    /// Time at which the lease expires.
    pub expires: Tick,
    /// Purpose.
    pub usage: LeaseUse,
}

/// All leases on one engine's memory. No run holds memory without a lease.
#[derive(Debug, Default)]
pub struct LeaseTable {
    capacity: u64,
    used: u64,
    leases: BTreeMap<AttemptId, MemoryLease>,
}

impl LeaseTable {
    /// Creates the table of an engine with `capacity` tokens of memory.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        LeaseTable { capacity, ..LeaseTable::default() }
    }

    /// Returns the engine's memory, in tokens.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the memory that is not leased, in tokens.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.capacity - self.used
    }

    /// Adds a lease. Returns `false` if `id` has one already or memory does not suffice.
    pub fn reserve(&mut self, id: AttemptId, lease: MemoryLease) -> bool {
        if self.leases.contains_key(&id) || lease.tokens > self.free() {
            return false;
        }
        self.used += lease.tokens;
        self.leases.insert(id, lease);
        true
    }

    /// Extends a lease. Returns `false` if there is none.
    pub fn renew(&mut self, id: &AttemptId, expires: Tick) -> bool {
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        lease.expires = expires;
        true
    }

    /// Converts a hold into the lease of a run. Returns `false` if there is no hold.
    pub fn convert(&mut self, id: &AttemptId, expires: Tick) -> bool {
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        let was_hold = lease.usage == LeaseUse::Hold;
        lease.usage = LeaseUse::Run;
        lease.expires = expires;
        was_hold
    }

    /// Returns `true` if memory is held for an attempt that does not run yet.
    #[must_use]
    pub fn is_held(&self, id: &AttemptId) -> bool {
        self.leases.get(id).is_some_and(|lease| lease.usage == LeaseUse::Hold)
    }

    /// Removes a lease and frees its memory.
    pub fn release(&mut self, id: &AttemptId) -> Option<MemoryLease> {
        let lease = self.leases.remove(id)?;
        self.used -= lease.tokens;
        Some(lease)
    }

    /// Returns the lease of an attempt.
    #[must_use]
    pub fn get(&self, id: &AttemptId) -> Option<&MemoryLease> {
        self.leases.get(id)
    }

    /// Returns the attempts whose leases have expired.
    #[must_use]
    pub fn expired(&self, now: Tick) -> Vec<AttemptId> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the attempts of all leases.
    #[must_use]
    pub fn all(&self) -> Vec<AttemptId> {
        self.leases.keys().cloned().collect()
    }

    /// Iterates over the attempts whose leases belong to runs.
    pub fn runs(&self) -> impl Iterator<Item = &AttemptId> {
        let runs = self.leases.iter().filter(|(_, lease)| lease.usage == LeaseUse::Run);
        runs.map(|(id, _)| id)
    }

    /// Returns the number of leases.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns `true` if there are no leases.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns `true` if the leases sum up to the memory counted as used, within capacity.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        let sum: u64 = self.leases.values().map(|lease| lease.tokens).sum();
        sum == self.used && self.used <= self.capacity
    }
}
