//! What goes wrong, and what must hold at the end.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use shalelane::RequestId;
use shalelane::agent::{self};
use shalelane::config::ConfigVersion;
use shalelane::entry;
use shalelane::time::Tick;

use super::plan::{ENGINES, ENTRIES, FaultKind};
use super::world::{Action, SILENT, World, chaos_config};

impl World {
    pub(super) fn on_fault(&mut self, kind: FaultKind) {
        self.note(&format!("fault: {kind:?}"));
        match kind {
            FaultKind::Cut { entry, agent } => self.cut_between(entry, agent),
            FaultKind::HalfOpen { entry, agent } => self.half_open(entry, agent),
            FaultKind::AgentDeath { agent, down_ms } => {
                if self.agents[agent].core.is_some() {
                    self.end_agent(agent, Duration::from_millis(down_ms));
                }
            }
            FaultKind::EntryDeath { entry, down_ms } => {
                self.kill_entry(entry, Duration::from_millis(down_ms));
            }
            FaultKind::EngineDeath { agent, down_ms } => {
                self.kill_engine(agent, Duration::from_millis(down_ms));
            }
            FaultKind::AgentPause { agent, span_ms } => {
                self.agents[agent].paused_until = self.now + Duration::from_millis(span_ms);
            }
            FaultKind::EntryPause { entry, span_ms } => {
                let span = Duration::from_millis(span_ms);
                self.entries[entry].paused_until = self.now + span;
                self.callers.on_entry_pause(entry, span);
            }
            FaultKind::Drain { agent } => {
                let life = self.agents[agent].life;
                let event = Box::new(agent::Event::Drain);
                self.at(self.now, Action::Agent { agent, life, event });
            }
            FaultKind::DomainCut { domain } => {
                for agent in (0..=ENGINES).filter(|agent| agent % 2 == domain) {
                    (0..ENTRIES).for_each(|entry| self.cut_between(entry, agent));
                }
            }
            FaultKind::StaleConfig { entry } => {
                let life = self.entries[entry].life;
                let event = Box::new(entry::Event::Config(Arc::new(chaos_config(3))));
                self.at(self.now, Action::Entry { entry, life, event });
            }
        }
    }

    pub(super) fn half_open(&mut self, entry: usize, agent: usize) {
        let Some(link) = self.current.get(&(entry, agent)).copied() else { return };
        if let Some(state) = self.links.get_mut(&link) {
            state.swallows = true;
        }
        self.at(self.now + SILENT, Action::EntrySideGone { link });
        let agent_side = self.now + SILENT + Duration::from_millis(self.rng.random_range(0..9_000));
        self.at(agent_side, Action::AgentSideGone { link });
    }

    pub(super) fn kill_entry(&mut self, entry: usize, down: Duration) {
        let node = &mut self.entries[entry];
        if node.core.take().is_none() {
            return;
        }
        node.life += 1;
        node.paused_until = Tick(0);
        node.numbers = 0;
        node.version = ConfigVersion(0);
        self.callers.on_entry_death(entry);
        self.current.retain(|(of, _), _| *of != entry);
        for link in self.links_of(|link| link.entry == entry) {
            let at = self.now + Duration::from_millis(self.rng.random_range(0..1_000));
            self.at(at, Action::AgentSideGone { link });
        }
        self.at(self.now + down, Action::StartEntry(entry));
    }

    pub(super) fn check_end(&mut self) {
        let runs = |id: &RequestId| {
            let prefix = format!("{id}-");
            let attempts = self.starts.range(prefix.clone()..);
            let own = attempts.take_while(|(name, _)| name.starts_with(&prefix));
            own.map(|(_, count)| *count).sum()
        };
        self.callers.check_end(runs);
        for (number, node) in self.agents.iter().enumerate() {
            let held = node.engine.used();
            if held > 0 {
                let runs = node.engine.runs();
                let line = format!("engine {number} holds {held} tokens for good: {runs:?}");
                self.broken.push(line);
            }
            let Some(core) = &node.core else { continue };
            if core.leased_tokens() > 0 || core.open_runs() > 0 {
                let (leased, open) = (core.leased_tokens(), core.open_runs());
                let line = format!("agent {number} leases {leased} tokens, {open} runs open");
                self.broken.push(line);
            }
        }
    }
}
