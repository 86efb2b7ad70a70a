//! Shared proofs: an entry adopts another entry's proof that its configuration is current.
//!
//! If each of hundreds of entries asks the store for the same answer every few seconds, the calls
//! grow with the fleet and come all at once after an outage.
//!
//! An entry that sends a query at its own time `s` and receives the answer "all changes up to
//! revision R were known `a` ago" knows that its configuration was current at `s - a`, if it has
//! revision R or a later one. The answer was made after the query, so the proof is at least that
//! new, whatever delays the network or a pause adds. Only monotonic clocks are compared, each with
//! itself.
//!
//! There is no election of the entry that reads the store. Each entry looks for a newer proof at a
//! random fraction of its lease, and reads the store itself if it finds none. An entry that the
//! store turns away keeps serving by the proofs of others for as long as it has the configuration
//! that they prove.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use super::source::EvacuationList;
use super::store_revision::StoreRevision;
use crate::time::Tick;

/// Fraction of a lease after which an entry looks for a newer proof, drawn at random. Entries that
/// share a proof look at different moments, and the first of them reads the store for the others.
/// At the upper end, with leases of five seconds, a read that takes a second and fails leaves time
/// for another one.
const REFRESH_FRACTION: Range<f64> = 0.42..0.67;

/// How much newer a proof has to be to be worth a query.
const MIN_GAIN: Duration = Duration::from_millis(700);

/// Number of entries of the fleet that probe a store that does not answer, each time a single entry
/// would. The others learn of its return from these.
const PROBING_ENTRIES: f64 = 16.0;

/// What another entry states about its proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerProof {
    /// The query that it answers.
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
    /// Returns the failure domains that were out of service then.
    #[must_use]
    pub fn to_evacuations(&self) -> EvacuationList {
        EvacuationList { domains: self.evacuated.clone(), epoch: self.revision.epoch }
    }
}

/// Another entry's proof of a configuration later than the local one, by the local clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptedProof {
    /// When it was proven.
    pub proven_at: Tick,
    /// Digest of that configuration.
    pub config_digest: u64,
    /// Failure domains that were out of service then.
    pub evacuations: EvacuationList,
}

/// What a proof of another entry is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// The local configuration was current at that moment.
    ProvenAt(Tick),
    /// The other entry has a later configuration: this entry has to read the store, or that entry's
    /// copy.
    Behind,
    /// It answers no open query of this entry, or is older than this process.
    Useless,
}

#[derive(Debug)]
struct ProofSource {
    address: SocketAddr,
    /// Approximate time of its proof, which suffices to choose by.
    proven_at: Tick,
}

#[derive(Debug)]
struct OpenQuery {
    nonce: u64,
    sent_at: Tick,
}

/// The entry with the best known proof, and the open query.
#[derive(Debug, Default)]
pub struct ProofSync {
    best: Option<ProofSource>,
    query: Option<OpenQuery>,
    /// A proof of a later configuration than the local one.
    ahead: Option<AheadProof>,
}

#[derive(Debug)]
struct AheadProof {
    revision: StoreRevision,
    proof: AdoptedProof,
}

impl ProofSync {
    /// Returns the age at which a proof that lasts for `duration` is to be renewed.
    #[must_use]
    pub fn refresh_age(duration: Duration) -> Duration {
        duration.mul_f64(rand::random_range(REFRESH_FRACTION))
    }

    /// Returns `true` if this entry probes a store that did not answer, by `jitter` from 0 to 1:
    /// probes of hundreds of entries are a load in themselves, and entries learn of the store's
    /// return from one another.
    #[must_use]
    pub fn should_probe(entries: usize, jitter: f64) -> bool {
        jitter * entries as f64 <= PROBING_ENTRIES
    }

    /// Records an agent's report that the entry at `address` proved its configuration at about
    /// `proven_at`.
    pub fn record_source(&mut self, address: SocketAddr, proven_at: Tick) {
        if self.best.as_ref().is_none_or(|best| best.proven_at < proven_at) {
            self.best = Some(ProofSource { address, proven_at });
        }
    }

    /// Returns the entry to query, if its proof is sufficiently newer than the local one. It is
    /// queried once: then its proof has to be reported again.
    pub fn next_query(&mut self, nonce: u64, proven_at: Tick, now: Tick) -> Option<SocketAddr> {
        let best = self.best.take().filter(|best| best.proven_at >= proven_at + MIN_GAIN)?;
        self.query = Some(OpenQuery { nonce, sent_at: now });
        Some(best.address)
    }

    /// Applies an answer. `revision` is that of the local configuration.
    pub fn apply_answer(&mut self, proof: &PeerProof, revision: StoreRevision) -> PeerVerdict {
        let query = self.query.take_if(|query| query.nonce == proof.nonce);
        let Some(query) = query else { return PeerVerdict::Useless };
        // Ticks count from the start of the process.
        if Tick::default() + proof.age > query.sent_at {
            return PeerVerdict::Useless;
        }
        let proven_at = query.sent_at - proof.age;
        // A proof from before the store was restored from a backup says nothing about the present.
        if proof.revision.epoch < revision.epoch {
            return PeerVerdict::Useless;
        }
        if proof.revision > revision {
            let evacuations = proof.to_evacuations();
            let config_digest = proof.config_digest;
            let ahead = AdoptedProof { proven_at, config_digest, evacuations };
            self.ahead = Some(AheadProof { revision: proof.revision, proof: ahead });
            return PeerVerdict::Behind;
        }
        PeerVerdict::ProvenAt(proven_at)
    }

    /// Returns the proof of a configuration of `revision`, which arrived after the answer to the
    /// earlier query.
    pub fn take_ahead(&mut self, revision: StoreRevision) -> Option<AdoptedProof> {
        let ahead = self.ahead.take_if(|ahead| ahead.revision <= revision)?;
        Some(ahead.proof)
    }
}
