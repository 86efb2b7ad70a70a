//! Metrics of the daemons, in the Prometheus text format.

use std::cell::Cell;
use std::time::{Duration, Instant};

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Histogram buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.025, 0.05, 0.1, 0.2, 0.42, 0.7, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0];

/// Registry of the metrics of a process, encoded at each scrape.
#[derive(Debug, Default)]
pub(crate) struct MetricsRegistry {
    registry: Registry,
}

/// A counter that mirrors a total which is counted elsewhere.
#[derive(Debug)]
pub(crate) struct MirroredCounter(IntCounter);

impl MirroredCounter {
    /// Raises the counter to `total`; a lower total has no effect.
    pub(crate) fn advance_to(&self, total: u64) {
        self.0.inc_by(total.saturating_sub(self.0.get()));
    }
}

impl MetricsRegistry {
    /// Registers a counter that mirrors a total.
    pub(crate) fn add_counter(&self, name: &str, help: &str) -> MirroredCounter {
        MirroredCounter(match IntCounter::new(name, help) {
            Ok(counter) => {
                self.register(counter.clone());
                counter
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        })
    }

    /// Registers a counter for each value of a label, which must have few values.
    pub(crate) fn add_counter_vec(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        match IntCounterVec::new(Opts::new(name, help), &[label]) {
            Ok(counters) => {
                self.register(counters.clone());
                counters
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        }
    }

    /// Registers a gauge.
    pub(crate) fn add_gauge(&self, name: &str, help: &str) -> IntGauge {
        match IntGauge::new(name, help) {
            Ok(gauge) => {
                self.register(gauge.clone());
                gauge
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        }
    }

    /// Registers a histogram of the time to the first token by class of the prompt's length.
    pub(crate) fn add_first_token_histogram(&self, name: &str, help: &str) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(FIRST_TOKEN_BUCKETS.to_vec());
        match HistogramVec::new(options, &["length_class"]) {
            Ok(histogram) => {
                self.register(histogram.clone());
                histogram
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        }
    }

    fn register(&self, collector: impl prometheus::core::Collector + 'static) {
        // Registration fails only for a duplicate name. Each registry is built in one place,
        // so its names are unique.
        let _ = self.registry.register(Box::new(collector));
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Measures the longest iteration of the event loop of a process.
#[derive(Debug, Default)]
pub struct IterationMeter {
    longest: Cell<Duration>,
}

impl IterationMeter {
    /// Runs one iteration and records its duration.
    pub fn measure<T>(&self, iteration: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = iteration();
        self.record(start.elapsed());
        result
    }

    /// Records the duration of an iteration.
    pub fn record(&self, duration: Duration) {
        self.longest.set(self.longest.get().max(duration));
    }

    /// Returns the longest duration recorded so far.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest.get()
    }
}

/// Returns the metrics label for the length of a prompt in tokens.
#[must_use]
pub fn length_class(tokens: u64) -> &'static str {
    match tokens {
        0..=4_000 => "up-to-4k",
        4_001..=16_000 => "up-to-16k",
        16_001..=100_000 => "up-to-100k",
        100_001..=400_000 => "up-to-400k",
        _ => "above-400k",
    }
}
