//! A reservation of engine memory for one attempt: which calls are made for it, and when.
//!
//! A reservation has one owner, the attempt that it was made for. Its name is never used again, so
//! a call that arrives late can affect no other attempt. Its calls are made one at a time: a
//! release follows the answer or the timeout of the renewal before it. A reservation that the
//! engine may have dropped is not renewed, since the engine would reserve its memory anew for an
//! attempt that it has ended.
//!
//! What a call without an answer still reserves lapses [`RESERVATION_TTL`] after it arrives.

use std::sync::Arc;
use std::time::Duration;

use crate::time::Tick;

/// Time after which a reservation expires unless it is renewed: less than two seconds, after which
/// unused reserved memory is counted against its owner.
pub const RESERVATION_TTL: Duration = Duration::from_millis(1_900);

/// Interval between renewals; two renewals in a row may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// Number of attempts to release a reservation; after that it expires by itself.
const MAX_RELEASES: usize = 2;

/// Names of the reservations of one entry.
#[derive(Debug)]
pub struct ReservationNames {
    entry: u64,
    next: u64,
}

impl ReservationNames {
    /// Creates the names of an entry from the number that identifies its run.
    #[must_use]
    pub fn new(entry: u64) -> Self {
        ReservationNames { entry, next: 0 }
    }

    /// Returns a name that no other reservation has.
    pub fn next_name(&mut self) -> Arc<str> {
        let name = format!("{:016x}{:08x}", self.entry, self.next);
        self.next += 1;
        name.into()
    }
}

/// A call to an engine about a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationCall {
    /// Reserves the memory.
    Reserve,
    /// Extends the reservation by its time to live.
    Renew,
    /// Releases the memory.
    Release,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The engine did as it was asked.
    Done,
    /// The engine refused, so that it holds nothing under this name.
    Refused,
    /// No answer came in time. The call may still be carried out.
    Unanswered,
}

/// State of one reservation.
#[derive(Debug)]
pub struct ReservationState {
    /// The call that is under way, and when it was sent.
    in_flight: Option<(ReservationCall, Tick)>,
    /// Time up to which the engine holds the memory, unless it has restarted.
    held_until: Tick,
    /// When the next renewal is due.
    renew_at: Tick,
    /// Whether the engine refused a call, or may have dropped the reservation.
    is_lost: bool,
    /// Whether memory was asked for and is not known to be released.
    may_hold: bool,
    /// Whether the owner has ended.
    is_ended: bool,
    releases: usize,
}

impl ReservationState {
    /// Creates the state of a reservation for which nothing was sent.
    #[must_use]
    pub fn new() -> Self {
        ReservationState {
            in_flight: None,
            held_until: Tick::default(),
            renew_at: Tick::NEVER,
            is_lost: false,
            may_hold: false,
            is_ended: false,
            releases: 0,
        }
    }

    /// Returns the call to send now, which is under way from then on. `None` while no call is due
    /// or another one is under way.
    pub fn begin_call(&mut self, now: Tick) -> Option<ReservationCall> {
        if self.in_flight.is_some() {
            return None;
        }
        let call = self.due_call(now)?;
        match call {
            ReservationCall::Reserve => self.may_hold = true,
            ReservationCall::Renew => self.renew_at = now + RENEW_INTERVAL,
            ReservationCall::Release => self.releases += 1,
        }
        self.in_flight = Some((call, now));
        Some(call)
    }

    fn due_call(&mut self, now: Tick) -> Option<ReservationCall> {
        if self.is_ended {
            let is_due = self.may_hold && self.releases < MAX_RELEASES;
            return is_due.then_some(ReservationCall::Release);
        }
        if !self.may_hold {
            return Some(ReservationCall::Reserve);
        }
        if now < self.renew_at || self.is_lost {
            return None;
        }
        self.is_lost = now >= self.held_until;
        (!self.is_lost).then_some(ReservationCall::Renew)
    }

    /// Records how the call under way has ended.
    pub fn end_call(&mut self, outcome: CallOutcome) {
        let Some((call, sent_at)) = self.in_flight.take() else { return };
        match (call, outcome) {
            (ReservationCall::Release | ReservationCall::Renew, CallOutcome::Unanswered) => {}
            (ReservationCall::Release, _) => self.may_hold = false,
            // It is released all the same: an earlier call without an answer may still be carried
            // out.
            (_, CallOutcome::Refused) | (ReservationCall::Reserve, CallOutcome::Unanswered) => {
                self.is_lost = true;
            }
            (_, CallOutcome::Done) => {
                self.held_until = sent_at + RESERVATION_TTL;
                self.renew_at = sent_at + RENEW_INTERVAL;
            }
        }
    }

    /// Records that the owner has ended, so that the memory is released.
    pub fn end(&mut self) {
        self.is_ended = true;
    }

    /// Returns `true` if the engine holds the memory at `now`, unless it has restarted.
    #[must_use]
    pub fn is_held(&self, now: Tick) -> bool {
        !self.is_lost && !self.is_ended && now < self.held_until
    }

    /// Returns when the next call is due if none is under way; [`Tick::NEVER`] if that depends on
    /// the end of the owner.
    #[must_use]
    pub fn next_due(&self) -> Tick {
        if self.is_lost { Tick::NEVER } else { self.renew_at }
    }

    /// Returns `true` if no call is under way and none will follow.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let is_released = !self.may_hold || self.releases >= MAX_RELEASES;
        self.is_ended && self.in_flight.is_none() && is_released
    }
}

impl Default for ReservationState {
    fn default() -> Self {
        ReservationState::new()
    }
}
