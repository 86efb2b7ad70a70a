//! Which requests come when.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// One kind of request.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Its name.
    pub name: &'static str,
    /// Mean tokens of a prompt.
    pub prompt: u64,
    /// Spread of the logarithm of the tokens of a prompt.
    pub spread: f64,
    /// Fewest tokens of a prompt.
    pub least_prompt: u64,
    /// Most tokens of a prompt.
    pub most_prompt: u64,
    /// Events of an answer.
    pub events: u32,
    /// Requests a second.
    pub per_second: f64,
    /// Time for a first event in time.
    pub first_limit: Duration,
    /// Longest pause between events that is in time.
    pub longest_pause: Duration,
    /// Time until its caller wants no answer any more.
    pub time_limit: Duration,
}

/// A time in which kinds come more or less often.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
    /// How much more often each kind comes, in the order of the kinds.
    pub factors: Vec<f64>,
}

/// A load.
#[derive(Clone, Debug)]
pub struct ReplayLoad {
    /// Its name.
    pub name: String,
    /// Kinds of requests.
    pub kinds: Vec<LoadKind>,
    /// Phases. Outside of them each kind comes as often as it says.
    pub phases: Vec<LoadPhase>,
    /// How long requests come.
    pub span: Duration,
}

/// A request of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadRequest {
    /// When it comes.
    pub at: Duration,
    /// Its kind, as a number among the kinds.
    pub kind: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
}

impl ReplayLoad {
    /// The requests of a seed, in the order in which they come.
    #[must_use]
    pub fn to_requests(&self, seed: u64) -> Vec<LoadRequest> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for (kind, load) in self.kinds.iter().enumerate() {
            let mut at = Duration::ZERO;
            loop {
                let rate = load.per_second * self.factor(kind, at);
                let gap = -random.random_range(1e-9_f64..1.0).ln() / rate.max(1e-6);
                // Where a kind hardly comes, look again when a phase may have ended.
                at += Duration::from_secs_f64(gap.min(1.0));
                if at >= self.span {
                    break;
                }
                if gap <= 1.0 {
                    requests.push(LoadRequest { at, kind, prompt: load.draw(&mut random) });
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
    fn draw(&self, random: &mut StdRng) -> u64 {
        // Twelve even throws are nearly normal.
        let sum: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum();
        let normal = sum - 6.0;
        let scale = (self.spread * normal - self.spread * self.spread / 2.0).exp();
        ((self.prompt as f64 * scale) as u64).clamp(self.least_prompt, self.most_prompt)
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Short questions, logs and long documents: the mix of a boat hire's day.
#[must_use]
pub fn mixed_kinds(per_second: [f64; 3]) -> Vec<LoadKind> {
    let [short, middle, long] = per_second;
    vec![
        LoadKind {
            name: "short",
            prompt: 5_000,
            spread: 0.5,
            least_prompt: 1_000,
            most_prompt: 24_000,
            events: 36,
            per_second: short,
            first_limit: ms(300),
            longest_pause: ms(250),
            time_limit: ms(10_000),
        },
        LoadKind {
            name: "middle",
            prompt: 45_000,
            spread: 0.5,
            least_prompt: 24_000,
            most_prompt: 110_000,
            events: 21,
            per_second: middle,
            first_limit: ms(1_500),
            longest_pause: ms(600),
            time_limit: ms(10_000),
        },
        LoadKind {
            name: "long",
            prompt: 260_000,
            spread: 0.55,
            least_prompt: 110_000,
            most_prompt: 900_000,
            events: 18,
            per_second: long,
            first_limit: ms(4_000),
            longest_pause: ms(1_000),
            time_limit: ms(15_000),
        },
    ]
}

/// A steady day: nothing presses.
#[must_use]
pub fn steady() -> ReplayLoad {
    let kinds = mixed_kinds([50.0, 5.0, 1.0]);
    ReplayLoad { name: "steady".into(), kinds, phases: Vec::new(), span: ms(30_000) }
}

/// Turns of many short prompts and of many long ones: the load changes faster than
/// the engines can be divided anew.
#[must_use]
pub fn turns(turn: Duration) -> ReplayLoad {
    let kinds = mixed_kinds([55.0, 5.5, 1.3]);
    let count = (30_000 / turn.as_millis() as u32).max(2);
    let phases = (0..count).map(|number| LoadPhase {
        from: turn * number,
        to: turn * (number + 1),
        factors: if number % 2 == 0 { vec![0.45, 1.4, 3.6] } else { vec![2.5, 0.5, 0.25] },
    });
    let name = format!("turns-{}", turn.as_secs());
    ReplayLoad { name, kinds, phases: phases.collect(), span: turn * count }
}

/// A burst of long prompts over what the engines can read, beside short ones.
#[must_use]
pub fn long_burst() -> ReplayLoad {
    let kinds = mixed_kinds([50.0, 6.0, 1.2]);
    let phases = vec![LoadPhase { from: ms(5_000), to: ms(15_000), factors: vec![1.0, 2.0, 6.0] }];
    ReplayLoad { name: "long-burst".into(), kinds, phases, span: ms(25_000) }
}

/// The loads of an experiment.
#[must_use]
pub fn all_loads() -> Vec<ReplayLoad> {
    let mut loads: Vec<_> = [3, 7, 10, 15].map(|turn| turns(Duration::from_secs(turn))).into();
    loads.push(steady());
    loads.push(long_burst());
    loads
}
