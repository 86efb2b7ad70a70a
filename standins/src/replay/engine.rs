//! An engine that works in passes, in virtual time.
//!
//! Written from what was measured on engines and not from the product's model of
//! them, so that an error of that model shows:
//!
//! - while nobody writes, it reads piece by piece what is first in line,
//! - while somebody writes, a pass plays a number of token steps for all writers
//!   and reads a bounded number of tokens from the front of the line,
//! - a part of a jointly read prompt goes before all that is in line,
//! - beyond its capacity, requests wait for an end of another.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use shalelane::relay::decide::engine_rates::EngineRates;

/// Names a request of a replay.
pub type RequestNumber = usize;

/// A prompt, or a part of one, that is sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRead {
    /// The request.
    pub request: RequestNumber,
    /// Tokens to be read here.
    pub tokens: u64,
    /// Time that reading them takes, without the steps.
    pub time: Duration,
    /// Whether other engines read parts of the same prompt.
    pub is_part: bool,
    /// Whether it only helps.
    pub is_helper: bool,
}

/// What became of a unit of work.
#[derive(Clone, Debug, Default)]
pub struct UnitEnd {
    /// Requests whose prompt, or part, has been read.
    pub read: Vec<RequestNumber>,
    /// Writers that made an event.
    pub wrote: Vec<RequestNumber>,
}

#[derive(Clone, Copy, Debug)]
struct LineRead {
    read: EngineRead,
    done: f64,
}

impl LineRead {
    /// Time from the first token to a part of all: later tokens are compared
    /// with more that came before.
    fn time_to(&self, done: f64, rates: &EngineRates) -> f64 {
        let all = self.read.time.as_secs_f64();
        let linear = (rates.linear_prefill_ms(self.read.tokens) / 1e3).min(all);
        linear * done + (all - linear) * done * done
    }

    /// Reads up to `budget` tokens. Returns the tokens and the seconds.
    fn take(&mut self, budget: f64, rates: &EngineRates) -> (f64, f64) {
        let all = self.read.tokens.max(1) as f64;
        let left = all * (1.0 - self.done);
        let before = self.time_to(self.done, rates);
        let taken = left.min(budget);
        self.done = if left <= budget { 1.0 } else { self.done + budget / all };
        (taken, self.time_to(self.done, rates) - before)
    }
}

#[derive(Clone, Copy, Debug)]
struct Writer {
    request: RequestNumber,
    context: u64,
}

/// What an engine is doing.
#[derive(Clone, Debug)]
enum Unit {
    /// A piece of what is first in line.
    Piece { request: RequestNumber },
    /// A pass for all writers.
    Pass { writers: Vec<RequestNumber>, read: Vec<RequestNumber> },
}

/// One engine.
#[derive(Debug)]
pub struct ReplayEngine {
    rates: Rc<EngineRates>,
    line: Vec<LineRead>,
    writers: Vec<Writer>,
    /// Requests that wait for a place, and whether they have read here.
    waiting: VecDeque<EngineRead>,
    /// Requests that have a place and do not only help.
    placed: Vec<RequestNumber>,
    unit: Option<Unit>,
    /// Time in which it worked.
    busy: Duration,
}

impl ReplayEngine {
    /// An engine that does nothing.
    #[must_use]
    pub fn new(rates: Rc<EngineRates>) -> Self {
        ReplayEngine {
            rates,
            line: Vec::new(),
            writers: Vec::new(),
            waiting: VecDeque::new(),
            placed: Vec::new(),
            unit: None,
            busy: Duration::ZERO,
        }
    }

    /// Time in which it worked.
    #[must_use]
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Takes a prompt or a part.
    pub fn take(&mut self, read: EngineRead) {
        if !read.is_helper && self.placed.len() >= self.rates.capacity {
            self.waiting.push_back(read);
            return;
        }
        if !read.is_helper {
            self.placed.push(read.request);
        }
        self.put_in_line(read);
    }

    fn put_in_line(&mut self, read: EngineRead) {
        let read = LineRead { read, done: 0.0 };
        if read.read.is_part {
            self.line.insert(0, read);
        } else {
            self.line.push(read);
        }
    }

    /// Lets a request write, whose prompt has been read wherever it was.
    pub fn start_writer(&mut self, request: RequestNumber, context: u64) {
        self.writers.push(Writer { request, context });
    }

    /// Ends a request, whatever it does here.
    pub fn end(&mut self, request: RequestNumber) {
        self.line.retain(|line| line.read.request != request);
        self.writers.retain(|writer| writer.request != request);
        self.waiting.retain(|read| read.request != request);
        self.placed.retain(|placed| *placed != request);
        while self.placed.len() < self.rates.capacity {
            let Some(next) = self.waiting.pop_front() else { return };
            self.placed.push(next.request);
            self.put_in_line(next);
        }
    }

    /// Begins the next unit of work. Returns how long it takes, none where one is
    /// under way or there is nothing to do.
    pub fn start_unit(&mut self) -> Option<Duration> {
        if self.unit.is_some() {
            return None;
        }
        let (unit, seconds) = if self.writers.is_empty() {
            let first = self.line.first_mut()?;
            let budget = self.rates.step_tokens as f64;
            let (_, seconds) = first.take(budget, &self.rates);
            let unit = Unit::Piece { request: first.read.request };
            (unit, seconds + self.rates.step_ms / 1e3)
        } else {
            self.start_pass()
        };
        self.unit = Some(unit);
        let span = Duration::from_secs_f64(seconds);
        self.busy += span;
        Some(span)
    }

    fn start_pass(&mut self) -> (Unit, f64) {
        let mut budget = self.rates.pass_prefill_tokens();
        let mut seconds = 0.0;
        for line in &mut self.line {
            let (tokens, time) = line.take(budget, &self.rates);
            budget -= tokens;
            seconds += time;
        }
        let context = self.writers.iter().map(|writer| writer.context).sum();
        seconds += self.rates.decode_ms(self.writers.len(), context) / 1e3;
        let writers = self.writers.iter().map(|writer| writer.request).collect();
        let done = self.line.iter().filter(|line| line.done >= 1.0);
        let read = done.map(|line| line.read.request).collect();
        (Unit::Pass { writers, read }, seconds)
    }

    /// Ends the unit that is under way.
    pub fn end_unit(&mut self) -> UnitEnd {
        let mut end = UnitEnd::default();
        match self.unit.take() {
            Some(Unit::Piece { request }) => {
                let is_read = |line: &LineRead| line.read.request == request && line.done >= 1.0;
                if self.line.iter().any(is_read) {
                    end.read.push(request);
                }
            }
            Some(Unit::Pass { writers, read }) => {
                let is_there = |request: &RequestNumber| {
                    self.writers.iter().any(|writer| writer.request == *request)
                };
                end.wrote = writers.into_iter().filter(is_there).collect();
                let in_line = |request: &RequestNumber| {
                    self.line.iter().any(|line| line.read.request == *request)
                };
                end.read = read.into_iter().filter(in_line).collect();
            }
            None => {}
        }
        self.line.retain(|line| !end.read.contains(&line.read.request));
        end
    }
}
