//! A long prompt that waited for memory beyond the agent's bypass window kept
//! paused runs from resuming. These held the memory that it waited for: a
//! deadlock that lasted until their deadlines.

use std::time::Duration;

use shalelane::AttemptKey;
use shalelane::agent::{AgentTuning, Effect, Event, RunEvent};
use shalelane::wire::ToAgent;

use crate::agent_fixture::{AgentFixture, dispatch, id_of, is_start};

#[test]
fn a_paused_run_resumes_while_another_waits_for_its_memory() {
    let tuning = AgentTuning { piece_tokens: 100, prefill_tokens: 200, ..AgentTuning::default() };
    let bypass_window = tuning.bypass_window;
    let mut agent = AgentFixture::with_tuning(&tuning);
    let (first, second) = (AttemptKey(1, 1), AttemptKey(2, 1));
    let first_effects = agent.send(ToAgent::Dispatch(dispatch(first, 800, Vec::new())));
    assert!(first_effects.iter().any(is_start));
    let second_effects = agent.send(ToAgent::Dispatch(dispatch(second, 800, Vec::new())));
    assert!(!second_effects.iter().any(is_start));
    agent.now = agent.now + bypass_window + Duration::from_secs(1);
    let effects = agent.feed(Event::Run(id_of(first), RunEvent::Paused(100)));
    let is_resumed =
        effects.iter().any(|effect| matches!(effect, Effect::Resume(id, _) if *id == id_of(first)));
    assert!(is_resumed, "{effects:?}");
}
