//! A reservation whose call was in flight when its agent crashed reached the engine
//! after the next incarnation had reset it, and was never released.

use shalelane::agent::{Effect, EngineHolding, Event};
use shalelane::{AttemptKey, Incarnation};

use crate::agent_fixture::{AgentFixture, id_of};

#[test]
fn orphaned_reservations_are_released() {
    let mut agent = AgentFixture::new();
    let known = AttemptKey(1, 1);
    agent.hold(known, 100, std::time::Duration::from_secs(10));
    let mut orphan = id_of(AttemptKey(9, 1));
    orphan.owner.incarnation = Incarnation(2);
    let holdings = [id_of(known), orphan.clone()].map(|id| EngineHolding { id: id.to_string() });
    let effects = agent.feed(Event::EngineHoldings(holdings.into()));
    let cancelled: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::CancelOrphan(name) => Some(name.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(cancelled, [orphan.to_string()]);
}
