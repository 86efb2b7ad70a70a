//! Injection of faults, and the checks at the end of a run.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use shalelane::RequestId;
use shalelane::agent::{self};
use shalelane::config::ConfigVersion;
use shalelane::entry;
use shalelane::time::Tick;

use super::plan::{ENGINES, ENTRIES, FaultKind};
use super::world::{Action, HALF_OPEN_TIMEOUT, World, chaos_config};

impl World {
    pub(super) fn on_fault(&mut self, kind: FaultKind) {
        self.log_line(&format!("fault: {kind:?}"));
        match kind {
            FaultKind::LinkCut { entry, agent } => self.cut_between(entry, agent),
            FaultKind::HalfOpen { entry, agent } => self.half_open_link(entry, agent),
            FaultKind::AgentCrash { agent, down_ms } => {
                if self.agents[agent].core.is_some() {
                    self.restart_agent(agent, Duration::from_millis(down_ms));
                }
            }
            FaultKind::EntryCrash { entry, down_ms } => {
                self.crash_entry(entry, Duration::from_millis(down_ms));
            }
            FaultKind::EngineCrash { agent, down_ms } => {
                self.crash_engine(agent, Duration::from_millis(down_ms));
            }
            FaultKind::AgentPause { agent, pause_ms } => {
                self.agents[agent].paused_until = self.now + Duration::from_millis(pause_ms);
            }
            FaultKind::EntryPause { entry, pause_ms } => {
                let pause = Duration::from_millis(pause_ms);
                self.entries[entry].paused_until = self.now + pause;
                self.callers.on_entry_pause(entry, pause);
            }
            FaultKind::Drain { agent } => {
                let incarnation = self.agents[agent].incarnation;
                let event = Box::new(agent::Event::Drain);
                self.schedule_at(self.now, Action::Agent { agent, incarnation, event });
            }
            FaultKind::DomainCut { domain } => {
                for agent in (0..=ENGINES).filter(|agent| agent % 2 == domain) {
                    (0..ENTRIES).for_each(|entry| self.cut_between(entry, agent));
                }
            }
            FaultKind::StaleConfig { entry } => {
                let incarnation = self.entries[entry].incarnation;
                let event = Box::new(entry::Event::Config(Arc::new(chaos_config(3))));
                self.schedule_at(self.now, Action::Entry { entry, incarnation, event });
            }
        }
    }

    pub(super) fn half_open_link(&mut self, entry: usize, agent: usize) {
        let Some(link) = self.current_links.get(&(entry, agent)).copied() else { return };
        if let Some(state) = self.links.get_mut(&link) {
            state.drops_messages = true;
        }
        self.schedule_at(self.now + HALF_OPEN_TIMEOUT, Action::CloseEntrySide { link });
        let agent_side =
            self.now + HALF_OPEN_TIMEOUT + Duration::from_millis(self.rng.random_range(0..9_000));
        self.schedule_at(agent_side, Action::CloseAgentSide { link });
    }

    pub(super) fn crash_entry(&mut self, entry: usize, down: Duration) {
        let node = &mut self.entries[entry];
        if node.core.take().is_none() {
            return;
        }
        node.incarnation += 1;
        node.paused_until = Tick(0);
        node.last_number = 0;
        node.version = ConfigVersion(0);
        self.callers.on_entry_crash(entry);
        self.current_links.retain(|(owner, _), _| *owner != entry);
        for link in self.links_of(|link| link.entry == entry) {
            let at = self.now + Duration::from_millis(self.rng.random_range(0..1_000));
            self.schedule_at(at, Action::CloseAgentSide { link });
        }
        self.schedule_at(self.now + down, Action::StartEntry(entry));
    }

    pub(super) fn check_end(&mut self) {
        let runs = |id: &RequestId| {
            let prefix = format!("{id}-");
            let attempts = self.start_counts.range(prefix.clone()..);
            let own = attempts.take_while(|(name, _)| name.starts_with(&prefix));
            own.map(|(_, count)| *count).sum()
        };
        self.callers.check_end(runs);
        for (number, node) in self.agents.iter().enumerate() {
            let used = node.engine.used();
            if used > 0 {
                let runs = node.engine.runs();
                let line = format!("engine {number} still holds {used} tokens: {runs:?}");
                self.violations.push(line);
            }
            let Some(core) = &node.core else { continue };
            if core.leased_tokens() > 0 || core.open_runs() > 0 {
                let (leased, open) = (core.leased_tokens(), core.open_runs());
                let line =
                    format!("agent {number} still leases {leased} tokens and has {open} open runs");
                self.violations.push(line);
            }
        }
    }
}
