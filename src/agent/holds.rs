//! Holds: engine memory reserved for attempts that are sharded over several engines.

use std::time::Duration;

use super::core::{AgentCore, Timer};
use super::event::{ConnId, Effect};
use super::lease::{LeaseUse, MemoryLease};
use crate::id::AttemptId;
use crate::time::Tick;
use crate::wire::{Hold, ToEntry};

/// A requested hold whose memory is not reserved yet.
#[derive(Debug)]
pub(super) struct PendingHold {
    pub(super) id: AttemptId,
    pub(super) conn: ConnId,
    pub(super) tokens: u64,
    pub(super) requested_at: Tick,
    pub(super) expires: Tick,
}

impl AgentCore {
    pub(super) fn on_hold(&mut self, conn: ConnId, id: AttemptId, hold: Hold, now: Tick) {
        let expires = now + Duration::from_micros(hold.expires_us);
        if hold.is_renewal {
            self.on_renewal(conn, &id, expires);
            return;
        }
        let is_open = !self.leaving && self.is_ready() && !self.releasing.contains(&id);
        if !is_open || hold.tokens > self.leases.capacity() || self.leases.get(&id).is_some() {
            self.send(Some(conn), ToEntry::NotHeld(id.key));
            return;
        }
        self.timers.subscribe(expires, Timer::Lease(id.clone()));
        self.pending_holds.push(PendingHold {
            id,
            conn,
            tokens: hold.tokens,
            requested_at: now,
            expires,
        });
    }

    pub(super) fn on_renewal(&mut self, conn: ConnId, id: &AttemptId, expires: Tick) {
        let is_known = !self.releasing.contains(id) && self.leases.renew(id, expires);
        if !is_known {
            self.send(Some(conn), ToEntry::NotHeld(id.key));
            return;
        }
        self.timers.subscribe(expires, Timer::Lease(id.clone()));
        self.holders.insert(id.clone(), conn);
        let engine = self.facts().address.clone();
        self.send(Some(conn), ToEntry::Held { attempt: id.key, engine });
    }

    /// Leases memory to the pending holds that fit, oldest first.
    pub(super) fn grant_holds(&mut self) {
        while let Some(hold) = self.pending_holds.first() {
            let usage = LeaseUse::Hold;
            let lease = MemoryLease { tokens: hold.tokens, expires: hold.expires, usage };
            if !self.leases.reserve(hold.id.clone(), lease) {
                return;
            }
            let hold = self.pending_holds.remove(0);
            self.holders.insert(hold.id.clone(), hold.conn);
            self.effects.push(Effect::Reserve(hold.id, hold.tokens));
        }
    }

    pub(super) fn on_reserved(&mut self, id: &AttemptId, is_held: bool) {
        if self.releasing.contains(id) {
            return;
        }
        let conn = self.holders.get(id).copied();
        if is_held {
            let engine = self.facts().address.clone();
            self.send(conn, ToEntry::Held { attempt: id.key, engine });
            return;
        }
        self.leases.release(id);
        self.holders.remove(id);
        self.send(conn, ToEntry::NotHeld(id.key));
    }

    pub(super) fn on_release(&mut self, id: &AttemptId, now: Tick) {
        self.pending_holds.retain(|hold| hold.id != *id);
        if self.leases.is_held(id) && self.releasing.insert(id.clone()) {
            self.holders.remove(id);
            self.effects.push(Effect::Unreserve(id.clone()));
            // A queued run that depends on this memory can no longer start.
            if self.runs.get(id).is_some_and(|run| !run.is_at_target()) {
                self.abort_queued(id, "its memory lease has ended", now);
            }
        }
    }

    pub(super) fn on_unreserved(&mut self, id: &AttemptId) {
        if self.releasing.remove(id) {
            self.leases.release(id);
        }
    }
}
