//! Placement of prompts and plain calls.

use std::collections::HashSet;

use shalelane::relay::decide::group_search::place_prompt;
use shalelane::relay::decide::placement::{
    PermitPolicy, Placement, PlacementAction, PlacementQuery, PromptNeed, TargetScope, place_call,
};
use shalelane::relay::decide::policy::RelayPolicy;
use shalelane::relay::decide::service_scope::ServiceScope;
use shalelane::relay::decide::stream_load::StreamLoad;
use shalelane::relay::decide::targets::{TargetFault, TargetSet};

use crate::fixture::{
    at, check, engines, helper_load, key, ms, name, need, shard_load, short_load,
};

pub const ANY_QUERY: PlacementQuery<'static> = PlacementQuery {
    service: ServiceScope::of("engines"),
    failure_domain: "here",
    scope: TargetScope::Untried(&[]),
    permit: PermitPolicy::Immediate,
    entry: 1,
    policy: &RelayPolicy::DEFAULT,
};

fn place(set: &TargetSet, need: &PromptNeed) -> Option<Placement> {
    place_prompt(set, &ANY_QUERY, need, at(1_000))
}

fn action(placement: &Placement, need: &PromptNeed) -> PlacementAction {
    placement.decide(need, ms(100), &RelayPolicy::DEFAULT)
}

/// Adds short decoding streams to the first `engines` engines.
fn occupy(set: &mut TargetSet, engines: usize, streams: u64) {
    for number in 0..engines {
        let target = set.get_mut(&format!("e{number}")).unwrap();
        let model = target.model.as_mut().unwrap();
        for stream in 0..streams {
            model.add(key(number as u64 * 100 + stream), short_load(), at(0));
        }
        model.advance(at(1_000));
    }
}

#[test]
fn short_prompts_are_packed_on_one_engine() {
    let mut set = engines(6);
    occupy(&mut set, 1, 6);
    assert_eq!(place(&set, &need(5_000)).unwrap().target, name("e0"));
}

#[test]
fn a_full_engine_gets_no_more_prompts() {
    let mut set = engines(6);
    occupy(&mut set, 1, 16);
    assert_ne!(place(&set, &need(5_000)).unwrap().target, name("e0"));
}

/// Regression: entries that chose at the same moment overfilled an engine, and one in twenty
/// short prompts waited there for another request to end.
#[test]
fn the_last_slot_is_left_free_while_another_engine_has_more() {
    let mut set = engines(2);
    occupy(&mut set, 1, 15);
    let model = set.get_mut("e1").unwrap().model.as_mut().unwrap();
    for number in 0..4 {
        model.add(key(1_000 + number), short_load(), at(0));
    }
    assert_eq!(place(&set, &need(5_000)).unwrap().target, name("e1"));
}

#[test]
fn long_prompts_are_sharded_over_engines_without_short_streams() {
    let mut set = engines(12);
    occupy(&mut set, 4, 10);
    let placement = place(&set, &need(210_000)).unwrap();
    assert!(placement.helpers.len() >= 5, "{placement:?}");
    let members: Vec<_> = placement.helpers.iter().chain([&placement.target]).collect();
    assert!(members.iter().all(|member| !["e0", "e1", "e2", "e3"].contains(&&***member)));
}

#[test]
fn a_prompt_larger_than_one_engine_reserves_memory_on_helpers() {
    let set = engines(6);
    let need = need(900_000);
    let placement = place(&set, &need).unwrap();
    let reserved: u64 = placement.reservations.iter().map(|reservation| reservation.tokens).sum();
    assert!(reserved + 405_000 >= need.prompt_tokens + need.answer_tokens);
    assert!(
        placement
            .reservations
            .iter()
            .all(|reservation| placement.helpers.contains(&reservation.target))
    );
}

#[test]
fn a_prompt_larger_than_the_memory_of_all_engines_is_not_placed() {
    assert!(place(&engines(2), &need(950_000)).is_none());
}

#[test]
fn a_prompt_that_costs_more_than_its_value_is_refused() {
    let mut set = engines(3);
    occupy(&mut set, 3, 18);
    let need = need(5_000);
    let placement = place(&set, &need).unwrap();
    assert_eq!(action(&placement, &need), PlacementAction::Refuse, "{placement:?}");
}

/// A placement on an engine whose queue takes `seconds` to prefill.
fn late_placement(seconds: u64) -> Placement {
    let mut set = engines(1);
    let model = set.get_mut("e0").unwrap().model.as_mut().unwrap();
    let queue = StreamLoad { prefill_us: seconds * 1_000_000, ..shard_load(300_000, 1) };
    model.add(key(1), queue, at(1_000));
    place(&set, &need(50_000)).unwrap()
}

/// Regression: whether a request was refused depended on a fraction of the limit, and a refusal
/// counted as if the request were served later.
#[test]
fn a_late_prompt_is_served_if_no_other_request_loses_by_it() {
    let placement = late_placement(4);
    let need = need(50_000);
    assert!(placement.first_event > need.first_event_limit);
    assert_ne!(action(&placement, &need), PlacementAction::Refuse, "{placement:?}");
}

#[test]
fn a_prompt_that_can_not_be_served_before_its_deadline_is_refused() {
    let placement = late_placement(4);
    for waited in [0, 200, 2_000] {
        let need = PromptNeed { waited: ms(waited), time_left: ms(3_900), ..need(50_000) };
        assert_eq!(action(&placement, &need), PlacementAction::Refuse);
    }
}

#[test]
fn a_prompt_waits_while_this_saves_others_more_than_it_loses() {
    let need = need(210_000);
    let placement =
        Placement { first_event: ms(500), delay_cost: 6.0, own_loss: 1.0, ..late_placement(1) };
    assert_eq!(action(&placement, &need), PlacementAction::Wait);
    assert_eq!(action(&Placement { delay_cost: 0.1, ..placement }, &need), PlacementAction::Send);
}

/// Regression: an admitted prompt waited and was then placed where it stalled the short streams
/// of six engines.
#[test]
fn a_prompt_that_waited_is_refused_if_it_costs_others_more_than_its_value() {
    let need = PromptNeed { waited: ms(400), ..need(210_000) };
    let delay_cost = need.value() * 1.2;
    let placement =
        Placement { first_event: ms(1_900), delay_cost, own_loss: 4.0, ..late_placement(1) };
    assert_eq!(action(&placement, &need), PlacementAction::Refuse);
}

#[test]
fn a_failing_target_is_ejected_unless_all_fail() {
    let mut set = engines(2);
    let fault = TargetFault::Broken;
    assert!(set.get_mut("e0").unwrap().record_failure(fault, at(1_000)).is_some());
    assert_eq!(place_call(&set, &ANY_QUERY, at(1_001)).unwrap().target, name("e1"));
    assert!(set.get_mut("e1").unwrap().record_failure(fault, at(1_000)).is_some());
    assert!(place_call(&set, &ANY_QUERY, at(1_001)).is_some());
}

#[test]
fn a_tried_target_is_not_tried_again() {
    let set = engines(2);
    let tried = [name("e0")];
    let query = PlacementQuery { scope: TargetScope::Untried(&tried), ..ANY_QUERY };
    assert_eq!(place_call(&set, &query, at(0)).unwrap().target, name("e1"));
    let tried = [name("e0"), name("e1")];
    let query = PlacementQuery { scope: TargetScope::Untried(&tried), ..ANY_QUERY };
    assert!(place_call(&set, &query, at(0)).is_none());
    let query = PlacementQuery { scope: TargetScope::Only(&tried[1..]), ..ANY_QUERY };
    assert_eq!(place_call(&set, &query, at(0)).unwrap().target, name("e1"));
}

#[test]
fn every_placement_is_valid() {
    fn property(count: u8, loads: Vec<(u8, u8)>, prompt: u32) -> bool {
        let count = count % 20 + 1;
        let mut set = engines(count);
        for (number, (target, streams)) in loads.into_iter().enumerate() {
            let target = set.get_mut(&format!("e{}", target % count)).unwrap();
            let model = target.model.as_mut().unwrap();
            for stream in 0..streams % 20 {
                model.add(key(number as u64 * 100 + u64::from(stream)), short_load(), at(0));
            }
            model.advance(at(1_000));
        }
        let need = need(u64::from(prompt % 1_000_000) + 1);
        let Some(placement) = place(&set, &need) else { return true };
        let members: HashSet<_> = placement.helpers.iter().chain([&placement.target]).collect();
        let reserved: u64 =
            placement.reservations.iter().map(|reservation| reservation.tokens).sum();
        members.len() == placement.helpers.len() + 1
            && placement.helpers.len() <= RelayPolicy::DEFAULT.most_helpers
            && placement.reservations.len() <= placement.helpers.len()
            && placement
                .reservations
                .iter()
                .zip(&placement.helpers)
                .all(|(reservation, helper)| reservation.target == *helper)
            && reserved + 450_000 >= need.prompt_tokens + need.answer_tokens
    }
    check(property as fn(u8, Vec<(u8, u8)>, u32) -> bool);
}

/// Regression: engines that only help were evaluated as if they decoded, so that queued prompts
/// there seemed to gain by it.
#[test]
fn a_helper_is_not_evaluated_as_a_decoding_engine() {
    let mut set = engines(3);
    for target in set.iter_mut() {
        let model = target.model.as_mut().unwrap();
        // The first prompt decodes soon and waits for the pass that prefills the second.
        for (number, load) in [(2, helper_load(800_000, 16)), (1, shard_load(50_040, 2))] {
            model.add(
                key(number),
                StreamLoad { first_event_limit_us: 600_000_000, ..load },
                at(990),
            );
        }
        model.advance(at(1_000));
    }
    let placement = place(&set, &need(300_000)).unwrap();
    // On the engine that decodes they share a pass, which spares them a pause.
    let gain = need(50_040).value() * 0.75;
    assert!(placement.delay_cost > -gain - 0.01, "{placement:?}");
}

/// Regression: a sharded prompt was counted as late once for each engine that delayed one of
/// its shards. Long prompts were refused, or prefilled by a few engines only, although little
/// else was lost.
#[test]
fn a_sharded_prompt_delayed_by_several_engines_is_late_once() {
    let mut set = engines(8);
    for target in set.iter_mut() {
        let model = target.model.as_mut().unwrap();
        // In time if nothing is prefilled before it, and late otherwise.
        let shard = StreamLoad { first_event_limit_us: 1_100_000, ..helper_load(400_000, 8) };
        model.add(key(1), shard, at(990));
        model.advance(at(1_000));
    }
    let placement = place(&set, &need(300_000)).unwrap();
    assert!(placement.helpers.len() >= 5, "{placement:?}");
    assert!(placement.delay_cost < need(400_000).value(), "{placement:?}");
}

/// Answers that are decoded alone on many engines take half of the time of these engines while
/// long prompts wait for their prefill.
#[test]
fn answers_are_decoded_together_while_prefill_queues_are_long() {
    let place_medium = |has_backlog: bool| {
        let mut set = engines(6);
        for target in set.iter_mut() {
            let is_decoding = target.record.incarnation == name("e3");
            let model = target.model.as_mut().unwrap();
            if is_decoding {
                model.add(key(1), shard_load(30_000, 1), at(0));
            }
            if has_backlog {
                let shard =
                    StreamLoad { first_event_limit_us: 60_000_000, ..helper_load(900_000, 6) };
                model.add(key(2), shard, at(990));
            }
            model.advance(at(1_000));
        }
        place(&set, &PromptNeed { first_event_limit: ms(30_000), ..need(30_000) }).unwrap()
    };
    assert_eq!(place_medium(true).target, name("e3"));
    assert_ne!(
        place_medium(false).target,
        name("e3"),
        "packing saves nothing while no prompt waits"
    );
}

/// Regression: the cheapest engine for decoding was chosen whether it had memory or not. If
/// long prompts had filled its memory, short prompts were refused at once as if no engine could
/// take them, although sixty engines were available.
#[test]
fn an_engine_whose_memory_is_full_is_skipped() {
    let mut set = engines(6);
    occupy(&mut set, 1, 6);
    let model = set.get_mut("e0").unwrap().model.as_mut().unwrap();
    let full =
        StreamLoad { memory: 440_000, context: 0, longest_pause_us: 60_000_000, ..short_load() };
    model.add(key(7), full, at(900));
    model.advance(at(1_000));
    let placement = place(&set, &need(5_000)).expect("five engines have memory");
    assert_ne!(placement.target, name("e0"));
}

/// Regression: prompts that waited for the sake of others were refused 1.4 s later, since they
/// were weighed against later arrivals.
#[test]
fn an_admitted_prompt_is_not_refused_in_favour_of_later_arrivals() {
    let placement = |opportunity_cost| Placement {
        opportunity_cost,
        own_loss: 5.0,
        delay_cost: 3.0,
        ..place(&engines(6), &need(400_000)).unwrap()
    };
    let arriving = need(400_000);
    let waiting = PromptNeed { waited: ms(1_400), is_admitted: true, ..arriving };
    let costly = placement(arriving.value());
    assert_eq!(action(&costly, &arriving), PlacementAction::Refuse);
    assert_ne!(action(&costly, &waiting), PlacementAction::Refuse);
    let delaying = Placement { delay_cost: arriving.value(), ..placement(0.0) };
    assert_eq!(
        action(&delaying, &waiting),
        PlacementAction::Refuse,
        "other requests would lose more than its value"
    );
}

/// A late prompt loses little by each further wait, and would be delayed until its deadline as
/// long as it costs others anything.
#[test]
fn a_prompt_waits_no_longer_than_its_first_event_limit() {
    let arriving = need(400_000);
    let placement = Placement {
        own_loss: 30.0,
        delay_cost: 8.0,
        opportunity_cost: 0.0,
        ..place(&engines(6), &arriving).unwrap()
    };
    let waiting = |waited| PromptNeed { waited: ms(waited), is_admitted: true, ..arriving };
    assert_eq!(action(&placement, &waiting(1_000)), PlacementAction::Wait);
    assert_eq!(action(&placement, &waiting(3_000)), PlacementAction::Send);
    assert_eq!(action(&placement, &waiting(7_000)), PlacementAction::Send);
}
