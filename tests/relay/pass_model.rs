//! The model of an engine's passes, compared with times measured on engines with one scripted
//! prompt after the other.

use shalelane::relay::decide::pass_model::PassModel;
use shalelane::relay::decide::stream_load::StreamLoad;

use crate::fixture::{OBSERVER, at, helper_load, key, ms, rates, shard_load, short_load};

fn model_with_streams(streams: u64) -> PassModel {
    model_seen_by(OBSERVER, streams)
}

/// A model whose streams belong to another entry, so that passes end as predicted.
fn model_of_another_entry(streams: u64) -> PassModel {
    model_seen_by(OBSERVER + 1, streams)
}

fn model_seen_by(observer: u64, streams: u64) -> PassModel {
    let mut model = PassModel::new(rates(), observer);
    for number in 0..streams {
        model.add(key(number), short_load(), at(0));
    }
    model
}

/// The time at which the model considers a stream as prefilled, in steps of a millisecond.
fn prefilled_at(model: &mut PassModel, from: u64, is_done: impl Fn(&PassModel) -> bool) -> u64 {
    (from..from + 10_000)
        .find(|millis| {
            model.advance(at(*millis));
            is_done(model)
        })
        .expect("the stream is prefilled within 10 s")
}

#[track_caller]
fn assert_near(predicted: u64, measured: u64) {
    let difference = predicted.abs_diff(measured);
    assert!(difference <= 30, "predicted {predicted} ms, measured {measured} ms");
}

fn time_to_prefill_ms(model: &mut PassModel, load: &StreamLoad, now: u64) -> u64 {
    model.advance(at(now));
    model.forecast(load, at(now)).time_to_prefill.as_millis() as u64
}

#[test]
fn the_length_of_a_pass_follows_the_rates() {
    let mut model = model_with_streams(1);
    // The first prompt is prefilled at once: 20 ms and its token steps. Then a decoding pass
    // follows.
    model.advance(at(25));
    let prefill_ms = 20.0 + 0.925 * 5_000.0 / 2_048.0;
    let steady_ms = 46.0 * (0.925 + 0.00483 + 0.00254 * 5.8);
    let expected = prefill_ms + steady_ms - 25.0 + 20.0 + steady_ms;
    let predicted = model.forecast(&short_load(), at(25)).time_to_prefill.as_secs_f64() * 1e3;
    assert!((predicted - expected).abs() < 0.5, "predicted {predicted} ms, expected {expected} ms");
}

#[test]
fn whole_and_sharded_prompts_are_prefilled_in_the_measured_time() {
    let mut model = PassModel::new(rates(), OBSERVER);
    assert_near(time_to_prefill_ms(&mut model, &shard_load(200_040, 1), 0), 2_714);
    assert_near(time_to_prefill_ms(&mut model, &shard_load(200_040, 2), 0), 1_358);
    assert_near(time_to_prefill_ms(&mut model, &shard_load(50_040, 2), 0), 166);
}

/// Regression: shards were assumed to be prefilled in order of arrival. Prompts predicted to be
/// prefilled in 0.4 s took 9 s in a long burst.
#[test]
fn the_newest_shard_is_prefilled_before_older_shards() {
    let mut model = PassModel::new(rates(), OBSERVER);
    model.add(key(1), helper_load(200_040, 2), at(0));
    assert_near(time_to_prefill_ms(&mut model, &helper_load(200_040, 3), 101), 905);
    model.add(key(2), helper_load(200_040, 3), at(101));
    assert_near(time_to_prefill_ms(&mut model, &helper_load(50_040, 2), 201), 166);
    model.add(key(3), helper_load(50_040, 2), at(201));
    assert_near(prefilled_at(&mut model, 201, |model| model.len() == 2), 392);
    assert_near(prefilled_at(&mut model, 392, |model| model.len() == 1), 1_199);
    assert_near(prefilled_at(&mut model, 1_199, PassModel::is_empty), 2_428);
}

#[test]
fn a_whole_prompt_waits_for_earlier_prompts_and_for_later_shards() {
    let mut model = PassModel::new(rates(), OBSERVER);
    model.add(key(1), shard_load(200_040, 1), at(0));
    assert_near(time_to_prefill_ms(&mut model, &shard_load(50_040, 1), 100), 3_011);
    model.add(key(2), helper_load(200_040, 2), at(300));
    let only_whole_prompts = |model: &PassModel| model.loads().all(|(_, load)| load.has_decode());
    assert_near(prefilled_at(&mut model, 300, only_whole_prompts), 1_667);
    assert_near(time_to_prefill_ms(&mut model, &shard_load(50_040, 1), 1_667), 4_071 - 1_667 + 395);
}

#[test]
fn a_pass_with_decoding_streams_prefills_a_bounded_number_of_tokens() {
    let mut model = model_of_another_entry(1);
    model.advance(at(200));
    let forecast = model.forecast(&shard_load(200_040, 2), at(200));
    // Two passes: the first prefills most of the shard, the second its rest.
    assert_near(forecast.time_to_prefill.as_millis() as u64, 1_436);
}

#[test]
fn shards_beside_a_decoding_stream_share_its_passes() {
    let mut model = model_of_another_entry(1);
    model.advance(at(200));
    model.add(key(100), shard_load(200_040, 2), at(200));
    // The second shard goes first: it is prefilled with the second pass, the first shard with
    // the third.
    assert_near(time_to_prefill_ms(&mut model, &shard_load(200_040, 2), 211), 2_489);
}

/// Loss of sharded prompts by a load that is sent at `now`.
fn shard_delay_cost(model: &PassModel, load: &StreamLoad, now: u64) -> f32 {
    let snapshot = model.snapshot(at(now));
    let starts = snapshot.prefill_shards();
    let start = |key| starts.iter().find(|shard| shard.key == key).unwrap().first_event;
    let forecast = snapshot.forecast(load);
    forecast.delayed_shards.iter().map(|shard| shard.delay_cost(start(shard.key))).sum()
}

#[test]
fn a_sharded_prompt_loses_by_a_shard_that_overtakes_it() {
    let mut model = PassModel::new(rates(), OBSERVER);
    let first = StreamLoad { first_event_limit_us: 1_800_000, ..helper_load(200_040, 2) };
    model.add(key(1), first, at(0));
    model.advance(at(200));
    let delay_cost = shard_delay_cost(&model, &helper_load(200_040, 2), 200);
    assert!(delay_cost > first.value * 0.7, "the prompt is late by the shard: {delay_cost}");
    let started_late =
        StreamLoad { first_event_us: 2_700_000, first_event_limit_us: 9_000_000, ..first };
    let mut model = PassModel::new(rates(), OBSERVER);
    model.add(key(1), started_late, at(0));
    model.advance(at(200));
    let delay_cost = shard_delay_cost(&model, &helper_load(200_040, 2), 200);
    assert!(
        delay_cost < first.value * 0.01,
        "other shards of the prompt finish later still: {delay_cost}"
    );
}

/// Regression: the model ended a pass at its predicted end. Shards of several prompts fell into
/// one pass, and each was predicted to be alone there.
#[test]
fn a_due_pass_is_not_over_before_its_events_arrive() {
    let mut model = model_with_streams(8);
    model.advance(at(1_000));
    model.record_pass_end(at(1_010));
    let nothing = StreamLoad { prefill_us: 0, tokens: 0, ..short_load() };
    let length = model.forecast(&nothing, at(1_010)).steady_pass;
    let prefill = StreamLoad { prefill_us: 80_000, passes: 0, ..short_load() };
    model.add(key(100), prefill, at(1_020));
    let late = at(1_010) + length + ms(60);
    model.advance(late);
    let before = model.forecast(&prefill, late);
    assert!(before.time_to_prefill >= length + ms(150), "the first prefill is not finished yet");
    model.record_pass_end(late + ms(1));
    let after = model.forecast(&prefill, late + ms(2));
    assert!(after.time_to_prefill < length * 2 + ms(170), "the first prefill is in progress");
}

/// Regression: a shard arrived just after its engine had started a pass and was assumed to be
/// in that pass. The events of the pass came 45 ms later and marked the shard as prefilled, so
/// that short prompts were sent to an engine that prefilled for 3.8 s.
#[test]
fn a_prefill_does_not_finish_in_a_pass_that_is_too_short_for_it() {
    let mut model = model_with_streams(1);
    model.record_pass_end(at(205));
    model.add(key(100), helper_load(600_000, 10), at(230));
    model.record_pass_end(at(235));
    model.record_pass_end(at(280));
    let left_ms = time_to_prefill_ms(&mut model, &short_load(), 281);
    assert!(left_ms > 1_000, "predicted {left_ms} ms while the engine prefills the shard");
    let count = model.len();
    model.record_pass_end(at(280 + left_ms));
    assert_eq!(model.len(), count - 1, "the shard is prefilled now");
}

/// The queue keeps its order when prefills are put back into it.
#[test]
fn a_requeued_prefill_stays_behind_newer_shards() {
    let mut model = model_with_streams(1);
    model.record_pass_end(at(205));
    model.add(key(100), helper_load(600_000, 10), at(230));
    model.record_pass_end(at(235));
    model.add(key(101), helper_load(600_000, 10), at(240));
    model.record_pass_end(at(280));
    model.record_pass_end(at(2_000));
    let time_left = model.time_to_prefill(key(101), at(2_001));
    assert!(time_left.is_zero(), "the newest shard goes first: {time_left:?}");
}

#[test]
fn a_pass_longer_than_the_pause_limit_costs_its_streams() {
    let mut model = model_with_streams(10);
    model.advance(at(300));
    let small = StreamLoad { prefill_us: 50_000, passes: 0, ..short_load() };
    let large = StreamLoad { prefill_us: 300_000, passes: 0, ..short_load() };
    assert!(model.forecast(&small, at(300)).delay_cost <= 0.0);
    let delay_cost = model.forecast(&large, at(300)).delay_cost;
    // The first stream is late already: it waited while the nine others were prefilled.
    assert!(
        (delay_cost - 9.0 * 1.5 * 0.75).abs() < 0.01,
        "nine streams with a value of 1.5 each: {delay_cost}"
    );
    model.add(key(100), StreamLoad { first_event_limit_us: 60_000_000, ..large }, at(300));
    let extra_cost = model.forecast(&large, at(301)).delay_cost;
    assert!(
        extra_cost < 0.01,
        "the pass is too long for the streams anyway: {extra_cost} {:?}",
        model.forecast(&large, at(301))
    );
}

#[test]
fn the_forecast_includes_the_pause_after_the_first_event() {
    let mut model = PassModel::new(rates(), OBSERVER);
    model.add(key(1), helper_load(200_040, 2), at(0));
    model.advance(at(100));
    let forecast = model.forecast(&shard_load(50_040, 2), at(100));
    assert!(forecast.longest_pause > ms(1_100), "{forecast:?}");
}

#[test]
fn a_late_stream_has_nothing_more_to_lose() {
    let mut model = model_with_streams(4);
    let large = StreamLoad { prefill_us: 400_000, passes: 0, ..short_load() };
    model.advance(at(300));
    model.record_pass_end(at(300));
    model.add(key(100), large, at(301));
    model.record_pass_end(at(350));
    model.record_pass_end(at(800));
    assert!(model.forecast(&large, at(801)).delay_cost <= 0.0);
}

#[test]
fn the_first_event_of_a_stream_shows_that_it_is_prefilled() {
    let mut model = PassModel::new(rates(), OBSERVER);
    model.add(key(1), shard_load(200_040, 1), at(0));
    model.record_first_event(key(1), at(500));
    model.advance(at(501));
    assert!(time_to_prefill_ms(&mut model, &short_load(), 501) < 200);
}

#[test]
fn streams_whose_end_was_lost_are_dropped_eventually() {
    let mut model = PassModel::new(rates(), OBSERVER + 1);
    model.add(key(1), short_load(), at(0));
    model.advance(at(60_000));
    assert!(model.is_empty());
}

/// Regression: prompts that were overtaken in the queue were considered lost and were prefilled
/// again on another engine.
#[test]
fn a_queued_prompt_is_known_to_wait() {
    let mut model = PassModel::new(rates(), OBSERVER);
    model.add(key(1), helper_load(200_040, 2), at(0));
    model.add(key(2), helper_load(200_040, 2), at(500));
    model.advance(at(1_000));
    assert_near(model.time_to_prefill(key(1), at(1_000)).as_millis() as u64, 1_716);
    model.advance(at(2_800));
    assert!(model.time_to_prefill(key(1), at(2_800)).is_zero(), "the prompt is prefilled");
}

#[test]
fn the_end_of_a_long_pass_is_predicted() {
    let mut model = model_of_another_entry(1);
    model.advance(at(200));
    model.add(key(100), helper_load(200_040, 2), at(200));
    let left_ms = |model: &mut PassModel, now| model.time_to_pass_end(at(now)).as_millis() as u64;
    assert_near(left_ms(&mut model, 300), 1_165);
    assert!(left_ms(&mut PassModel::new(rates(), OBSERVER), 300) == 0, "no stream decodes");
}
