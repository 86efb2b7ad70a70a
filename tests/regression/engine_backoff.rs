//! An overloaded engine answered 503 with a `Retry-After` of some seconds. The agent treated the
//! answer as the failure of one run only and started the next run at once.

use std::time::Duration;

use shalelane::AttemptKey;
use shalelane::agent::{Effect, EngineFacts, Event, RunEvent};
use shalelane::wire::{Refusal, ToAgent, ToEntry};

use crate::agent_fixture::{AgentFixture, dispatch, id_of, is_start};

const BACKOFF: Duration = Duration::from_secs(3);

fn dispatch_message(number: u64) -> ToAgent {
    ToAgent::Dispatch(dispatch(AttemptKey(number, 1), 100, Vec::new()))
}

/// Creates an agent whose engine has refused one run and asked for a back-off.
fn agent_in_backoff() -> AgentFixture {
    let mut agent = AgentFixture::new();
    assert!(agent.send(dispatch_message(1)).iter().any(is_start));
    let id = id_of(AttemptKey(1, 1));
    agent.feed(Event::Run(id.clone(), RunEvent::BackOff(BACKOFF)));
    let refused = RunEvent::Failed(shalelane::Verdict::NotRun, "the engine answered 503".into());
    agent.feed(Event::Run(id, refused));
    agent
}

fn refusal_of(effects: &[Effect]) -> Option<(Refusal, u64)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(_, ToEntry::Refused { refusal, retry_us, .. }) => Some((*refusal, *retry_us)),
        _ => None,
    })
}

#[test]
fn new_runs_are_refused_until_the_backoff_ends() {
    let mut agent = agent_in_backoff();
    let (refusal, retry_us) = refusal_of(&agent.send(dispatch_message(2))).expect("a refusal");
    assert_eq!(refusal, Refusal::Busy);
    let retry_delay = Duration::from_micros(retry_us);
    assert!(retry_delay > BACKOFF / 2 && retry_delay <= BACKOFF, "{retry_delay:?}");
    agent.now = agent.now + BACKOFF;
    assert!(agent.send(dispatch_message(3)).iter().any(is_start));
}

#[test]
fn queued_runs_start_after_the_backoff_or_are_refused_at_once() {
    let mut agent = AgentFixture::new();
    let long = ToAgent::Dispatch(dispatch(AttemptKey(1, 1), 900, Vec::new()));
    assert!(agent.send(long).iter().any(is_start));
    assert!(!agent.send(dispatch_message(2)).iter().any(is_start), "the engine's memory is in use");
    let short = shalelane::wire::Dispatch {
        remaining_us: (BACKOFF / 2).as_micros() as u64,
        ..dispatch(AttemptKey(3, 1), 100, Vec::new())
    };
    agent.send(ToAgent::Dispatch(short));
    let id = id_of(AttemptKey(1, 1));
    let effects = agent.feed(Event::Run(id.clone(), RunEvent::BackOff(BACKOFF)));
    assert!(
        refusal_of(&effects).is_some(),
        "the short run's deadline is before the end of the back-off"
    );
    let done = RunEvent::Done(shalelane::agent::RunUsage::default());
    assert!(!agent.feed(Event::Run(id, done)).iter().any(is_start));
    assert!(agent.core.next_wake().is_some_and(|wake| wake <= agent.now + BACKOFF));
    agent.now = agent.now + BACKOFF;
    assert!(agent.feed(Event::Wake).iter().any(is_start));
}

#[test]
fn a_restarted_engine_has_no_backoff() {
    let mut agent = agent_in_backoff();
    agent.feed(Event::TargetLost);
    agent.feed(Event::TargetReady(EngineFacts {
        capacity: 1_060,
        max_batch: 8,
        models: vec!["model".into()],
        ..EngineFacts::default()
    }));
    assert!(agent.send(dispatch_message(2)).iter().any(is_start));
}
