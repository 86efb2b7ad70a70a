//! Estimates of token counts, learned from what engines report.

use std::collections::HashMap;
use std::sync::Arc;

/// Bytes of text that make a token, until a model's engine has said more.
const FIRST_GUESS: f64 = 4.0;

/// Weight of one more report.
const GAIN: f64 = 0.05;

/// Shortest prompt that teaches anything, in bytes.
const SHORTEST_LESSON: u64 = 256;

/// Bytes per token, by model.
#[derive(Debug, Default)]
pub struct TokenEstimator {
    ratios: HashMap<Arc<str>, f64>,
}

impl TokenEstimator {
    /// Estimates the tokens of a prompt of `bytes`.
    #[must_use]
    pub fn estimate(&self, model: &str, bytes: u64) -> u64 {
        let ratio = self.ratios.get(model).copied().unwrap_or(FIRST_GUESS);
        (bytes as f64 / ratio).ceil() as u64
    }

    /// Learns from an engine's count of a prompt of `bytes`.
    pub fn learn(&mut self, model: &Arc<str>, bytes: u64, tokens: u64) {
        if bytes < SHORTEST_LESSON || tokens == 0 {
            return;
        }
        let seen = bytes as f64 / tokens as f64;
        let ratio = self.ratios.entry(model.clone()).or_insert(FIRST_GUESS);
        *ratio += GAIN * (seen - *ratio);
    }
}
