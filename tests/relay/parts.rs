//! Quarantine of parts of prompts that crash engines, in virtual time.
//!
//! The bounds are those of the platform: after the fifth crash and three seconds, three requests
//! with the part reach engines; from six seconds on, sound requests begin at their first attempt
//! at least half as often as before.

use crate::fixture::{at, ms};
use crate::part_fleet::PartFleet;
use crate::part_setup::{FleetSetup, Traffic};
use shalelane::time::Tick;

/// Fleets: entries and engines.
const SMALL: (usize, usize) = (5, 18);
const LARGE: (usize, usize) = (402, 585);

const SOUND: usize = 0;
const BAD: usize = 1;

/// Time after the fifth crash from which the number of sends is bounded.
const CONTACT: u64 = 3_000;
const ALLOWED_SENDS: usize = 3;

fn traffic(per_second: f64, parts: &[&'static str], from: u64, until: u64) -> Traffic {
    Traffic { per_second, parts: parts.to_vec(), from, until }
}

/// Sound requests, of which all share the first part and some the second, and bad ones from the
/// tenth second on.
fn setup((entries, engines): (usize, usize), seed: u64) -> FleetSetup {
    // Engines of a small fleet run eight requests at a time, those of a large one fewer.
    FleetSetup {
        traffic: vec![
            traffic(100.0, &["common", "account*"], 0, 40_000),
            traffic(10.0, &["common", "account*", "bad"], 10_000, 40_000),
        ],
        culprits: vec![("bad", 1.0, 0)],
        ..FleetSetup::new(entries, engines, seed)
    }
}

fn run(setup: FleetSetup) -> PartFleet {
    println!("seed {}", setup.seed);
    let mut fleet = PartFleet::new(setup);
    fleet.run_until(at(40_000));
    fleet
}

fn assert_bounded(fleet: &PartFleet, part: &str, kind: usize) {
    let fifth = fleet.fifth_crash(part);
    let sends = fleet.sends_after(kind, fifth + ms(CONTACT));
    let crashes = fleet.crashes[part].len();
    assert!(sends <= ALLOWED_SENDS, "{sends} sends, {crashes} crashes, fifth at {fifth:?}");
}

fn assert_sound(fleet: &PartFleet, part: &str) {
    let from = fleet.fifth_crash(part) + ms(2 * CONTACT);
    let before = fleet.begun_share(SOUND, Tick::default(), at(10_000));
    let after = fleet.begun_share(SOUND, from, at(40_000));
    assert!(after >= 0.5 * before, "begun {after:.2}, before {before:.2}");
    let only: Vec<_> = fleet.quarantined().into_iter().collect();
    assert!(only.iter().all(|set| set.split('+').any(|name| name == part)), "{only:?}");
}

#[test]
fn each_crash_under_another_request_at_another_entry() {
    for (size, seed) in [(SMALL, 1), (SMALL, 2), (LARGE, 3)] {
        let fleet = run(setup(size, seed));
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
        println!("{} crashes, {} messages", fleet.crashes["bad"].len(), fleet.messages);
    }
}

#[test]
fn entries_learn_of_a_part_while_the_store_is_away() {
    for (size, seed) in [(SMALL, 4), (LARGE, 5)] {
        let fleet = run(FleetSetup { has_store: false, ..setup(size, seed) });
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
    }
}

#[test]
fn twenty_requests_a_second_with_the_part() {
    for (size, seed) in [(SMALL, 6), (LARGE, 7)] {
        let mut setup = setup(size, seed);
        setup.traffic[BAD].per_second = 20.0;
        setup.traffic[SOUND].per_second = 200.0;
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
    }
}

#[test]
fn a_part_that_comes_rarely() {
    for (size, seed) in [(SMALL, 8), (LARGE, 9)] {
        let mut setup = setup(size, seed);
        setup.traffic[BAD].per_second = 0.7;
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
    }
}

/// The part is found at each place of a prompt but the last one.
#[test]
fn the_place_of_the_part_does_not_matter() {
    for (seed, parts) in [
        (10, vec!["bad", "common", "account*"]),
        (11, vec!["common", "bad", "account*"]),
        (12, vec!["common", "account*", "bad"]),
    ] {
        let mut setup = setup(SMALL, seed);
        setup.traffic[BAD].parts = parts;
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
    }
}

/// Parts that always come together are quarantined together, so that a prompt with one of them
/// decides between them.
#[test]
fn parts_that_always_come_together_are_told_apart_by_the_first_prompt_with_one() {
    const TWIN: usize = 2;
    let mut setup = setup(SMALL, 13);
    setup.traffic[BAD].parts = vec!["common", "bad", "twin"];
    setup.traffic[BAD].until = 25_000;
    setup.traffic.push(traffic(2.0, &["common", "twin"], 25_000, 40_000));
    setup.traffic.push(traffic(2.0, &["common", "bad"], 30_000, 40_000));
    let fleet = run(setup);
    assert_bounded(&fleet, "bad", BAD);
    let begun = fleet.begun_share(TWIN, at(25_000), at(40_000));
    assert!(begun > 0.9, "prompts with the sound twin begin: {begun:.2}");
    let sends = fleet.sends_after(TWIN + 1, at(30_000));
    assert!(sends <= ALLOWED_SENDS, "{sends} prompts with the crashing twin were sent");
}

#[test]
fn two_parts_at_once_on_two_routes() {
    for (size, seed) in [(SMALL, 14), (LARGE, 15)] {
        let mut setup = setup(size, seed);
        setup.traffic.push(traffic(5.0, &["other", "account*", "worse"], 10_000, 40_000));
        setup.culprits.push(("worse", 1.0, 0));
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_bounded(&fleet, "worse", 2);
        let from = fleet.fifth_crash("worse").max(fleet.fifth_crash("bad")) + ms(2 * CONTACT);
        assert!(fleet.begun_share(SOUND, from, at(40_000)) > 0.5);
    }
}

#[test]
fn a_second_part_that_begins_after_the_first_is_known() {
    for (size, seed) in [(SMALL, 16), (LARGE, 17)] {
        let mut setup = setup(size, seed);
        setup.traffic.push(traffic(5.0, &["common", "account*", "worse"], 20_000, 40_000));
        setup.culprits.push(("worse", 1.0, 0));
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_bounded(&fleet, "worse", 2);
        let from = fleet.fifth_crash("worse") + ms(2 * CONTACT);
        assert!(fleet.begun_share(SOUND, from, at(40_000)) > 0.9);
    }
}

/// Engines that crash by themselves, a domain at a time or all together, and again.
#[test]
fn unrelated_crashes_quarantine_nothing() {
    for (size, seeds) in [(SMALL, 100..130), (LARGE, 130..133)] {
        for seed in seeds {
            let mut setup = setup(size, seed);
            setup.culprits.clear();
            setup.traffic[SOUND].per_second = 60.0;
            setup.unrelated_crashes = (0..10)
                .map(|number| (8_000 + 2_900 * number, [0.06, 0.33, 1.0][number as usize % 3]))
                .collect();
            let fleet = run(setup);
            assert!(fleet.quarantined().is_empty(), "seed {seed}: {:?}", fleet.quarantined());
        }
    }
}

/// Spot ends and a lost domain while a part crashes engines: the part is found, nothing else.
#[test]
fn a_part_is_found_among_unrelated_crashes() {
    for (size, seed) in [(SMALL, 18), (SMALL, 19), (LARGE, 20)] {
        let mut setup = setup(size, seed);
        setup.unrelated_crashes = vec![(9_500, 0.06), (10_300, 0.33), (12_000, 0.06)];
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
    }
}

/// A part that was served until the engines changed, and since then crashes one in two.
#[test]
fn a_part_that_crashes_every_second_engine_is_quarantined() {
    for (size, seed) in [(SMALL, 21), (SMALL, 22), (LARGE, 23)] {
        let mut setup = setup(size, seed);
        setup.traffic[BAD].from = 0;
        setup.traffic[BAD].per_second = 3.0;
        setup.culprits = vec![("bad", 0.5, 10_000)];
        let fleet = run(setup);
        let quarantined = fleet.quarantined();
        assert!(quarantined.contains("bad"), "{quarantined:?}");
        assert_sound(&fleet, "bad");
        let crashes = fleet.crashes["bad"].len();
        assert!(crashes <= 20, "{crashes} crashes");
    }
}

/// Crashes that are heard of late, reports that are lost, agents that restart.
#[test]
fn late_and_lost_reports() {
    for (size, seed) in [(SMALL, 24), (LARGE, 25)] {
        let mut setup = setup(size, seed);
        setup.loss = 0.1;
        setup.detection_ms = 1_000;
        setup.agent_restarts = vec![10_600];
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
    }
}

/// Entries that restart or are frozen while the store is away.
#[test]
fn entries_that_restart_or_freeze_without_the_store() {
    for (size, seed) in [(SMALL, 26), (LARGE, 27)] {
        let mut setup = setup(size, seed);
        setup.has_store = false;
        setup.freezes = vec![(9_000, 14_000, 0)];
        setup.entry_restarts = vec![(10_500, 1), (16_000, 2), (25_000, 3)];
        let fleet = run(setup);
        assert_bounded(&fleet, "bad", BAD);
        assert_sound(&fleet, "bad");
    }
}

/// Entries of the version before know nothing of parts; the others keep the bound for themselves.
#[test]
fn entries_of_the_version_before_do_not_hide_the_part() {
    let mut setup = setup(SMALL, 28);
    setup.old_entries = 2;
    let fleet = run(setup);
    let fifth = fleet.fifth_crash("bad") + ms(CONTACT);
    let later = fleet.arrivals.iter().filter(|arrival| arrival.at > fifth && arrival.kind == BAD);
    let sends = later.filter(|arrival| arrival.reached_engine && arrival.entry >= 2).count();
    assert!(sends <= ALLOWED_SENDS, "{sends} sends by entries of this version");
}

/// After ten minutes one request of the whole fleet is the probe; once it is served, all are sent.
#[test]
fn a_mended_engine_gets_requests_with_the_part_again() {
    let mut setup = setup(SMALL, 29);
    setup.traffic[BAD].until = 700_000;
    setup.traffic[SOUND].per_second = 5.0;
    setup.traffic[SOUND].until = 700_000;
    let mut broken = PartFleet::new(setup.clone());
    broken.run_until(at(700_000));
    let probes = broken.sends_after(BAD, at(20_000));
    assert_eq!(probes, 1, "one probe over all entries");
    setup.mended_at = Some(300_000);
    let mut mended = PartFleet::new(setup);
    mended.run_until(at(700_000));
    assert!(mended.begun_share(BAD, at(640_000), at(700_000)) > 0.95);
    assert!(mended.sends_after(BAD, at(20_000)) > 100);
}
