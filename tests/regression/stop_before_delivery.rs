//! A draining agent stopped while an outcome had not reached its entry, or while a call that starts
//! a run was on its way to the engine.

use std::time::Duration;

use shalelane::AttemptKey;
use shalelane::agent::{ConnId, Effect, EngineFacts, Event, RunEvent, RunUsage};
use shalelane::wire::{Resume, ToAgent, ToEntry};
use shalelane::{Incarnation, Verdict};

use crate::agent_fixture::{AgentFixture, CONN, dispatch, id_of, is_start, owner};

const KEY: AttemptKey = AttemptKey(1, 1);

/// Time after the loss of a link for which an entry may ask for an outcome.
const DISCONNECT_GRACE: Duration = Duration::from_secs(10);

fn is_stopped(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Stopped))
}

/// Creates an agent that runs one attempt.
fn running_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    let effects = agent.send(ToAgent::Dispatch(dispatch(KEY, 100, Vec::new())));
    assert!(effects.iter().any(is_start));
    agent
}

/// Loses the link, drains, and ends the run.
fn agent_with_undelivered_answer() -> AgentFixture {
    let mut agent = running_agent();
    agent.feed(Event::PeerGone(CONN));
    agent.feed(Event::Drain);
    agent.feed(Event::Run(id_of(KEY), RunEvent::Text("answer".into())));
    let effects = agent.feed(Event::Run(id_of(KEY), RunEvent::Done(RunUsage::default())));
    assert!(!is_stopped(&effects), "the agent stops with an answer that nobody has");
    agent
}

#[test]
fn a_draining_agent_waits_until_its_entry_has_the_answer() {
    let mut agent = agent_with_undelivered_answer();
    let conn = ConnId(2);
    agent.feed(Event::PeerUp(conn, owner()));
    let resume = Resume { attempt: KEY, incarnation: Incarnation(7), offset: 0 };
    let effects = agent.feed(Event::Peer(conn, ToAgent::Resume(resume)));
    let has_answer = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Send(to, ToEntry::Done(KEY, _)) if *to == conn));
    assert!(has_answer, "{effects:?}");
    assert!(is_stopped(&effects));
}

#[test]
fn a_draining_agent_does_not_wait_for_an_entry_that_is_gone() {
    let mut agent = agent_with_undelivered_answer();
    agent.now = agent.now + DISCONNECT_GRACE;
    assert!(is_stopped(&agent.feed(Event::Wake)));
}

#[test]
fn a_draining_agent_waits_for_a_start_that_may_reach_the_engine_after_its_reset() {
    let mut agent = running_agent();
    let effects = agent.feed(Event::TargetLost);
    let is_cancel = |effect: &Effect| matches!(effect, Effect::Cancel(id) if *id == id_of(KEY));
    assert!(effects.iter().any(is_cancel), "{effects:?}");
    assert!(!is_stopped(&agent.feed(Event::Drain)), "a start may still be on its way");
    agent.feed(Event::TargetReady(EngineFacts { capacity: 1_060, ..EngineFacts::default() }));
    assert!(is_stopped(&agent.feed(Event::Run(id_of(KEY), RunEvent::Cancelled))));
}

#[test]
fn runs_that_are_open_at_the_end_of_a_drain_are_reported() {
    let mut agent = running_agent();
    agent.feed(Event::Drain);
    let effects = agent.feed(Event::DrainTimedOut);
    let is_failure = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send(_, ToEntry::Failed { attempt: KEY, verdict: Verdict::MayHaveRun, .. })
        )
    };
    assert!(effects.iter().any(is_failure), "{effects:?}");
}
