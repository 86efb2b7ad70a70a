//! Runs the cores of entries and applies their effects.

use std::sync::Arc;

use rand::Rng;
use shalelane::config::ConfigVersion;
use shalelane::entry::{self, EntryCore};
use shalelane::hosts::{HostDelta, HostRecord, HostRole, HostState};

use super::plan::ENGINES;
use super::world::{
    Action, PLAIN_AGENT, World, agent_name, chaos_config, entry_process, entry_tuning,
};

impl World {
    pub(super) fn start_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        let process = entry_process(entry, node.incarnation);
        let seed = self.rng.random();
        node.core = Some(EntryCore::new(process, "domain-0".into(), entry_tuning(), seed));
        node.version = ConfigVersion(5);
        self.on_entry_event(entry, entry::Event::Config(Arc::new(chaos_config(5))));
        let hosts = (0..=ENGINES).map(|agent| HostRecord {
            name: agent_name(agent),
            role: HostRole::Target {
                service: if agent == PLAIN_AGENT { "plain" } else { "engines" }.into(),
            },
            address: "".into(),
            failure_domain: format!("domain-{}", agent % 2).into(),
            state: HostState::Live,
        });
        let delta = HostDelta { revision: 1, hosts: hosts.collect() };
        self.on_entry_event(entry, entry::Event::Hosts(delta));
    }

    pub(super) fn on_entry_event(&mut self, entry: usize, event: entry::Event) {
        let now = self.now;
        let Some(core) = &mut self.entries[entry].core else { return };
        let effects = core.on_event(now, event);
        let wake = core.next_wake();
        self.check_version(entry);
        for effect in effects {
            self.apply_entry_effect(entry, effect);
        }
        if let Some(wake) = wake {
            let incarnation = self.entries[entry].incarnation;
            let event = Box::new(entry::Event::Wake);
            self.schedule_at(wake.max(now), Action::Entry { entry, incarnation, event });
        }
    }

    pub(super) fn check_version(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        let found = node.core.as_ref().and_then(|core| core.config());
        let version = found.map_or(ConfigVersion(0), |config| config.version);
        if version < node.version {
            self.violations.push(format!("entry {entry} reverted to configuration {version}"));
        }
        node.version = version;
    }

    pub(super) fn apply_entry_effect(&mut self, entry: usize, effect: entry::Effect) {
        match effect {
            entry::Effect::Reply(number, reply) => {
                if !matches!(reply, entry::Reply::Text(_)) {
                    self.log_line(&format!("entry {entry} answers {number}: {reply:?}"));
                }
                self.callers.on_reply(entry, number, reply, self.now);
            }
            entry::Effect::Send(target, message) => self.send_to_agent(entry, &target, message),
            entry::Effect::Record { number, kind, detail } => {
                self.log_line(&format!("entry {entry} request {number} {kind}: {detail}"));
            }
            entry::Effect::PullConfig | entry::Effect::Stopped => {}
        }
    }
}
