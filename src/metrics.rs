//! Metrics of the daemons, in the Prometheus text format.

use std::cell::Cell;
use std::time::{Duration, Instant};

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Buckets of a time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.025, 0.05, 0.1, 0.2, 0.42, 0.7, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0];

/// A registry, and what is read out at its next scrape.
#[derive(Debug, Default)]
pub(crate) struct MetricsPage {
    registry: Registry,
}

/// A counter that follows a count kept elsewhere.
#[derive(Debug)]
pub(crate) struct CountMirror(IntCounter);

impl CountMirror {
    pub(crate) fn follow(&self, count: u64) {
        self.0.inc_by(count.saturating_sub(self.0.get()));
    }
}

impl MetricsPage {
    pub(crate) fn add_count(&self, name: &str, help: &str) -> CountMirror {
        CountMirror(match IntCounter::new(name, help) {
            Ok(counter) => {
                self.add(counter.clone());
                counter
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        })
    }

    /// Counters of one kind, told apart by a label with few values.
    pub(crate) fn add_counts(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        match IntCounterVec::new(Opts::new(name, help), &[label]) {
            Ok(counters) => {
                self.add(counters.clone());
                counters
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        }
    }

    pub(crate) fn add_gauge(&self, name: &str, help: &str) -> IntGauge {
        match IntGauge::new(name, help) {
            Ok(gauge) => {
                self.add(gauge.clone());
                gauge
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        }
    }

    pub(crate) fn add_first_token(&self, name: &str, help: &str) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(FIRST_TOKEN_BUCKETS.to_vec());
        match HistogramVec::new(options, &["length_class"]) {
            Ok(histogram) => {
                self.add(histogram.clone());
                histogram
            }
            Err(error) => unreachable!("metric {name}: {error}"),
        }
    }

    fn add(&self, collector: impl prometheus::core::Collector + 'static) {
        // A name stands once in a registry that is built in one place.
        let _ = self.registry.register(Box::new(collector));
    }

    pub(crate) fn to_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Longest turn of a process's one loop.
#[derive(Debug, Default)]
pub struct TurnMeter {
    longest: Cell<Duration>,
}

impl TurnMeter {
    /// Runs one turn and notes how long it took.
    pub fn measure<T>(&self, turn: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = turn();
        self.note(start.elapsed());
        result
    }

    /// Notes how long a turn took.
    pub fn note(&self, span: Duration) {
        self.longest.set(self.longest.get().max(span));
    }

    /// The longest turn so far.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest.get()
    }
}

/// Class of a prompt by its length, for metrics.
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
