//! Urgency of requests: ranks of accounts and routes.

use shalelane::relay::decide::group_search::place_prompt;
use shalelane::relay::decide::loss::{PAUSE_RISK_FROM, URGENT_PAUSE_RISK_FROM, pause_loss};
use shalelane::relay::decide::placement::{PermitPolicy, PlacementQuery, TargetScope};
use shalelane::relay::decide::placement::{Placement, PlacementAction, PromptNeed};
use shalelane::relay::decide::policy::RelayPolicy;
use shalelane::relay::decide::service_scope::ServiceScope;
use shalelane::relay::decide::stream_load::StreamLoad;
use shalelane::relay::decide::targets::TargetSet;
use shalelane::relay::decide::urgency::{RankTable, UrgencyRank};
use shalelane::relay::discovery::rules::{AccountRule, RelayConfig, RouteRule};

use crate::fixture::{at, engines, key, ms, name, need, route, short_load};

fn rank(account: u8, route: u8) -> UrgencyRank {
    UrgencyRank { account, route }
}

fn account(label: &str, rank: u8) -> AccountRule {
    AccountRule { name: name(label), keys: vec![name(label)], regions: Vec::new(), rank }
}

fn table(routes: &[u8], accounts: &[u8]) -> RankTable {
    let routes = routes.iter().map(|rank| RouteRule { rank: *rank, ..route("/x/") });
    let accounts = accounts.iter().map(|rank| account(&format!("k{rank}"), *rank));
    RankTable::from_config(&RelayConfig {
        version: 1,
        routes: routes.collect(),
        accounts: accounts.collect(),
        ..RelayConfig::default()
    })
}

/// Guards against decisions that change where an operator has named no ranks, or the same for all.
#[test]
fn where_all_ranks_are_alike_nothing_is_weighed() {
    for ranks in [table(&[1, 1, 1], &[1, 1]), table(&[0], &[]), table(&[2], &[3])] {
        for asked in [rank(1, 1), rank(0, 0), rank(3, 2)] {
            assert_eq!(ranks.more_urgent("a", asked), None);
            assert!((ranks.value_factor("a", asked) - 1.0).abs() < f32::EPSILON);
        }
    }
    assert_eq!(table(&[0, 1], &[0]).more_urgent("other", rank(0, 1)), None);
}

/// Guards against a public route that makes all requests of its service differ in urgency.
#[test]
fn a_request_without_an_account_is_no_more_urgent_than_others() {
    let ranks = table(&[1, 1], &[1, 1]);
    assert_eq!(ranks.rank_of(1, None), ranks.rank_of(1, Some(1)));
    assert_eq!(ranks.more_urgent("a", ranks.rank_of(1, None)), None);
    let ranks = table(&[1], &[0, 2]);
    assert_eq!(ranks.more_urgent("a", ranks.rank_of(1, None)), Some(1));
}

#[test]
fn the_rank_of_an_account_goes_before_that_of_a_route() {
    let ranks = table(&[0, 1], &[0, 1]);
    let order = [rank(0, 0), rank(0, 1), rank(1, 0), rank(1, 1)];
    let more_urgent: Vec<_> = order.iter().map(|rank| ranks.more_urgent("a", *rank)).collect();
    assert_eq!(more_urgent, [Some(0), Some(1), Some(2), Some(3)]);
}

/// Guards against accounts of one rank that hide the ranks of their routes.
#[test]
fn routes_decide_among_accounts_of_one_rank() {
    let ranks = table(&[0, 1, 2], &[1, 1]);
    assert_eq!(ranks.more_urgent("a", rank(1, 2)), Some(2));
    let factors: Vec<f32> = (0..3).map(|route| ranks.value_factor("a", rank(1, route))).collect();
    assert!(factors[0] > factors[1] && factors[1] > factors[2], "{factors:?}");
}

/// Guards against one account of a higher rank that sets all others back.
#[test]
fn the_rank_of_an_account_weighs_nothing_here() {
    let ranks = table(&[1], &[0, 1]);
    assert_eq!(ranks.more_urgent("a", rank(1, 1)), Some(1));
    assert!((ranks.value_factor("a", rank(1, 1)) - 1.0).abs() < f32::EPSILON);
    assert!(ranks.pause_risk_from("a", rank(0, 1)) >= PAUSE_RISK_FROM);
}

/// Guards against a rank that counts for nothing.
#[test]
fn no_rank_counts_for_less_than_a_quarter() {
    let ranks = table(&[0, 1, 2, 3, 4, 5, 6, 7], &[0]);
    let least = ranks.value_factor("a", rank(0, 7));
    assert!((least - 0.25).abs() < f32::EPSILON, "{least}");
}

fn place(set: &TargetSet, need: &PromptNeed) -> Placement {
    let query = PlacementQuery {
        service: ServiceScope::from("engines"),
        failure_domain: "here",
        scope: TargetScope::Untried(&[]),
        permit: PermitPolicy::Immediate,
        entry: 1,
        policy: &RelayPolicy::DEFAULT,
    };
    place_prompt(set, &query, need, at(0)).expect("an engine")
}

/// Load: one engine that decodes short answers, and a long prompt during whose prefill they pause.
#[test]
fn a_long_prompt_that_makes_others_late_is_refused_only_if_it_is_less_urgent() {
    let mut set = engines(1);
    let target = set.iter_mut().next().expect("a target");
    let model = target.model.as_mut().expect("a model");
    for number in 0..3 {
        model.add(key(number), short_load(), at(0));
    }
    model.advance(at(0));
    let action = |value_factor: f32| {
        let need = PromptNeed { value_factor, ..need(60_000) };
        place(&set, &need).decide(&need, ms(50), &RelayPolicy::DEFAULT)
    };
    let (urgent, least) = (action(1.0), action(0.25));
    assert_ne!(urgent, PlacementAction::Refuse);
    assert_eq!(least, PlacementAction::Refuse);
}

/// Guards against ranks that change what a pass may last where all requests are alike.
#[test]
fn only_requests_with_less_urgent_ones_below_them_ask_for_a_margin() {
    let ranks = table(&[0, 1, 2], &[1]);
    let has_margin = |table: &RankTable, rank| table.pause_risk_from("a", rank) < PAUSE_RISK_FROM;
    let margins: Vec<_> = (0..3).map(|route| has_margin(&ranks, rank(1, route))).collect();
    assert_eq!(margins, [true, true, false]);
    assert!(!has_margin(&table(&[1, 1], &[1]), rank(1, 1)));
}

/// Load: entries place prompts at an engine at the same moment. Each alone leaves the pauses of
/// the answers there within their limit, and all together do not. The limits of the callers are
/// what counts, so a prompt is delayed or refused for the sake of more urgent answers before the
/// limit is reached.
#[test]
fn a_less_urgent_prompt_leaves_a_margin_to_more_urgent_answers() {
    // A pass that lasts 0.7 of the longest pause: below the limit, and above the margin.
    let loss = |risk_from| pause_loss(1.5, ms(140), ms(200), risk_from);
    assert!(loss(PAUSE_RISK_FROM).abs() < f32::EPSILON);
    assert!(loss(URGENT_PAUSE_RISK_FROM) > 0.5, "{}", loss(URGENT_PAUSE_RISK_FROM));
    let delay_cost = |pause_risk_from: f32| {
        let mut set = engines(1);
        let target = set.iter_mut().next().expect("a target");
        let model = target.model.as_mut().expect("a model");
        for number in 0..3 {
            model.add(key(number), StreamLoad { pause_risk_from, ..short_load() }, at(0));
        }
        model.advance(at(300));
        let need = PromptNeed { value_factor: 0.5, ..need(25_000) };
        place(&set, &need).delay_cost
    };
    let (alike, urgent) = (delay_cost(PAUSE_RISK_FROM), delay_cost(URGENT_PAUSE_RISK_FROM));
    assert!(urgent > alike + 0.5, "{urgent} and {alike}");
}

/// Guards against processes of the version before that cannot read a load, or lose the margin.
#[test]
fn loads_without_a_margin_are_read_and_written_as_before() {
    let to_bytes = |load: &StreamLoad| {
        let mut bytes = Vec::new();
        ciborium::into_writer(load, &mut bytes).expect("a load");
        bytes
    };
    let (plain, urgent) =
        (short_load(), StreamLoad { pause_risk_from: URGENT_PAUSE_RISK_FROM, ..short_load() });
    assert!(to_bytes(&plain).len() < to_bytes(&urgent).len(), "the default is written");
    for load in [plain, urgent] {
        let read: StreamLoad = ciborium::from_reader(&to_bytes(&load)[..]).expect("a load");
        assert_eq!(read, load);
    }
}
