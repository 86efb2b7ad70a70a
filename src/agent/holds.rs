//! Memory that is held for runs on other engines.

use std::time::Duration;

use super::core::{AgentCore, Timer};
use super::event::{ConnId, Effect};
use super::lease::{LeaseUse, MemoryLease};
use crate::id::AttemptId;
use crate::time::Tick;
use crate::wire::{Hold, ToEntry};

/// A group's wish for memory that is not free yet.
#[derive(Debug)]
pub(super) struct HoldClaim {
    pub(super) id: AttemptId,
    pub(super) conn: ConnId,
    pub(super) tokens: u64,
    pub(super) since: Tick,
    pub(super) expires: Tick,
}

impl AgentCore {
    pub(super) fn on_hold(&mut self, conn: ConnId, id: AttemptId, hold: Hold, now: Tick) {
        let expires = now + Duration::from_micros(hold.expires_us);
        if hold.is_renewal {
            self.on_renewal(conn, &id, expires);
            return;
        }
        let is_open = !self.leaving && self.is_ready() && !self.unreserving.contains(&id);
        if !is_open || hold.tokens > self.leases.capacity() || self.leases.get(&id).is_some() {
            self.send(Some(conn), ToEntry::NotHeld(id.key));
            return;
        }
        self.timers.subscribe(expires, Timer::Lease(id.clone()));
        self.claims.push(HoldClaim { id, conn, tokens: hold.tokens, since: now, expires });
    }

    pub(super) fn on_renewal(&mut self, conn: ConnId, id: &AttemptId, expires: Tick) {
        let is_known = !self.unreserving.contains(id) && self.leases.renew(id, expires);
        if !is_known {
            self.send(Some(conn), ToEntry::NotHeld(id.key));
            return;
        }
        self.timers.subscribe(expires, Timer::Lease(id.clone()));
        self.holders.insert(id.clone(), conn);
        let engine = self.facts().address.clone();
        self.send(Some(conn), ToEntry::Held { attempt: id.key, engine });
    }

    /// Takes leases for the claims that fit, the oldest first.
    pub(super) fn serve_claims(&mut self) {
        while let Some(claim) = self.claims.first() {
            let usage = LeaseUse::Hold;
            let lease = MemoryLease { tokens: claim.tokens, expires: claim.expires, usage };
            if !self.leases.reserve(claim.id.clone(), lease) {
                return;
            }
            let claim = self.claims.remove(0);
            self.holders.insert(claim.id.clone(), claim.conn);
            self.out.push(Effect::Reserve(claim.id, claim.tokens));
        }
    }

    pub(super) fn on_reserved(&mut self, id: &AttemptId, is_held: bool) {
        if self.unreserving.contains(id) {
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
        self.claims.retain(|claim| claim.id != *id);
        if self.leases.is_held(id) && self.unreserving.insert(id.clone()) {
            self.holders.remove(id);
            self.out.push(Effect::Unreserve(id.clone()));
            // A run that waits to use what is given back can not have it.
            if self.runs.get(id).is_some_and(|run| !run.is_at_target()) {
                self.give_up(id, "its memory lease has ended", now);
            }
        }
    }

    pub(super) fn on_unreserved(&mut self, id: &AttemptId) {
        if self.unreserving.remove(id) {
            self.leases.release(id);
        }
    }
}
