//! Which connections an entry takes while most new ones come to it.

use std::time::Duration;

use shalelane::relay::decide::connection_gate::ConnectionGate;

use crate::fixture::ms;

/// Callers give up a connection whose request is not read within this time.
const CALLER_PATIENCE_MS: f64 = 1_000.0;

/// Time within which callers need an answer.
const OBJECTIVE_MS: f64 = 1_500.0;

/// Turns of the event loop that a request takes: it is read, sent, answered and passed on.
const STAGES: u32 = 4;

/// Interval at which the delay of the event loop is measured, in milliseconds.
const INTERVAL_MS: f64 = 50.0;

/// An event loop in virtual time, in milliseconds. It has a share of a core, given at full speed in
/// each tenth of a second until it is spent.
struct LoopModel {
    gate: ConnectionGate,
    share: f64,
    /// Processor time of one request.
    cost_ms: f64,
    now_ms: f64,
    /// Whether the gate learns when the loop has gone through connections.
    settles: bool,
}

/// Connections through which the loop goes in its next turns.
struct SettlingModel {
    count: usize,
    turns_left: u32,
    started_ms: f64,
}

/// A connection that the loop has taken.
struct OpenModel {
    arrived_ms: f64,
    taken_ms: f64,
    /// Number of turns that its request has had.
    stage: u32,
}

/// What became of the connections that arrived after a time; of those that were read late, of all.
#[derive(Debug, Default)]
struct GateOutcome {
    arrived: u32,
    closed: u32,
    read_late: u32,
    answered_in_time: u32,
}

impl LoopModel {
    const PERIOD_MS: f64 = 100.0;

    /// Uses processor time.
    fn work(&mut self, mut work_ms: f64) {
        let allotment = self.share * Self::PERIOD_MS;
        loop {
            let begin = (self.now_ms / Self::PERIOD_MS).floor() * Self::PERIOD_MS;
            let left = (begin + allotment - self.now_ms).max(0.0);
            if work_ms <= left {
                self.now_ms += work_ms;
                return;
            }
            work_ms -= left;
            self.now_ms = begin + Self::PERIOD_MS;
        }
    }

    /// Counts a turn of the loop.
    fn settle(&mut self, settling: &mut Option<SettlingModel>) {
        if let Some(model) = settling {
            model.turns_left -= 1;
            if model.turns_left > 0 {
                return;
            }
            let duration = Duration::from_secs_f64((self.now_ms - model.started_ms) / 1e3);
            self.gate.record_settled(model.count, duration);
        }
        let count = self.gate.unsettled();
        let model = SettlingModel { count, turns_left: STAGES, started_ms: self.now_ms };
        *settling = (count > 0).then_some(model);
    }

    /// Lets connections arrive evenly for `duration`. Counts those that arrive after `settle`.
    fn run(&mut self, per_second: f64, settle: Duration, duration: Duration) -> GateOutcome {
        let gap_ms = 1_000.0 / per_second;
        let (settle_ms, end_ms) = (settle.as_secs_f64() * 1e3, duration.as_secs_f64() * 1e3);
        let mut outcome = GateOutcome::default();
        let mut open: Vec<OpenModel> = Vec::new();
        let mut next_ms = 0.0;
        let mut due_ms = INTERVAL_MS;
        let mut settling = None;
        while next_ms < end_ms || !open.is_empty() {
            if open.is_empty() {
                let wake_ms = if next_ms < end_ms { next_ms.min(due_ms) } else { due_ms };
                self.now_ms = self.now_ms.max(wake_ms);
            }
            while next_ms <= self.now_ms.min(end_ms) {
                let is_counted = next_ms >= settle_ms;
                let is_taken = self.gate.admit(open.len());
                outcome.arrived += u32::from(is_counted);
                outcome.closed += u32::from(is_counted && !is_taken);
                if is_taken {
                    let (arrived_ms, taken_ms) = (next_ms, self.now_ms);
                    open.push(OpenModel { arrived_ms, taken_ms, stage: 0 });
                }
                next_ms += gap_ms;
            }
            for connection in &mut open {
                let is_counted = connection.arrived_ms >= settle_ms;
                let unread_ms = self.now_ms - connection.taken_ms;
                let is_timely = ConnectionGate::is_timely(Duration::from_secs_f64(unread_ms / 1e3));
                if connection.stage == 0 && !is_timely {
                    connection.stage = STAGES;
                    outcome.closed += u32::from(is_counted);
                    continue;
                }
                self.work(self.cost_ms / f64::from(STAGES));
                connection.stage += 1;
                let age_ms = self.now_ms - connection.arrived_ms;
                let is_late = connection.stage == 1 && age_ms > CALLER_PATIENCE_MS;
                let is_in_time = connection.stage == STAGES && age_ms <= OBJECTIVE_MS;
                outcome.read_late += u32::from(is_late);
                outcome.answered_in_time += u32::from(is_in_time && is_counted);
            }
            open.retain(|connection| connection.stage < STAGES);
            if self.settles {
                self.settle(&mut settling);
            }
            if self.now_ms >= due_ms {
                self.gate.record_delay(Duration::from_secs_f64((self.now_ms - due_ms) / 1e3));
                due_ms = self.now_ms + INTERVAL_MS;
            }
        }
        outcome
    }
}

/// Returns each load with and without knowledge of the connections that are settled.
fn cases(loads: [f64; 3]) -> impl Iterator<Item = (f64, bool)> {
    loads.into_iter().flat_map(|load| [(load, false), (load, true)])
}

/// Runs a loop that can serve `capacity` requests a second by its share of a core.
fn run(share: f64, capacity: f64, load: f64, settles: bool) -> GateOutcome {
    let cost_ms = 1_000.0 * share / capacity;
    let gate = ConnectionGate::new(None);
    let mut model = LoopModel { gate, share, cost_ms, now_ms: 0.0, settles };
    model.run(capacity * load, Duration::from_secs(3), Duration::from_secs(13))
}

#[test]
fn connections_are_bounded_by_the_descriptors() {
    let mut gate = ConnectionGate::new(Some(1_000));
    assert!(gate.admit(0) && gate.admit(500));
    assert!(!gate.admit(700), "descriptors are left for targets and the store");
    assert!(ConnectionGate::new(None).admit(100_000));
}

#[test]
fn a_loop_that_is_in_time_takes_all_connections() {
    for share in [0.05, 0.2, 1.0] {
        for capacity in [20.0, 50.0, 100.0, 500.0, 5_000.0] {
            for (load, settles) in cases([0.1, 0.5, 0.8]) {
                let outcome = run(share, capacity, load, settles);
                let case = format!(
                    "share {share}, {capacity} a second, load {load}, settles {settles}: {outcome:?}"
                );
                assert_eq!((outcome.closed, outcome.read_late), (0, 0), "{case}");
            }
        }
    }
}

#[test]
fn what_is_taken_beyond_the_capacity_is_read_and_answered_in_time() {
    for share in [0.05, 0.2, 1.0] {
        for capacity in [20.0, 50.0, 100.0, 500.0, 5_000.0] {
            for (load, settles) in cases([1.5, 4.0, 20.0]) {
                let outcome = run(share, capacity, load, settles);
                let case = format!(
                    "share {share}, {capacity} a second, load {load}, settles {settles}: {outcome:?}"
                );
                assert_eq!(outcome.read_late, 0, "{case}");
                // Three quarters of the capacity, for the ten seconds that are counted.
                let least = capacity * 10.0 * 0.75;
                assert!(f64::from(outcome.answered_in_time) >= least, "{case}");
            }
        }
    }
}

/// Measurements during which a gate took connections in time, before an event.
const PROMPT_INTERVALS: u32 = 20;

/// Takes connections, through which the loop goes at once.
fn take_settled(gate: &mut ConnectionGate, count: usize) {
    assert_eq!((0..count).filter(|_| gate.admit(0)).count(), count);
    gate.record_settled(gate.unsettled(), ms(10));
}

/// Returns a gate that took `taken` connections in each of some intervals without delay.
fn prompt_gate(taken: usize) -> ConnectionGate {
    let mut gate = ConnectionGate::new(None);
    for _ in 0..PROMPT_INTERVALS {
        take_settled(&mut gate, taken);
        gate.record_delay(ms(1));
    }
    gate
}

#[test]
fn connections_that_queued_while_the_process_stood_still_are_taken() {
    for stall_ms in [300, 600, 1_000] {
        for backlog in [40, 200] {
            for rate in [0, 1, 4, 10, 50] {
                for taken in [0, rate / 2, rate] {
                    let mut gate = prompt_gate(rate);
                    take_settled(&mut gate, taken);
                    gate.record_delay(ms(stall_ms));
                    let admitted = (0..backlog).filter(|_| gate.admit(0)).count();
                    let case = format!("{stall_ms} ms, {taken} taken of {rate} an interval");
                    assert_eq!(admitted, backlog, "{case}");
                }
            }
        }
    }
}

#[test]
fn delays_in_a_row_without_new_connections_close_none() {
    let mut gate = prompt_gate(10);
    for _ in 0..5 {
        gate.record_delay(ms(600));
    }
    assert_eq!((0..200).filter(|_| gate.admit(0)).count(), 200);
}

#[test]
fn stalls_in_a_row_close_none_of_the_connections_that_queue() {
    let mut gate = ConnectionGate::new(None);
    for _ in 0..5 {
        gate.record_delay(ms(600));
        take_settled(&mut gate, 200);
    }
}

#[test]
fn connections_that_the_loop_goes_through_slowly_count_as_the_cause_of_a_delay() {
    let mut gate = ConnectionGate::new(None);
    assert_eq!((0..200).filter(|_| gate.admit(0)).count(), 200);
    gate.record_settled(gate.unsettled(), ms(200));
    gate.record_delay(ms(300));
    assert_eq!((0..200).filter(|_| gate.admit(0)).count(), 100);
}

#[test]
fn a_loop_that_has_become_slow_takes_fewer_connections_than_before() {
    let mut gate = prompt_gate(200);
    let mut taken = [0; 4];
    for taken in &mut taken {
        *taken = (0..200).filter(|_| gate.admit(0)).count();
        gate.record_delay(ms(500));
    }
    assert!(taken[3] <= taken[0] / 4, "{taken:?}");
}

#[test]
fn a_late_event_loop_closes_most_connections_and_never_all() {
    let mut gate = ConnectionGate::new(None);
    let mut taken = [0; 4];
    for taken in &mut taken {
        *taken = (0..1_000).filter(|_| gate.admit(0)).count();
        gate.record_delay(ms(500));
    }
    assert!(taken[3] <= taken[0] / 8, "{taken:?}");
    assert!(taken[3] > 0, "a ready entry takes some connections: {taken:?}");
    for _ in 0..40 {
        gate.record_delay(ms(20));
    }
    assert_eq!((0..100).filter(|_| gate.admit(0)).count(), 100, "it is in time again");
}
