//! A reservation whose call was under way when its agent died reached the
//! engine after the next life had reset it, and stayed for good.

use shalelane::agent::{Effect, EngineHolding, Event};
use shalelane::{AttemptKey, Incarnation};

use crate::agent_fixture::{AgentFixture, id_of};

#[test]
fn what_the_engine_holds_for_nobody_is_given_back() {
    let mut agent = AgentFixture::new();
    let own = AttemptKey(1, 1);
    agent.hold(own, 100, std::time::Duration::from_secs(10));
    let mut stray = id_of(AttemptKey(9, 1));
    stray.owner.incarnation = Incarnation(2);
    let holdings = [id_of(own), stray.clone()].map(|id| EngineHolding { id: id.to_string() });
    let effects = agent.feed(Event::EngineHoldings(holdings.into()));
    let ended: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::CancelStray(name) => Some(name.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(ended, [stray.to_string()]);
}
