//! The configuration in force, and how it is proven current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::RelayCore;
use crate::relay::decide::quarantine::QuarantineRecords;
use crate::relay::discovery::config_delta::ConfigDelta;
use crate::relay::discovery::proof_sync::{PeerProof, PeerVerdict, ProofSync};
use crate::relay::discovery::rules::{DigestedConfig, RelayConfig, RuleTable};
use crate::relay::discovery::source::{ConfigRead, ConfigUpdate};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::peers::config_copy::ConfigCopy;
use crate::relay::peers::peer_message::PeerMessage;
use crate::time::Tick;

/// Time after the start of this process for which the agents' answers are waited for.
const AGENT_TIMEOUT: Duration = Duration::from_secs(2);

/// How an announced change relates to the configuration known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum DeltaVerdict {
    /// It is applied.
    #[display("applied")]
    Applied {
        /// Whether another version came into force.
        is_new: bool,
    },
    /// The configuration known here is as new or newer.
    #[display("known")]
    Known,
    /// Earlier changes were missed.
    #[display("gap")]
    Gap,
    /// It does not lead to the announced configuration, because an intermediate version is known
    /// here that differs in more than the change contains.
    #[display("mismatch")]
    Mismatch,
}

impl DeltaVerdict {
    /// Returns `true` if another version came into force.
    #[must_use]
    pub fn is_new_version(self) -> bool {
        self == DeltaVerdict::Applied { is_new: true }
    }

    /// Returns `true` if the store has to be read for the change.
    #[must_use]
    pub fn is_missed(self) -> bool {
        matches!(self, DeltaVerdict::Gap | DeltaVerdict::Mismatch)
    }
}

impl RelayCore {
    /// Applies a linearizable read that was sent at `sent_at`. Returns `true` if another version
    /// came into force.
    pub fn apply_read(&mut self, read: ConfigRead, sent_at: Tick) -> bool {
        // The answer was under way while the store was restored from a backup.
        if read.revision.epoch < self.config_revision.epoch {
            return false;
        }
        let is_earlier = read.revision < self.config_revision;
        if is_earlier && self.config_sync.is_refuted(sent_at) {
            return self.apply_refutation(read, sent_at);
        }
        // A read that a watch has overtaken holds a configuration that has been replaced since.
        let config = read.config.filter(|_| !is_earlier);
        self.set_config_revision(read.revision);
        if !is_earlier && sent_at >= self.read_at {
            self.read_at = sent_at;
            self.config_sync.record_read(self.config_revision);
        }
        let is_new = config.is_some_and(|config| self.apply_stored(config, sent_at));
        if !is_earlier {
            self.config_sync.mark_confirmed();
        }
        self.prove(sent_at);
        is_new
    }

    /// Applies what the store holds. For the same version it takes precedence over what another
    /// entry announced.
    fn apply_stored(&mut self, config: RelayConfig, now: Tick) -> bool {
        let config = DigestedConfig::new(config);
        let is_same_version = config.config.version == self.rules.version();
        let is_refuted = !self.is_config_confirmed() && config.digest != self.config_digest;
        if is_same_version && is_refuted {
            self.activate(config, now);
            return true;
        }
        self.apply_version(config, now)
    }

    /// Applies a read that refutes what another entry announced.
    fn apply_refutation(&mut self, read: ConfigRead, sent_at: Tick) -> bool {
        let Some(config) = read.config else { return false };
        self.config_revision = read.revision;
        self.config_sync.record_read(read.revision);
        self.config_sync.mark_confirmed();
        self.activate(DigestedConfig::new(config), sent_at);
        self.prove(sent_at);
        true
    }

    /// Applies the configuration of a linearizable read, `None` if it is the known one. Returns
    /// `true` if another version came into force.
    pub fn apply_config(&mut self, config: Option<RelayConfig>, sent_at: Tick) -> bool {
        let is_new =
            config.is_some_and(|config| self.apply_version(DigestedConfig::new(config), sent_at));
        self.prove(sent_at);
        is_new
    }

    /// Applies an update that a watch received. It proves nothing about later versions. Returns
    /// `true` if it came into force.
    pub fn apply_update(&mut self, update: ConfigUpdate, now: Tick) -> bool {
        if update.revision < self.config_revision {
            return false;
        }
        self.set_config_revision(update.revision);
        let is_new = self.apply_stored(update.config, now);
        self.config_sync.mark_confirmed();
        is_new
    }

    /// Applies a change that another entry announced. It is in force, but unconfirmed until it is
    /// proven. A change that does not lead to a whole version from the configuration known here is
    /// not applied, and the store is read instead.
    pub fn apply_delta(&mut self, delta: &ConfigDelta, now: Tick) -> DeltaVerdict {
        if delta.revision <= self.config_revision {
            return DeltaVerdict::Known;
        }
        let base = self.config.clone().filter(|_| self.continues_from_known(delta));
        let verdict = match base.map(|base| delta.apply(&base)) {
            Some(Some(config)) => {
                self.set_config_revision(delta.revision);
                self.config_sync.mark_unconfirmed(now);
                return DeltaVerdict::Applied { is_new: self.apply_version(config, now) };
            }
            Some(None) => DeltaVerdict::Mismatch,
            None => DeltaVerdict::Gap,
        };
        self.config_sync.record_announced(delta.revision, self.config_revision, now);
        verdict
    }

    /// Returns `true` if a change continues from the revision known here. A change that spans a
    /// restore of the store from a backup leaves out what was lost.
    fn continues_from_known(&self, delta: &ConfigDelta) -> bool {
        let known = self.config_revision;
        let is_same_epoch = [delta.since.epoch, delta.revision.epoch] == [known.epoch; 2];
        is_same_epoch && delta.since <= known && !self.is_store_behind
    }

    /// Takes what the store has changed since the last call, to be announced to other entries.
    /// `None` if nothing has changed or not all of it is known.
    pub fn take_config_change(&mut self) -> Option<ConfigDelta> {
        let now = self.config_copy().filter(|_| self.is_config_confirmed())?;
        let before = self.store_copy.replace(now.clone())?;
        let is_next = before.revision < now.revision && before.revision.epoch == now.revision.epoch;
        is_next.then(|| {
            ConfigDelta::between(&before.config, before.revision, &now.config, now.revision)
        })
    }

    /// Returns `true` if the configuration in force is known to be the one in the store.
    #[must_use]
    pub fn is_config_confirmed(&self) -> bool {
        self.config_sync.is_confirmed()
    }

    /// Returns `true` if a change of the configuration was missed.
    #[must_use]
    pub fn is_config_behind(&self, now: Tick) -> bool {
        self.config_sync.is_behind(self.target_list_sync.is_watching(), now)
    }

    fn apply_version(&mut self, digested: DigestedConfig, now: Tick) -> bool {
        let config = &digested.config;
        let unix_ms = self.unix_ms(now);
        self.quarantine.apply_records(&config.quarantine, unix_ms, now);
        self.quarantine.parts.apply_records(&config.part_quarantine, unix_ms, now);
        // A lower version than the one in force would be a step back. A store restored from a
        // backup with a lower version may also have lost a later one than is known here.
        let is_lower = config.version < self.rules.version();
        self.is_store_behind = is_lower && self.rules_epoch != self.config_revision.epoch;
        if is_lower {
            return false;
        }
        self.rules_epoch = self.config_revision.epoch;
        // A store restored from a backup may hold other contents under a version that was in force.
        let is_known = self.config.as_ref().is_some_and(|known| known.has_rules_of(config));
        if config.version == self.rules.version() && is_known {
            self.set_config(digested);
            return false;
        }
        self.activate(digested, now);
        true
    }

    fn activate(&mut self, digested: DigestedConfig, now: Tick) {
        self.rules = Rc::new(RuleTable::from_config(digested.config.clone()));
        self.set_config(digested);
        self.set_engine_rates(now);
    }

    /// Records that the store now holds the known configuration with these records.
    pub(super) fn set_written_quarantine(&mut self, records: &QuarantineRecords) {
        let Some(known) = &self.config else { return };
        self.set_config(DigestedConfig::new(RelayConfig {
            quarantine: records.requests.clone(),
            part_quarantine: records.parts.clone(),
            ..(**known).clone()
        }));
    }

    fn set_config(&mut self, digested: DigestedConfig) {
        self.config_digest = digested.digest;
        self.config = Some(Rc::new(digested.config));
    }

    /// Renews the lease if the configuration in force is the one that the store holds, and the store
    /// is not known to have lost a later one.
    fn prove(&mut self, at: Tick) {
        if !self.is_store_behind && !self.may_lack_version(at) {
            self.lease.renew(at);
            self.proven_epoch = self.config_revision.epoch;
        }
    }

    /// Returns `true` if a store that was restored from a backup may have lost a later version than the
    /// one in force: another entry has had one, or no agent has told yet whether any has. Agents are
    /// waited for at the start only, as there may be none.
    #[must_use]
    pub fn may_lack_version(&self, now: Tick) -> bool {
        let is_asking = now < Tick::default() + AGENT_TIMEOUT;
        let may_lack =
            self.newest_version.map_or(is_asking, |newest| newest > self.rules.version());
        self.store_epoch() > 0 && may_lack
    }

    /// Returns the version in force, `None` if there is none.
    #[must_use]
    pub fn version_in_force(&self) -> Option<u64> {
        self.config.as_ref().map(|_| self.rules.version())
    }

    /// Records the newest version that an agent has heard of from entries.
    pub(super) fn record_newest_version(&mut self, version: Option<u64>) {
        self.newest_version = self.newest_version.max(Some(version.unwrap_or(0)));
    }

    /// Returns `true` if the store holds an earlier configuration than the one in force.
    #[must_use]
    pub fn is_store_behind(&self) -> bool {
        self.is_store_behind
    }

    /// Records the epoch that an answer of the store names. Returns the epoch known before if the
    /// store has been restored from a backup since.
    pub fn record_epoch(&mut self, epoch: u64) -> Option<u64> {
        let known = self.store_epoch;
        self.store_epoch = known.max(Some(epoch));
        known.filter(|known| *known < epoch)
    }

    /// Returns the newest known epoch of the store.
    #[must_use]
    pub fn store_epoch(&self) -> u64 {
        self.store_epoch.unwrap_or(0)
    }

    /// Returns a copy of the configuration in force for another entry.
    #[must_use]
    pub fn config_copy(&self) -> Option<ConfigCopy> {
        let config = self.config.clone().filter(|_| !self.is_store_behind)?;
        Some(ConfigCopy { revision: self.config_revision, config })
    }

    /// Applies the configuration of another entry together with the proof that led to the
    /// request for it. Returns `true` if it came into force.
    pub fn apply_copy(&mut self, copy: &ConfigCopy, now: Tick) -> bool {
        if copy.revision <= self.config_revision {
            return false;
        }
        self.set_config_revision(copy.revision);
        let is_new = self.apply_version(DigestedConfig::new((*copy.config).clone()), now);
        self.config_sync.mark_unconfirmed(now);
        let ahead = self.proof_sync.take_ahead(copy.revision);
        if let Some(proof) = ahead.filter(|proof| proof.config_digest == self.config_digest) {
            self.config_sync.mark_confirmed();
            self.apply_evacuations(proof.evacuations, proof.proven_at, now);
            self.prove(proof.proven_at);
        }
        is_new
    }

    /// Returns the revision of the configuration in force in the store, unknown if there is none.
    #[must_use]
    pub fn config_revision(&self) -> StoreRevision {
        self.config_revision
    }

    /// Returns the digest of the configuration in force.
    #[must_use]
    pub fn config_digest(&self) -> u64 {
        self.config_digest
    }

    /// Records the revision of the configuration in force in the store.
    pub fn set_config_revision(&mut self, revision: StoreRevision) {
        self.config_revision = self.config_revision.max(revision);
        self.config_sync.record_own(self.config_revision);
    }

    /// Returns `true` if this entry should call a store again that did not answer.
    #[must_use]
    pub fn should_probe_store(&self) -> bool {
        ProofSync::should_probe(self.fleet_entries().unwrap_or(1), rand::random())
    }

    /// Returns the entry whose proof should be requested, and the request. `None` if no entry with
    /// a proof that is enough newer is known.
    pub fn request_proof(&mut self, now: Tick) -> Option<(SocketAddr, PeerMessage)> {
        let nonce = rand::random();
        let address = self.proof_sync.next_query(nonce, self.lease.proven_at()?, now)?;
        Some((address, PeerMessage::QueryProof { nonce }))
    }

    /// Answers another entry's request for a proof, `None` if this entry holds none.
    #[must_use]
    pub fn answer_proof_request(&self, nonce: u64, now: Tick) -> Option<PeerMessage> {
        const ROUNDING: u32 = 1;
        // A proof from the previous epoch of the store says nothing about a revision of this one.
        if self.proven_epoch != self.config_revision.epoch || !self.is_config_confirmed() {
            return None;
        }
        let age = self.lease.age(now).filter(|_| self.lease.is_held(now))?;
        let proof_age_ms = u32::try_from(age.as_millis()).ok()? + ROUNDING;
        let evacuated = self.evacuated_domains().cloned().collect();
        Some(PeerMessage::AnswerProof {
            nonce,
            revision: self.config_revision,
            config_digest: self.config_digest,
            proof_age_ms,
            evacuated,
        })
    }

    /// Applies another entry's answer, and renews the lease if the answer proves the configuration
    /// in force.
    pub fn apply_proof(&mut self, proof: &PeerProof, now: Tick) -> PeerVerdict {
        let verdict = self.proof_sync.apply_answer(proof, self.config_revision);
        if let PeerVerdict::ProvenAt(at) = verdict {
            let is_same =
                proof.revision == self.config_revision && proof.config_digest == self.config_digest;
            if !is_same && !self.is_config_confirmed() {
                return PeerVerdict::Useless;
            }
            self.config_sync.mark_confirmed();
            self.apply_evacuations(proof.to_evacuations(), at, now);
            self.prove(at);
        }
        verdict
    }
}
