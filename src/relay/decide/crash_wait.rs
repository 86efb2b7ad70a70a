//! Holds a request whose connections break until it is known whether its engines crashed.
//!
//! A crash is known some hundred milliseconds after the connections broke. A request that crashes
//! engines and is sent again faster than that reaches all engines that it may be sent to, and shows
//! nothing about its parts: several crashes under one request may be due to anything in it.

use std::time::Duration;

use super::quarantine::JOIN_WINDOW;
use super::targets::TargetInstance;
use crate::time::Tick;

/// Number of engines from which a request waits, so that callers rarely wait if an engine fails for
/// another reason.
const MIN_ENGINES: usize = 2;

/// Time after a connection broke within which the agent beside the engine reports a crash: two
/// polls, and the messages before and after them.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// Time after a connection broke from which an answer shows that the engine still runs. Earlier
/// ones may have been sent before a crash.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

/// Divisor of the time that a request has left when its connection breaks; it waits at most for
/// that part.
const WAIT_DIVISOR: u32 = 2;

/// What is known of an engine at which the connection of an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSigns {
    /// When its crash was confirmed.
    pub crashed_at: Option<Tick>,
    /// When it last sent anything.
    pub received_at: Tick,
}

#[derive(Clone, Debug)]
struct BrokenAttempt {
    instance: TargetInstance,
    at: Tick,
}

impl BrokenAttempt {
    /// Returns when it is known whether the engine crashed, and the crash has been evaluated.
    fn known_at(&self, signs: EngineSigns) -> Tick {
        match signs.crashed_at {
            Some(crashed_at) => crashed_at + JOIN_WINDOW,
            None if signs.received_at >= self.at + ANSWER_DELAY => self.at,
            None => self.at + REPORT_TIME + JOIN_WINDOW,
        }
    }
}

/// Attempts of one request whose connections broke without an event.
#[derive(Clone, Debug, Default)]
pub struct CrashWait {
    broken: Vec<BrokenAttempt>,
}

impl CrashWait {
    /// Records that the connection of an attempt broke before it had received an event.
    pub fn record_broken(&mut self, instance: &TargetInstance, now: Tick) {
        if self.broken.iter().all(|known| known.instance != *instance) {
            self.broken.push(BrokenAttempt { instance: instance.clone(), at: now });
        }
    }

    /// Returns the time before which the request is not sent again; `None` if it need not wait.
    pub fn wait_until(
        &self,
        deadline: Tick,
        signs_of: impl Fn(&TargetInstance) -> EngineSigns,
    ) -> Option<Tick> {
        if self.broken.len() < MIN_ENGINES {
            return None;
        }
        let known_at = self.broken.iter().map(|broken| broken.known_at(signs_of(&broken.instance)));
        let broke_at = self.broken.last()?.at;
        let latest = broke_at + deadline.since(broke_at) / WAIT_DIVISOR;
        known_at.max().map(|at| at.min(latest))
    }
}
