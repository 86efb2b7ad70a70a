//! Permits to send to a target that takes a bounded rate from all entries together.
//!
//! No entry knows what the others send, nor how many there are. So one agent gives all
//! permits for a target: the one beside it, or, for targets without one, an agent that all
//! entries choose alike. An entry without a permit sends nothing, whether it was idle, has
//! just started or is cut off, and the sum holds for any number of entries.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate_book::{RateBook, RateNews, RateTold};
use super::rate_limit::RateLimit;
use super::target_state::TargetLife;
use crate::time::Tick;

/// Most targets for which one agent gives permits.
const MOST_GATES: usize = 1_024;

/// How much slower the second agent gives permits than the first one: entries may turn to
/// either, and together they stay within one and a half times the rate.
const SECOND_DIVISOR: u32 = 2;

/// What both agents together give, in times the rate.
pub(super) const SUM_PART: f64 = 1.0 + 1.0 / SECOND_DIVISOR as f64;

/// Turns that both agents may give in any span beside that: one that was kept, and the one
/// at the edge of the span, by each.
pub(super) const LEAST_SPARE: f64 = 4.0;

/// An entry's question for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// What the entry knows of the target's rate: the agent may have started since.
    #[serde(rename = "r")]
    pub news: RateNews,
    /// What bounds the target while it is cold.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupNews>,
    /// Longest time that the request would wait for its turn, in milliseconds.
    #[serde(rename = "w")]
    pub most_wait_ms: u32,
    /// Whether the first agent did not answer, and this is the second.
    #[serde(rename = "s")]
    pub is_second: bool,
}

/// What an entry knows of a target that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupNews {
    /// Requests a second that it takes from all entries together.
    #[serde(rename = "r")]
    pub rate: RateLimit,
    /// For how long, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u32,
}

/// The agent's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// One request may be sent after that time.
    #[serde(rename = "g")]
    Granted {
        /// Milliseconds from now.
        after_ms: u32,
    },
    /// There is none so soon.
    #[serde(rename = "r")]
    Refused {
        /// Milliseconds until there is one.
        wait_ms: u32,
    },
    /// The target takes any number again.
    #[serde(rename = "o")]
    Open,
}

/// Longest time that an entry is told to wait: others may have no more requests by then.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// The turns of one target.
#[derive(Debug)]
struct PermitGate {
    /// When the next turn is.
    next_at: Tick,
    /// The turn that the next entry is told of which is refused: each is told of another.
    told_at: Tick,
    /// Time between two turns.
    step: Duration,
}

impl PermitGate {
    /// A gate that has given nothing. What an earlier life of this process gave is not
    /// known, so the first turn comes after a whole step.
    fn new(step: Duration, now: Tick) -> Self {
        PermitGate { next_at: now + step, told_at: Tick::default(), step }
    }

    fn set_step(&mut self, step: Duration, now: Tick) {
        if step != self.step {
            self.step = step;
            self.next_at = self.next_at.min(now + step);
            self.told_at = self.next_at;
        }
    }

    fn ask(&mut self, most_wait: Duration, now: Tick) -> PermitReply {
        // One turn that nobody took is kept, no more.
        self.next_at = self.next_at.max(now - self.step);
        let wait = self.next_at.since(now);
        if wait > most_wait {
            let told_at = self.told_at.max(self.next_at).min(now + LONGEST_WAIT);
            self.told_at = told_at + self.step;
            return PermitReply::Refused { wait_ms: to_millis(told_at.since(now)) };
        }
        self.next_at = self.next_at + self.step;
        PermitReply::Granted { after_ms: to_millis(wait) }
    }
}

/// Milliseconds, rounded up: nobody is to come too soon.
fn to_millis(span: Duration) -> u32 {
    span.as_micros().div_ceil(1_000).try_into().unwrap_or(u32::MAX)
}

/// What an agent knows of rates, and the permits that it gives.
#[derive(Debug, Default)]
pub struct PermitDesk {
    book: RateBook,
    /// By target, and whether it is the second agent that is asked.
    gates: HashMap<(TargetLife, bool), PermitGate>,
    /// Targets that entries know to be cold.
    cold: HashMap<TargetLife, ColdTarget>,
}

#[derive(Debug)]
struct ColdTarget {
    rate: RateLimit,
    until: Tick,
}

impl PermitDesk {
    /// Answers an entry.
    pub fn on_ask(&mut self, ask: &PermitAsk, now: Tick) -> PermitReply {
        self.book.take(&ask.news, now);
        let life = &ask.news.life;
        if let Some(warmup) = ask.warmup {
            self.note_cold(life, warmup, now);
        }
        let Some(rate) = self.rate_of(life, now) else { return PermitReply::Open };
        let most_wait = Duration::from_millis(ask.most_wait_ms.into());
        self.gate(life, ask.is_second, rate, now).ask(most_wait, now)
    }

    /// Takes what an entry sent without a permit, since it had to: it counts as well.
    pub fn note_spent(&mut self, life: &TargetLife, now: Tick) {
        if let Some(rate) = self.rate_of(life, now) {
            let gate = self.gate(life, false, rate, now);
            gate.next_at = gate.next_at.max(now - gate.step) + gate.step;
        }
    }

    /// Returns true where a target of that name takes a bounded rate.
    #[must_use]
    pub fn is_scarce(&self, name: &str) -> bool {
        self.book.is_scarce(name)
    }

    /// Takes what an entry knows of rates.
    pub fn take_news(&mut self, news: &[RateNews], now: Tick) {
        for news in news {
            self.book.take(news, now);
        }
    }

    /// What is told to an entry that was told before as `told` says.
    pub fn to_news(&mut self, told: &mut RateTold, now: Tick) -> Vec<RateNews> {
        self.book.to_news(told, now)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Tick) {
        // Entries believe what is old for longer than agents tell of it.
        const SPREAD: f64 = 0.0;
        self.book.expire(SPREAD, now);
        self.cold.retain(|_, cold| now < cold.until);
        let (book, cold) = (&self.book, &self.cold);
        self.gates.retain(|(life, _), _| book.rate_of(life).is_some() || cold.contains_key(life));
    }

    /// The rate that a target takes, whether named or while it is cold.
    fn rate_of(&self, life: &TargetLife, now: Tick) -> Option<RateLimit> {
        let cold = self.cold.get(life).filter(|cold| now < cold.until);
        RateLimit::lower(self.book.rate_of(life), cold.map(|cold| cold.rate))
    }

    /// Notes a cold target. It binds entries as well that do not know it to be cold.
    fn note_cold(&mut self, life: &TargetLife, warmup: WarmupNews, now: Tick) {
        if self.cold.len() >= MOST_GATES && !self.cold.contains_key(life) {
            self.cold.retain(|_, cold| now < cold.until);
        }
        let until = now + Duration::from_millis(warmup.left_ms.into());
        let cold = self.cold.entry(life.clone()).or_insert(ColdTarget { rate: warmup.rate, until });
        *cold = ColdTarget { rate: warmup.rate, until: cold.until.max(until) };
    }

    fn gate(
        &mut self,
        life: &TargetLife,
        is_second: bool,
        rate: RateLimit,
        now: Tick,
    ) -> &mut PermitGate {
        let step = rate.to_step() * if is_second { SECOND_DIVISOR } else { 1 };
        let key = (life.clone(), is_second);
        if self.gates.len() >= MOST_GATES && !self.gates.contains_key(&key) {
            let idle = self.gates.iter().min_by_key(|(_, gate)| gate.next_at);
            if let Some(idle) = idle.map(|(key, _)| key.clone()) {
                self.gates.remove(&idle);
            }
        }
        let gate = self.gates.entry(key).or_insert_with(|| PermitGate::new(step, now));
        gate.set_step(step, now);
        gate
    }
}
