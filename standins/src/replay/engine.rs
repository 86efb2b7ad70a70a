//! An engine that works in forward passes, in virtual time.
//!
//! It is modelled on measurements of engines and not on the relay's model of them, so
//! that errors of the relay's model become visible:
//!
//! - while no stream is decoding, the engine prefills the head of the prefill queue in
//!   pieces,
//! - while streams are decoding, a pass runs a number of token steps for all of them and
//!   prefills a bounded number of tokens from the head of the queue,
//! - a shard of a sharded prefill goes to the head of the queue,
//! - requests beyond the capacity wait until another request ends.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use shalelane::relay::decide::engine_rates::EngineRates;

/// Index of a request of a replay.
pub type RequestNumber = usize;

/// A prompt, or a shard of one, that is sent to an engine for prefill.
#[derive(Clone, Copy, Debug)]
pub struct EnginePrefill {
    /// The request that the prompt belongs to.
    pub request: RequestNumber,
    /// Tokens that this engine prefills.
    pub tokens: u64,
    /// Prefill time of these tokens, without the fixed time of each step.
    pub time: Duration,
    /// Whether other engines prefill shards of the same prompt.
    pub is_shard: bool,
    /// Whether this engine is a helper: it prefills a shard and does not decode.
    pub is_helper: bool,
}

/// Results of a unit of work.
#[derive(Clone, Debug, Default)]
pub struct UnitResult {
    /// Requests whose prompt or shard is completely prefilled.
    pub prefilled: Vec<RequestNumber>,
    /// Requests whose stream produced an event.
    pub decoded: Vec<RequestNumber>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedPrefill {
    prefill: EnginePrefill,
    done: f64,
}

impl QueuedPrefill {
    /// Returns the prefill time, in seconds, of the leading fraction `done` of the tokens.
    ///
    /// The time has a quadratic part, since each token attends to all tokens before it.
    fn seconds_for(&self, done: f64, rates: &EngineRates) -> f64 {
        let all = self.prefill.time.as_secs_f64();
        let linear = (rates.linear_prefill_ms(self.prefill.tokens) / 1e3).min(all);
        linear * done + (all - linear) * done * done
    }

    /// Prefills up to `budget` tokens. Returns their number and the time in seconds.
    fn prefill(&mut self, budget: f64, rates: &EngineRates) -> (f64, f64) {
        let all = self.prefill.tokens.max(1) as f64;
        let remaining = all * (1.0 - self.done);
        let before = self.seconds_for(self.done, rates);
        let prefilled = remaining.min(budget);
        self.done = if remaining <= budget { 1.0 } else { self.done + budget / all };
        (prefilled, self.seconds_for(self.done, rates) - before)
    }
}

#[derive(Clone, Copy, Debug)]
struct DecodingStream {
    request: RequestNumber,
    context: u64,
}

/// A unit of work of an engine.
#[derive(Clone, Debug)]
enum Unit {
    /// A piece of the prefill at the head of the queue.
    Piece { request: RequestNumber },
    /// A forward pass for all decoding streams, with prefill from the queue.
    Pass { streams: Vec<RequestNumber>, prefilled: Vec<RequestNumber> },
}

/// An engine in virtual time.
#[derive(Debug)]
pub struct ReplayEngine {
    rates: Rc<EngineRates>,
    queue: Vec<QueuedPrefill>,
    streams: Vec<DecodingStream>,
    /// Requests that wait until the number of admitted requests is below the capacity.
    waiting: VecDeque<EnginePrefill>,
    /// Requests that count towards the capacity; prefills for other engines do not.
    admitted: Vec<RequestNumber>,
    unit: Option<Unit>,
    /// Total duration of all started units of work.
    busy: Duration,
}

impl ReplayEngine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(rates: Rc<EngineRates>) -> Self {
        ReplayEngine {
            rates,
            queue: Vec::new(),
            streams: Vec::new(),
            waiting: VecDeque::new(),
            admitted: Vec::new(),
            unit: None,
            busy: Duration::ZERO,
        }
    }

    /// Returns the total duration of all started units of work.
    #[must_use]
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Adds a prompt or shard to the prefill queue, or to the waiting requests at capacity.
    pub fn enqueue(&mut self, prefill: EnginePrefill) {
        if !prefill.is_helper && self.admitted.len() >= self.rates.capacity {
            self.waiting.push_back(prefill);
            return;
        }
        if !prefill.is_helper {
            self.admitted.push(prefill.request);
        }
        self.put_in_queue(prefill);
    }

    fn put_in_queue(&mut self, prefill: EnginePrefill) {
        let queued = QueuedPrefill { prefill, done: 0.0 };
        if queued.prefill.is_shard {
            self.queue.insert(0, queued);
        } else {
            self.queue.push(queued);
        }
    }

    /// Starts to decode a request whose prompt is prefilled on all engines involved.
    pub fn start_stream(&mut self, request: RequestNumber, context: u64) {
        self.streams.push(DecodingStream { request, context });
    }

    /// Removes a request in any state and admits waiting requests in its place.
    pub fn remove(&mut self, request: RequestNumber) {
        self.queue.retain(|queued| queued.prefill.request != request);
        self.streams.retain(|stream| stream.request != request);
        self.waiting.retain(|prefill| prefill.request != request);
        self.admitted.retain(|admitted| *admitted != request);
        while self.admitted.len() < self.rates.capacity {
            let Some(next) = self.waiting.pop_front() else { return };
            self.admitted.push(next.request);
            self.put_in_queue(next);
        }
    }

    /// Starts the next unit of work and returns its duration.
    ///
    /// Returns `None` if a unit is in progress or the engine has no work.
    pub fn start_unit(&mut self) -> Option<Duration> {
        if self.unit.is_some() {
            return None;
        }
        let (unit, seconds) = if self.streams.is_empty() {
            let first = self.queue.first_mut()?;
            let budget = self.rates.step_tokens as f64;
            let (_, seconds) = first.prefill(budget, &self.rates);
            let unit = Unit::Piece { request: first.prefill.request };
            (unit, seconds + self.rates.step_ms / 1e3)
        } else {
            self.start_pass()
        };
        self.unit = Some(unit);
        let duration = Duration::from_secs_f64(seconds);
        self.busy += duration;
        Some(duration)
    }

    fn start_pass(&mut self) -> (Unit, f64) {
        let mut budget = self.rates.pass_prefill_tokens();
        let mut seconds = 0.0;
        for queued in &mut self.queue {
            let (tokens, time) = queued.prefill(budget, &self.rates);
            budget -= tokens;
            seconds += time;
        }
        let context = self.streams.iter().map(|stream| stream.context).sum();
        seconds += self.rates.decode_ms(self.streams.len(), context) / 1e3;
        let streams = self.streams.iter().map(|stream| stream.request).collect();
        let done = self.queue.iter().filter(|queued| queued.done >= 1.0);
        let prefilled = done.map(|queued| queued.prefill.request).collect();
        (Unit::Pass { streams, prefilled }, seconds)
    }

    /// Completes the unit in progress.
    pub fn end_unit(&mut self) -> UnitResult {
        let mut result = UnitResult::default();
        match self.unit.take() {
            Some(Unit::Piece { request }) => {
                let is_done = |queued: &QueuedPrefill| {
                    queued.prefill.request == request && queued.done >= 1.0
                };
                if self.queue.iter().any(is_done) {
                    result.prefilled.push(request);
                }
            }
            Some(Unit::Pass { streams, prefilled }) => {
                let is_decoding = |request: &RequestNumber| {
                    self.streams.iter().any(|stream| stream.request == *request)
                };
                result.decoded = streams.into_iter().filter(is_decoding).collect();
                let is_queued = |request: &RequestNumber| {
                    self.queue.iter().any(|queued| queued.prefill.request == *request)
                };
                result.prefilled = prefilled.into_iter().filter(is_queued).collect();
            }
            None => {}
        }
        self.queue.retain(|queued| !result.prefilled.contains(&queued.prefill.request));
        result
    }
}
