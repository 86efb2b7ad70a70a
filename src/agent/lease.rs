//! Leases on an engine's memory.

use std::collections::BTreeMap;

use crate::id::AttemptId;
use crate::time::Tick;

/// What a lease is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseUse {
    /// A run on this engine.
    Run,
    /// A part of a prompt whose run is on another engine.
    Hold,
}

/// A reservation of memory.
#[derive(Clone, Debug)]
pub struct MemoryLease {
    /// Tokens.
    pub tokens: u64,
    /// When the owner's claim ends.
    pub expires: Tick,
    /// What for.
    pub usage: LeaseUse,
}

/// Every reservation of one engine's memory. Nothing else holds memory.
#[derive(Debug, Default)]
pub struct LeaseBook {
    capacity: u64,
    used: u64,
    leases: BTreeMap<AttemptId, MemoryLease>,
}

impl LeaseBook {
    /// A book of an engine with `capacity` tokens of memory.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        LeaseBook { capacity, ..LeaseBook::default() }
    }

    /// Tokens of the whole engine.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Tokens that no lease holds.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.capacity - self.used
    }

    /// Takes a lease, false where memory is short.
    pub fn reserve(&mut self, id: AttemptId, lease: MemoryLease) -> bool {
        if self.leases.contains_key(&id) || lease.tokens > self.free() {
            return false;
        }
        self.used += lease.tokens;
        self.leases.insert(id, lease);
        true
    }

    /// Moves the end of a lease, false where there is none.
    pub fn renew(&mut self, id: &AttemptId, expires: Tick) -> bool {
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        lease.expires = expires;
        true
    }

    /// Makes a run's lease of a hold, false where there is no hold.
    pub fn convert(&mut self, id: &AttemptId, expires: Tick) -> bool {
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        let was_hold = lease.usage == LeaseUse::Hold;
        lease.usage = LeaseUse::Run;
        lease.expires = expires;
        was_hold
    }

    /// Returns true where memory is held for an attempt that does not run yet.
    #[must_use]
    pub fn is_held(&self, id: &AttemptId) -> bool {
        self.leases.get(id).is_some_and(|lease| lease.usage == LeaseUse::Hold)
    }

    /// Gives a lease back.
    pub fn release(&mut self, id: &AttemptId) -> Option<MemoryLease> {
        let lease = self.leases.remove(id)?;
        self.used -= lease.tokens;
        Some(lease)
    }

    /// Looks up a lease.
    #[must_use]
    pub fn get(&self, id: &AttemptId) -> Option<&MemoryLease> {
        self.leases.get(id)
    }

    /// Leases whose time is over.
    #[must_use]
    pub fn expired(&self, now: Tick) -> Vec<AttemptId> {
        let over = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        over.map(|(id, _)| id.clone()).collect()
    }

    /// Names of all leases.
    #[must_use]
    pub fn all(&self) -> Vec<AttemptId> {
        self.leases.keys().cloned().collect()
    }

    /// Names of the leases that runs hold.
    pub fn runs(&self) -> impl Iterator<Item = &AttemptId> {
        let runs = self.leases.iter().filter(|(_, lease)| lease.usage == LeaseUse::Run);
        runs.map(|(id, _)| id)
    }

    /// How many leases there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns true where nothing is reserved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns true where the sum of the leases is what counts as used.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        let sum: u64 = self.leases.values().map(|lease| lease.tokens).sum();
        sum == self.used && self.used <= self.capacity
    }
}
