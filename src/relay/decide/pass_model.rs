//! Model of the passes of one engine, from what was sent to it.
//!
//! Measured on engines with one request after the other (`docs/design/platform.md`):
//!
//! - While nobody writes, an engine reads one piece after the other and looks
//!   anew for each at what is first in line.
//! - While somebody writes, a pass reads a bounded number of tokens from the
//!   front of the line, and all that is written or read in it is there at its
//!   end.
//! - A part of a jointly read prompt goes to the front of the line, also before
//!   other parts. Whole prompts wait in order.
//!
//! The model follows this from what this and other entries sent, and is set
//! right by the events that arrive. What would become of one more prompt is
//! worked out in [`super::pass_outlook`].

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::engine_rates::{EngineRates, from_ms};
use super::pass_outlook::{OutlookWriter, PassForecast, PassOutlook};
use super::pending_read::{PendingRead, put_back, put_in_line};
use super::policy::RelayPolicy;
use super::stream_load::{StreamKey, StreamLoad};
use crate::time::Tick;

/// Events that arrive closer together than this belong to one pass.
const SAME_PASS: Duration = Duration::from_millis(15);

/// Passes that a stream may last longer than foretold before it is forgotten.
/// Its end is usually announced; this is for announcements that were lost.
const OVERRUN_PASSES: u32 = 40;

/// Bounds of a reported pace, one being the declared rates.
const PACE_BOUNDS: (f64, f64) = (0.7, 12.0);

/// Part of its foretold time in which a read is over at the soonest: the same bound as
/// that of a reported pace, which is some hundred milliseconds old.
const FASTEST_READ: f64 = PACE_BOUNDS.0;

/// A stream that writes.
#[derive(Clone, Copy, Debug)]
struct Writer {
    load: StreamLoad,
    passes: u32,
}

/// A pass that is under way.
#[derive(Debug)]
struct OpenPass {
    start: Tick,
    end: Tick,
    /// What will have been read at its end.
    reads: Vec<PendingRead>,
    /// What was in line at its start.
    line: Vec<PendingRead>,
}

/// Model of one engine.
#[derive(Debug)]
pub struct PassModel {
    rates: Rc<EngineRates>,
    /// The entry that sees the events of its own streams.
    observer: u64,
    line: Vec<PendingRead>,
    writers: BTreeMap<StreamKey, Writer>,
    /// None while nobody writes.
    pass: Option<OpenPass>,
    /// Up to when the line was followed.
    played_to: Tick,
    pace: f64,
    /// How long a pass may last longer than foretold where its end would be seen.
    grace: Duration,
}

impl PassModel {
    /// Model of an engine that does nothing.
    #[must_use]
    pub fn new(rates: Rc<EngineRates>, observer: u64) -> Self {
        PassModel {
            rates,
            observer,
            line: Vec::new(),
            writers: BTreeMap::new(),
            pass: None,
            played_to: Tick::default(),
            pace: 1.0,
            grace: Duration::from_millis(RelayPolicy::DEFAULT.pass_grace_ms),
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

    /// Sets how long the end of a pass may be late by what is not known here.
    pub fn set_grace(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// How much slower than declared the engine is.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Takes the pace that the engine itself reports.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
    }

    /// Streams that are known there.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reads().count() + self.writers.len()
    }

    /// Returns true where no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The streams that are known there, and what they cost.
    pub fn loads(&self) -> impl Iterator<Item = (StreamKey, StreamLoad)> {
        let writers = self.writers.iter().map(|(key, writer)| (*key, writer.load));
        self.reads().map(|read| (read.key, read.load)).chain(writers)
    }

    fn reads(&self) -> impl Iterator<Item = &PendingRead> {
        self.line.iter().chain(self.pass.iter().flat_map(|pass| &pass.reads))
    }

    /// Adds a stream that was sent now.
    pub fn add(&mut self, key: StreamKey, load: StreamLoad, now: Tick) {
        self.advance(now);
        self.remove(key);
        put_in_line(&mut self.line, PendingRead::new(key, load, now));
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
        self.line.retain(|read| is_kept(read.key));
        self.writers.retain(|key, _| is_kept(*key));
        if let Some(pass) = &mut self.pass {
            pass.reads.retain(|read| is_kept(read.key));
        }
    }

    /// Plays the passes up to `now`. A pass whose end is due is not over while
    /// events that would come with it are missing: it reads more than is known.
    pub fn advance(&mut self, now: Tick) {
        loop {
            if let Some(pass) = &self.pass {
                let end = pass.end;
                if end + self.grace() > now {
                    return;
                }
                self.end_pass(end);
            } else if !self.writers.is_empty() {
                self.start_pass(self.played_to);
            } else if !self.read_first(now) {
                return;
            }
        }
    }

    /// Reads what is first in line, where nobody writes. Returns true where it
    /// was read whole before `now`.
    fn read_first(&mut self, now: Tick) -> bool {
        let Some(first) = self.line.first_mut() else {
            self.played_to = self.played_to.max(now);
            return false;
        };
        let end = self.played_to + from_ms(first.solo_ms(&self.rates) * self.pace);
        if end > now {
            let spent = now.since(self.played_to).as_secs_f64() * 1e3;
            first.spend_solo(spent / self.pace, &self.rates);
            self.played_to = self.played_to.max(now);
            return false;
        }
        let read = self.line.remove(0);
        self.played_to = end;
        self.add_writer(&read);
        true
    }

    fn add_writer(&mut self, read: &PendingRead) {
        if read.load.is_writer() {
            self.writers.insert(read.key, Writer { load: read.load, passes: 0 });
        }
    }

    fn start_pass(&mut self, at: Tick) {
        let before = self.line.clone();
        let mut budget = self.rates.pass_tokens();
        let mut reading = 0.0;
        for read in &mut self.line {
            let (tokens, time) = read.take(budget, &self.rates);
            budget -= tokens;
            reading += time;
        }
        let (read, line) = self.line.iter().partition(|read| read.is_read());
        self.line = line;
        let length = reading + self.rates.write_ms(self.writers.len(), self.context());
        let end = at + from_ms(length * self.pace);
        self.pass = Some(OpenPass { start: at, end, reads: read, line: before });
    }

    fn end_pass(&mut self, at: Tick) {
        let Some(pass) = self.pass.take() else { return };
        self.played_to = at;
        let spent = at.since(pass.start);
        for writer in self.writers.values_mut() {
            writer.passes += 1;
            // A writer whose pause was too long is late: it has nothing more
            // to lose.
            if spent.as_micros() as u64 > writer.load.pause_us {
                writer.load.value = 0.0;
            }
        }
        self.writers.retain(|_, writer| writer.passes <= writer.load.passes + OVERRUN_PASSES);
        for read in pass.reads {
            self.add_writer(&read);
        }
    }

    fn context(&self) -> u64 {
        self.writers.values().map(|writer| writer.load.context).sum()
    }

    /// How long the end of a pass may be late by what is not known here.
    fn grace(&self) -> Duration {
        let is_seen = self.writers.keys().any(|key| key.entry == self.observer);
        if is_seen { self.grace } else { Duration::ZERO }
    }

    /// Notes the first event of a stream at `at`: its prompt has been read.
    pub fn note_first(&mut self, key: StreamKey, at: Tick) {
        self.advance(at);
        let Some(place) = self.line.iter().position(|read| read.key == key) else { return };
        let read = self.line.remove(place);
        match &mut self.pass {
            Some(pass) => pass.reads.push(read),
            None => self.add_writer(&read),
        }
    }

    /// Notes that events of the engine arrived, which it sent at `at`: a pass
    /// has ended.
    pub fn note_pass(&mut self, at: Tick) {
        self.advance(at);
        let Some(pass) = &self.pass else { return };
        if at.since(pass.start) < SAME_PASS {
            return;
        }
        self.put_back_unread(at);
        self.end_pass(at);
        if !self.writers.is_empty() {
            self.start_pass(at);
        }
    }

    /// Puts back what can not have been read in the pass that ends at `at`: it came
    /// after the engine had begun that pass. Without this the part of a prompt of 850,000
    /// tokens counted as read after 50 ms (logged), and short prompts were sent to an engine
    /// that read for another 1.5 s and more.
    fn put_back_unread(&mut self, at: Tick) {
        // When a pass began that nobody here saw is known to a pass of writing.
        let doubt_ms = self.rates.write_ms(self.writers.len(), self.context()) * self.pace;
        let Some(pass) = &mut self.pass else { return };
        let most_ms = at.since(pass.start).as_secs_f64() * 1e3 + doubt_ms;
        let least = self.pace * FASTEST_READ;
        for before in std::mem::take(&mut pass.line) {
            let left = |reads: &[PendingRead]| {
                let found = reads.iter().find(|read| read.key == before.key);
                found.map(|read| read.read_ms(&self.rates))
            };
            let in_pass = left(&pass.reads);
            let Some(after_ms) = in_pass.or_else(|| left(&self.line)) else { continue };
            let reading_ms = before.read_ms(&self.rates) - after_ms;
            if reading_ms * least <= most_ms {
                continue;
            }
            pass.reads.retain(|read| read.key != before.key);
            self.line.retain(|read| read.key != before.key);
            put_back(&mut self.line, before);
        }
    }

    /// What is known of the engine's next passes, for forecasts. Only true
    /// where the passes have been played up to `now`.
    #[must_use]
    pub fn outlook(&self, now: Tick) -> PassOutlook<'_> {
        let pass = self.pass.as_ref();
        let length = pass.map_or(Duration::ZERO, |pass| pass.end.since(pass.start));
        let writing = self.writers.values();
        let writing = writing.map(|writer| OutlookWriter::from_load(&writer.load, length));
        let reads = pass.into_iter().flat_map(|pass| &pass.reads);
        let reads = reads.filter(|read| read.load.is_writer());
        let finishing = reads.map(|read| OutlookWriter::from_load(&read.load, Duration::ZERO));
        let outlook = PassOutlook {
            rates: &self.rates,
            pace: self.pace,
            now,
            wait: pass.map(|pass| pass.end.since(now)),
            writers: writing.chain(finishing).collect(),
            line: self.line.clone(),
            active: self.loads().filter(|(_, load)| load.is_writer()).count(),
            memory: self.loads().map(|(_, load)| load.memory).sum(),
            loss: 0.0,
            joint: Vec::new(),
        };
        outlook.with_loss()
    }

    /// Time until the pass that is under way should end, zero where there is none
    /// or it is due.
    pub fn time_to_pass_end(&mut self, now: Tick) -> Duration {
        self.advance(now);
        self.pass.as_ref().map_or(Duration::ZERO, |pass| pass.end.since(now))
    }

    /// Time until a stream that is known is read, zero where it is.
    #[must_use]
    pub fn time_to_read(&self, key: StreamKey, now: Tick) -> Duration {
        let in_pass = self.pass.as_ref().filter(|pass| pass.reads.iter().any(|r| r.key == key));
        match in_pass {
            Some(pass) => pass.end.since(now),
            None => self.outlook(now).time_to_read(key).unwrap_or_default(),
        }
    }

    /// Foretells what would become of a load sent now, to which the passes have
    /// been played.
    #[must_use]
    pub fn forecast(&self, load: &StreamLoad, now: Tick) -> PassForecast {
        self.outlook(now).forecast(load)
    }
}
