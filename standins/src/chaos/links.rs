//! Links between entries and agents, which can be cut or become half-open.

use std::time::Duration;

use rand::Rng;
use shalelane::Incarnation;
use shalelane::agent::{self, ConnId};
use shalelane::entry;
use shalelane::wire::{ToAgent, ToEntry};

use super::plan::ENGINES;
use super::world::{Action, Link, LinkSides, World, agent_name, duplicate_delay, entry_process};

impl World {
    pub(super) fn send_to_agent(&mut self, entry: usize, target: &str, message: ToAgent) {
        let agent = (0..=ENGINES).find(|agent| *agent_name(*agent) == *target);
        let Some(agent) = agent else { return };
        let link = match self.current_links.get(&(entry, agent)) {
            Some(link) => *link,
            None if matches!(message, ToAgent::Body(..)) => return,
            None => self.dial(entry, agent),
        };
        if !matches!(message, ToAgent::Body(..) | ToAgent::Probe(_)) {
            self.log_line(&format!("entry {entry} to agent {agent} on link {link}: {message:?}"));
        }
        let delay = self.delay();
        let Some(state) = self.links.get_mut(&link) else { return };
        if state.drops_messages {
            return;
        }
        let at = (self.now + delay).max(state.next_agent_delivery);
        state.next_agent_delivery = at;
        if let Some(copy_delay) = duplicate_delay(&message) {
            let message = Box::new(message.clone());
            self.schedule_at(at + copy_delay, Action::DeliverToAgent { link, message });
        }
        self.schedule_at(at, Action::DeliverToAgent { link, message: Box::new(message) });
    }

    pub(super) fn dial(&mut self, entry: usize, agent: usize) -> u64 {
        self.next_link += 1;
        let link = self.next_link;
        let opens = self.now + self.delay();
        let state = Link {
            entry,
            agent,
            entry_incarnation: self.entries[entry].incarnation,
            agent_incarnation: self.agents[agent].incarnation,
            is_open: false,
            drops_messages: false,
            open_sides: LinkSides { entry: true, agent: true },
            next_agent_delivery: opens,
            next_entry_delivery: opens,
        };
        self.links.insert(link, state);
        self.current_links.insert((entry, agent), link);
        self.schedule_at(opens, Action::OpenLink { link });
        link
    }

    pub(super) fn on_open_link(&mut self, link: u64) {
        let Some(state) = self.links.get_mut(&link) else { return };
        let (entry, agent) = (state.entry, state.agent);
        let node = &self.agents[agent];
        if node.core.is_none() || node.incarnation != state.agent_incarnation {
            self.schedule_at(self.now, Action::CloseEntrySide { link });
            return;
        }
        state.is_open = true;
        let incarnation = Incarnation(node.incarnation);
        let owner = entry_process(entry, state.entry_incarnation);
        let (entry_incarnation, agent_incarnation) =
            (state.entry_incarnation, state.agent_incarnation);
        let up = Box::new(agent::Event::PeerUp(ConnId(link), owner));
        self.schedule_at(
            self.now,
            Action::Agent { agent, incarnation: agent_incarnation, event: up },
        );
        let up = Box::new(entry::Event::AgentUp(agent_name(agent), incarnation));
        self.schedule_at(
            self.now,
            Action::Entry { entry, incarnation: entry_incarnation, event: up },
        );
    }

    pub(super) fn deliver_to_agent(&mut self, link: u64, message: ToAgent) {
        let Some(state) = self.links.get(&link) else { return };
        if !state.is_open
            || !state.open_sides.agent
            || self.agents[state.agent].incarnation != state.agent_incarnation
        {
            return;
        }
        let (agent, incarnation) = (state.agent, state.agent_incarnation);
        let event = Box::new(agent::Event::Peer(ConnId(link), message));
        self.schedule_at(self.now, Action::Agent { agent, incarnation, event });
    }

    pub(super) fn deliver_to_entry(&mut self, link: u64, message: ToEntry) {
        let Some(state) = self.links.get(&link) else { return };
        if !state.open_sides.entry {
            return;
        }
        let (entry, incarnation) = (state.entry, state.entry_incarnation);
        let event = Box::new(entry::Event::AgentMessage(agent_name(state.agent), message));
        self.schedule_at(self.now, Action::Entry { entry, incarnation, event });
    }

    pub(super) fn on_close_agent_side(&mut self, link: u64) {
        let Some(state) = self.links.get_mut(&link) else { return };
        if !std::mem::take(&mut state.open_sides.agent) || !state.is_open {
            return;
        }
        let (agent, incarnation) = (state.agent, state.agent_incarnation);
        let event = Box::new(agent::Event::PeerGone(ConnId(link)));
        self.schedule_at(self.now, Action::Agent { agent, incarnation, event });
    }

    pub(super) fn on_close_entry_side(&mut self, link: u64) {
        let Some(state) = self.links.get_mut(&link) else { return };
        if !std::mem::take(&mut state.open_sides.entry) {
            return;
        }
        let (entry, agent, incarnation) = (state.entry, state.agent, state.entry_incarnation);
        if self.current_links.get(&(entry, agent)) == Some(&link) {
            self.current_links.remove(&(entry, agent));
        }
        let event = Box::new(entry::Event::AgentDown(agent_name(agent)));
        self.schedule_at(self.now, Action::Entry { entry, incarnation, event });
    }

    /// Cuts a link. Each side detects the cut on its own, and messages in flight to the agent may
    /// still arrive until the agent does.
    pub(super) fn cut_link(&mut self, link: u64) {
        let entry_side = self.now + self.delay();
        let agent_side = self.now + Duration::from_millis(self.rng.random_range(0..1_500));
        self.schedule_at(entry_side, Action::CloseEntrySide { link });
        self.schedule_at(agent_side, Action::CloseAgentSide { link });
    }

    pub(super) fn cut_between(&mut self, entry: usize, agent: usize) {
        if let Some(link) = self.current_links.get(&(entry, agent)).copied() {
            self.log_line(&format!("link {link} between entry {entry} and agent {agent} is cut"));
            self.cut_link(link);
        }
    }
}
