//! Estimates of token counts, learned from the counts that engines report.

use std::collections::HashMap;
use std::sync::Arc;

/// Bytes per token that are assumed until the engine of a model has reported counts.
const DEFAULT_BYTES_PER_TOKEN: f64 = 4.0;

/// Weight of a new report in the moving average.
const NEW_REPORT_WEIGHT: f64 = 0.05;

/// Minimum prompt length that is learned from, in bytes.
const MIN_PROMPT_BYTES: u64 = 256;

/// Estimates bytes per token for each model.
#[derive(Debug, Default)]
pub struct TokenEstimator {
    ratios: HashMap<Arc<str>, f64>,
}

impl TokenEstimator {
    /// Estimates the number of tokens in a prompt of `bytes`.
    #[must_use]
    pub fn estimate(&self, model: &str, bytes: u64) -> u64 {
        let ratio = self.ratios.get(model).copied().unwrap_or(DEFAULT_BYTES_PER_TOKEN);
        (bytes as f64 / ratio).ceil() as u64
    }

    /// Updates the estimate with an engine's token count for a prompt of `bytes`.
    pub fn learn(&mut self, model: &Arc<str>, bytes: u64, tokens: u64) {
        if bytes < MIN_PROMPT_BYTES || tokens == 0 {
            return;
        }
        let observed = bytes as f64 / tokens as f64;
        let ratio = self.ratios.entry(model.clone()).or_insert(DEFAULT_BYTES_PER_TOKEN);
        *ratio += NEW_REPORT_WEIGHT * (observed - *ratio);
    }
}
