//! How connections share the memory of a process.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, quickcheck};
use shalelane::memory_ledger::{ClaimKind, ClaimVerdict, HolderId, MemoryLedger};
use shalelane::time::Tick;

const KIB: usize = 1024;

/// Memory of the ledgers.
const LIMIT: usize = 1024 * KIB;

/// A body that counts as large.
const LARGE: usize = 200 * KIB;

const SECOND: u64 = 1_000_000;

fn claim(ledger: &mut MemoryLedger, id: HolderId, bytes: usize, at: u64) -> ClaimVerdict {
    ledger.claim(id, bytes, ClaimKind::Request, Tick(at)).verdict
}

/// Fills the part of the memory that large holders may claim, at time zero.
fn fill(ledger: &mut MemoryLedger) -> Vec<HolderId> {
    let mut holders = Vec::new();
    loop {
        let id = ledger.open(Tick(0));
        if claim(ledger, id, LARGE, 0) != ClaimVerdict::Granted {
            ledger.close(id);
            return holders;
        }
        holders.push(id);
    }
}

#[test]
fn a_small_claim_finds_room_beside_large_holders() {
    let mut ledger = MemoryLedger::new(LIMIT);
    fill(&mut ledger);
    for _ in 0..20 {
        let id = ledger.open(Tick(0));
        assert_eq!(claim(&mut ledger, id, 8 * KIB, 0), ClaimVerdict::Granted);
    }
}

#[test]
fn a_claim_that_does_not_fit_is_refused_while_all_others_move() {
    let mut ledger = MemoryLedger::new(LIMIT);
    for id in fill(&mut ledger) {
        ledger.record_moved(id, LARGE, Tick(0));
    }
    let id = ledger.open(Tick(0));
    let outcome = ledger.claim(id, LARGE, ClaimKind::Request, Tick(0));
    assert_eq!(outcome.verdict, ClaimVerdict::Refused);
    assert!(outcome.leaving.is_empty());
}

#[test]
fn who_holds_most_and_moves_least_leaves_first() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let holders = fill(&mut ledger);
    let now = 5 * SECOND;
    for id in &holders[1..] {
        ledger.record_moved(*id, LARGE, Tick(now));
    }
    let id = ledger.open(Tick(now));
    ledger.record_moved(id, LARGE, Tick(now));
    let outcome = ledger.claim(id, LARGE, ClaimKind::Request, Tick(now));
    assert_eq!(outcome.verdict, ClaimVerdict::Awaited);
    assert_eq!(outcome.leaving, [holders[0]]);
    ledger.release(holders[0], LARGE);
    assert_eq!(claim(&mut ledger, id, LARGE, now), ClaimVerdict::Granted);
}

#[test]
fn a_holder_that_does_not_wait_for_its_peer_does_not_leave() {
    let mut ledger = MemoryLedger::new(LIMIT);
    for id in fill(&mut ledger) {
        ledger.set_stalled(id, false);
    }
    let id = ledger.open(Tick(5 * SECOND));
    assert_eq!(claim(&mut ledger, id, LARGE, 5 * SECOND), ClaimVerdict::Refused);
    assert_eq!(ledger.choose_idle(Tick(9 * SECOND)), None, "the last one holds nothing");
}

#[test]
fn a_single_holder_may_exceed_the_limit() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let id = ledger.open(Tick(0));
    assert_eq!(claim(&mut ledger, id, 2 * LIMIT, 0), ClaimVerdict::Granted);
}

#[test]
fn the_largest_answer_goes_on_while_none_can_leave() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let holders = fill(&mut ledger);
    for id in &holders {
        ledger.set_stalled(*id, false);
    }
    let mut verdict = |id| ledger.claim(id, LARGE, ClaimKind::Answer, Tick(0)).verdict;
    assert_eq!(verdict(holders[1]), ClaimVerdict::Refused);
    assert_eq!(verdict(holders[0]), ClaimVerdict::Granted);
    assert_eq!(verdict(holders[0]), ClaimVerdict::Granted);
    assert_eq!(verdict(holders[1]), ClaimVerdict::Refused);
}

#[test]
fn a_new_connection_has_time_for_its_first_request() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let id = ledger.open(Tick(5 * SECOND));
    ledger.claim_held(id, KIB, Tick(5 * SECOND));
    assert_eq!(ledger.choose_idle(Tick(5 * SECOND)), None);
    assert_eq!(ledger.choose_idle(Tick(7 * SECOND)), Some(id));
}

#[test]
fn a_claim_for_a_forgotten_holder_changes_nothing() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let (gone, open) = (ledger.open(Tick(0)), ledger.open(Tick(0)));
    ledger.claim_held(open, KIB, Tick(0));
    ledger.close(gone);
    ledger.claim_held(gone, KIB, Tick(0));
    ledger.release(gone, KIB);
    assert_eq!(ledger.held(), KIB);
}

#[derive(Clone, Debug)]
enum LedgerStep {
    Open,
    Claim(usize, usize),
    ClaimHeld(usize, usize),
    Release(usize),
    Close(usize),
    Move(usize, usize),
    Stall(usize, bool),
    Wait(u64),
}

impl Arbitrary for LedgerStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let (at, bytes) = (usize::arbitrary(g), usize::arbitrary(g) % (2 * LARGE));
        match u8::arbitrary(g) % 9 {
            0 | 1 => LedgerStep::Open,
            2 | 3 => LedgerStep::Claim(at, bytes),
            4 => LedgerStep::ClaimHeld(at, bytes),
            5 => LedgerStep::Release(at),
            6 => LedgerStep::Move(at, bytes),
            7 => LedgerStep::Stall(at, bool::arbitrary(g)),
            _ if bool::arbitrary(g) => LedgerStep::Close(at),
            _ => LedgerStep::Wait(u64::arbitrary(g) % SECOND),
        }
    }
}

quickcheck! {
    /// The ledger holds what was granted and not released, grants nothing beyond its limit beside other
    /// large holders, and tells only open holders that wait for their peers to leave, each once.
    fn a_ledger_keeps_its_account(steps: Vec<LedgerStep>) -> bool {
        let mut ledger = MemoryLedger::new(LIMIT);
        let mut held: BTreeMap<HolderId, (usize, bool)> = BTreeMap::new();
        let mut open = Vec::new();
        let mut told = BTreeSet::new();
        let mut now = Tick(0);
        for step in steps {
            let pick = |at: usize, open: &[HolderId]| open.get(at % open.len().max(1)).copied();
            let mut leaving = Vec::new();
            match step {
                LedgerStep::Open => {
                    let id = ledger.open(now);
                    held.insert(id, (0, true));
                    open.push(id);
                }
                LedgerStep::Claim(at, bytes) => if let Some(id) = pick(at, &open) {
                    let before = ledger.held();
                    let are_others_small = held.iter().all(|(other, (bytes, _))| *other == id || *bytes <= 96 * KIB);
                    let outcome = ledger.claim(id, bytes, ClaimKind::Request, now);
                    if outcome.verdict == ClaimVerdict::Granted {
                        held.get_mut(&id).unwrap().0 += bytes;
                        if before + bytes > LIMIT && !are_others_small { return false; }
                    }
                    if outcome.verdict != ClaimVerdict::Awaited && !outcome.leaving.is_empty() { return false; }
                    leaving = outcome.leaving;
                },
                LedgerStep::ClaimHeld(at, bytes) => if let Some(id) = pick(at, &open) {
                    leaving = ledger.claim_held(id, bytes, now);
                    held.get_mut(&id).unwrap().0 += bytes;
                },
                LedgerStep::Release(at) => if let Some(id) = pick(at, &open) {
                    let bytes = std::mem::take(&mut held.get_mut(&id).unwrap().0);
                    ledger.release(id, bytes);
                    ledger.record_left(id);
                    told.remove(&id);
                },
                LedgerStep::Close(at) => if let Some(id) = pick(at, &open) {
                    ledger.close(id);
                    open.retain(|other| *other != id);
                    told.remove(&id);
                },
                LedgerStep::Move(at, bytes) => if let Some(id) = pick(at, &open) {
                    ledger.record_moved(id, bytes, now);
                },
                LedgerStep::Stall(at, is_stalled) => if let Some(id) = pick(at, &open) {
                    ledger.set_stalled(id, is_stalled);
                    held.get_mut(&id).unwrap().1 = is_stalled;
                },
                LedgerStep::Wait(micros) => now = Tick(now.0 + micros),
            }
            for id in leaving {
                if !open.contains(&id) || !held[&id].1 || !told.insert(id) { return false; }
            }
            if ledger.held() != held.values().map(|(bytes, _)| bytes).sum::<usize>() { return false; }
        }
        true
    }
}
