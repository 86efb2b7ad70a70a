//! Sound parts of prompts at crashes that they did not cause, in virtual time.
//!
//! The bounds are those of the platform, as in `parts`. Here nothing sound is refused at all.

use crate::fixture::{at, ms};
use crate::part_fleet::PartFleet;
use crate::part_setup::{FleetSetup, Traffic};
use shalelane::time::Tick;

/// Fleets: entries and engines.
const SMALL: (usize, usize) = (5, 18);
const LARGE: (usize, usize) = (402, 585);

const SOUND: usize = 0;

/// Time from the fifth crash under a part until further sends are counted.
const CONTACT: u64 = 3_000;
const ALLOWED_SENDS: usize = 3;

/// Share of the requests of quiet times that have to begin beside crashes.
const MIN_BEGUN: f64 = 0.5;

const END: u64 = 40_000;

fn traffic(per_second: f64, parts: &[&'static str], from: u64, until: u64) -> Traffic {
    Traffic { per_second, parts: parts.to_vec(), from, until }
}

fn run((entries, engines): (usize, usize), seed: u64, setup: FleetSetup) -> PartFleet {
    println!("seed {seed}, {entries} entries");
    let mut fleet = PartFleet::new(FleetSetup { entries, engines, seed, ..setup });
    fleet.run_until(at(END));
    fleet
}

/// Sound requests that share a part with all others.
fn sound_setup() -> FleetSetup {
    FleetSetup {
        traffic: vec![traffic(100.0, &["common", "account*"], 0, END)],
        ..FleetSetup::new(0, 0, 0)
    }
}

/// Asserts that requests of a kind begin as often as sound ones before, and nothing is quarantined.
fn assert_not_blamed(fleet: &PartFleet, kind: usize, from: u64) {
    let before = fleet.begun_share(SOUND, Tick::default(), at(8_000));
    let after = fleet.begun_share(kind, at(from), at(END));
    assert!(after >= MIN_BEGUN * before, "begun {after:.2}, before {before:.2}");
    assert!(fleet.quarantined().is_empty(), "{:?}", fleet.quarantined());
}

/// Domains fail one after the other within half a second, just after the first requests with a part
/// were sent to many engines. All of them were sent before the first crash.
fn assert_new_part_is_not_blamed(size: (usize, usize), seeds: [u64; 2]) {
    const NEW: usize = 2;
    for seed in seeds {
        let mut setup = sound_setup();
        setup.traffic.push(traffic(100.0, &["common", "new"], 9_850, 9_990));
        setup.traffic.push(traffic(5.0, &["common", "new"], 13_500, END));
        setup.unrelated_crashes = (0..6).map(|number| (10_000 + 80 * number, 1.0 / 6.0)).collect();
        let fleet = run(size, seed, setup);
        assert_not_blamed(&fleet, NEW, 13_500);
    }
}

#[test]
fn a_new_part_is_not_blamed_for_a_rolling_outage() {
    assert_new_part_is_not_blamed(SMALL, [200, 201]);
}

#[test]
fn a_new_part_is_not_blamed_for_a_rolling_outage_of_a_large_fleet() {
    assert_new_part_is_not_blamed(LARGE, [202, 203]);
}

/// One engine in eighteen crashes by itself every 0.6 s, and requests with the part run at some of
/// them each time.
fn assert_served_part_is_not_blamed(size: (usize, usize), seeds: [u64; 2]) {
    const MOSTLY_SERVED: usize = 1;
    for seed in seeds {
        let mut setup = sound_setup();
        setup.traffic[SOUND].parts = vec!["common"];
        setup.traffic.push(traffic(8.0, &["common", "popular"], 0, END));
        setup.unrelated_crashes =
            (0..50).map(|number| (8_000 + 600 * number, 1.0 / 18.0)).collect();
        let fleet = run(size, seed, setup);
        assert_not_blamed(&fleet, MOSTLY_SERVED, 8_000);
    }
}

#[test]
fn a_part_that_is_mostly_served_is_not_blamed_for_other_crashes() {
    assert_served_part_is_not_blamed(SMALL, [204, 205]);
}

#[test]
fn a_large_fleet_does_not_blame_a_part_that_is_mostly_served() {
    assert_served_part_is_not_blamed(LARGE, [206, 207]);
}

/// All engines crash under prompts with both parts, of which only one was ever served without the
/// other. Later, prompts with the other part alone arrive.
fn assert_companion_hides_nothing(size: (usize, usize), seeds: [u64; 2]) {
    const BOTH: usize = 1;
    const COMPANION: usize = 2;
    const GUILTY: usize = 3;
    for seed in seeds {
        let mut setup = sound_setup();
        setup.traffic.push(traffic(10.0, &["common", "bad", "companion"], 10_000, END));
        setup.traffic.push(traffic(1.0, &["common", "companion"], 0, END));
        setup.traffic.push(traffic(20.0, &["common", "bad"], 20_000, END));
        setup.culprits = vec![("bad", 1.0, 0)];
        let fleet = run(size, seed, setup);
        let fifth = fleet.fifth_crash("bad");
        let reached = [BOTH, GUILTY].map(|kind| fleet.sends_after(kind, fifth + ms(CONTACT)));
        let all: usize = reached.iter().sum();
        assert!(all <= ALLOWED_SENDS, "{reached:?} sends, fifth crash at {fifth:?}");
        let before = fleet.begun_share(COMPANION, Tick::default(), at(10_000));
        let after = fleet.begun_share(COMPANION, fifth + ms(2 * CONTACT), at(END));
        assert!(after >= MIN_BEGUN * before, "begun {after:.2}, before {before:.2}");
    }
}

#[test]
fn a_companion_does_not_let_prompts_with_the_crashing_part_through() {
    assert_companion_hides_nothing(SMALL, [208, 209]);
}

#[test]
fn a_companion_does_not_let_prompts_through_in_a_large_fleet() {
    assert_companion_hides_nothing(LARGE, [210, 211]);
}
