//! What the relay weighs when it decides, in one place.
//!
//! Costs are in short requests unless said otherwise. The defaults hold for any
//! fleet: they were found on several deployments (`docs/design/decisions.md`),
//! and each mechanism can be switched off there by one field.

use serde::Deserialize;

use crate::error::{Error, Result};

/// Weights and switches of the relay's decisions.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each switches off a mechanism of its own")]
pub struct RelayPolicy {
    /// Most engines of a service that an entry uses, zero for all. What an entry is
    /// told and weighs grows with them; fewer leave less room for joint reads.
    pub most_engines: usize,
    /// Most engines that read a prompt beside the one that writes, zero for none.
    pub most_helpers: usize,
    /// Shortest part of a prompt that is worth an engine of its own, in ms.
    pub min_part_ms: u64,
    /// Cost of each helper, as part of a prompt's value: its part delays what is
    /// read there next, and its failure makes the prompt late.
    pub helper_cost: f32,
    /// How much of what others lose by a placement counts, one for all.
    pub harm_weight: f32,
    /// Gain of a short request for each other one that writes at the same engine:
    /// it leaves other engines free for long prompts.
    pub packing_gain: f32,
    /// Part of an engine's places that are not packed, as a divisor of them: other
    /// entries fill them at the same moment, and one too many waits for an end.
    pub kept_free_divisor: usize,
    /// Cost of taking the last place of an engine.
    pub near_full_cost: f32,
    /// Part of that cost that is left for each place more that is free.
    pub near_full_decay: f32,
    /// Greatest difference by which entries prefer different engines, so that they
    /// do not all choose the same one at the same moment.
    pub spread: f32,
    /// Cost of an engine in another failure domain.
    pub distance_cost: f32,
    /// Cost of each request over an engine's capacity: it waits for an end.
    pub queue_cost: f32,
    /// Cost of a request at a target that takes few: in short requests, or as a share of a
    /// plain target's slots.
    pub scarce_cost: f32,
    /// Share of a plain target's slots that distance is worth.
    pub call_distance: f32,
    /// Most that a second of an engine's reading is worth to requests to come.
    pub engine_price: f32,
    /// Mean time to read what is in line at engines for which half of that is
    /// counted, in ms.
    pub half_price_backlog_ms: u64,
    /// Time in which what others lose by a long prompt is likely to have gone, so
    /// that it may be worth to wait a little, in ms.
    pub harm_fade_ms: u64,
    /// Whether a prompt that was let in, and waits, may still be refused for the sake of
    /// requests to come.
    pub reprices: bool,
    /// Part of its engine's time that a writer is to answer for where it writes there
    /// alone, times the places of the engine: those who come later share it.
    pub writer_share: f32,
    /// Whether a request is taken elsewhere where its target is silent.
    pub hedges: bool,
    /// Whether targets are left alone after failures.
    pub ejects: bool,
    /// Runs beyond the targets that may have a request, at one that has run it: the
    /// bound is on the number of targets, and a lost answer says little of the next.
    pub repeated_runs: usize,
    /// Whether entries tell one another what they place.
    pub sends_notes: bool,
    /// Whether the pace that engines report is used.
    pub follows_pace: bool,
    /// How long the end of a pass may be later than foretold where this entry
    /// would see it, in ms: the engine reads more than is known.
    pub pass_grace_ms: u64,
}

impl RelayPolicy {
    /// What holds where the settings say nothing else.
    pub const DEFAULT: RelayPolicy = RelayPolicy {
        most_engines: 64,
        most_helpers: 16,
        min_part_ms: 25,
        helper_cost: 0.001,
        harm_weight: 1.0,
        packing_gain: 0.02,
        kept_free_divisor: 4,
        near_full_cost: 0.3,
        near_full_decay: 0.4,
        spread: 0.03,
        distance_cost: 0.004,
        queue_cost: 0.6,
        scarce_cost: 0.5,
        call_distance: 0.2,
        engine_price: 4.0,
        half_price_backlog_ms: 500,
        harm_fade_ms: 300,
        reprices: false,
        writer_share: 2.0,
        hedges: true,
        ejects: true,
        repeated_runs: 1,
        sends_notes: true,
        follows_pace: true,
        pass_grace_ms: 120,
    };
}

impl RelayPolicy {
    /// Checks values that others are divided by.
    ///
    /// # Errors
    ///
    /// One of them is zero.
    pub fn check(&self) -> Result<()> {
        if self.kept_free_divisor > 0 && self.half_price_backlog_ms > 0 {
            return Ok(());
        }
        let why = "kept_free_divisor and half_price_backlog_ms of the policy must be above zero";
        Err(Error::settings(why))
    }
}

impl Default for RelayPolicy {
    fn default() -> Self {
        RelayPolicy::DEFAULT
    }
}
