//! Quarantine of parts of prompts that crash engines.

use std::net::SocketAddr;
use std::time::Duration;

use super::RelayCore;
use crate::relay::decide::part_evidence::PartSet;
use crate::relay::decide::part_ledger::{PartAttempt, PartVerdict};
use crate::relay::decide::part_message::PartMessage;
use crate::relay::decide::prompt_part::PromptPart;
use crate::relay::decide::targets::TargetInstance;
use crate::relay::peers::peer_link::SUSPECT_HOLDERS;
use crate::time::Tick;

/// Seed of the order in which entries choose the agents that relay reports about parts.
const HOLDER_SEED: u64 = 0x70_61_72_74;

impl RelayCore {
    /// Chooses the agents that relay the reports about parts: the same for all entries and parts,
    /// so that an entry receives either all reports or none.
    pub fn choose_part_holders(&mut self) {
        let rank = |host: &str| xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), HOLDER_SEED);
        self.part_holders = self.ranked_hosts(rank);
        self.part_holders.truncate(SUSPECT_HOLDERS);
        let holders = &self.part_holders;
        let mut used = self.targets.iter().filter(|target| target.is_used);
        let is_informed = used.any(|target| holders.contains(&target.record.address));
        self.quarantine.parts.set_informed(is_informed);
    }

    /// Returns the engines whose agents relay the reports about parts.
    #[must_use]
    pub fn part_holders(&self) -> &[SocketAddr] {
        &self.part_holders
    }

    /// Returns whether a request with these shared parts may be sent.
    pub fn part_verdict(&mut self, parts: &[PromptPart], now: Tick) -> PartVerdict {
        self.quarantine.parts.verdict(parts, now)
    }

    /// Records that a request with these shared parts is being sent. Returns `false` if it must not
    /// be: its parts were quarantined since it was placed, or another request was the probe.
    pub fn record_sent_parts(&mut self, parts: &[PromptPart], now: Tick) -> bool {
        match self.quarantine.parts.verdict(parts, now) {
            PartVerdict::Open => true,
            PartVerdict::Probe => {
                self.quarantine.parts.record_probe(parts);
                true
            }
            PartVerdict::Quarantined(_) => false,
        }
    }

    /// Records the broken connection of an attempt with shared parts that had received events for
    /// `streamed_for`.
    pub fn record_broken_parts(
        &mut self,
        attempt: PartAttempt,
        instance: &TargetInstance,
        streamed_for: Duration,
        now: Tick,
    ) {
        // Only engines read prompts.
        let target = self.targets.get(&instance.incarnation);
        if target.is_none_or(|target| target.model.is_some()) {
            self.quarantine.parts.record_broken(attempt, instance, streamed_for, now);
        }
    }

    /// Records that an engine served a request with these shared parts, sent at `sent_at`.
    pub fn record_served_parts(&mut self, parts: &PartSet, sent_at: Tick, now: Tick) {
        self.quarantine.parts.record_served(parts, sent_at, now);
    }

    /// Applies an agent's message about parts.
    pub fn apply_part_message(&mut self, message: &PartMessage, now: Tick) {
        let unix_ms = self.unix_ms(now);
        let parts = &mut self.quarantine.parts;
        match message {
            PartMessage::Crashed(report) => parts.apply_crash(report, now),
            PartMessage::Served(report) => parts.apply_served(report),
            PartMessage::Cleared(part) => parts.apply_cleared(part),
            PartMessage::Quarantined(notice) => parts.apply_notice(notice, unix_ms, now),
        }
    }

    /// Drains the parts that were quarantined since the last call.
    pub fn take_quarantined_parts(&mut self) -> Vec<PartSet> {
        self.quarantine.parts.take_quarantined()
    }
}
