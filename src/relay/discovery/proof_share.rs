//! One proof for many: an entry takes over the proof of another one.
//!
//! The load that it answers: hundreds of entries, each of which asked the store
//! every few seconds for the same answer, so that the calls grew with the fleet and
//! came in a herd after an outage.
//!
//! An entry that asks another one at its own time `s`, and hears "all changes up to
//! revision R were known `a` ago", knows that its own configuration was current at
//! `s - a`, where it has revision R or a later one: the answer was made after the
//! question, so the proof is at least that new, whatever the network or a pause did
//! in between. Only steady clocks are compared, each with itself.
//!
//! Nobody is chosen to read the store. Each entry looks for a newer proof at a
//! random part of its lease, and reads for itself where it finds none. An entry that
//! the store turns away serves on by the proofs of others for as long as it has the
//! configuration that they prove.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use super::feed::EvacuationList;
use super::store_revision::StoreRevision;
use crate::time::Tick;

/// Part of a lease after which a newer proof is looked for, at random. Entries that
/// share a proof look at different moments, and the first of them reads the store
/// for the others. At the upper end a read that takes a second and fails leaves time
/// for another one, with leases of five seconds.
const REFRESH_PART: Range<f64> = 0.42..0.67;

/// How much newer a proof has to be, so that it lasts for a while.
const LEAST_GAIN: Duration = Duration::from_millis(700);

/// Entries of a fleet that ask a store which does not answer, each time that an entry
/// alone would ask it. The others hear of its return from these.
const PROBES: f64 = 16.0;

/// What another entry says of its proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerProof {
    /// The question that it answers.
    pub nonce: u64,
    /// Revision of its configuration.
    pub revision: StoreRevision,
    /// Digest of its configuration.
    pub config_digest: u64,
    /// Age of its proof.
    pub age: Duration,
    /// Failure domains that were out of service then.
    pub evacuated: Vec<Arc<str>>,
}

impl PeerProof {
    /// Failure domains that were out of service then.
    #[must_use]
    pub fn to_evacuations(&self) -> EvacuationList {
        EvacuationList { domains: self.evacuated.clone(), epoch: self.revision.epoch }
    }
}

/// What another entry has proven of a later configuration, by this one's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenProof {
    /// When.
    pub proven_at: Tick,
    /// Digest of that configuration.
    pub config_digest: u64,
    /// Failure domains that were out of service then.
    pub evacuations: EvacuationList,
}

/// What a proof of another entry is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// The own configuration was current at that moment.
    ProvenAt(Tick),
    /// The other one knows a later configuration: the store is to be read, or the
    /// other's copy of it.
    Behind,
    /// It answers no question of this entry, or is older than this process.
    Useless,
}

#[derive(Debug)]
struct ProofSource {
    address: SocketAddr,
    /// About when it proved its configuration: good enough to choose by.
    proven_at: Tick,
}

#[derive(Debug)]
struct OpenQuestion {
    nonce: u64,
    sent_at: Tick,
}

/// Whose proof this entry may take over, and what it has asked.
#[derive(Debug, Default)]
pub struct ProofShare {
    best: Option<ProofSource>,
    question: Option<OpenQuestion>,
    /// A proof of a later configuration than the own one.
    ahead: Option<AheadProof>,
}

#[derive(Debug)]
struct AheadProof {
    revision: StoreRevision,
    proof: TakenProof,
}

impl ProofShare {
    /// Age at which a proof is to be renewed that lasts for `span`.
    #[must_use]
    pub fn refresh_age(span: Duration) -> Duration {
        span.mul_f64(rand::random_range(REFRESH_PART))
    }

    /// Returns true where a store that did not answer is to be asked again now, by a
    /// throw from 0 to 1: hundreds of entries that all ask are a load of their own, and
    /// hear of its return from one another.
    #[must_use]
    pub fn probes(entries: usize, throw: f64) -> bool {
        throw * entries as f64 <= PROBES
    }

    /// Notes that the entry at `address` is said to have proven its configuration
    /// at about `proven_at`.
    pub fn note_source(&mut self, address: SocketAddr, proven_at: Tick) {
        if self.best.as_ref().is_none_or(|best| best.proven_at < proven_at) {
            self.best = Some(ProofSource { address, proven_at });
        }
    }

    /// The entry to be asked where its proof is enough newer than the own one. It
    /// is asked once: what is known of it has to be heard anew after that.
    pub fn ask(&mut self, nonce: u64, proven_at: Tick, now: Tick) -> Option<SocketAddr> {
        let best = self.best.take().filter(|best| best.proven_at >= proven_at + LEAST_GAIN)?;
        self.question = Some(OpenQuestion { nonce, sent_at: now });
        Some(best.address)
    }

    /// Takes an answer. `revision` is that of the own configuration.
    pub fn take_answer(&mut self, proof: &PeerProof, revision: StoreRevision) -> PeerVerdict {
        let question = self.question.take_if(|question| question.nonce == proof.nonce);
        let Some(question) = question else { return PeerVerdict::Useless };
        // Ticks count from the start of the process.
        if Tick::default() + proof.age > question.sent_at {
            return PeerVerdict::Useless;
        }
        let proven_at = question.sent_at - proof.age;
        // What was current before the store came back from a copy says nothing of what is now.
        if proof.revision.epoch < revision.epoch {
            return PeerVerdict::Useless;
        }
        if proof.revision > revision {
            let evacuations = proof.to_evacuations();
            let config_digest = proof.config_digest;
            let ahead = TakenProof { proven_at, config_digest, evacuations };
            self.ahead = Some(AheadProof { revision: proof.revision, proof: ahead });
            return PeerVerdict::Behind;
        }
        PeerVerdict::ProvenAt(proven_at)
    }

    /// What proves a configuration of `revision`, which has come since, by an answer to an
    /// earlier question.
    pub fn take_ahead(&mut self, revision: StoreRevision) -> Option<TakenProof> {
        let ahead = self.ahead.take_if(|ahead| ahead.revision <= revision)?;
        Some(ahead.proof)
    }
}
