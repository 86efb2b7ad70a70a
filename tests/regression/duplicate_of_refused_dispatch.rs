//! The agent stored nothing about a refused dispatch, so that a duplicate of it
//! could run after the answer "not run".

use shalelane::AttemptKey;
use shalelane::agent::{Effect, EngineFacts, Event};
use shalelane::wire::ToAgent;

use crate::agent_fixture::{AgentFixture, dispatch, is_refusal, is_start};

#[test]
fn a_duplicate_of_a_refused_dispatch_is_refused() {
    let mut agent = AgentFixture::new();
    agent.feed(Event::TargetLost);
    let message = ToAgent::Dispatch(dispatch(AttemptKey(1, 1), 100, Vec::new()));
    assert!(agent.send(message.clone()).iter().any(is_refusal));
    let facts = EngineFacts {
        capacity: 1_060,
        max_batch: 8,
        models: vec!["model".into()],
        ..EngineFacts::default()
    };
    let effects: Vec<Effect> = agent.feed(Event::TargetReady(facts));
    assert!(!effects.iter().any(is_start));
    let effects = agent.send(message);
    assert!(effects.iter().any(is_refusal));
    assert!(!effects.iter().any(is_start));
    // Another attempt may run.
    let other = ToAgent::Dispatch(dispatch(AttemptKey(2, 1), 100, Vec::new()));
    assert!(agent.send(other).iter().any(is_start));
}
