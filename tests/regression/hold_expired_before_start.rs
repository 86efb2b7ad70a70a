//! A hold expired while its agent was stalled. The run that needed the hold started
//! while the memory was being released, and continued without a lease.

use std::time::Duration;

use shalelane::AttemptKey;
use shalelane::agent::{Effect, Event};
use shalelane::wire::{Shard, ToAgent};

use crate::agent_fixture::{AgentFixture, dispatch, id_of, is_refusal, is_start};

#[test]
fn a_run_whose_hold_has_expired_is_refused_and_not_started() {
    let mut agent = AgentFixture::new();
    let key = AttemptKey(1, 1);
    agent.hold(key, 500, Duration::from_secs(10));
    agent.feed(Event::Reserved(id_of(key), true));
    // The agent is stalled beyond the expiry, then processes the dispatch first.
    agent.now = agent.now + Duration::from_secs(15);
    let shards = vec![Shard { engine: "127.0.0.1:2".into(), tokens: 500 }];
    let effects = agent.send(ToAgent::Dispatch(dispatch(key, 990, shards)));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Unreserve(_))));
    assert!(!effects.iter().any(is_start));
    assert!(effects.iter().any(is_refusal));
    agent.feed(Event::Unreserved(id_of(key)));
    assert_eq!((agent.core.leased_tokens(), agent.core.open_runs()), (0, 0));
}

#[test]
fn a_sharded_run_without_a_hold_is_refused() {
    let mut agent = AgentFixture::new();
    let shards = vec![Shard { engine: "127.0.0.1:2".into(), tokens: 500 }];
    let effects = agent.send(ToAgent::Dispatch(dispatch(AttemptKey(2, 1), 990, shards)));
    assert!(effects.iter().any(is_refusal));
    assert!(!effects.iter().any(is_start));
}
