//! An entry asks the agent of a client account for what is beside its own share.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use shalelane::config::{AccountPolicy, Config, ConfigVersion};
use shalelane::entry::{Arrival, Effect, EntryCore, EntryTuning, Event, FailureCode, Reply};
use shalelane::hosts::{HostDelta, HostRecord, HostRole, HostState};
use shalelane::prefix::PrefixMarks;
use shalelane::time::Tick;
use shalelane::wire::{AccountAsk, Call, ToAgent, ToEntry};
use shalelane::{Incarnation, ProcessId};

const START: Tick = Tick(60_000_000);

/// One of 402 entries, with an account whose limits leave it no share.
struct GateWorld {
    core: EntryCore,
    policy: Rc<AccountPolicy>,
}

fn host(name: String, role: HostRole) -> HostRecord {
    let (address, failure_domain) = (name.as_str().into(), "here".into());
    HostRecord { name: name.into(), role, address, failure_domain, state: HostState::Live }
}

impl GateWorld {
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
        GateWorld { core, policy }
    }

    fn arrive(&mut self, number: u64, now: Tick) -> Vec<Effect> {
        let arrival = Arrival {
            number,
            policy: self.policy.clone(),
            service: "canal-assistant".into(),
            call: Call::Model { model: "canal-8b".into(), path: "/v1/completions".into() },
            prompt_bytes: 400,
            answer_tokens: 10,
            marks: PrefixMarks::default(),
            body: "ask".into(),
            repeatable: false,
        };
        self.core.on_event(now, Event::Arrive(Box::new(arrival)))
    }

    fn answer(&mut self, agent: &Arc<str>, number: u64, wait_us: Option<u64>) -> Vec<Effect> {
        let answer = ToEntry::AccountAnswer { number, wait_us };
        self.core.on_event(START, Event::Agent(agent.clone(), answer))
    }
}

/// The agent that is asked, and the question.
fn ask_of(effects: &[Effect]) -> (Arc<str>, AccountAsk) {
    let asked = effects.iter().find_map(|effect| match effect {
        Effect::Send(agent, ToAgent::AskAccount(ask)) => Some((agent.clone(), ask.clone())),
        _ => None,
    });
    asked.expect("a question")
}

fn released(effects: &[Effect]) -> Vec<u64> {
    let numbers = effects.iter().filter_map(|effect| match effect {
        Effect::Send(_, ToAgent::ReleaseAccount(number)) => Some(*number),
        _ => None,
    });
    numbers.collect()
}

fn is_refused(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Reply(_, Reply::Failed(failure))
            if failure.code == FailureCode::LimitExceeded && failure.retry_after.is_some())
    })
}

#[test]
fn a_request_without_a_share_waits_for_the_accounts_agent() {
    let mut world = GateWorld::new();
    let (agent, ask) = ask_of(&world.arrive(1, START));
    assert_eq!((ask.rest.per_second, ask.rest.concurrent, ask.is_held), (2.0, 4, false));
    let (other, _) = ask_of(&world.arrive(2, START));
    assert_eq!(agent, other, "one agent for the account");
    let effects = world.answer(&agent, 1, None);
    let is_begun = effects.iter().any(|effect| matches!(effect, Effect::Send(..)));
    assert!(is_begun, "it is let in: {effects:?}");
    assert!(is_refused(&world.answer(&agent, 2, Some(700_000))));
    assert_eq!(world.core.open_requests(), 1);
}

#[test]
fn a_request_that_ends_is_given_back() {
    let mut world = GateWorld::new();
    let (agent, _) = ask_of(&world.arrive(1, START));
    world.answer(&agent, 1, None);
    let effects = world.core.on_event(START, Event::CallerGone(1));
    assert_eq!(released(&effects), [1]);
}

#[test]
fn a_caller_that_leaves_while_the_agent_is_asked_holds_nothing() {
    let mut world = GateWorld::new();
    let (agent, _) = ask_of(&world.arrive(1, START));
    assert_eq!(released(&world.core.on_event(START, Event::CallerGone(1))), [1]);
    assert_eq!(released(&world.answer(&agent, 1, None)), [1], "an answer that was on its way");
    assert_eq!(world.core.open_requests(), 0);
}

#[test]
fn where_the_agent_does_not_answer_the_caller_is_refused() {
    let mut world = GateWorld::new();
    world.arrive(1, START);
    let late = world.core.on_event(START + Duration::from_millis(500), Event::Wake);
    assert!(is_refused(&late));
    let (agent, _) = ask_of(&world.arrive(2, START));
    assert!(is_refused(&world.core.on_event(START, Event::AgentDown(agent))));
}

#[test]
fn an_agent_that_starts_again_is_told_what_its_former_life_let_in() {
    let mut world = GateWorld::new();
    let (agent, _) = ask_of(&world.arrive(1, START));
    world.answer(&agent, 1, None);
    let effects = world.core.on_event(START, Event::AgentUp(agent.clone(), Incarnation(2)));
    let (told, ask) = ask_of(&effects);
    assert_eq!((told, ask.number, ask.is_held), (agent, 1, true));
}
