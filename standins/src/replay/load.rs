//! Loads of a replay: kinds of requests, their rates and generated arrivals.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A kind of request, with its rate, sizes and latency objectives.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Name in reports.
    pub name: &'static str,
    /// Mean length of a prompt in tokens.
    pub prompt: u64,
    /// Standard deviation of the logarithm of the prompt length.
    pub prompt_sigma: f64,
    /// Minimum length of a prompt in tokens.
    pub min_prompt: u64,
    /// Maximum length of a prompt in tokens.
    pub max_prompt: u64,
    /// Number of events of an answer.
    pub events: u32,
    /// Mean arrival rate in requests per second.
    pub per_second: f64,
    /// Time within which the first event is in time.
    pub max_first_event: Duration,
    /// Longest pause between two events that is in time.
    pub max_pause: Duration,
    /// Time after which the caller gives up.
    pub time_limit: Duration,
}

/// An interval with changed arrival rates.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    /// Start of the interval, inclusive.
    pub from: Duration,
    /// End of the interval, exclusive.
    pub to: Duration,
    /// Factors of the arrival rates, in the order of the kinds.
    pub factors: Vec<f64>,
}

/// A load: kinds of requests with arrival rates over time.
#[derive(Clone, Debug)]
pub struct ReplayLoad {
    /// Name in reports.
    pub name: String,
    /// Kinds of requests.
    pub kinds: Vec<LoadKind>,
    /// Phases. Outside of them, each kind arrives at its own rate.
    pub phases: Vec<LoadPhase>,
    /// Time in which requests arrive.
    pub duration: Duration,
}

/// A request of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadRequest {
    /// Time of arrival.
    pub at: Duration,
    /// Index of its kind in [`ReplayLoad::kinds`].
    pub kind: usize,
    /// Length of its prompt in tokens.
    pub prompt: u64,
}

impl ReplayLoad {
    /// Generates the requests of a seed in the order of arrival.
    #[must_use]
    pub fn to_requests(&self, seed: u64) -> Vec<LoadRequest> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for (kind, load) in self.kinds.iter().enumerate() {
            let mut at = Duration::ZERO;
            loop {
                let rate = load.per_second * self.factor(kind, at);
                let gap = -random.random_range(1e-9_f64..1.0).ln() / rate.max(1e-6);
                // At a low rate, draw again after one second, since a phase may have ended.
                at += Duration::from_secs_f64(gap.min(1.0));
                if at >= self.duration {
                    break;
                }
                if gap <= 1.0 {
                    requests.push(LoadRequest { at, kind, prompt: load.draw_prompt(&mut random) });
                }
            }
        }
        requests.sort_by_key(|request| request.at);
        requests
    }

    fn factor(&self, kind: usize, at: Duration) -> f64 {
        let phase = self.phases.iter().find(|phase| (phase.from..phase.to).contains(&at));
        phase.and_then(|phase| phase.factors.get(kind)).copied().unwrap_or(1.0)
    }
}

impl LoadKind {
    fn draw_prompt(&self, random: &mut StdRng) -> u64 {
        // The sum of twelve uniform draws is nearly normal.
        let sum: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum();
        let normal = sum - 6.0;
        let scale =
            (self.prompt_sigma * normal - self.prompt_sigma * self.prompt_sigma / 2.0).exp();
        ((self.prompt as f64 * scale) as u64).clamp(self.min_prompt, self.max_prompt)
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the kinds short (questions), middle (logs) and long (documents) at the given rates
/// per second: the daily mix of a boat hire company.
#[must_use]
pub fn mixed_kinds(per_second: [f64; 3]) -> Vec<LoadKind> {
    let [short, middle, long] = per_second;
    vec![
        LoadKind {
            name: "short",
            prompt: 5_000,
            prompt_sigma: 0.5,
            min_prompt: 1_000,
            max_prompt: 24_000,
            events: 36,
            per_second: short,
            max_first_event: ms(300),
            max_pause: ms(250),
            time_limit: ms(10_000),
        },
        LoadKind {
            name: "middle",
            prompt: 45_000,
            prompt_sigma: 0.5,
            min_prompt: 24_000,
            max_prompt: 110_000,
            events: 21,
            per_second: middle,
            max_first_event: ms(1_500),
            max_pause: ms(600),
            time_limit: ms(10_000),
        },
        LoadKind {
            name: "long",
            prompt: 260_000,
            prompt_sigma: 0.55,
            min_prompt: 110_000,
            max_prompt: 900_000,
            events: 18,
            per_second: long,
            max_first_event: ms(4_000),
            max_pause: ms(1_000),
            time_limit: ms(15_000),
        },
    ]
}

/// A steady load below the capacity of the engines.
#[must_use]
pub fn steady() -> ReplayLoad {
    let kinds = mixed_kinds([50.0, 5.0, 1.0]);
    ReplayLoad { name: "steady".into(), kinds, phases: Vec::new(), duration: ms(30_000) }
}

/// A load that alternates between phases of many short and of many long prompts.
///
/// The load changes faster than engines can be reassigned between short and long prompts.
#[must_use]
pub fn alternating(phase: Duration) -> ReplayLoad {
    let kinds = mixed_kinds([55.0, 5.5, 1.3]);
    let count = (30_000 / phase.as_millis() as u32).max(2);
    let phases = (0..count).map(|number| LoadPhase {
        from: phase * number,
        to: phase * (number + 1),
        factors: if number % 2 == 0 { vec![0.45, 1.4, 3.6] } else { vec![2.5, 0.5, 0.25] },
    });
    let name = format!("turns-{}", phase.as_secs());
    ReplayLoad { name, kinds, phases: phases.collect(), duration: phase * count }
}

/// A burst of long prompts above the prefill capacity of the engines, next to short ones.
#[must_use]
pub fn long_burst() -> ReplayLoad {
    let kinds = mixed_kinds([50.0, 6.0, 1.2]);
    let phases = vec![LoadPhase { from: ms(5_000), to: ms(15_000), factors: vec![1.0, 2.0, 6.0] }];
    ReplayLoad { name: "long-burst".into(), kinds, phases, duration: ms(25_000) }
}

/// Returns the loads of an experiment.
#[must_use]
pub fn all_loads() -> Vec<ReplayLoad> {
    let mut loads: Vec<_> =
        [3, 7, 10, 15].map(|phase| alternating(Duration::from_secs(phase))).into();
    loads.push(steady());
    loads.push(long_burst());
    loads
}
