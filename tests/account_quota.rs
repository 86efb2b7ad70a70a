//! An entry queries the agent of a client account about requests beyond its own share.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use shalelane::config::{AccountPolicy, Config, ConfigVersion};
use shalelane::entry::{Arrival, Effect, EntryCore, EntryTuning, Event, FailureCode, Reply};
use shalelane::hosts::{HostDelta, HostRecord, HostRole, HostState};
use shalelane::prefix::PrefixHashes;
use shalelane::time::Tick;
use shalelane::wire::{AccountQuery, Call, ToAgent, ToEntry};
use shalelane::{Incarnation, ProcessId};

/// Time of the test's events.
const START: Tick = Tick(60_000_000);

/// One of 402 entries, with an account whose limits are too small to give each entry a share.
struct QuotaWorld {
    core: EntryCore,
    policy: Rc<AccountPolicy>,
}

fn host(name: String, role: HostRole) -> HostRecord {
    let (address, failure_domain) = (name.as_str().into(), "here".into());
    HostRecord { name: name.into(), role, address, failure_domain, state: HostState::Live }
}

impl QuotaWorld {
    fn new() -> Self {
        let process = ProcessId { name: "entry-0".into(), incarnation: Incarnation(1) };
        let mut core = EntryCore::new(process, "here".into(), EntryTuning::default(), 1);
        let config = Config::from_toml(include_str!("../examples/valdivia.toml")).unwrap();
        let config = Arc::new(Config { version: ConfigVersion(1), ..config });
        let policy = config.policy(&config.client_accounts[0]).expect("an account");
        let policy = Rc::new(AccountPolicy { requests_per_second: 2.0, concurrent: 4, ..policy });
        let service = || HostRole::Target { service: "canal-assistant".into() };
        let engines = (0..8).map(|number| host(format!("runner-{number}"), service()));
        let entries = (0..402).map(|number| host(format!("entry-{number}"), HostRole::Entry));
        let hosts = engines.chain(entries).collect();
        core.on_event(START, Event::Hosts(HostDelta { revision: 1, hosts }));
        core.on_event(START, Event::Config(config));
        QuotaWorld { core, policy }
    }

    fn arrive(&mut self, number: u64, now: Tick) -> Vec<Effect> {
        let arrival = Arrival {
            number,
            policy: self.policy.clone(),
            service: "canal-assistant".into(),
            call: Call::Model { model: "canal-8b".into(), path: "/v1/completions".into() },
            prompt_bytes: 400,
            max_answer_tokens: 10,
            prefix_hashes: PrefixHashes::default(),
            body: "ask".into(),
            repeatable: false,
        };
        self.core.on_event(now, Event::Arrive(Box::new(arrival)))
    }

    fn answer(&mut self, agent: &Arc<str>, number: u64, wait_us: Option<u64>) -> Vec<Effect> {
        let answer = ToEntry::AccountAnswer { number, wait_us };
        self.core.on_event(START, Event::AgentMessage(agent.clone(), answer))
    }
}

/// Returns the queried agent and the query.
fn query_of(effects: &[Effect]) -> (Arc<str>, AccountQuery) {
    let query = effects.iter().find_map(|effect| match effect {
        Effect::Send(agent, ToAgent::QueryAccount(query)) => Some((agent.clone(), query.clone())),
        _ => None,
    });
    query.expect("an account query")
}

/// Returns the numbers of the requests that are released at agents.
fn released(effects: &[Effect]) -> Vec<u64> {
    let numbers = effects.iter().filter_map(|effect| match effect {
        Effect::Send(_, ToAgent::ReleaseAccount(number)) => Some(*number),
        _ => None,
    });
    numbers.collect()
}

/// Returns `true` if a caller is refused with a time for its retry.
fn is_refused(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Reply(_, Reply::Failed(failure))
            if failure.code == FailureCode::LimitExceeded && failure.retry_after.is_some())
    })
}

#[test]
fn a_request_beyond_the_share_waits_for_the_accounts_agent() {
    let mut world = QuotaWorld::new();
    let (agent, query) = query_of(&world.arrive(1, START));
    assert_eq!(
        (query.remainder.per_second, query.remainder.concurrent, query.was_admitted),
        (2.0, 4, false)
    );
    let (other, _) = query_of(&world.arrive(2, START));
    assert_eq!(agent, other, "both queries must go to one agent");
    let effects = world.answer(&agent, 1, None);
    let is_started = effects.iter().any(|effect| matches!(effect, Effect::Send(..)));
    assert!(is_started, "the admitted request did not start: {effects:?}");
    assert!(is_refused(&world.answer(&agent, 2, Some(700_000))));
    assert_eq!(world.core.open_requests(), 1);
}

#[test]
fn a_request_that_ends_is_released_at_the_agent() {
    let mut world = QuotaWorld::new();
    let (agent, _) = query_of(&world.arrive(1, START));
    world.answer(&agent, 1, None);
    let effects = world.core.on_event(START, Event::CallerDisconnected(1));
    assert_eq!(released(&effects), [1]);
}

#[test]
fn a_caller_that_disconnects_during_the_query_leaves_no_admission() {
    let mut world = QuotaWorld::new();
    let (agent, _) = query_of(&world.arrive(1, START));
    assert_eq!(released(&world.core.on_event(START, Event::CallerDisconnected(1))), [1]);
    assert_eq!(
        released(&world.answer(&agent, 1, None)),
        [1],
        "an answer that was in flight must be released"
    );
    assert_eq!(world.core.open_requests(), 0);
}

#[test]
fn a_caller_is_refused_if_the_agent_does_not_answer() {
    let mut world = QuotaWorld::new();
    world.arrive(1, START);
    let late = world.core.on_event(START + Duration::from_millis(500), Event::Wake);
    assert!(is_refused(&late));
    let (agent, _) = query_of(&world.arrive(2, START));
    assert!(is_refused(&world.core.on_event(START, Event::AgentDown(agent))));
}

#[test]
fn a_restarted_agent_receives_the_admissions_of_its_previous_incarnation() {
    let mut world = QuotaWorld::new();
    let (agent, _) = query_of(&world.arrive(1, START));
    world.answer(&agent, 1, None);
    let effects = world.core.on_event(START, Event::AgentUp(agent.clone(), Incarnation(2)));
    let (receiver, query) = query_of(&effects);
    assert_eq!((receiver, query.number, query.was_admitted), (agent, 1, true));
}
