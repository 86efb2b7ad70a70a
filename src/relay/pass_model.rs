//! Model of the passes of one engine, from what was sent to it.
//!
//! An engine reads all that waits in its next pass, and all its writers wait
//! for that. The model follows passes from what this and other entries sent,
//! and is set right by the events that arrive: they come at the end of a pass.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::engine_rates::EngineRates;
use crate::time::Tick;

/// Events that arrive closer together than this belong to one pass.
const SAME_PASS: Duration = Duration::from_millis(15);

/// How long a pass may last longer than foretold where its end would be seen.
const PASS_GRACE: Duration = Duration::from_millis(120);

/// Passes that a stream may last longer than foretold before it is forgotten.
/// Its end is usually announced; this is for announcements that were lost.
const OVERRUN_PASSES: u32 = 40;

/// Bounds of a reported pace, one being the declared rates.
const PACE_BOUNDS: (f64, f64) = (0.7, 12.0);

/// Names a stream among those of all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey {
    /// Incarnation of the entry that sent it.
    pub entry: u64,
    /// Number of the stream there.
    pub number: u64,
}

/// What a request costs one engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamLoad {
    /// Time to read its prompt, or its part of it, in microseconds.
    pub read_us: u64,
    /// Tokens of context while it writes, zero for a helper that only reads.
    pub context: u64,
    /// Tokens of memory it takes here.
    pub memory: u64,
    /// Passes that it is likely to write for, zero for a helper.
    pub passes: u32,
    /// Longest pause between its events that is still in time, in microseconds.
    pub pause_us: u64,
    /// What is lost where that pause is exceeded, in short requests.
    pub value: f32,
}

impl StreamLoad {
    fn read(&self) -> Duration {
        Duration::from_micros(self.read_us)
    }

    fn is_writer(&self) -> bool {
        self.passes > 0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Read in the pass after the present one.
    Waiting,
    /// Read in the present pass.
    Reading,
    /// Writing, for so many passes so far.
    Writing(u32),
}

#[derive(Debug)]
struct ModelStream {
    load: StreamLoad,
    phase: Phase,
}

/// What would become of a prompt that is sent to an engine now.
#[derive(Clone, Copy, Debug)]
pub struct PassForecast {
    /// Time until its first event where it is read here alone: the end of the
    /// pass that reads it.
    pub first: Duration,
    /// Time until it is read. A prompt that is read jointly has its first event
    /// when the last of its parts is read, also within a pass.
    pub read: Duration,
    /// Length of the pass that reads it.
    pub pass: Duration,
    /// Length of a pass afterwards, with it among the writers.
    pub steady: Duration,
    /// What the other writers there lose by that pass.
    pub harm: f32,
    /// Requests there that are not helpers.
    pub active: usize,
    /// Memory that is taken there, in tokens.
    pub memory: u64,
}

/// Model of one engine.
#[derive(Debug)]
pub struct PassModel {
    rates: Rc<EngineRates>,
    /// The entry that sees the events of its own streams.
    observer: u64,
    streams: HashMap<StreamKey, ModelStream>,
    pass_start: Tick,
    pass_end: Tick,
    pace: f64,
}

impl PassModel {
    /// Model of an engine that does nothing.
    #[must_use]
    pub fn new(rates: Rc<EngineRates>, observer: u64) -> Self {
        PassModel {
            rates,
            observer,
            streams: HashMap::new(),
            pass_start: Tick::default(),
            pass_end: Tick::default(),
            pace: 1.0,
        }
    }

    /// The declared rates of the engine.
    #[must_use]
    pub fn rates(&self) -> &EngineRates {
        &self.rates
    }

    /// Takes changed rates.
    pub fn set_rates(&mut self, rates: &Rc<EngineRates>) {
        self.rates = rates.clone();
    }

    /// How much slower than declared the engine is.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Streams that are known there.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns true where no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// The streams that are known there, and what they cost.
    pub fn loads(&self) -> impl Iterator<Item = (StreamKey, StreamLoad)> {
        self.streams.iter().map(|(key, stream)| (*key, stream.load))
    }

    /// Adds a stream that was sent now.
    pub fn add(&mut self, key: StreamKey, load: StreamLoad, now: Tick) {
        self.advance(now);
        let is_idle = !self.is_working();
        self.streams.insert(key, ModelStream { load, phase: Phase::Waiting });
        if is_idle {
            self.start_pass(now);
        }
    }

    /// Removes a stream that has ended.
    pub fn remove(&mut self, key: StreamKey) {
        self.streams.remove(&key);
    }

    /// Removes the streams of an entry that is gone.
    pub fn remove_entry(&mut self, entry: u64) {
        self.streams.retain(|key, _| key.entry != entry);
    }

    /// Plays the passes up to `now`. A pass whose end is due is not over while
    /// events that would come with it are missing: it reads more than is known.
    pub fn advance(&mut self, now: Tick) {
        while self.is_working() && self.pass_end + self.grace() <= now {
            self.start_pass(self.pass_end);
        }
    }

    /// Returns true while a pass is under way.
    fn is_working(&self) -> bool {
        self.streams.values().any(|stream| stream.phase != Phase::Waiting)
    }

    fn start_pass(&mut self, at: Tick) {
        self.note_late(at.since(self.pass_start));
        self.turn_pass();
        self.pass_start = at;
        self.pass_end = at + self.pass_length();
    }

    /// A writer whose pause was too long is late: it has nothing more to lose.
    fn note_late(&mut self, spent: Duration) {
        for stream in self.streams.values_mut() {
            let is_late = spent.as_micros() as u64 > stream.load.pause_us;
            if is_late && matches!(stream.phase, Phase::Writing(_)) {
                stream.load.value = 0.0;
            }
        }
    }

    /// How long the end of a pass may be late by what is not known here.
    fn grace(&self) -> Duration {
        let mut streams = self.streams.iter();
        let is_seen = streams.any(|(key, stream)| {
            key.entry == self.observer && matches!(stream.phase, Phase::Writing(_))
        });
        if is_seen { PASS_GRACE } else { Duration::ZERO }
    }

    /// What was read writes now, and what waited is read.
    fn turn_pass(&mut self) {
        let overrun = OVERRUN_PASSES;
        self.streams.retain(|_, stream| {
            stream.phase = match stream.phase {
                Phase::Waiting => Phase::Reading,
                Phase::Reading => Phase::Writing(1),
                Phase::Writing(passes) => Phase::Writing(passes + 1),
            };
            match stream.phase {
                Phase::Writing(passes) => {
                    stream.load.is_writer() && passes <= stream.load.passes + overrun
                }
                Phase::Waiting | Phase::Reading => true,
            }
        });
    }

    fn pass_length(&self) -> Duration {
        let reading = self.streams.values().filter(|stream| stream.phase == Phase::Reading);
        let reading: Duration = reading.map(|stream| stream.load.read()).sum();
        let writing = self.streams.values();
        let writing = writing.filter(|stream| matches!(stream.phase, Phase::Writing(_)));
        let (count, context) = count_context(writing);
        (reading + self.rates.write_time(count, context)).mul_f64(self.pace)
    }

    /// Notes that events of the engine arrived, which it sent at `at`: a pass
    /// has ended.
    pub fn note_pass(&mut self, at: Tick) {
        self.advance(at);
        if at.since(self.pass_start) < SAME_PASS {
            return;
        }
        self.start_pass(at);
    }

    /// Takes the pace that the engine itself reports.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
    }

    /// Foretells what would become of a load sent now.
    #[must_use]
    pub fn forecast(&self, load: &StreamLoad, now: Tick) -> PassForecast {
        let wait = self.pass_end.since(now);
        let mut pending = load.read();
        let mut writers = 0;
        let mut context = 0;
        let mut active = 0;
        let mut memory = 0;
        for stream in self.streams.values() {
            let waits = stream.phase == Phase::Waiting;
            if waits {
                pending += stream.load.read();
            }
            if stream.load.is_writer() {
                active += 1;
                memory += stream.load.memory;
                if !waits {
                    writers += 1;
                    context += stream.load.context;
                }
            }
        }
        let pass = (pending + self.rates.write_time(writers, context)).mul_f64(self.pace);
        let later = self.rates.write_time(writers + 1, context + load.context).mul_f64(self.pace);
        PassForecast {
            first: wait + pass,
            read: wait + pending.mul_f64(self.pace),
            pass,
            steady: later,
            harm: self.harm(pass),
            active,
            memory,
        }
    }

    /// What the writers lose by a pass of such a length.
    fn harm(&self, pass: Duration) -> f32 {
        let writers = self
            .streams
            .values()
            .filter(|stream| stream.load.is_writer() && stream.phase != Phase::Waiting);
        let harmed = writers.map(|stream| {
            // A pass a little under the limit may turn out a little over it.
            let part = pass.as_micros() as f64 / stream.load.pause_us.max(1) as f64;
            let risk = ((part - HARM_FROM) / (1.0 - HARM_FROM)).clamp(0.0, 1.0);
            stream.load.value * risk as f32
        });
        harmed.sum()
    }
}

/// Part of a writer's longest pause from which a pass begins to be a risk.
const HARM_FROM: f64 = 0.82;

fn count_context<'a>(streams: impl Iterator<Item = &'a ModelStream>) -> (usize, u64) {
    streams.fold((0, 0), |(count, context), stream| (count + 1, context + stream.load.context))
}
