//! Predicts the effect of one more prompt on an engine: when it is prefilled, and what the
//! requests already there lose.

use std::time::Duration;

use super::engine_rates::{EngineRates, from_ms};
use super::loss::{first_event_loss, pause_loss};
use super::pending_prefill::{PendingPrefill, enqueue};
use super::stream_load::{StreamKey, StreamLoad};
use crate::time::Tick;

/// Maximum number of simulated passes. A prompt that is prefilled later has missed its time
/// anyway.
const MAX_PASSES: usize = 64;

/// Key of the candidate prompt within a simulation.
const CANDIDATE: StreamKey = StreamKey { entry: 0, number: 0 };

/// A queued shard of a sharded prefill, and when the prompt could start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillShard {
    /// Key of the prompt. Its shards have the same key on all engines.
    pub key: StreamKey,
    /// Time from the arrival of the prompt until this shard is prefilled, or until the
    /// predicted first event of the prompt, whichever is later.
    pub first_event: Duration,
    /// Time from the arrival of the prompt within which its first event is in time.
    pub first_event_limit: Duration,
    /// Value of the prompt, in short requests.
    pub value: f32,
}

impl PrefillShard {
    /// Loss of the prompt by this shard, if its other shards let it start after `start`.
    #[must_use]
    pub fn delay_cost(&self, start: Duration) -> f32 {
        let loss = |first| first_event_loss(self.value, first, self.first_event_limit);
        loss(self.first_event.max(start)) - loss(start)
    }
}

/// Predicted effect of a prompt that is sent to an engine now.
#[derive(Clone, Debug, Default)]
pub struct PassForecast {
    /// Time until the prompt is prefilled and decoding starts. While other streams decode, this
    /// is the end of the pass that finishes the prefill.
    pub time_to_prefill: Duration,
    /// Longest pass of the engine after that, until its queue is empty.
    pub longest_pause: Duration,
    /// Length of a later pass, with the prompt among the decoding streams.
    pub steady_pass: Duration,
    /// Loss of the other requests on the engine, in short requests, without `delayed_shards`.
    pub delay_cost: f32,
    /// Shards on this engine that are delayed by the prompt. They are listed one by one, since
    /// a prompt that is delayed on several engines is late only once.
    pub delayed_shards: Vec<PrefillShard>,
    /// Requests on the engine that are not helper shards.
    pub active: usize,
    /// Memory in use on the engine, in tokens.
    pub memory: u64,
}

/// A decoding stream within a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulatedStream {
    is_candidate: bool,
    context: u64,
    value: f32,
    /// Longest pause between the events of the stream that is in time.
    pause_limit: Duration,
    /// Fraction of that limit from which a pass counts as a risk.
    pause_risk_from: f32,
    /// Longest pass that the stream waits for.
    longest_pause: Duration,
}

impl SimulatedStream {
    /// Creates a stream that has waited for a pass of length `longest_pause`.
    pub(super) fn from_load(load: &StreamLoad, longest_pause: Duration) -> Self {
        SimulatedStream {
            is_candidate: false,
            context: load.context,
            value: load.value,
            pause_limit: Duration::from_micros(load.longest_pause_us),
            pause_risk_from: load.pause_risk_from,
            longest_pause,
        }
    }
}

/// State of an engine at one moment.
#[derive(Debug)]
pub struct EngineSnapshot<'a> {
    pub(super) rates: &'a EngineRates,
    pub(super) pace: f64,
    pub(super) now: Tick,
    /// Time until the pass in progress ends; `None` without decoding streams.
    pub(super) pass_left: Option<Duration>,
    /// Streams that decode after that pass.
    pub(super) streams: Vec<SimulatedStream>,
    /// Prefills that remain after that pass, in queue order.
    pub(super) queue: Vec<PendingPrefill>,
    /// Requests on the engine that are not helper shards.
    pub(super) active: usize,
    /// Memory in use on the engine, in tokens.
    pub(super) memory: u64,
    /// Loss of the requests on the engine without the candidate, and without `shards`.
    pub(super) loss: f32,
    /// Shards in the queue, without the candidate.
    pub(super) shards: Vec<PrefillShard>,
}

/// A simulation of the next passes.
struct PassSimulation<'a> {
    snapshot: &'a EngineSnapshot<'a>,
    time: Duration,
    queue: Vec<PendingPrefill>,
    streams: Vec<SimulatedStream>,
    /// The prompt whose prefill is timed, and when it finishes.
    tracked: StreamKey,
    tracked_end: Option<Duration>,
    loss: f32,
    shards: Vec<PrefillShard>,
}

impl EngineSnapshot<'_> {
    /// Computes the loss of the requests on the engine without a candidate.
    pub(super) fn with_loss(mut self) -> Self {
        let PassSimulation { loss, shards, .. } = self.simulate(self.queue.clone(), CANDIDATE);
        self.loss = loss;
        self.shards = shards;
        self
    }

    /// Predicts the effect of a load that is sent now.
    #[must_use]
    pub fn forecast(&self, load: &StreamLoad) -> PassForecast {
        let mut queue = Vec::with_capacity(self.queue.len() + 1);
        queue.extend_from_slice(&self.queue);
        enqueue(&mut queue, PendingPrefill::new(CANDIDATE, *load, self.now));
        let simulated = self.simulate(queue, CANDIDATE);
        let context = self.streams.iter().map(|stream| stream.context).sum::<u64>() + load.context;
        let steady_ms = self.rates.decode_ms(self.streams.len() + 1, context) * self.pace;
        let candidate = simulated.streams.iter().find(|stream| stream.is_candidate);
        PassForecast {
            time_to_prefill: simulated.tracked_end.unwrap_or_default(),
            longest_pause: candidate.map_or(Duration::ZERO, |stream| stream.longest_pause),
            steady_pass: from_ms(steady_ms),
            delay_cost: simulated.loss - self.loss,
            delayed_shards: self.find_delayed(&simulated.shards),
            active: self.active,
            memory: self.memory,
        }
    }

    /// Shards in the queue.
    #[must_use]
    pub fn prefill_shards(&self) -> &[PrefillShard] {
        &self.shards
    }

    /// Shards that are prefilled later than without the candidate.
    fn find_delayed(&self, simulated: &[PrefillShard]) -> Vec<PrefillShard> {
        let before = |key| self.shards.iter().find(|shard| shard.key == key);
        let is_later = |after: &&PrefillShard| {
            before(after.key).is_some_and(|before| after.first_event > before.first_event)
        };
        simulated.iter().filter(is_later).copied().collect()
    }

    /// Time to prefill the whole queue, without the time for decoding meanwhile.
    #[must_use]
    pub fn queue_time(&self) -> Duration {
        let times = self.queue.iter().map(|pending| pending.remaining_ms(self.rates));
        from_ms(times.sum::<f64>() * self.pace)
    }

    /// Time until a queued prompt is prefilled; `None` if it is not in the queue.
    pub(super) fn time_to_prefill(&self, key: StreamKey) -> Option<Duration> {
        self.simulate(self.queue.clone(), key).tracked_end
    }

    /// Simulates passes until the queue is empty.
    fn simulate(&self, queue: Vec<PendingPrefill>, tracked: StreamKey) -> PassSimulation<'_> {
        let mut simulation = PassSimulation {
            snapshot: self,
            time: self.pass_left.unwrap_or_default(),
            queue,
            streams: self.streams.clone(),
            tracked,
            tracked_end: None,
            loss: 0.0,
            shards: Vec::new(),
        };
        for _ in 0..MAX_PASSES {
            if simulation.queue.is_empty() {
                break;
            }
            if simulation.streams.is_empty() {
                simulation.prefill_next();
            } else {
                simulation.run_pass();
            }
        }
        simulation.add_pause_losses();
        simulation
    }
}

impl PassSimulation<'_> {
    /// Prefills the head of the queue while no stream decodes.
    fn prefill_next(&mut self) {
        let first = self.queue.remove(0);
        self.time += from_ms(first.solo_ms(self.snapshot.rates) * self.snapshot.pace);
        self.record_prefilled(&first);
    }

    /// Simulates one pass with decoding streams.
    fn run_pass(&mut self) {
        let rates = self.snapshot.rates;
        let context = self.streams.iter().map(|stream| stream.context).sum();
        let mut budget = rates.pass_prefill_tokens();
        let mut length_ms = rates.decode_ms(self.streams.len(), context);
        for pending in &mut self.queue {
            let (tokens, prefill_ms) = pending.prefill(budget, rates);
            budget -= tokens;
            length_ms += prefill_ms;
        }
        let pass_length = from_ms(length_ms * self.snapshot.pace);
        self.time += pass_length;
        for stream in &mut self.streams {
            stream.longest_pause = stream.longest_pause.max(pass_length);
        }
        let (done, queue) = self.queue.iter().partition::<Vec<_>, _>(|pending| pending.is_done());
        self.queue = queue;
        for pending in done {
            self.record_prefilled(&pending);
        }
    }

    fn record_prefilled(&mut self, prefill: &PendingPrefill) {
        let load = &prefill.load;
        let is_candidate = prefill.key == CANDIDATE;
        if prefill.key == self.tracked {
            self.tracked_end = Some(self.time);
        }
        let shard = self.to_shard(prefill);
        if load.is_shard {
            self.shards.push(shard);
        } else if !is_candidate {
            self.loss += first_event_loss(shard.value, shard.first_event, shard.first_event_limit);
        }
        if load.has_decode() {
            let stream = SimulatedStream::from_load(load, Duration::ZERO);
            self.streams.push(SimulatedStream { is_candidate, ..stream });
        }
    }

    /// When a prompt whose prefill finishes now could start.
    fn to_shard(&self, prefill: &PendingPrefill) -> PrefillShard {
        let load = &prefill.load;
        let since = self.snapshot.now.since(prefill.placed_at);
        // A shard that is prefilled before the others of its prompt does not delay the prompt.
        let start = Duration::from_micros(load.first_event_us).max(since + self.time);
        PrefillShard {
            key: prefill.key,
            first_event: Duration::from_micros(load.waited_us) + start,
            first_event_limit: Duration::from_micros(load.first_event_limit_us),
            value: load.value,
        }
    }

    /// Adds the loss of the decoding streams by the longest pass that each waits for.
    fn add_pause_losses(&mut self) {
        let others = self.streams.iter().filter(|stream| !stream.is_candidate);
        let losses = others.map(|stream| {
            let SimulatedStream { value, longest_pause, pause_limit, pause_risk_from, .. } =
                *stream;
            pause_loss(value, longest_pause, pause_limit, pause_risk_from)
        });
        self.loss += losses.sum::<f32>();
    }
}
