//! A long prompt that waited for memory past the agent's patience kept the
//! paused ones from going on, which held that memory: all stood still until
//! their time limits.

use std::time::Duration;

use shalelane::AttemptKey;
use shalelane::agent::{AgentTuning, Effect, Event, RunEvent};
use shalelane::wire::ToAgent;

use crate::agent_fixture::{AgentFixture, dispatch, id_of, is_start};

#[test]
fn a_paused_run_goes_on_while_another_waits_for_its_memory() {
    let tuning = AgentTuning { piece_tokens: 100, prefill_tokens: 200, ..AgentTuning::default() };
    let patience = tuning.patience;
    let mut agent = AgentFixture::with_tuning(&tuning);
    let (first, second) = (AttemptKey(1, 1), AttemptKey(2, 1));
    let begun = agent.tell(ToAgent::Dispatch(dispatch(first, 800, Vec::new())));
    assert!(begun.iter().any(is_start));
    let waits = agent.tell(ToAgent::Dispatch(dispatch(second, 800, Vec::new())));
    assert!(!waits.iter().any(is_start));
    agent.now = agent.now + patience + Duration::from_secs(1);
    let effects = agent.feed(Event::Run(id_of(first), RunEvent::Paused(100)));
    let goes_on =
        effects.iter().any(|effect| matches!(effect, Effect::Resume(id, _) if *id == id_of(first)));
    assert!(goes_on, "{effects:?}");
}
