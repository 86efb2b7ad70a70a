//! Health of the engine beside an agent, from its reports.
//!
//! Engines may crash during sharded prefills. If each entry finds each dead engine by several
//! failed requests in a row, it uses up the retries that are left to it for a crash. The agent
//! beside the engine notices within one report interval, and informs all entries. If an engine
//! reports and yet breaks off its requests, the suspicions of two entries suffice: without this
//! rule 30 entries met five such engines 533 times in seven seconds, and 85 requests of all kinds
//! failed in the end.

use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Tick;

/// Interval of polls of the engine's report while it is busy or down.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval of polls of a rate-limited engine: each poll counts against its rate.
const RATE_LIMITED_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum delay between two polls that entries ask for: several may suspect an engine at the same
/// moment.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of missed reports in a row after which the engine counts as down: a host that is slow for
/// a moment may miss one.
const MIN_MISSED_REPORTS: u32 = 2;

/// Number of entries that have to suspect an engine before all are informed: a single one may have
/// a broken link.
const SUSPECTING_ENTRIES: usize = 2;

/// Time within which these suspicions have to arrive, which is also how long entries eject an
/// engine after a report that it is down.
const SUSPICION_WINDOW: Duration = Duration::from_secs(1);

/// Number of polls in a row with a refused connection after which the engine counts as exited: an
/// engine with too many connections refuses some as well.
const MIN_REFUSED_POLLS: u32 = 2;

/// How often entries are informed of a new instance of the engine: a datagram may be lost.
const INSTANCE_MESSAGES: u32 = 3;

/// Pace of an engine that works as declared, in hundredths.
const DECLARED_PACE: u32 = 100;

/// The result of polling the engine's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// The engine reports this pace, in hundredths.
    Pace(u32),
    /// The connection was refused.
    Refused,
    /// The connection broke, as it does when the engine exits.
    Broken,
    /// There was no report in time, or it cannot be read.
    Missed,
}

/// A poll of the engine's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnginePoll {
    /// Its result.
    pub result: PollResult,
    /// Start time of the engine's instance in Unix milliseconds, if reported.
    pub started_ms: Option<u64>,
}

impl EnginePoll {
    /// Creates a poll that brought no report.
    #[must_use]
    pub fn without_report(result: PollResult) -> Self {
        EnginePoll { result, started_ms: None }
    }
}

/// An exit of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineExit {
    /// Start time of the next instance in Unix milliseconds, if there is one.
    pub next_ms: Option<u64>,
}

/// Health of an engine, as its agent knows it.
#[derive(Debug)]
pub struct EngineHealth {
    pace_percent: u32,
    missed: u32,
    refused: u32,
    /// Start time of the engine's instance, in Unix milliseconds.
    started_ms: Option<u64>,
    instance_messages_left: u32,
    is_down: bool,
    /// Whether the engine is rate-limited.
    is_rate_limited: bool,
    polled_at: Option<Tick>,
    is_suspected: bool,
    /// Number of polls in a row whose connections broke.
    broken: u32,
    /// Entries that recently suspected the engine, with the time of their last suspicion.
    suspicions: Vec<(SocketAddr, Tick)>,
    /// When all entries were last informed of suspicions.
    informed_at: Option<Tick>,
}

impl Default for EngineHealth {
    fn default() -> Self {
        EngineHealth {
            pace_percent: DECLARED_PACE,
            missed: 0,
            refused: 0,
            started_ms: None,
            instance_messages_left: 0,
            is_down: false,
            is_rate_limited: false,
            polled_at: None,
            is_suspected: false,
            broken: 0,
            suspicions: Vec::new(),
            informed_at: None,
        }
    }
}

impl EngineHealth {
    /// Returns how much slower than declared the engine works, in hundredths.
    #[must_use]
    pub fn pace_percent(&self) -> u32 {
        self.pace_percent
    }

    /// Returns `true` while the engine is down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Sets whether the engine is rate-limited.
    pub fn set_rate_limited(&mut self, is_rate_limited: bool) {
        self.is_rate_limited = is_rate_limited;
    }

    /// Records that the entry at `from` suspects the engine. Returns `true` if all entries are to
    /// be informed that it is down, since others suspect it as well.
    pub fn record_suspicion(&mut self, from: SocketAddr, now: Tick) -> bool {
        self.is_suspected = true;
        self.suspicions.retain(|(other, at)| *other != from && now.since(*at) <= SUSPICION_WINDOW);
        self.suspicions.push((from, now));
        let was_informed = self.informed_at.is_some_and(|at| now.since(at) < SUSPECT_POLL_INTERVAL);
        let is_shared = self.suspicions.len() >= SUSPECTING_ENTRIES && !was_informed;
        if is_shared {
            self.informed_at = Some(now);
        }
        is_shared
    }

    /// Returns `true` if the report is to be polled now; `is_busy` states that entries have placed
    /// work on the engine.
    pub fn is_due(&mut self, is_busy: bool, now: Tick) -> bool {
        let is_poll_needed = is_busy || self.is_down;
        // The second poll, which confirms an exit, is due soon after the first.
        let is_exit_likely = self.broken == 1 || (1..MIN_REFUSED_POLLS).contains(&self.refused);
        let is_urgent = self.is_suspected || is_exit_likely;
        let interval = match (is_urgent, is_poll_needed) {
            (true, _) => SUSPECT_POLL_INTERVAL,
            (false, true) if self.is_rate_limited && !self.is_down => RATE_LIMITED_POLL_INTERVAL,
            (false, true) => POLL_INTERVAL,
            (false, false) => return false,
        };
        if self.polled_at.is_some_and(|at| now.since(at) < interval) {
            return false;
        }
        self.polled_at = Some(now);
        self.is_suspected = false;
        true
    }

    /// Records the start time of the engine's instance from a report.
    pub fn record_started(&mut self, started_ms: u64) {
        if self.started_ms.replace(started_ms).is_some_and(|known| known != started_ms) {
            self.instance_messages_left = INSTANCE_MESSAGES;
        }
    }

    /// Returns the exit to send to entries after each poll, if any, with the start time of the next
    /// instance if the engine is back.
    pub fn take_exit(&mut self) -> Option<EngineExit> {
        if self.refused >= MIN_REFUSED_POLLS {
            return Some(EngineExit { next_ms: None });
        }
        self.instance_messages_left = self.instance_messages_left.checked_sub(1)?;
        Some(EngineExit { next_ms: self.started_ms })
    }

    /// Records the result of a poll. Returns `true` if entries are to be informed that the engine
    /// is down.
    pub fn record_report(&mut self, result: PollResult) -> bool {
        self.broken = if result == PollResult::Broken { self.broken + 1 } else { 0 };
        match result {
            PollResult::Pace(pace) => {
                self.pace_percent = pace;
                self.missed = 0;
                self.refused = 0;
                self.is_down = false;
            }
            PollResult::Refused => {
                self.refused += 1;
                self.is_down = true;
            }
            PollResult::Missed | PollResult::Broken => {
                self.missed += 1;
                self.is_down |= self.missed >= MIN_MISSED_REPORTS;
            }
        }
        self.is_down
    }
}
