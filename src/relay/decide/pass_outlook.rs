//! What would become of one more prompt at an engine, and of those before it.

use std::time::Duration;

use super::engine_rates::{EngineRates, from_ms};
use super::loss::{first_event_loss, pause_loss};
use super::pending_read::{PendingRead, put_in_line};
use super::stream_load::{StreamKey, StreamLoad};
use crate::time::Tick;

/// Most passes that are played ahead. What is read later is lost anyway.
const MAX_PASSES: usize = 64;

/// Names the prompt that is weighed among those in line.
const WEIGHED: StreamKey = StreamKey { entry: 0, number: 0 };

/// A part of a jointly read prompt that is in line, and when its prompt could start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JointRead {
    /// The prompt. Its parts have the same name at all engines.
    pub key: StreamKey,
    /// Time from the arrival of the prompt until this part is read, or until its
    /// first event was foretold, whichever is later.
    pub first: Duration,
    /// Time from its arrival for a first event in time.
    pub limit: Duration,
    /// What the prompt is worth, in short requests.
    pub value: f32,
}

impl JointRead {
    /// What the prompt loses where this part is read so, and its other parts let
    /// it start after `start`.
    #[must_use]
    pub fn harm(&self, start: Duration) -> f32 {
        let loss = |first| first_event_loss(self.value, first, self.limit);
        loss(self.first.max(start)) - loss(start)
    }
}

/// What would become of a prompt that is sent to an engine now.
#[derive(Clone, Debug, Default)]
pub struct PassForecast {
    /// Time until it is read, and writes: the end of the pass that reads it
    /// where others write.
    pub read: Duration,
    /// Longest pass of the engine after that, until all in line is read.
    pub pause: Duration,
    /// Length of a pass afterwards, with it among the writers.
    pub steady: Duration,
    /// What others there lose by it, in short requests, without `joint`.
    pub harm: f32,
    /// Parts of jointly read prompts that are read later by it. A prompt that several
    /// engines make late is late once.
    pub joint: Vec<JointRead>,
    /// Requests there that are not helpers.
    pub active: usize,
    /// Memory that is taken there, in tokens.
    pub memory: u64,
}

/// A stream that writes, as far as passes concern it.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutlookWriter {
    is_weighed: bool,
    context: u64,
    value: f32,
    /// Longest pause between its events that is in time.
    limit: Duration,
    /// Longest pass that it has to wait for.
    longest: Duration,
}

impl OutlookWriter {
    /// A writer that waits for a pass of such a length.
    pub(super) fn from_load(load: &StreamLoad, longest: Duration) -> Self {
        OutlookWriter {
            is_weighed: false,
            context: load.context,
            value: load.value,
            limit: Duration::from_micros(load.pause_us),
            longest,
        }
    }
}

/// The state of an engine at one moment.
#[derive(Debug)]
pub struct PassOutlook<'a> {
    pub(super) rates: &'a EngineRates,
    pub(super) pace: f64,
    pub(super) now: Tick,
    /// Time until the pass that is under way ends, none where nobody writes.
    pub(super) wait: Option<Duration>,
    /// Those who write after it.
    pub(super) writers: Vec<OutlookWriter>,
    /// What is read after it, the first in line first.
    pub(super) line: Vec<PendingRead>,
    /// Requests there that are not helpers.
    pub(super) active: usize,
    /// Memory that is taken there, in tokens.
    pub(super) memory: u64,
    /// What those there lose as it is, without `joint`.
    pub(super) loss: f32,
    /// Parts of jointly read prompts as it is.
    pub(super) joint: Vec<JointRead>,
}

/// Passes that are played ahead.
struct PassPlay<'a> {
    outlook: &'a PassOutlook<'a>,
    time: Duration,
    line: Vec<PendingRead>,
    writers: Vec<OutlookWriter>,
    /// The prompt that is asked about, and when it was read.
    asked: StreamKey,
    asked_read: Option<Duration>,
    loss: f32,
    joint: Vec<JointRead>,
}

impl PassOutlook<'_> {
    /// Works out what those there lose as it is.
    pub(super) fn with_loss(mut self) -> Self {
        let PassPlay { loss, joint, .. } = self.play(self.line.clone(), WEIGHED);
        self.loss = loss;
        self.joint = joint;
        self
    }

    /// Foretells what would become of a load sent now.
    #[must_use]
    pub fn forecast(&self, load: &StreamLoad) -> PassForecast {
        let mut line = Vec::with_capacity(self.line.len() + 1);
        line.extend_from_slice(&self.line);
        put_in_line(&mut line, PendingRead::new(WEIGHED, *load, self.now));
        let played = self.play(line, WEIGHED);
        let context = self.writers.iter().map(|writer| writer.context).sum::<u64>() + load.context;
        let steady = self.rates.write_ms(self.writers.len() + 1, context) * self.pace;
        let weighed = played.writers.iter().find(|writer| writer.is_weighed);
        PassForecast {
            read: played.asked_read.unwrap_or_default(),
            pause: weighed.map_or(Duration::ZERO, |writer| writer.longest),
            steady: from_ms(steady),
            harm: played.loss - self.loss,
            joint: self.delayed(&played.joint),
            active: self.active,
            memory: self.memory,
        }
    }

    /// Parts of jointly read prompts that are in line.
    #[must_use]
    pub fn joint_reads(&self) -> &[JointRead] {
        &self.joint
    }

    /// Those parts that are read later than as it is.
    fn delayed(&self, played: &[JointRead]) -> Vec<JointRead> {
        let before = |key| self.joint.iter().find(|joint| joint.key == key);
        let is_later =
            |after: &&JointRead| before(after.key).is_some_and(|before| after.first > before.first);
        played.iter().filter(is_later).copied().collect()
    }

    /// Time to read all that is in line, without what is written meanwhile.
    #[must_use]
    pub fn time_in_line(&self) -> Duration {
        let reads = self.line.iter().map(|pending| pending.read_ms(self.rates));
        from_ms(reads.sum::<f64>() * self.pace)
    }

    /// Time until a prompt in line is read, none where it is not in line.
    pub(super) fn time_to_read(&self, key: StreamKey) -> Option<Duration> {
        self.play(self.line.clone(), key).asked_read
    }

    /// Plays passes until all of a line is read.
    fn play(&self, line: Vec<PendingRead>, asked: StreamKey) -> PassPlay<'_> {
        let mut play = PassPlay {
            outlook: self,
            time: self.wait.unwrap_or_default(),
            line,
            writers: self.writers.clone(),
            asked,
            asked_read: None,
            loss: 0.0,
            joint: Vec::new(),
        };
        for _ in 0..MAX_PASSES {
            if play.line.is_empty() {
                break;
            }
            if play.writers.is_empty() {
                play.read_first();
            } else {
                play.turn_pass();
            }
        }
        play.note_pauses();
        play
    }
}

impl PassPlay<'_> {
    /// Reads what is first in line, where nobody writes.
    fn read_first(&mut self) {
        let first = self.line.remove(0);
        self.time += from_ms(first.solo_ms(self.outlook.rates) * self.outlook.pace);
        self.note_read(&first);
    }

    /// Plays one pass for the writers.
    fn turn_pass(&mut self) {
        let rates = self.outlook.rates;
        let context = self.writers.iter().map(|writer| writer.context).sum();
        let mut budget = rates.pass_tokens();
        let mut length = rates.write_ms(self.writers.len(), context);
        for pending in &mut self.line {
            let (tokens, time) = pending.take(budget, rates);
            budget -= tokens;
            length += time;
        }
        let length = from_ms(length * self.outlook.pace);
        self.time += length;
        for writer in &mut self.writers {
            writer.longest = writer.longest.max(length);
        }
        let (read, line) = self.line.iter().partition::<Vec<_>, _>(|pending| pending.is_read());
        self.line = line;
        for pending in read {
            self.note_read(&pending);
        }
    }

    fn note_read(&mut self, read: &PendingRead) {
        let load = &read.load;
        let is_weighed = read.key == WEIGHED;
        if read.key == self.asked {
            self.asked_read = Some(self.time);
        }
        let joint = self.to_joint(read);
        if load.is_part {
            self.joint.push(joint);
        } else if !is_weighed {
            self.loss += first_event_loss(joint.value, joint.first, joint.limit);
        }
        if load.is_writer() {
            let writer = OutlookWriter::from_load(load, Duration::ZERO);
            self.writers.push(OutlookWriter { is_weighed, ..writer });
        }
    }

    /// When a prompt that is read now could start.
    fn to_joint(&self, read: &PendingRead) -> JointRead {
        let load = &read.load;
        let since = self.outlook.now.since(read.placed_at);
        // A part that is read before the others has time left.
        let start = Duration::from_micros(load.start_us).max(since + self.time);
        JointRead {
            key: read.key,
            first: Duration::from_micros(load.waited_us) + start,
            limit: Duration::from_micros(load.limit_us),
            value: load.value,
        }
    }

    /// Adds what writers lose by the longest pass that they wait for.
    fn note_pauses(&mut self) {
        let others = self.writers.iter().filter(|writer| !writer.is_weighed);
        let losses = others.map(|writer| pause_loss(writer.value, writer.longest, writer.limit));
        self.loss += losses.sum::<f32>();
    }
}
