//! An engine that was full answered 503 and asked for nothing more for some seconds. The agent
//! took the answer for one run's failure and started the next run at once.

use std::time::Duration;

use shalelane::AttemptKey;
use shalelane::agent::{Effect, EngineFacts, Event, RunEvent};
use shalelane::wire::{Refusal, ToAgent, ToEntry};

use crate::agent_fixture::{AgentFixture, dispatch, id_of, is_start};

const PAUSE: Duration = Duration::from_secs(3);

fn message(number: u64) -> ToAgent {
    ToAgent::Dispatch(dispatch(AttemptKey(number, 1), 100, Vec::new()))
}

/// An agent whose engine has turned one run away and asked for a pause.
fn paused_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    assert!(agent.tell(message(1)).iter().any(is_start));
    let id = id_of(AttemptKey(1, 1));
    agent.feed(Event::Run(id.clone(), RunEvent::BackOff(PAUSE)));
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
fn nothing_new_is_taken_until_the_pause_is_over() {
    let mut agent = paused_agent();
    let (refusal, retry_us) = refusal_of(&agent.tell(message(2))).expect("a refusal");
    assert_eq!(refusal, Refusal::Busy);
    let told = Duration::from_micros(retry_us);
    assert!(told > PAUSE / 2 && told <= PAUSE, "{told:?}");
    agent.now = agent.now + PAUSE;
    assert!(agent.tell(message(3)).iter().any(is_start));
}

#[test]
fn what_waits_is_started_after_the_pause_or_refused_at_once() {
    let mut agent = AgentFixture::new();
    let long = ToAgent::Dispatch(dispatch(AttemptKey(1, 1), 900, Vec::new()));
    assert!(agent.tell(long).iter().any(is_start));
    assert!(!agent.tell(message(2)).iter().any(is_start), "no memory yet");
    let short = shalelane::wire::Dispatch {
        remaining_us: (PAUSE / 2).as_micros() as u64,
        ..dispatch(AttemptKey(3, 1), 100, Vec::new())
    };
    agent.tell(ToAgent::Dispatch(short));
    let id = id_of(AttemptKey(1, 1));
    let effects = agent.feed(Event::Run(id.clone(), RunEvent::BackOff(PAUSE)));
    assert!(refusal_of(&effects).is_some(), "its time is up before the pause is over");
    let done = RunEvent::Done(shalelane::agent::RunUsage::default());
    assert!(!agent.feed(Event::Run(id, done)).iter().any(is_start));
    assert!(agent.core.next_wake().is_some_and(|wake| wake <= agent.now + PAUSE));
    agent.now = agent.now + PAUSE;
    assert!(agent.feed(Event::Wake).iter().any(is_start));
}

#[test]
fn a_new_life_of_the_engine_owes_no_pause() {
    let mut agent = paused_agent();
    agent.feed(Event::TargetLost);
    agent.feed(Event::TargetReady(EngineFacts {
        capacity: 1_060,
        max_batch: 8,
        models: vec!["model".into()],
        ..EngineFacts::default()
    }));
    assert!(agent.tell(message(2)).iter().any(is_start));
}
