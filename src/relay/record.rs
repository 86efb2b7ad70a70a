//! Log lines of the relay: one for each decision, with what decided it.
//!
//! Lines go to a bounded queue and are written by another thread, so that a
//! slow reader costs lines and never requests. Lines of requests that went
//! well are rationed; the count of those left out is on the next one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use slog::{Drain, Logger, Never, OwnedKVList, Record, info, o, warn};

use super::decide::rate_limit::RateWord;
use super::decide::request_digest::RequestDigest;
use super::decide::target_notice::TargetNotice;
use super::decide::targets::ListChange;
use super::discovery::feed::UnreadableEntry;
use super::discovery::freshness::StalePolicy;
use crate::time::Tick;
use crate::verdict::Verdict;

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 1_024;

/// Lines of a kind in each second: a line costs some 20 us of a small host.
const LINES_PER_SECOND: u32 = 20;

/// A logger, and how many of its lines could not be written.
#[derive(Clone, Debug)]
pub struct StdoutLog {
    /// The logger.
    pub logger: Logger,
    /// Lines that standard output did not take.
    pub lost_lines: Arc<AtomicU64>,
}

impl StdoutLog {
    /// Makes the logger of a process. Lines go to standard output. Where nobody
    /// reads that any more, they are counted and left out.
    #[must_use]
    pub fn new(process: &str) -> Self {
        let lost_lines = Arc::<AtomicU64>::default();
        let inner = slog_json::Json::default(io::stdout());
        let drain = LossyDrain { inner, lost_lines: lost_lines.clone() };
        let drain = slog_async::Async::new(drain)
            .chan_size(QUEUE_LINES)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .build();
        let logger = Logger::root(drain.ignore_res(), o!("process" => process.to_owned()));
        StdoutLog { logger, lost_lines }
    }
}

/// Counts the lines that the drain within it can not write: an output without a
/// reader must not end the thread that writes, and a line on it has nowhere to go.
struct LossyDrain<D> {
    inner: D,
    lost_lines: Arc<AtomicU64>,
}

impl<D: Drain> Drain for LossyDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.inner.log(record, values).is_err() {
            self.lost_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RequestEnd {
    /// The caller has the whole answer.
    #[display("answered")]
    Answered,
    /// Refused before it was sent to any target.
    #[display("refused")]
    Refused,
    /// Failed after it was sent.
    #[display("failed")]
    Failed,
    /// The answer broke off.
    #[display("broken")]
    Broken,
    /// The caller left.
    #[display("caller_left")]
    CallerLeft,
}

/// Why a request was not sent again after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum SeriesEnd {
    /// It may have run, and may run once only.
    #[display("may run once only")]
    RunsOnce,
    /// Its time was up.
    #[display("time is up")]
    TimeUp,
    /// It had been sent as often as its route allows.
    #[display("sent as often as allowed")]
    MostSends,
    /// No second attempt was left in the budget.
    #[display("retry budget spent")]
    NoBudget,
    /// No target could take it.
    #[display("no target")]
    NoTarget,
    /// It is held back.
    #[display("held back")]
    HeldBack,
}

/// How fast the events of a stream came.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    /// Time from its arrival to the first event.
    pub first: Option<Duration>,
    /// Longest pause between two events.
    pub longest_pause: Duration,
    last: Option<Tick>,
}

impl StreamPace {
    /// Notes events that were passed on.
    pub fn note(&mut self, arrived: Tick, now: Tick) {
        self.first.get_or_insert(now.since(arrived));
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        self.last = Some(now);
    }
}

/// One line of a request.
#[derive(Debug)]
pub struct RequestLine<'a> {
    /// The caller's name of this sending.
    pub id: &'a str,
    /// How it ended.
    pub end: RequestEnd,
    /// Status of the answer.
    pub status: u16,
    /// Why, in a few words.
    pub why: &'a str,
    /// Targets it was sent to, each once.
    pub targets: &'a str,
    /// How often it was sent, or tried to be.
    pub sends: usize,
    /// Which request it is, where a send of it failed.
    pub digest: Option<RequestDigest>,
    /// Why it was not sent again after a failure.
    pub series_end: Option<SeriesEnd>,
    /// Time from its arrival.
    pub took: Duration,
    /// Time to the first event of a stream, and its longest pause.
    pub pace: StreamPace,
    /// Version of the configuration.
    pub version: u64,
    /// Age of the proof that it is current.
    pub proof_age: Option<Duration>,
}

/// One line of an attempt that failed.
#[derive(Debug)]
pub struct FailedLine<'a> {
    /// The caller's name of this sending.
    pub id: &'a str,
    /// Which request it is.
    pub digest: RequestDigest,
    /// The target.
    pub target: &'a str,
    /// Why, in a few words.
    pub why: &'a str,
    /// Whether it may have run.
    pub verdict: Verdict,
}

/// One line of an attempt.
#[derive(Debug)]
pub struct PlacedLine<'a> {
    /// The caller's name of this sending.
    pub id: &'a str,
    /// The target that answers.
    pub target: &'a str,
    /// The targets that help.
    pub helpers: &'a [Arc<str>],
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Foretold time to the first event.
    pub first: Duration,
    /// Foretold cost, in short requests.
    pub cost: f32,
    /// What others lose by it.
    pub harm: f32,
    /// What the request itself loses by coming late.
    pub own: f32,
    /// What requests to come lose by the places and the time of engines that it takes.
    pub claim: f32,
    /// Targets that were weighed.
    pub candidates: usize,
}

#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    written: u32,
    left_out: u64,
}

/// Writes the relay's lines.
#[derive(Debug)]
pub struct DecisionLog {
    logger: Logger,
    lost_lines: Arc<AtomicU64>,
    budgets: RefCell<HashMap<&'static str, LineBudget>>,
}

impl DecisionLog {
    /// A log over a logger.
    #[must_use]
    pub fn new(log: StdoutLog) -> Self {
        let StdoutLog { logger, lost_lines } = log;
        DecisionLog { logger, lost_lines, budgets: RefCell::default() }
    }

    /// Lines that standard output did not take.
    #[must_use]
    pub fn lost_lines(&self) -> u64 {
        self.lost_lines.load(Ordering::Relaxed)
    }

    /// The logger itself, for lines that are not rationed.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Takes a line from a kind's ration. Returns how many were left out
    /// before it, none where this one is left out too.
    fn take_line(&self, kind: &'static str, now: Tick) -> Option<u64> {
        const MICROS: u64 = 1_000_000;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(kind).or_default();
        if budget.second != now.0 / MICROS {
            budget.second = now.0 / MICROS;
            budget.written = 0;
        }
        if budget.written >= LINES_PER_SECOND {
            budget.left_out += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.left_out))
    }

    /// A request ended.
    pub fn request_ended(&self, line: &RequestLine<'_>, now: Tick) {
        let kind = match line.end {
            RequestEnd::Answered => "answered",
            RequestEnd::Refused => "refused",
            RequestEnd::Failed | RequestEnd::Broken => "failed",
            RequestEnd::CallerLeft => "caller_left",
        };
        let Some(left_out) = self.take_line(kind, now) else { return };
        info!(self.logger, "request";
            "id" => line.id, "end" => %line.end, "status" => line.status, "why" => line.why,
            "targets" => line.targets, "sends" => line.sends,
            "digest" => line.digest.map(|digest| digest.to_string()),
            "not_sent_again" => line.series_end.map(|end| end.to_string()), "took_ms" => line.took.as_millis() as u64,
            "first_ms" => line.pace.first.map(|span| span.as_millis() as u64),
            "longest_pause_ms" => line.pace.longest_pause.as_millis() as u64,
            "config_version" => line.version,
            "proof_age_ms" => line.proof_age.map(|age| age.as_millis() as u64),
            "left_out" => left_out);
    }

    /// A request was given to targets.
    pub fn placed(&self, line: &PlacedLine<'_>, now: Tick) {
        let Some(left_out) = self.take_line("placed", now) else { return };
        info!(self.logger, "placed";
            "id" => line.id, "target" => line.target, "helpers" => line.helpers.len(), "helped_by" => line.helpers.join(","),
            "prompt_tokens" => line.prompt, "first_ms" => line.first.as_millis() as u64,
            "cost" => line.cost, "harm" => line.harm, "own" => line.own, "claim" => line.claim,
            "candidates" => line.candidates,
            "left_out" => left_out);
    }

    /// An attempt failed.
    pub fn attempt_failed(&self, line: &FailedLine<'_>, now: Tick) {
        let Some(left_out) = self.take_line("attempt_failed", now) else { return };
        warn!(self.logger, "attempt failed";
            "id" => line.id, "digest" => %line.digest, "target" => line.target,
            "why" => line.why, "verdict" => %line.verdict, "left_out" => left_out);
    }

    /// An answer said something of its target.
    pub fn target_noted(&self, target: &str, notice: &TargetNotice, now: Tick) {
        let Some(left_out) = self.take_line("noted", now) else { return };
        info!(self.logger, "target says";
            "target" => target, "is_leaving" => notice.is_leaving,
            "backoff_ms" => notice.backoff.map(|span| span.as_millis() as u64),
            "rate" => match notice.rate {
                RateWord::Silent => None,
                RateWord::Unreadable => Some("unreadable".to_owned()),
                RateWord::Named(rate) => Some(rate.per_second().to_string()),
            },
            "left_out" => left_out);
    }

    /// A target is left alone for a while.
    pub fn ejected(&self, target: &str, span: Duration) {
        warn!(self.logger, "target ejected";
            "target" => target, "for_ms" => span.as_millis() as u64);
    }

    /// Another configuration is in force.
    pub fn config_changed(&self, version: u64) {
        info!(self.logger, "configuration in force"; "config_version" => version);
    }

    /// The proof that the configuration is current lapsed or is back.
    pub fn proof_changed(&self, is_held: bool, age: Option<Duration>, policy: StalePolicy) {
        let age_ms = age.map(|age| age.as_millis() as u64);
        if is_held {
            info!(self.logger, "configuration proven"; "proof_age_ms" => age_ms);
        } else {
            warn!(self.logger, "configuration not proven";
                "proof_age_ms" => age_ms, "policy" => ?policy);
        }
    }

    /// The list of targets changed.
    pub fn targets_changed(&self, change: &ListChange) {
        if change.is_empty() {
            return;
        }
        info!(self.logger, "targets changed";
            "added" => change.added.join(","), "leaving" => change.leaving.join(","),
            "restarted" => change.restarted.join(","), "removed" => change.removed.join(","));
    }

    /// Failure domains are taken out of service, or are back.
    pub fn evacuations_changed<'a>(
        &self,
        known: &[Arc<str>],
        domains: impl Iterator<Item = &'a Arc<str>>,
    ) {
        let domains: Vec<_> = domains.cloned().collect();
        if known != domains {
            warn!(self.logger, "failure domains out of service";
                "before" => known.join(","), "now" => domains.join(","));
        }
    }

    /// Entries of the list of targets can not be read.
    pub fn entries_unreadable(&self, entries: &[UnreadableEntry], now: Tick) {
        for entry in entries {
            let Some(left_out) = self.take_line("unreadable", now) else { continue };
            warn!(self.logger, "entry lists no target";
                "name" => entry.name.as_deref(), "why" => &entry.why, "left_out" => left_out);
        }
    }

    /// Notes beside the configuration can not be read.
    pub fn notes_unreadable(&self, reasons: &[String], now: Tick) {
        for why in reasons {
            let Some(left_out) = self.take_line("note_unreadable", now) else { continue };
            warn!(self.logger, "note beside the configuration not read";
                "why" => why, "left_out" => left_out);
        }
    }

    /// Targets ended under a request.
    pub fn suspected(&self, digest: RequestDigest, ends: usize) {
        warn!(self.logger, "targets ended under a request";
            "digest" => %digest, "ends" => ends);
    }

    /// A request is held back from now on.
    pub fn held_back(&self, digest: RequestDigest, span: Duration) {
        warn!(self.logger, "request held back";
            "digest" => %digest, "for_s" => span.as_secs());
    }

    /// The host was suspended, and goes on.
    pub fn resumed(&self, span: Duration) {
        warn!(self.logger, "host was suspended"; "for_ms" => span.as_millis() as u64);
    }

    /// The store has come back from a copy.
    pub fn epoch_changed(&self, known: u64, epoch: u64) {
        warn!(self.logger, "store back from a copy"; "epoch_before" => known, "epoch" => epoch);
    }

    /// The store holds an earlier configuration than the one in force, or no longer does.
    pub fn store_behind(&self, is_behind: bool, version: u64) {
        warn!(self.logger, "store holds an earlier configuration";
            "is_behind" => is_behind, "config_version" => version);
    }

    /// This entry begins or ends to watch the list of targets for others.
    pub fn watching_changed(&self, is_watching: bool) {
        info!(self.logger, "list watch"; "is_watching" => is_watching);
    }

    /// A dependency was lost or is back.
    pub fn dependency(&self, name: &str, is_there: bool, why: &str) {
        if is_there {
            info!(self.logger, "dependency regained"; "name" => name);
        } else {
            warn!(self.logger, "dependency lost"; "name" => name, "why" => why);
        }
    }
}
