//! Weights and switches of the relay's decisions.
//!
//! Costs are in short requests unless stated otherwise. The defaults apply to any fleet
//! (`docs/design/decisions.md`). Each mechanism can be switched off by one field.

use serde::Deserialize;

use crate::error::{Error, Result};

/// Weights and switches of the relay's decisions.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each switches off one mechanism")]
pub struct RelayPolicy {
    /// Maximum number of engines of a service that an entry uses; zero for all. The reports
    /// that an entry receives and the candidates that it evaluates grow with this number. A
    /// smaller number leaves less room for sharded prefills.
    pub most_engines: usize,
    /// Maximum number of engines that prefill a prompt besides the one that decodes; zero for
    /// none.
    pub most_helpers: usize,
    /// Shortest prefill of a shard that is worth another engine, in ms.
    pub min_part_ms: u64,
    /// Cost of each helper, as a fraction of the prompt's value: its shard delays the next
    /// prefills there, and its failure makes the prompt late.
    pub helper_cost: f32,
    /// Weight of the loss of other requests by a placement; 1 counts it in full.
    pub harm_weight: f32,
    /// Gain of a short request for each other stream that the same engine decodes. Packing
    /// leaves other engines free for long prompts.
    pub packing_gain: f32,
    /// Divisor of an engine's slots that gives the number of slots that are not packed. Other
    /// entries fill them at the same moment, and a request beyond the last slot waits until
    /// another one ends.
    pub kept_free_divisor: usize,
    /// Cost of taking the last slot of an engine.
    pub near_full_cost: f32,
    /// Factor on that cost for each further free slot.
    pub near_full_decay: f32,
    /// Maximum difference by which entries prefer different engines, so that they do not all
    /// choose the same one at the same moment.
    pub spread: f32,
    /// Cost of an engine in another failure domain.
    pub distance_cost: f32,
    /// Cost of each request beyond an engine's capacity, which waits until another one ends.
    pub queue_cost: f32,
    /// Cost of a request on a rate-limited target, in short requests, or as a fraction of a
    /// plain target's slots.
    pub scarce_cost: f32,
    /// Cost of a plain target in another failure domain, as a fraction of its slots.
    pub call_distance: f32,
    /// Maximum value of a second of an engine's prefill time to future requests.
    pub engine_price: f32,
    /// Mean time to prefill the queues of the engines at which half of `engine_price` applies,
    /// in ms.
    pub half_price_backlog_ms: u64,
    /// Time in which the loss of others by a long prompt usually passes, in ms. A prompt may
    /// wait for that.
    pub harm_fade_ms: u64,
    /// Whether an admitted prompt that waits may still be refused in favour of future requests.
    pub reprices: bool,
    /// Fraction of an engine's time that is charged to a stream that decodes there alone, times
    /// the number of slots of the engine. Later streams share that time.
    pub writer_share: f32,
    /// Whether a request is retried on another target while its target does not respond.
    pub hedges: bool,
    /// Whether targets are ejected after failures.
    pub ejects: bool,
    /// Further runs, beyond the maximum number of targets, on a target that has already run the
    /// request. The limit applies to the number of targets, and a lost answer says little about
    /// the next run.
    pub repeated_runs: usize,
    /// Whether entries announce their placements to one another.
    pub sends_notes: bool,
    /// Whether the pace that engines report is used.
    pub follows_pace: bool,
    /// How much later than predicted a pass may end if this entry would see its end, in ms. The
    /// engine then prefills more than is known here.
    pub pass_grace_ms: u64,
}

impl RelayPolicy {
    /// Defaults of the settings.
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
    /// Checks the values that are used as divisors.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them is zero.
    pub fn check(&self) -> Result<()> {
        if self.kept_free_divisor > 0 && self.half_price_backlog_ms > 0 {
            return Ok(());
        }
        let reason = "kept_free_divisor and half_price_backlog_ms of the policy must be above zero";
        Err(Error::settings(reason))
    }
}

impl Default for RelayPolicy {
    fn default() -> Self {
        RelayPolicy::DEFAULT
    }
}
