//! Model of the scheduling passes of one engine, built from the requests sent to it.
//!
//! Behaviour of the engines (`docs/design/platform.md`):
//!
//! - Without decoding streams, an engine prefills one chunk after the other and picks the head
//!   of its prefill queue again for each chunk.
//! - With decoding streams, a pass prefills a bounded number of tokens from the head of the
//!   queue. Everything that is decoded or prefilled in the pass is delivered at its end.
//! - A shard of a sharded prefill goes to the head of the queue, also before earlier shards.
//!   Whole prompts are queued in order of arrival.
//!
//! The model simulates this from the requests that this and other entries send, and is
//! corrected by the events that arrive. [`super::engine_snapshot`] predicts the effect of one
//! more prompt.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::engine_rates::{EngineRates, from_ms};
use super::engine_snapshot::{EngineSnapshot, PassForecast, SimulatedStream};
use super::pending_prefill::{PendingPrefill, enqueue, reinsert};
use super::policy::RelayPolicy;
use super::stream_load::{StreamKey, StreamLoad};
use crate::time::Tick;

/// Events that arrive within this time of the start of a pass belong to the pass before.
const SAME_PASS_WINDOW: Duration = Duration::from_millis(15);

/// Passes that a stream may last longer than predicted before it is dropped. The end of a
/// stream is usually announced; this covers announcements that were lost.
const OVERRUN_PASSES: u32 = 40;

/// Bounds of a reported pace; 1 stands for the declared rates.
const PACE_BOUNDS: (f64, f64) = (0.7, 12.0);

/// Smallest fraction of its predicted time that a prefill takes. This is the lower bound of a
/// reported pace, since a reported pace is some hundred milliseconds old.
const MIN_PREFILL_FRACTION: f64 = PACE_BOUNDS.0;

/// A stream that the engine decodes.
#[derive(Clone, Copy, Debug)]
struct DecodingStream {
    load: StreamLoad,
    passes: u32,
}

/// The pass in progress.
#[derive(Debug)]
struct OpenPass {
    start: Tick,
    end: Tick,
    /// Prefills that are finished at the end of the pass.
    prefills: Vec<PendingPrefill>,
    /// The prefill queue at the start of the pass.
    queue: Vec<PendingPrefill>,
}

/// Model of one engine.
#[derive(Debug)]
pub struct PassModel {
    rates: Rc<EngineRates>,
    /// Incarnation of this entry. It sees the events of its own streams only.
    observer: u64,
    queue: Vec<PendingPrefill>,
    streams: BTreeMap<StreamKey, DecodingStream>,
    /// The pass in progress; `None` without decoding streams.
    pass: Option<OpenPass>,
    /// Time up to which the queue is simulated.
    simulated_to: Tick,
    pace: f64,
    /// How much later than predicted a pass may end if this entry would see its end.
    grace: Duration,
}

impl PassModel {
    /// Creates the model of an idle engine.
    #[must_use]
    pub fn new(rates: Rc<EngineRates>, observer: u64) -> Self {
        PassModel {
            rates,
            observer,
            queue: Vec::new(),
            streams: BTreeMap::new(),
            pass: None,
            simulated_to: Tick::default(),
            pace: 1.0,
            grace: Duration::from_millis(RelayPolicy::DEFAULT.pass_grace_ms),
        }
    }

    /// The declared rates of the engine.
    #[must_use]
    pub fn rates(&self) -> &EngineRates {
        &self.rates
    }

    /// Replaces the declared rates. The pass in progress is predicted again from its start.
    pub fn set_rates(&mut self, rates: &Rc<EngineRates>) {
        if self.rates != *rates {
            self.undo_pass();
        }
        self.rates = rates.clone();
    }

    /// Returns to the start of the pass in progress, with the streams that are known now.
    fn undo_pass(&mut self) {
        let Some(pass) = self.pass.take() else { return };
        let mut queue = pass.queue;
        queue.retain(|prefill| {
            let is_same = |known: &PendingPrefill| known.key == prefill.key;
            self.queue.iter().chain(&pass.prefills).any(is_same)
        });
        self.queue.retain(|prefill| queue.iter().all(|earlier| earlier.key != prefill.key));
        queue.append(&mut self.queue);
        self.queue = queue;
        self.simulated_to = pass.start;
    }

    /// Sets how much later than predicted a pass may end because of work that is not known
    /// here.
    pub fn set_grace(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// Ratio of the engine's actual time to the declared one.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Sets the pace that the engine itself reports.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
    }

    /// Number of known streams on the engine.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefills().count() + self.streams.len()
    }

    /// Returns `true` if no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The known streams and their load.
    pub fn loads(&self) -> impl Iterator<Item = (StreamKey, StreamLoad)> {
        let streams = self.streams.iter().map(|(key, stream)| (*key, stream.load));
        self.prefills().map(|prefill| (prefill.key, prefill.load)).chain(streams)
    }

    fn prefills(&self) -> impl Iterator<Item = &PendingPrefill> {
        self.queue.iter().chain(self.pass.iter().flat_map(|pass| &pass.prefills))
    }

    /// Adds a stream that is sent at `now`.
    pub fn add(&mut self, key: StreamKey, load: StreamLoad, now: Tick) {
        self.advance(now);
        self.remove(key);
        enqueue(&mut self.queue, PendingPrefill::new(key, load, now));
    }

    /// Removes a stream that has ended.
    pub fn remove(&mut self, key: StreamKey) {
        self.retain(|other| other != key);
    }

    /// Removes the streams of an entry that is gone.
    pub fn remove_entry(&mut self, entry: u64) {
        self.retain(|key| key.entry != entry);
    }

    fn retain(&mut self, is_kept: impl Fn(StreamKey) -> bool) {
        self.queue.retain(|prefill| is_kept(prefill.key));
        self.streams.retain(|key, _| is_kept(*key));
        if let Some(pass) = &mut self.pass {
            pass.prefills.retain(|prefill| is_kept(prefill.key));
        }
    }

    /// Simulates the passes up to `now`. A pass that is due is not over while the events that
    /// would come with its end are missing: the engine then prefills more than is known here.
    pub fn advance(&mut self, now: Tick) {
        loop {
            if let Some(pass) = &self.pass {
                let end = pass.end;
                if end + self.grace() > now {
                    return;
                }
                self.end_pass(end);
            } else if !self.streams.is_empty() {
                self.start_pass(self.simulated_to);
            } else if !self.prefill_next(now) {
                return;
            }
        }
    }

    /// Prefills the head of the queue while no stream decodes. Returns `true` if it is finished
    /// before `now`.
    fn prefill_next(&mut self, now: Tick) -> bool {
        let Some(first) = self.queue.first_mut() else {
            self.simulated_to = self.simulated_to.max(now);
            return false;
        };
        let end = self.simulated_to + from_ms(first.solo_ms(&self.rates) * self.pace);
        if end > now {
            let spent = now.since(self.simulated_to).as_secs_f64() * 1e3;
            first.run_solo(spent / self.pace, &self.rates);
            self.simulated_to = self.simulated_to.max(now);
            return false;
        }
        let prefill = self.queue.remove(0);
        self.simulated_to = end;
        self.add_stream(&prefill);
        true
    }

    fn add_stream(&mut self, prefill: &PendingPrefill) {
        if prefill.load.has_decode() {
            self.streams.insert(prefill.key, DecodingStream { load: prefill.load, passes: 0 });
        }
    }

    fn start_pass(&mut self, at: Tick) {
        let before = self.queue.clone();
        let mut budget = self.rates.pass_prefill_tokens();
        let mut prefill_ms = 0.0;
        for prefill in &mut self.queue {
            let (tokens, time_ms) = prefill.prefill(budget, &self.rates);
            budget -= tokens;
            prefill_ms += time_ms;
        }
        let (done, queue) = self.queue.iter().partition(|prefill| prefill.is_done());
        self.queue = queue;
        let length = prefill_ms + self.rates.decode_ms(self.streams.len(), self.context());
        let end = at + from_ms(length * self.pace);
        self.pass = Some(OpenPass { start: at, end, prefills: done, queue: before });
    }

    fn end_pass(&mut self, at: Tick) {
        let Some(pass) = self.pass.take() else { return };
        self.simulated_to = at;
        let spent = at.since(pass.start);
        for stream in self.streams.values_mut() {
            stream.passes += 1;
            // A stream whose pause exceeded its limit is late and has nothing more to lose.
            if spent.as_micros() as u64 > stream.load.longest_pause_us {
                stream.load.value = 0.0;
            }
        }
        self.streams.retain(|_, stream| stream.passes <= stream.load.passes + OVERRUN_PASSES);
        for prefill in pass.prefills {
            self.add_stream(&prefill);
        }
    }

    fn context(&self) -> u64 {
        self.streams.values().map(|stream| stream.load.context).sum()
    }

    /// How much later than predicted the pass in progress may end. A grace applies only if this
    /// entry would see the end of the pass.
    fn grace(&self) -> Duration {
        let is_seen = self.streams.keys().any(|key| key.entry == self.observer);
        if is_seen { self.grace } else { Duration::ZERO }
    }

    /// Records the first event of a stream at `at`, which shows that its prompt is prefilled.
    pub fn record_first_event(&mut self, key: StreamKey, at: Tick) {
        self.advance(at);
        let Some(index) = self.queue.iter().position(|prefill| prefill.key == key) else { return };
        let prefill = self.queue.remove(index);
        match &mut self.pass {
            Some(pass) => pass.prefills.push(prefill),
            None => self.add_stream(&prefill),
        }
    }

    /// Records the arrival of events that the engine sent at `at`, which shows that a pass has
    /// ended.
    pub fn record_pass_end(&mut self, at: Tick) {
        self.advance(at);
        let Some(pass) = &self.pass else { return };
        if at.since(pass.start) < SAME_PASS_WINDOW {
            return;
        }
        self.requeue_unfinished(at);
        self.end_pass(at);
        if !self.streams.is_empty() {
            self.start_pass(at);
        }
    }

    /// Requeues prefills that cannot have finished in the pass that ends at `at`, since they
    /// arrived after the engine had started that pass. Without this, the shard of a prompt of
    /// 850,000 tokens counted as prefilled after 50 ms, and short prompts were sent to an
    /// engine that prefilled for another 1.5 s and more.
    fn requeue_unfinished(&mut self, at: Tick) {
        // The start of a pass that this entry did not see is known to within one decode pass.
        let uncertainty_ms = self.rates.decode_ms(self.streams.len(), self.context()) * self.pace;
        let Some(pass) = &mut self.pass else { return };
        let max_ms = at.since(pass.start).as_secs_f64() * 1e3 + uncertainty_ms;
        let min_fraction = self.pace * MIN_PREFILL_FRACTION;
        for before in std::mem::take(&mut pass.queue) {
            let left = |prefills: &[PendingPrefill]| {
                let found = prefills.iter().find(|prefill| prefill.key == before.key);
                found.map(|prefill| prefill.remaining_ms(&self.rates))
            };
            let in_pass = left(&pass.prefills);
            let Some(after_ms) = in_pass.or_else(|| left(&self.queue)) else { continue };
            let prefill_ms = before.remaining_ms(&self.rates) - after_ms;
            if prefill_ms * min_fraction <= max_ms {
                continue;
            }
            pass.prefills.retain(|prefill| prefill.key != before.key);
            self.queue.retain(|prefill| prefill.key != before.key);
            reinsert(&mut self.queue, before);
        }
    }

    /// Takes a snapshot of the engine for predictions. It is valid only if the passes are
    /// simulated up to `now`.
    #[must_use]
    pub fn snapshot(&self, now: Tick) -> EngineSnapshot<'_> {
        let pass = self.pass.as_ref();
        let length = pass.map_or(Duration::ZERO, |pass| pass.end.since(pass.start));
        let decoding = self.streams.values();
        let decoding = decoding.map(|stream| SimulatedStream::from_load(&stream.load, length));
        let prefills = pass.into_iter().flat_map(|pass| &pass.prefills);
        let prefills = prefills.filter(|prefill| prefill.load.has_decode());
        let finishing =
            prefills.map(|prefill| SimulatedStream::from_load(&prefill.load, Duration::ZERO));
        let snapshot = EngineSnapshot {
            rates: &self.rates,
            pace: self.pace,
            now,
            pass_left: pass.map(|pass| pass.end.since(now)),
            streams: decoding.chain(finishing).collect(),
            queue: self.queue.clone(),
            active: self.loads().filter(|(_, load)| load.has_decode()).count(),
            memory: self.loads().map(|(_, load)| load.memory).sum(),
            loss: 0.0,
            shards: Vec::new(),
        };
        snapshot.with_loss()
    }

    /// Time until the predicted end of the pass in progress; zero if there is none or it is
    /// due.
    pub fn time_to_pass_end(&mut self, now: Tick) -> Duration {
        self.advance(now);
        self.pass.as_ref().map_or(Duration::ZERO, |pass| pass.end.since(now))
    }

    /// Time until a known stream is prefilled; zero if it already is.
    #[must_use]
    pub fn time_to_prefill(&self, key: StreamKey, now: Tick) -> Duration {
        let in_pass = self
            .pass
            .as_ref()
            .filter(|pass| pass.prefills.iter().any(|prefill| prefill.key == key));
        match in_pass {
            Some(pass) => pass.end.since(now),
            None => self.snapshot(now).time_to_prefill(key).unwrap_or_default(),
        }
    }

    /// Predicts the effect of a load that is sent at `now`. The passes must be simulated up to
    /// `now`.
    #[must_use]
    pub fn forecast(&self, load: &StreamLoad, now: Tick) -> PassForecast {
        self.snapshot(now).forecast(load)
    }
}
