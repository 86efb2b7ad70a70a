//! Fixtures shared by the tests.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck, Testable};
use shalelane::relay::core::RelayLimits;
use shalelane::relay::decide::engine_rates::EngineRates;
use shalelane::relay::decide::loss::PAUSE_RISK_FROM;
use shalelane::relay::decide::placement::PromptNeed;
use shalelane::relay::decide::policy::RelayPolicy;
use shalelane::relay::decide::retry_budget::RetryBound;
use shalelane::relay::decide::stream_load::{StreamKey, StreamLoad};
use shalelane::relay::decide::targets::{TargetRecord, TargetSet};
use shalelane::relay::decide::warmup::WarmupBound;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, RepeatRule, RouteRule, WeightedService};
use shalelane::relay::discovery::source::ConfigUpdate;
use shalelane::relay::discovery::store_revision::StoreRevision;
use shalelane::time::Tick;

/// Incarnation of the entry under test.
pub const OBSERVER: u64 = 1;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn at(millis: u64) -> Tick {
    Tick::default() + ms(millis)
}

pub fn limits(stale_policy: StalePolicy) -> RelayLimits {
    RelayLimits {
        failure_domain: name("here"),
        regions: BTreeMap::new(),
        revoke_bound: ms(5_000),
        evacuate_bound: None,
        warmup_bound: WarmupBound { overrun: 1.5, slack: 5.0 },
        stale_policy,
        drain_bound: ms(2_000),
        store_history: ms(20_000),
        retry_bound: RetryBound { ratio: 0.2, slack: 100.0, window: ms(10_000) },
        policy: RelayPolicy::DEFAULT,
    }
}

pub fn rates() -> Rc<EngineRates> {
    Rc::new(EngineRates {
        capacity: 16,
        memory_tokens: 450_000,
        step_tokens: 2_048,
        stride: 46,
        step_ms: 0.925,
        per_stream_ms: 0.00483,
        context_ms_per_k: 0.00254,
        prefill_per_s: 256_000.0,
        pairs_ms_per_m: 0.0917,
    })
}

/// A revision of a store that was never restored from a backup.
pub fn revision(number: u64) -> StoreRevision {
    StoreRevision { epoch: 0, number }
}

/// A route of service `a` whose requests may run once.
pub fn route(path: &str) -> RouteRule {
    RouteRule {
        host: name("h"),
        path_prefix: name(path),
        repeat: RepeatRule::Once,
        is_stream: false,
        time_limit: ms(1_000),
        objective: ms(300),
        longest_pause: ms(300),
        services: vec![WeightedService { service: name("a"), weight: 1 }],
        max_targets: 1,
        is_public: false,
        regions: Vec::new(),
        rank: 0,
    }
}

/// An update of a configuration in which everything is readable.
pub fn config_update(revision: StoreRevision, config: RelayConfig) -> ConfigUpdate {
    ConfigUpdate { revision, config, unreadable: Vec::new() }
}

pub fn record(name: &str, number: u8) -> TargetRecord {
    TargetRecord {
        incarnation: name.into(),
        started_ms: 0,
        service: "engines".into(),
        address: ([10, 0, 0, number], 80).into(),
        failure_domain: "here".into(),
        capacity: 16,
        is_leaving: false,
        listed_at: revision(number.into()),
        warmup_ms: None,
    }
}

pub fn engines(count: u8) -> TargetSet {
    let mut set = TargetSet::default();
    let records = (0..count).map(|number| record(&format!("e{number}"), number)).collect();
    set.apply_list(records, false, at(0));
    for target in set.iter_mut() {
        target.set_rates(&rates(), OBSERVER);
    }
    set
}

pub fn key(number: u64) -> StreamKey {
    StreamKey { entry: OBSERVER, number }
}

pub fn short_load() -> StreamLoad {
    StreamLoad {
        prefill_us: 20_000,
        tokens: 5_000,
        is_shard: false,
        context: 5_800,
        memory: 6_600,
        passes: 35,
        waited_us: 0,
        first_event_us: 0,
        first_event_limit_us: 300_000,
        longest_pause_us: 200_000,
        value: 1.5,
        pause_risk_from: PAUSE_RISK_FROM,
    }
}

/// Load on an engine that prefills one of `shards` shards of a prompt and decodes the answer.
pub fn shard_load(prompt: u64, shards: usize) -> StreamLoad {
    need(prompt).to_load(rates().prefill_time(prompt), shards, 1, 20)
}

/// Load on an engine that only prefills a shard.
pub fn helper_load(prompt: u64, shards: usize) -> StreamLoad {
    need(prompt).to_helper_load(rates().prefill_time(prompt), shards)
}

pub fn need(prompt_tokens: u64) -> PromptNeed {
    let (first, pause) = match prompt_tokens {
        0..=24_000 => (300, 200),
        24_001..=110_000 => (1_500, 500),
        _ => (3_000, 800),
    };
    let (first_event_limit, longest_pause) = (ms(first), ms(pause));
    PromptNeed {
        prompt_tokens,
        answer_tokens: 800,
        first_event_limit,
        waited: ms(0),
        time_left: ms(10_000),
        longest_pause,
        is_admitted: false,
        value_factor: 1.0,
        pause_risk_from: PAUSE_RISK_FROM,
    }
}

pub fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Checks a property on many inputs, which are the same in each run.
pub fn check<A: Testable>(property: A) {
    const SEED: u64 = 20_261_202;
    println!("seed {SEED}");
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).tests(300).quickcheck(property);
}
