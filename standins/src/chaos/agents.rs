//! Runs the cores of agents and applies their effects.

use std::time::Duration;

use rand::Rng;
use shalelane::agent::{self, AgentCore, ConnId};
use shalelane::time::Tick;
use shalelane::wire::ToEntry;
use shalelane::{AttemptId, Incarnation, ProcessId};

use super::world::{
    Action, DRAIN_BOUND, DUPLICATE_CHUNK_RATE, EngineCall, Link, World, agent_name, agent_tuning,
};

impl World {
    pub(super) fn start_agent(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        let id = ProcessId { name: agent_name(agent), incarnation: Incarnation(node.incarnation) };
        node.core = Some(AgentCore::new(id, agent_tuning()));
        node.draining_since = None;
        self.on_agent_event(agent, agent::Event::Wake);
    }

    pub(super) fn on_agent_event(&mut self, agent: usize, event: agent::Event) {
        let now = self.now;
        let Some(core) = &mut self.agents[agent].core else { return };
        let effects = core.on_event(now, event);
        let wake = core.next_wake();
        for effect in effects {
            self.apply_agent_effect(agent, effect);
        }
        if let Some(wake) = wake {
            let incarnation = self.agents[agent].incarnation;
            let event = Box::new(agent::Event::Wake);
            self.schedule_at(wake.max(now), Action::Agent { agent, incarnation, event });
        }
    }

    pub(super) fn apply_agent_effect(&mut self, agent: usize, effect: agent::Effect) {
        let incarnation = self.agents[agent].incarnation;
        let call = match effect {
            agent::Effect::Send(conn, message) => return self.send_to_entry(agent, conn, message),
            agent::Effect::Record { request, kind, detail } => {
                return self.log_line(&format!("agent {agent} {request} {kind}: {detail}"));
            }
            agent::Effect::Stopped => return self.on_stopped(agent),
            agent::Effect::Reset => EngineCall::Reset,
            agent::Effect::Start(start) => EngineCall::Start(start),
            agent::Effect::Resume(id, limit) => EngineCall::Resume(id, limit),
            agent::Effect::Cancel(id) => EngineCall::Cancel(id),
            agent::Effect::CancelOrphan(id) => EngineCall::CancelOrphan(id),
            agent::Effect::Reserve(id, tokens) => EngineCall::Reserve(id, tokens),
            agent::Effect::Unreserve(id) => EngineCall::Unreserve(id),
        };
        if let EngineCall::Start(start) = &call {
            self.check_drain(agent, &start.id);
        }
        self.schedule_with_delay(Action::Call { agent, incarnation, call });
    }

    pub(super) fn check_drain(&mut self, agent: usize, id: &AttemptId) {
        let since = self.agents[agent].draining_since;
        if since.is_some_and(|since| self.now > since + DRAIN_BOUND) {
            self.violations.push(format!("agent {agent} started {id} while draining"));
        }
    }

    pub(super) fn send_to_entry(&mut self, agent: usize, conn: ConnId, message: ToEntry) {
        let delay = self.delay();
        let Some(state) = self.links.get_mut(&conn.0) else { return };
        if state.agent != agent || state.drops_messages {
            return;
        }
        let at = (self.now + delay).max(state.next_entry_delivery);
        state.next_entry_delivery = at;
        let is_chunk = matches!(message, ToEntry::Chunk { .. });
        if is_chunk && self.rng.random_bool(DUPLICATE_CHUNK_RATE) {
            let message = Box::new(message.clone());
            self.schedule_at(
                at + Duration::from_millis(1),
                Action::DeliverToEntry { link: conn.0, message },
            );
        }
        self.schedule_at(at, Action::DeliverToEntry { link: conn.0, message: Box::new(message) });
    }

    pub(super) fn on_stopped(&mut self, agent: usize) {
        self.log_line(&format!("agent {agent} stopped after its drain"));
        // Runs started by an earlier incarnation's calls are not this incarnation's own.
        let node = &self.agents[agent];
        let is_own = |name: &String| {
            node.attempts.get(name).is_some_and(|attempt| attempt.0 == node.incarnation)
        };
        if node.engine.runs().iter().any(is_own) {
            self.violations.push(format!("agent {agent} stopped before its runs ended"));
        }
        self.restart_agent(agent, Duration::from_millis(500));
    }

    /// Ends the incarnation of an agent; the next one starts after `down`.
    pub(super) fn restart_agent(&mut self, agent: usize, down: Duration) {
        let node = &mut self.agents[agent];
        node.core = None;
        node.incarnation += 1;
        node.paused_until = Tick(0);
        for link in self.links_of(|link| link.agent == agent) {
            let at = self.now + self.delay();
            self.schedule_at(at, Action::CloseEntrySide { link });
        }
        self.schedule_at(self.now + down, Action::StartAgent(agent));
    }

    pub(super) fn links_of(&self, is_wanted: impl Fn(&Link) -> bool) -> Vec<u64> {
        let wanted = self.links.iter().filter(|(_, link)| is_wanted(link));
        wanted.map(|(number, _)| *number).collect()
    }
}
