//! Reservations of engine memory, with calls and answers that are lost, late or overtaken.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use shalelane::relay::core::draw_entry_number;
use shalelane::relay::decide::reservation::{
    CallOutcome, RESERVATION_TTL, ReservationCall, ReservationNames, ReservationState,
};
use shalelane::time::Tick;

use crate::fixture::{at, check, ms};

/// Time after which the caller of a call gives it up.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which the network holds up a call.
const MAX_DELAY_MS: u64 = 1_500;

/// Time of one step of the model.
const STEP: Duration = Duration::from_millis(20);

/// Guards against two entries that use one another's reservations because they started within the
/// same microsecond.
#[test]
fn entries_that_start_together_have_different_numbers() {
    let numbers: HashSet<u64> = (0..100_000).map(|_| draw_entry_number()).collect();
    assert_eq!(numbers.len(), 100_000);
}

/// Chooses what happens next from the bytes of a test case.
struct Choices<'a>(std::iter::Cycle<std::slice::Iter<'a, u8>>);

impl Choices<'_> {
    fn next(&mut self) -> u64 {
        self.0.next().map_or(0, |byte| u64::from(*byte))
    }

    fn is_one_in(&mut self, count: u64) -> bool {
        self.next().is_multiple_of(count)
    }

    /// Returns the delay of a message; some are held up for longer than their sender waits.
    fn delay(&mut self) -> Duration {
        let byte = self.next();
        if byte < 40 { ms(byte * MAX_DELAY_MS / 40) } else { ms(byte / 20) }
    }
}

/// A call on its way to the engine.
struct Transit {
    arrives_at: Tick,
    call: ReservationCall,
    owner: usize,
    answer_delay: Duration,
}

/// An answer on its way from the engine.
struct CallAnswer {
    arrives_at: Tick,
    outcome: CallOutcome,
    /// How often the engine had restarted when it answered.
    restarts: u64,
}

/// An attempt and its reservation.
struct Owner {
    name: Arc<str>,
    state: ReservationState,
    /// The call under way: its number, when it was sent, and the answer that is on its way.
    call: Option<(usize, Tick, Option<CallAnswer>)>,
    ends_at: Tick,
    ended: bool,
    /// How often the engine had restarted when it last confirmed the reservation.
    confirmed_by: Option<u64>,
}

/// Entries and one engine.
struct Model<'a> {
    choices: Choices<'a>,
    owners: Vec<Owner>,
    transits: Vec<(usize, Transit)>,
    next_call: usize,
    /// Reservations that the engine holds: owner and time of expiry.
    held: BTreeMap<Arc<str>, (usize, Tick)>,
    restarts: u64,
}

impl<'a> Model<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        let mut choices = Choices(bytes.iter().cycle());
        // Two entries with an attempt after another each.
        let mut names: Vec<_> =
            (0..2).map(|_| ReservationNames::new(draw_entry_number())).collect();
        let owners = (0..6).map(|owner| Owner {
            name: names[owner % 2].next_name(),
            state: ReservationState::new(),
            call: None,
            ends_at: at(choices.next() * 20),
            ended: false,
            confirmed_by: None,
        });
        let owners = owners.collect();
        Model {
            choices,
            owners,
            transits: Vec::new(),
            next_call: 0,
            held: BTreeMap::new(),
            restarts: 0,
        }
    }

    fn step(&mut self, now: Tick) {
        if self.choices.is_one_in(200) {
            self.held.clear();
            self.restarts += 1;
        }
        self.held.retain(|_, (_, expires_at)| *expires_at > now);
        self.deliver_calls(now);
        for number in 0..self.owners.len() {
            self.step_owner(number, now);
        }
    }

    fn deliver_calls(&mut self, now: Tick) {
        let (due, later) = std::mem::take(&mut self.transits)
            .into_iter()
            .partition(|(_, transit)| transit.arrives_at <= now);
        self.transits = later;
        for (call_number, transit) in due {
            let outcome = self.carry_out(&transit, now);
            let is_lost = self.choices.is_one_in(12);
            let owner = &mut self.owners[transit.owner];
            let Some((number, _, answer)) = &mut owner.call else { continue };
            if *number == call_number && !is_lost {
                let arrives_at = now + transit.answer_delay;
                *answer = Some(CallAnswer { arrives_at, outcome, restarts: self.restarts });
            }
        }
    }

    /// Carries out a call at the engine, which has room for two reservations.
    fn carry_out(&mut self, transit: &Transit, now: Tick) -> CallOutcome {
        let name = self.owners[transit.owner].name.clone();
        let holder = self.held.get(&name).map(|(owner, _)| *owner);
        assert!(
            holder.is_none_or(|holder| holder == transit.owner),
            "{name} was used by two attempts"
        );
        if transit.call == ReservationCall::Release {
            self.held.remove(&name);
            return CallOutcome::Done;
        }
        if holder.is_none() && self.held.len() >= 2 {
            return CallOutcome::Refused;
        }
        self.held.insert(name, (transit.owner, now + RESERVATION_TTL));
        CallOutcome::Done
    }

    fn step_owner(&mut self, number: usize, now: Tick) {
        self.end_call(number, now);
        let owner = &mut self.owners[number];
        if now >= owner.ends_at && !owner.ended {
            owner.ended = true;
            owner.state.end();
        }
        let Some(call) = owner.state.begin_call(now) else { return };
        assert!(owner.call.is_none(), "a second call was sent before the first one ended");
        assert!(call != ReservationCall::Renew || !owner.ended, "renewed after its end");
        owner.call = Some((self.next_call, now, None));
        if !self.choices.is_one_in(12) {
            let arrives_at = now + self.choices.delay();
            let answer_delay = self.choices.delay();
            let transit = Transit { arrives_at, call, owner: number, answer_delay };
            self.transits.push((self.next_call, transit));
        }
        self.next_call += 1;
    }

    fn end_call(&mut self, number: usize, now: Tick) {
        let owner = &mut self.owners[number];
        let Some((_, sent_at, answer)) = &owner.call else { return };
        let (outcome, restarts) = match answer {
            Some(answer) if answer.arrives_at <= now => (answer.outcome, Some(answer.restarts)),
            _ if now.since(*sent_at) >= CALL_TIMEOUT => (CallOutcome::Unanswered, None),
            _ => return,
        };
        owner.call = None;
        owner.state.end_call(outcome);
        owner.confirmed_by = restarts.or(owner.confirmed_by);
    }

    /// While an owner counts its memory as held, the engine holds it, unless it has restarted.
    fn check_held(&self, now: Tick) {
        for owner in &self.owners {
            if owner.state.is_held(now) && owner.confirmed_by == Some(self.restarts) {
                assert!(self.held.contains_key(&owner.name), "{} is not held", owner.name);
            }
        }
    }
}

/// Guards against reservations that are used by two attempts, renewed after their end, counted as
/// held when they may have lapsed, or never released.
#[test]
fn in_any_order_of_events_a_reservation_has_one_owner_and_ends_with_it() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let mut model = Model::new(&bytes);
        let mut now = at(0);
        let last_end = model.owners.iter().map(|owner| owner.ends_at).max().unwrap_or_default();
        // Three calls may be under way in a row after the end, and each may be held up.
        let settled = last_end + CALL_TIMEOUT * 3 + ms(MAX_DELAY_MS) + RESERVATION_TTL + STEP * 4;
        while now < settled {
            model.step(now);
            model.check_held(now);
            now = now + STEP;
        }
        assert!(model.owners.iter().all(|owner| owner.state.is_finished()), "calls never end");
        model.held.retain(|_, (_, expires_at)| *expires_at > now);
        assert!(model.held.is_empty(), "memory stays reserved");
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_refused_reservation_is_not_renewed_but_released() {
    let mut state = ReservationState::new();
    assert_eq!(state.begin_call(at(0)), Some(ReservationCall::Reserve));
    state.end_call(CallOutcome::Refused);
    assert!(!state.is_held(at(1)));
    assert_eq!(state.begin_call(at(700)), None);
    state.end();
    assert_eq!(state.begin_call(at(701)), Some(ReservationCall::Release));
}

/// Guards against an entry that was frozen and reserves memory anew for an attempt that its engine
/// has ended.
#[test]
fn a_reservation_that_may_have_lapsed_is_not_renewed() {
    let mut state = ReservationState::new();
    state.begin_call(at(0));
    state.end_call(CallOutcome::Done);
    assert!(state.is_held(at(1_899)) && !state.is_held(at(1_900)));
    assert_eq!(state.begin_call(at(1_900)), None);
    state.end();
    assert_eq!(state.begin_call(at(1_901)), Some(ReservationCall::Release));
}

/// Guards against a release that overtakes the renewal before it.
#[test]
fn a_release_waits_for_the_renewal_under_way() {
    let mut state = ReservationState::new();
    state.begin_call(at(0));
    state.end_call(CallOutcome::Done);
    assert_eq!(state.begin_call(at(600)), Some(ReservationCall::Renew));
    state.end();
    assert_eq!(state.begin_call(at(601)), None);
    state.end_call(CallOutcome::Unanswered);
    assert_eq!(state.begin_call(at(1_000)), Some(ReservationCall::Release));
    state.end_call(CallOutcome::Done);
    assert!(state.is_finished());
}
