//! The real cores of agents, and what becomes of their effects.

use std::time::Duration;

use rand::Rng;
use shalelane::agent::{self, AgentCore, ConnId};
use shalelane::time::Tick;
use shalelane::wire::ToEntry;
use shalelane::{AttemptId, Incarnation, ProcessId};

use super::world::{
    Action, DOUBLED_PARTS, EngineCall, LEAVE_BOUND, Link, World, agent_name, agent_tuning,
};

impl World {
    pub(super) fn start_agent(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        let id = ProcessId { name: agent_name(agent), incarnation: Incarnation(node.life) };
        node.core = Some(AgentCore::new(id, agent_tuning()));
        node.draining_since = None;
        self.feed_agent(agent, agent::Event::Wake);
    }

    pub(super) fn feed_agent(&mut self, agent: usize, event: agent::Event) {
        let now = self.now;
        let Some(core) = &mut self.agents[agent].core else { return };
        let effects = core.on_event(now, event);
        let wake = core.next_wake();
        for effect in effects {
            self.apply_agent(agent, effect);
        }
        if let Some(wake) = wake {
            let life = self.agents[agent].life;
            let event = Box::new(agent::Event::Wake);
            self.at(wake.max(now), Action::Agent { agent, life, event });
        }
    }

    pub(super) fn apply_agent(&mut self, agent: usize, effect: agent::Effect) {
        let life = self.agents[agent].life;
        let call = match effect {
            agent::Effect::Send(conn, message) => return self.send_back(agent, conn, message),
            agent::Effect::Record { request, kind, detail } => {
                return self.note(&format!("agent {agent} {request} {kind}: {detail}"));
            }
            agent::Effect::Stopped => return self.on_stopped(agent),
            agent::Effect::Reset => EngineCall::Reset,
            agent::Effect::Start(start) => EngineCall::Start(start),
            agent::Effect::Resume(id, limit) => EngineCall::Resume(id, limit),
            agent::Effect::Cancel(id) => EngineCall::Cancel(id),
            agent::Effect::CancelOrphan(id) => EngineCall::CancelStray(id),
            agent::Effect::Reserve(id, tokens) => EngineCall::Reserve(id, tokens),
            agent::Effect::Unreserve(id) => EngineCall::Unreserve(id),
        };
        if let EngineCall::Start(start) = &call {
            self.check_leaving(agent, &start.id);
        }
        self.soon(Action::Engine { agent, life, call });
    }

    pub(super) fn check_leaving(&mut self, agent: usize, id: &AttemptId) {
        let since = self.agents[agent].draining_since;
        if since.is_some_and(|since| self.now > since + LEAVE_BOUND) {
            self.broken.push(format!("agent {agent} is leaving and started {id}"));
        }
    }

    pub(super) fn send_back(&mut self, agent: usize, conn: ConnId, message: ToEntry) {
        let delay = self.delay();
        let Some(state) = self.links.get_mut(&conn.0) else { return };
        if state.agent != agent || state.swallows {
            return;
        }
        let at = (self.now + delay).max(state.entry_next);
        state.entry_next = at;
        let is_part = matches!(message, ToEntry::Chunk { .. });
        if is_part && self.rng.random_bool(DOUBLED_PARTS) {
            let message = Box::new(message.clone());
            self.at(at + Duration::from_millis(1), Action::BackLink { link: conn.0, message });
        }
        self.at(at, Action::BackLink { link: conn.0, message: Box::new(message) });
    }

    pub(super) fn on_stopped(&mut self, agent: usize) {
        self.note(&format!("agent {agent} has stopped as planned"));
        // A call of an earlier life may have left a run that is not its own.
        let node = &self.agents[agent];
        let is_own = |name: &String| node.names.get(name).is_some_and(|one| one.0 == node.life);
        if node.engine.runs().iter().any(is_own) {
            self.broken.push(format!("agent {agent} stopped before its runs had ended"));
        }
        self.end_agent(agent, Duration::from_millis(500));
    }

    /// Ends a life of an agent; the next one begins after a time.
    pub(super) fn end_agent(&mut self, agent: usize, down: Duration) {
        let node = &mut self.agents[agent];
        node.core = None;
        node.life += 1;
        node.paused_until = Tick(0);
        for link in self.links_of(|link| link.agent == agent) {
            let at = self.now + self.delay();
            self.at(at, Action::EntrySideGone { link });
        }
        self.at(self.now + down, Action::StartAgent(agent));
    }

    pub(super) fn links_of(&self, is_wanted: impl Fn(&Link) -> bool) -> Vec<u64> {
        let wanted = self.links.iter().filter(|(_, link)| is_wanted(link));
        wanted.map(|(number, _)| *number).collect()
    }
}
