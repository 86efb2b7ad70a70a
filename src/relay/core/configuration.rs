//! What the core knows of the configuration, and how it is proven current.

use std::net::SocketAddr;
use std::rc::Rc;

use super::RelayCore;
use crate::relay::discovery::config_delta::ConfigDelta;
use crate::relay::discovery::feed::{ConfigNews, ConfigRead};
use crate::relay::discovery::proof_share::{PeerProof, PeerVerdict, ProofShare};
use crate::relay::discovery::rules::{RelayConfig, RuleTable};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::peers::config_copy::ConfigCopy;
use crate::relay::peers::load_note::LoadNote;
use crate::time::Tick;

impl RelayCore {
    /// Takes a linearizable read that was sent at `sent_at`. Returns true where another
    /// version came into force.
    pub fn take_read(&mut self, read: ConfigRead, sent_at: Tick) -> bool {
        // An answer that was under way while the store came back from a copy.
        if read.revision.epoch < self.config_revision.epoch {
            return false;
        }
        let is_earlier = read.revision < self.config_revision;
        if is_earlier && self.config_share.is_refuted(sent_at) {
            return self.take_refutation(read, sent_at);
        }
        // One that was overtaken by a watch holds what has been replaced since.
        let config = read.config.filter(|_| !is_earlier);
        self.set_config_revision(read.revision);
        if !is_earlier && sent_at >= self.read_at {
            self.read_at = sent_at;
            self.config_share.note_read(self.config_revision);
        }
        let is_new = config.is_some_and(|config| self.take_stores(config, sent_at));
        if !is_earlier {
            self.config_share.note_confirmed();
        }
        self.prove(sent_at);
        is_new
    }

    /// Takes what the store holds, which goes before what another entry told of the same
    /// version.
    fn take_stores(&mut self, config: RelayConfig, now: Tick) -> bool {
        let is_same_version = config.version == self.rules.version();
        let is_refuted = !self.is_config_confirmed() && config.digest() != self.config_digest;
        if is_same_version && is_refuted {
            self.put_in_force(config, now);
            return true;
        }
        self.take_version(config, now)
    }

    /// Takes a read that shows that what another entry told is not the store's.
    fn take_refutation(&mut self, read: ConfigRead, sent_at: Tick) -> bool {
        let Some(config) = read.config else { return false };
        self.config_revision = read.revision;
        self.config_share.note_read(read.revision);
        self.config_share.note_confirmed();
        self.put_in_force(config, sent_at);
        self.prove(sent_at);
        true
    }

    /// Takes the configuration of such a read, none where it is the one that is known.
    /// Returns true where another version came into force.
    pub fn take_config(&mut self, config: Option<RelayConfig>, sent_at: Tick) -> bool {
        let is_new = config.is_some_and(|config| self.take_version(config, sent_at));
        self.prove(sent_at);
        is_new
    }

    /// Takes a configuration that a watch told of, which proves nothing about
    /// later ones. Returns true where it came into force.
    pub fn take_news(&mut self, news: ConfigNews, now: Tick) -> bool {
        if news.revision < self.config_revision {
            return false;
        }
        self.set_config_revision(news.revision);
        let is_new = self.take_stores(news.config, now);
        self.config_share.note_confirmed();
        is_new
    }

    /// Takes what another entry tells of a change, in force and unconfirmed until it is
    /// proven. Returns true where another version came into force.
    pub fn take_delta(&mut self, delta: &ConfigDelta, now: Tick) -> bool {
        if delta.mark <= self.config_revision {
            return false;
        }
        let Some(base) = self.config.clone().filter(|_| self.leads_on(delta)) else {
            self.config_share.note_told(delta.mark, self.config_revision, now);
            return false;
        };
        self.set_config_revision(delta.mark);
        self.config_share.note_unconfirmed(now);
        self.take_version(delta.apply(&base), now)
    }

    /// Returns true where a change leads on from the revision that is known here. What is told
    /// over the return of the store from a copy leaves out what was lost.
    fn leads_on(&self, delta: &ConfigDelta) -> bool {
        let own = self.config_revision;
        let is_of_epoch = [delta.since.epoch, delta.mark.epoch] == [own.epoch; 2];
        is_of_epoch && delta.since <= own && !self.is_store_behind
    }

    /// What the store has told this entry since the last call, to be told to others; none where
    /// nothing has changed, or not all of it is known.
    pub fn take_config_change(&mut self) -> Option<ConfigDelta> {
        let now = self.config_copy().filter(|_| self.is_config_confirmed())?;
        let before = self.store_copy.replace(now.clone())?;
        let is_next = before.revision < now.revision && before.revision.epoch == now.revision.epoch;
        is_next.then(|| {
            ConfigDelta::between(&before.config, before.revision, &now.config, now.revision)
        })
    }

    /// Returns true where the configuration in force is known to be the store's.
    #[must_use]
    pub fn is_config_confirmed(&self) -> bool {
        self.config_share.is_confirmed()
    }

    /// Returns true where a change of the configuration was missed.
    #[must_use]
    pub fn is_config_behind(&self, now: Tick) -> bool {
        self.config_share.is_behind(self.list_share.is_watching(), now)
    }

    fn take_version(&mut self, config: RelayConfig, now: Tick) -> bool {
        self.quarantine.take_records(&config.quarantine, self.unix_ms(now), now);
        // A lower version than the one in force would be a step back. A store that has come
        // back from a copy with one may have lost a later one than is known here, too.
        let is_lower = config.version < self.rules.version();
        self.is_store_behind = is_lower && self.rules_epoch != self.config_revision.epoch;
        if is_lower {
            return false;
        }
        self.rules_epoch = self.config_revision.epoch;
        if config.version == self.rules.version() {
            self.set_config(config);
            return false;
        }
        self.put_in_force(config, now);
        true
    }

    fn put_in_force(&mut self, config: RelayConfig, now: Tick) {
        self.rules = Rc::new(RuleTable::from_config(config.clone()));
        self.set_config(config);
        self.set_rates(now);
    }

    fn set_config(&mut self, config: RelayConfig) {
        self.config_digest = config.digest();
        self.config = Some(Rc::new(config));
    }

    /// Renews the lease, where what the store holds is what is in force.
    fn prove(&mut self, at: Tick) {
        if !self.is_store_behind {
            self.lease.renew(at);
            self.proven_epoch = self.config_revision.epoch;
        }
    }

    /// Returns true where the store holds an earlier configuration than the one in force.
    #[must_use]
    pub fn is_store_behind(&self) -> bool {
        self.is_store_behind
    }

    /// Notes the epoch that an answer of the store names. Returns the one that was known
    /// before, where the store has come back from a copy since.
    pub fn note_epoch(&mut self, epoch: u64) -> Option<u64> {
        let known = self.store_epoch;
        self.store_epoch = known.max(Some(epoch));
        known.filter(|known| *known < epoch)
    }

    /// Newest epoch of the store that is known.
    #[must_use]
    pub fn store_epoch(&self) -> u64 {
        self.store_epoch.unwrap_or(0)
    }

    /// The configuration in force, for another entry.
    #[must_use]
    pub fn config_copy(&self) -> Option<ConfigCopy> {
        let config = self.config.clone().filter(|_| !self.is_store_behind)?;
        Some(ConfigCopy { revision: self.config_revision, config })
    }

    /// Takes the configuration of another entry, and the proof for which it was asked.
    /// Returns true where it came into force.
    pub fn take_copy(&mut self, copy: &ConfigCopy, now: Tick) -> bool {
        if copy.revision <= self.config_revision {
            return false;
        }
        self.set_config_revision(copy.revision);
        let is_new = self.take_version((*copy.config).clone(), now);
        self.config_share.note_unconfirmed(now);
        let ahead = self.proof_share.take_ahead(copy.revision);
        if let Some(proof) = ahead.filter(|proof| proof.config_digest == self.config_digest) {
            self.config_share.note_confirmed();
            self.take_evacuations(proof.evacuations, proof.proven_at, now);
            self.prove(proof.proven_at);
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
        self.config_share.note_own(self.config_revision);
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
        // A proof of the store's last epoch says nothing of a revision of this one.
        if self.proven_epoch != self.config_revision.epoch || !self.is_config_confirmed() {
            return None;
        }
        let age = self.lease.age(now).filter(|_| self.lease.is_held(now))?;
        let proof_age_ms = u32::try_from(age.as_millis()).ok()? + ROUNDING;
        let evacuated = self.evacuated().cloned().collect();
        Some(LoadNote::TellProof {
            nonce,
            revision: self.config_revision,
            config_digest: self.config_digest,
            proof_age_ms,
            evacuated,
        })
    }

    /// Takes another entry's answer, and renews the lease by it where it may.
    pub fn take_proof(&mut self, proof: &PeerProof, now: Tick) -> PeerVerdict {
        let verdict = self.proof_share.take_answer(proof, self.config_revision);
        if let PeerVerdict::ProvenAt(at) = verdict {
            let is_same =
                proof.revision == self.config_revision && proof.config_digest == self.config_digest;
            if !is_same && !self.is_config_confirmed() {
                return PeerVerdict::Useless;
            }
            self.config_share.note_confirmed();
            self.take_evacuations(proof.to_evacuations(), at, now);
            self.prove(at);
        }
        verdict
    }
}
