//! The model of an engine's passes.

use shalelane::relay::pass_model::{PassModel, StreamLoad};

use crate::fixture::{OBSERVER, at, key, ms, rates, short_load};

fn model_with(writers: u64) -> PassModel {
    let mut model = PassModel::new(rates(), OBSERVER);
    for number in 0..writers {
        model.add(key(number), short_load(), at(0));
    }
    model
}

#[test]
fn a_pass_lasts_as_the_rates_say() {
    let mut model = model_with(1);
    // The first prompt is read at once: 20 ms, then a pass of writing follows.
    model.advance(at(25));
    let forecast = model.forecast(&short_load(), at(25));
    let steady = 46.0 * (0.925 + 0.00483 + 0.00254 * 5.8);
    let rest = 20.0 + steady - 25.0;
    let expected = rest + 20.0 + steady;
    let foretold = forecast.first.as_secs_f64() * 1e3;
    assert!((foretold - expected).abs() < 0.5, "{foretold} against {expected}");
}

#[test]
fn what_waits_is_read_in_the_next_pass_and_counts_together() {
    let mut model = model_with(8);
    model.advance(at(100));
    let long = StreamLoad { read_us: 80_000, passes: 0, ..short_load() };
    let alone = model.forecast(&long, at(100)).pass;
    model.add(key(100), long, at(100));
    let both = model.forecast(&long, at(101)).pass;
    assert_eq!(both, alone + ms(80));
}

/// Past failure: parts of several prompts fell into one pass, each foretold to
/// be alone, since the model had turned the pass at its foretold end.
#[test]
fn a_pass_that_is_due_is_not_over_before_its_events_come() {
    let mut model = model_with(8);
    model.advance(at(1_000));
    model.note_pass(at(1_010));
    let length = model.forecast(&StreamLoad { read_us: 0, ..short_load() }, at(1_010)).pass;
    let part = StreamLoad { read_us: 80_000, passes: 0, ..short_load() };
    model.add(key(100), part, at(1_020));
    let late = at(1_010) + length + ms(60);
    model.advance(late);
    let second = model.forecast(&part, late);
    assert!(second.pass >= length + ms(160), "the first part was thought to be read");
    model.note_pass(late + ms(1));
    let third = model.forecast(&part, late + ms(2));
    assert!(third.pass < length + ms(100), "the first part is being read now");
}

#[test]
fn a_pass_over_the_pause_of_its_writers_harms_them() {
    let mut model = model_with(10);
    model.advance(at(300));
    let small = StreamLoad { read_us: 50_000, passes: 0, ..short_load() };
    let large = StreamLoad { read_us: 300_000, passes: 0, ..short_load() };
    assert!(model.forecast(&small, at(300)).harm <= 0.0);
    let harm = model.forecast(&large, at(300)).harm;
    assert!((harm - 15.0).abs() < 0.01, "ten writers of 1.5 each: {harm}");
}

#[test]
fn a_writer_that_is_late_already_has_nothing_more_to_lose() {
    let mut model = model_with(4);
    let large = StreamLoad { read_us: 400_000, passes: 0, ..short_load() };
    model.advance(at(300));
    model.note_pass(at(300));
    model.add(key(100), large, at(301));
    model.note_pass(at(350));
    model.note_pass(at(800));
    assert!(model.forecast(&large, at(801)).harm <= 0.0);
}

#[test]
fn streams_whose_end_was_lost_are_forgotten_in_the_end() {
    let mut model = PassModel::new(rates(), OBSERVER + 1);
    model.add(key(1), short_load(), at(0));
    model.advance(at(60_000));
    assert!(model.is_empty());
}
