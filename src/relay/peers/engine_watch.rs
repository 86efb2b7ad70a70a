//! Whether the engine beside an agent works, by its reports.
//!
//! The load that it answers: engines that crash while prompts are read jointly. Each
//! entry found each dead engine by requests of its own, several in a row, and used up
//! the second attempts that a crash leaves it. The agent beside the engine knows
//! within a report, and tells all. Where an engine reports and yet breaks off what it
//! is sent, two entries that say so are enough: 30 entries had met five such engines
//! 533 times in seven seconds, and 85 requests of all kinds had failed in the end.

use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Tick;

/// Time between two looks at the engine's report while it works, or is down.
const REPORT_STEP: Duration = Duration::from_millis(400);

/// Time between two looks at an engine that takes few requests: a look is one more.
const SCARCE_STEP: Duration = Duration::from_secs(2);

/// Least time between two looks that entries ask for: some of them suspect an
/// engine at the same moment.
const SUSPECT_STEP: Duration = Duration::from_millis(100);

/// Reports in a row that do not come in time and mean that the engine is down: a
/// host that is slow for a moment may miss one.
const LATE_REPORTS: u32 = 2;

/// Entries that have to suspect an engine before all are told: one may have a broken
/// link of its own.
const SUSPECTING_ENTRIES: usize = 2;

/// Time within which these suspicions have to come, which is also how long entries
/// leave an engine alone when they are told.
const SUSPICION_SPAN: Duration = Duration::from_secs(1);

/// Looks in a row at which nobody listens and after which the engine has ended: one that
/// has too many connections turns some away as well.
const ENDED_LOOKS: u32 = 2;

/// Times that entries are told of a new life of the engine: a datagram may be lost.
const LIFE_NOTES: u32 = 3;

/// Pace of an engine that works as declared, in hundredths.
const DECLARED_PACE: u32 = 100;

/// How a look at the engine's report ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEnd {
    /// It reports this pace, in hundredths.
    Pace(u32),
    /// Nobody listens there.
    Refused,
    /// There was no report in time, or none that can be read.
    Missed,
}

/// What a look at the engine's report brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLook {
    /// How it ended.
    pub end: ReportEnd,
    /// Start of the engine's life in Unix milliseconds, where it says so.
    pub born_ms: Option<u64>,
}

impl EngineLook {
    /// A look that brought no report.
    #[must_use]
    pub fn without_report(end: ReportEnd) -> Self {
        EngineLook { end, born_ms: None }
    }
}

/// The end of a life of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineExit {
    /// Start of the life that follows in Unix milliseconds, where there is one.
    pub next_ms: Option<u64>,
}

/// What an agent knows of its engine.
#[derive(Debug)]
pub struct EngineWatch {
    pace_percent: u32,
    missed: u32,
    refused: u32,
    /// Start of the engine's life, in Unix milliseconds.
    born_ms: Option<u64>,
    life_notes_left: u32,
    is_down: bool,
    /// Whether the engine takes few requests.
    is_scarce: bool,
    looked_at: Option<Tick>,
    is_suspected: bool,
    /// Who suspected the engine lately, and when last.
    suspicions: Vec<(SocketAddr, Tick)>,
    /// When all were told of suspicions.
    told_at: Option<Tick>,
}

impl Default for EngineWatch {
    fn default() -> Self {
        EngineWatch {
            pace_percent: DECLARED_PACE,
            missed: 0,
            refused: 0,
            born_ms: None,
            life_notes_left: 0,
            is_down: false,
            is_scarce: false,
            looked_at: None,
            is_suspected: false,
            suspicions: Vec::new(),
            told_at: None,
        }
    }
}

impl EngineWatch {
    /// How much slower than declared the engine works, in hundredths.
    #[must_use]
    pub fn pace_percent(&self) -> u32 {
        self.pace_percent
    }

    /// Returns true while the engine is down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Notes whether the engine takes few requests.
    pub fn set_scarce(&mut self, is_scarce: bool) {
        self.is_scarce = is_scarce;
    }

    /// Notes that the entry at `from` suspects the engine. Returns true where all
    /// entries are to be told that it is down, since others suspect it as well.
    pub fn note_suspicion(&mut self, from: SocketAddr, now: Tick) -> bool {
        self.is_suspected = true;
        self.suspicions.retain(|(other, at)| *other != from && now.since(*at) <= SUSPICION_SPAN);
        self.suspicions.push((from, now));
        let was_told = self.told_at.is_some_and(|at| now.since(at) < SUSPECT_STEP);
        let is_shared = self.suspicions.len() >= SUSPECTING_ENTRIES && !was_told;
        if is_shared {
            self.told_at = Some(now);
        }
        is_shared
    }

    /// Returns true where the report is to be read now; `is_busy` says that entries
    /// have given work to the engine.
    pub fn is_due(&mut self, is_busy: bool, now: Tick) -> bool {
        let is_asked = is_busy || self.is_down;
        // The second look that shows an end is due soon after the first.
        let is_open = self.is_suspected || (1..ENDED_LOOKS).contains(&self.refused);
        let step = match (is_open, is_asked) {
            (true, _) => SUSPECT_STEP,
            (false, true) if self.is_scarce && !self.is_down => SCARCE_STEP,
            (false, true) => REPORT_STEP,
            (false, false) => return false,
        };
        if self.looked_at.is_some_and(|at| now.since(at) < step) {
            return false;
        }
        self.looked_at = Some(now);
        self.is_suspected = false;
        true
    }

    /// Takes the start of the engine's life that a report told.
    pub fn note_born(&mut self, born_ms: u64) {
        if self.born_ms.replace(born_ms).is_some_and(|known| known != born_ms) {
            self.life_notes_left = LIFE_NOTES;
        }
    }

    /// Whether entries are to be told that the engine has ended, after each look: with the
    /// start of the life that follows, where it is back.
    pub fn take_exit(&mut self) -> Option<EngineExit> {
        if self.refused >= ENDED_LOOKS {
            return Some(EngineExit { next_ms: None });
        }
        self.life_notes_left = self.life_notes_left.checked_sub(1)?;
        Some(EngineExit { next_ms: self.born_ms })
    }

    /// Takes the end of a look. Returns true where entries are to be told that the
    /// engine is down.
    pub fn note_report(&mut self, end: ReportEnd) -> bool {
        match end {
            ReportEnd::Pace(pace) => {
                self.pace_percent = pace;
                self.missed = 0;
                self.refused = 0;
                self.is_down = false;
            }
            ReportEnd::Refused => {
                self.refused += 1;
                self.is_down = true;
            }
            ReportEnd::Missed => {
                self.missed += 1;
                self.is_down |= self.missed >= LATE_REPORTS;
            }
        }
        self.is_down
    }
}
