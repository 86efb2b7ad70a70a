//! Probes: single requests with parts whose quarantine has expired.
//!
//! The entry whose conditional write renews the quarantine in the store sends the probe, so that
//! there is one in the whole fleet.

use std::collections::{BTreeMap, BTreeSet};

use super::part_evidence::PartSet;
use super::part_ledger::PartRecord;

/// State of the probe of parts whose quarantine has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    /// The renewed record, with this number of renewals, is being written to the store.
    Claiming(u32),
    /// This process has written it and may send one request.
    Granted,
    /// That request was sent.
    Sent,
}

/// The probes of this process.
#[derive(Debug, Default)]
pub struct ProbeTable {
    probes: BTreeMap<PartSet, ProbeState>,
}

impl ProbeTable {
    /// Records that this process writes a renewal of a quarantine to the store.
    pub fn claim(&mut self, set: PartSet, renewals: u32) {
        self.probes.insert(set, ProbeState::Claiming(renewals));
    }

    /// Records that this process has written these records to the store.
    pub fn record_written(&mut self, records: &[PartRecord]) {
        for (set, state) in &mut self.probes {
            let is_written = |renewals: u32| {
                records.iter().any(|record| record.subject == *set && record.renewals == renewals)
            };
            if matches!(*state, ProbeState::Claiming(renewals) if is_written(renewals)) {
                *state = ProbeState::Granted;
            }
        }
    }

    /// Drops the claims that another process has made first, by the records of the store.
    pub fn apply_records(&mut self, records: &[PartRecord]) {
        let is_taken = |set: &PartSet, renewals: u32| {
            records.iter().any(|record| record.subject == *set && record.renewals >= renewals)
        };
        self.probes.retain(|set, state| {
            !matches!(*state, ProbeState::Claiming(renewals) if is_taken(set, renewals))
        });
    }

    /// Returns `true` if this process may send the probe of a set.
    #[must_use]
    pub fn is_granted(&self, set: &PartSet) -> bool {
        self.probes.get(set) == Some(&ProbeState::Granted)
    }

    /// Records that the granted probes of sets that satisfy a condition were sent.
    pub fn record_sent(&mut self, has_all: impl Fn(&PartSet) -> bool) {
        for (_, state) in self.probes.iter_mut().filter(|(set, _)| has_all(set)) {
            if *state == ProbeState::Granted {
                *state = ProbeState::Sent;
            }
        }
    }

    /// Returns the sets whose probe was sent and that satisfy a condition.
    #[must_use]
    pub fn sent(&self, has_all: impl Fn(&PartSet) -> bool) -> Vec<PartSet> {
        let is_sent = |set: &PartSet, state: ProbeState| state == ProbeState::Sent && has_all(set);
        let sent = self.probes.iter().filter(|(set, state)| is_sent(set, **state));
        sent.map(|(set, _)| set.clone()).collect()
    }

    /// Drops the probe of a set.
    pub fn remove(&mut self, set: &PartSet) {
        self.probes.remove(set);
    }

    /// Keeps only the probes of these sets.
    pub fn retain(&mut self, sets: &BTreeSet<PartSet>) {
        self.probes.retain(|set, _| sets.contains(set));
    }
}
