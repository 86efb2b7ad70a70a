//! Links between entries and agents, which can be cut or go silent.

use std::time::Duration;

use rand::Rng;
use shalelane::Incarnation;
use shalelane::agent::{self, ConnId};
use shalelane::entry;
use shalelane::wire::{ToAgent, ToEntry};

use super::plan::ENGINES;
use super::world::{Action, Link, LinkSeen, World, agent_name, entry_process, to_doubling};

impl World {
    pub(super) fn send_over(&mut self, entry: usize, target: &str, message: ToAgent) {
        let agent = (0..=ENGINES).find(|agent| *agent_name(*agent) == *target);
        let Some(agent) = agent else { return };
        let link = match self.current.get(&(entry, agent)) {
            Some(link) => *link,
            None if matches!(message, ToAgent::Body(..)) => return,
            None => self.dial(entry, agent),
        };
        if !matches!(message, ToAgent::Body(..) | ToAgent::Probe(_)) {
            self.note(&format!("entry {entry} to agent {agent} on link {link}: {message:?}"));
        }
        let delay = self.delay();
        let Some(state) = self.links.get_mut(&link) else { return };
        if state.swallows {
            return;
        }
        let at = (self.now + delay).max(state.agent_next);
        state.agent_next = at;
        if let Some(late) = to_doubling(&message) {
            let message = Box::new(message.clone());
            self.at(at + late, Action::OverLink { link, message });
        }
        self.at(at, Action::OverLink { link, message: Box::new(message) });
    }

    pub(super) fn dial(&mut self, entry: usize, agent: usize) -> u64 {
        self.next_link += 1;
        let link = self.next_link;
        let opens = self.now + self.delay();
        let state = Link {
            entry,
            agent,
            entry_life: self.entries[entry].life,
            agent_life: self.agents[agent].life,
            is_open: false,
            swallows: false,
            seen: LinkSeen { by_entry: true, by_agent: true },
            agent_next: opens,
            entry_next: opens,
        };
        self.links.insert(link, state);
        self.current.insert((entry, agent), link);
        self.at(opens, Action::Open { link });
        link
    }

    pub(super) fn on_open(&mut self, link: u64) {
        let Some(state) = self.links.get_mut(&link) else { return };
        let (entry, agent) = (state.entry, state.agent);
        let node = &self.agents[agent];
        if node.core.is_none() || node.life != state.agent_life {
            self.at(self.now, Action::EntrySideGone { link });
            return;
        }
        state.is_open = true;
        let incarnation = Incarnation(node.life);
        let owner = entry_process(entry, state.entry_life);
        let (entry_life, agent_life) = (state.entry_life, state.agent_life);
        let up = Box::new(agent::Event::PeerUp(ConnId(link), owner));
        self.at(self.now, Action::Agent { agent, life: agent_life, event: up });
        let up = Box::new(entry::Event::AgentUp(agent_name(agent), incarnation));
        self.at(self.now, Action::Entry { entry, life: entry_life, event: up });
    }

    pub(super) fn on_over_link(&mut self, link: u64, message: ToAgent) {
        let Some(state) = self.links.get(&link) else { return };
        if !state.is_open
            || !state.seen.by_agent
            || self.agents[state.agent].life != state.agent_life
        {
            return;
        }
        let (agent, life) = (state.agent, state.agent_life);
        let event = Box::new(agent::Event::Peer(ConnId(link), message));
        self.at(self.now, Action::Agent { agent, life, event });
    }

    pub(super) fn on_back_link(&mut self, link: u64, message: ToEntry) {
        let Some(state) = self.links.get(&link) else { return };
        if !state.seen.by_entry {
            return;
        }
        let (entry, life) = (state.entry, state.entry_life);
        let event = Box::new(entry::Event::AgentMessage(agent_name(state.agent), message));
        self.at(self.now, Action::Entry { entry, life, event });
    }

    pub(super) fn on_agent_side_gone(&mut self, link: u64) {
        let Some(state) = self.links.get_mut(&link) else { return };
        if !std::mem::take(&mut state.seen.by_agent) || !state.is_open {
            return;
        }
        let (agent, life) = (state.agent, state.agent_life);
        let event = Box::new(agent::Event::PeerGone(ConnId(link)));
        self.at(self.now, Action::Agent { agent, life, event });
    }

    pub(super) fn on_entry_side_gone(&mut self, link: u64) {
        let Some(state) = self.links.get_mut(&link) else { return };
        if !std::mem::take(&mut state.seen.by_entry) {
            return;
        }
        let (entry, agent, life) = (state.entry, state.agent, state.entry_life);
        if self.current.get(&(entry, agent)) == Some(&link) {
            self.current.remove(&(entry, agent));
        }
        let event = Box::new(entry::Event::AgentDown(agent_name(agent)));
        self.at(self.now, Action::Entry { entry, life, event });
    }

    /// Ends a link. Either side finds out by itself, and what is under way to
    /// the agent may still arrive until it does.
    pub(super) fn cut(&mut self, link: u64) {
        let entry_side = self.now + self.delay();
        let agent_side = self.now + Duration::from_millis(self.rng.random_range(0..1_500));
        self.at(entry_side, Action::EntrySideGone { link });
        self.at(agent_side, Action::AgentSideGone { link });
    }

    pub(super) fn cut_between(&mut self, entry: usize, agent: usize) {
        if let Some(link) = self.current.get(&(entry, agent)).copied() {
            self.note(&format!("link {link} of entry {entry} and agent {agent} is cut"));
            self.cut(link);
        }
    }
}
