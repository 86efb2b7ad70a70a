//! What the core knows of the configuration, and how it is proven current.

use std::net::SocketAddr;
use std::rc::Rc;

use super::RelayCore;
use crate::relay::discovery::proof_share::{PeerProof, PeerVerdict, ProofShare};
use crate::relay::discovery::rules::{RelayConfig, RuleTable};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::peers::config_copy::ConfigCopy;
use crate::relay::peers::load_note::LoadNote;
use crate::time::Tick;

impl RelayCore {
    /// Takes the result of a linearizable read that was sent at `sent_at`;
    /// `config` is none where it is the one that is known. Returns true where
    /// another version came into force.
    pub fn take_config(&mut self, config: Option<RelayConfig>, sent_at: Tick) -> bool {
        self.lease.renew(sent_at);
        config.is_some_and(|config| self.take_news(config, sent_at))
    }

    /// Takes a configuration that a watch told of, which proves nothing about
    /// later ones. Returns true where it came into force.
    pub fn take_news(&mut self, config: RelayConfig, now: Tick) -> bool {
        self.quarantine.take_records(&config.quarantine, self.unix_ms(now), now);
        if config.version == self.rules.version() {
            self.config = Some(Rc::new(config));
            return false;
        }
        // A lower version than the one in force would be a step back.
        if config.version <= self.rules.version() {
            return false;
        }
        self.rules = Rc::new(RuleTable::from_config(config.clone()));
        self.config = Some(Rc::new(config));
        self.set_rates(now);
        true
    }

    /// The configuration in force, for another entry.
    #[must_use]
    pub fn config_copy(&self) -> Option<ConfigCopy> {
        let config = self.config.clone()?;
        Some(ConfigCopy { revision: self.config_revision, config })
    }

    /// Takes the configuration of another entry, and the proof for which it was asked.
    /// Returns true where it came into force.
    pub fn take_copy(&mut self, copy: &ConfigCopy, now: Tick) -> bool {
        if copy.revision <= self.config_revision {
            return false;
        }
        let is_new = self.take_news((*copy.config).clone(), now);
        self.set_config_revision(copy.revision);
        if let Some(proven_at) = self.proof_share.take_ahead(copy.revision) {
            self.lease.renew(proven_at);
        }
        is_new
    }

    /// Revision that the configuration in force has in the store, unknown for none.
    #[must_use]
    pub fn config_revision(&self) -> StoreRevision {
        self.config_revision
    }

    /// Notes the revision that the configuration in force has in the store.
    pub fn set_config_revision(&mut self, revision: StoreRevision) {
        self.config_revision = self.config_revision.max(revision);
    }

    /// Returns true where this entry asks a store again that did not answer.
    #[must_use]
    pub fn probes_store(&self) -> bool {
        ProofShare::probes(self.fleet_entries().unwrap_or(1), rand::random())
    }

    /// The entry that is to be asked for its proof, and the question: none where
    /// none is known whose proof is enough newer.
    pub fn ask_proof(&mut self, now: Tick) -> Option<(SocketAddr, LoadNote)> {
        let nonce = rand::random();
        let address = self.proof_share.ask(nonce, self.lease.proven_at()?, now)?;
        Some((address, LoadNote::AskProof { nonce }))
    }

    /// Answers another entry's question, where there is anything to tell.
    #[must_use]
    pub fn tell_proof(&self, nonce: u64, now: Tick) -> Option<LoadNote> {
        const ROUNDING: u32 = 1;
        let age = self.lease.age(now).filter(|_| self.lease.is_held(now))?;
        let proof_age_ms = u32::try_from(age.as_millis()).ok()? + ROUNDING;
        Some(LoadNote::TellProof { nonce, revision: self.config_revision, proof_age_ms })
    }

    /// Takes another entry's answer, and renews the lease by it where it may.
    pub fn take_proof(&mut self, proof: PeerProof) -> PeerVerdict {
        let verdict = self.proof_share.take_answer(proof, self.config_revision);
        if let PeerVerdict::ProvenAt(at) = verdict {
            self.lease.renew(at);
        }
        verdict
    }
}
