//! Log lines of the relay: one for each decision, with the values that led to it.
//!
//! Lines go through a bounded queue to a writer thread, so that a slow reader of the log costs
//! lines but never delays requests. The number of lines of each kind per second is limited. The
//! next line of that kind states how many were dropped.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use slog::{Drain, Logger, Never, OwnedKVList, Record, info, o, warn};

use super::core::RelayCore;
use super::core::configuration::DeltaVerdict;
use super::decide::part_message::PartCrashReport;
use super::decide::permit_issuer::PermitReply;
use super::decide::prompt_part::PromptPart;
use super::decide::rate_limit::RateNotice;
use super::decide::request_digest::RequestDigest;
use super::decide::target_notice::TargetNotice;
use super::decide::targets::ListChange;
use super::discovery::config_delta::ConfigDelta;
use super::discovery::freshness::StalePolicy;
use super::discovery::source::{ConfigOrigin, UnreadableEntry};
use super::discovery::store_revision::StoreRevision;
use super::log_line::{
    ConnectionEnd, ConnectionLine, FailedAttemptLine, PlacementLine, RequestEnd, RequestLine,
    RetryOutcome,
};
use crate::memory_budget::BudgetFigures;
use crate::time::Tick;

/// Maximum number of lines that wait for the writer thread.
const MAX_QUEUED_LINES: usize = 1_024;

/// Maximum number of lines of one kind in a second. A line takes about 20 us on a small host.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Maximum length of a text in a line that a caller or a target chooses, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// A logger that writes to standard output and counts the lines it could not write.
#[derive(Clone, Debug)]
pub struct StdoutLog {
    /// The logger.
    pub logger: Logger,
    /// Number of lines that could not be written to standard output.
    pub lost_lines: Arc<AtomicU64>,
}

impl StdoutLog {
    /// Creates the logger of a process. Lines that standard output does not accept, for example
    /// because its reader has exited, are counted and dropped.
    #[must_use]
    pub fn new(process: &str) -> Self {
        let lost_lines = Arc::<AtomicU64>::default();
        let inner = slog_json::Json::default(io::stdout());
        let drain = LossyDrain { inner, lost_lines: lost_lines.clone() };
        let drain = slog_async::Async::new(drain)
            .chan_size(MAX_QUEUED_LINES)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .build();
        let logger = Logger::root(drain.ignore_res(), o!("process" => process.to_owned()));
        StdoutLog { logger, lost_lines }
    }
}

/// Counts the lines that the inner drain cannot write. An output without a reader must not end
/// the writer thread, and there is no place to log the failure.
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

#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    written: u32,
    left_out: u64,
}

/// Writes the log lines of the relay.
#[derive(Debug)]
pub struct DecisionLog {
    logger: Logger,
    lost_lines: Arc<AtomicU64>,
    budgets: RefCell<HashMap<&'static str, LineBudget>>,
}

impl DecisionLog {
    /// Creates a log that writes to `log`.
    #[must_use]
    pub fn new(log: StdoutLog) -> Self {
        let StdoutLog { logger, lost_lines } = log;
        DecisionLog { logger, lost_lines, budgets: RefCell::default() }
    }

    /// Returns the number of lines that could not be written to standard output.
    #[must_use]
    pub fn lost_lines(&self) -> u64 {
        self.lost_lines.load(Ordering::Relaxed)
    }

    /// Returns the logger itself, for lines without a limit on their number.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Takes a line from the budget of its kind. Returns the number of lines that were dropped
    /// before it, `None` if this line has to be dropped too.
    fn take_from_budget(&self, kind: &'static str, now: Tick) -> Option<u64> {
        const MICROS: u64 = 1_000_000;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(kind).or_default();
        if budget.second != now.0 / MICROS {
            budget.second = now.0 / MICROS;
            budget.written = 0;
        }
        if budget.written >= MAX_LINES_PER_SECOND {
            budget.left_out += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.left_out))
    }

    /// Logs the outcome of a request.
    pub fn request_ended(&self, line: &RequestLine<'_>, now: Tick) {
        let kind = match line.outcome {
            RequestEnd::Answered => "answered",
            RequestEnd::Refused => "refused",
            RequestEnd::Failed | RequestEnd::Broken => "failed",
            RequestEnd::CallerLeft => "caller_left",
        };
        let Some(left_out) = self.take_from_budget(kind, now) else { return };
        info!(self.logger, "request";
            "id" => cut(line.id), "end" => %line.outcome, "status" => line.status, "why" => cut(line.reason),
            "targets" => line.targets, "sends" => line.sends, "ran_on" => line.run_targets,
            "digest" => line.digest.map(|digest| digest.to_string()), "rank" => line.more_urgent,
            "not_sent_again" => line.retry_stop.map(|stop| stop.to_string()), "took_ms" => line.elapsed.as_millis() as u64,
            "first_ms" => line.pace.time_to_first.map(|duration| duration.as_millis() as u64),
            "longest_pause_ms" => line.pace.longest_pause.as_millis() as u64,
            "config_version" => line.version,
            "proof_age_ms" => line.proof_age.map(|age| age.as_millis() as u64),
            "left_out" => left_out);
    }

    /// Logs the end of a caller's connection.
    pub fn connection_ended(&self, line: &ConnectionLine<'_>, now: Tick) {
        let kind = match line.end {
            ConnectionEnd::IdleLimit => "connection_idle",
            ConnectionEnd::CallerLeft => "connection_left",
            ConnectionEnd::UnreadLate => "connection_unread",
            _ => "connection",
        };
        let Some(left_out) = self.take_from_budget(kind, now) else { return };
        warn!(self.logger, "connection ended";
            "why" => %line.end, "state" => %line.state, "error" => cut(line.error),
            "age_ms" => line.age.as_millis() as u64, "state_ms" => line.state_age.as_millis() as u64,
            "requests" => line.requests, "config_version" => line.version,
            "config_age_ms" => line.config_age.as_millis() as u64,
            "loop_delay_ms" => line.loop_delay.as_millis() as u64, "left_out" => left_out);
    }

    /// Logs that new connections are closed unread.
    pub fn gate_closing(&self, quota: usize, open: usize, loop_delay: Duration) {
        warn!(self.logger, "new connections are closed unread";
            "quota" => quota, "open" => open, "loop_delay_ms" => loop_delay.as_millis() as u64);
    }

    /// Logs that all new connections are taken again, after `closed` were closed.
    pub fn gate_opened(&self, closed: u64, quota: usize, loop_delay: Duration) {
        info!(self.logger, "new connections are taken again";
            "closed" => closed, "quota" => quota, "loop_delay_ms" => loop_delay.as_millis() as u64);
    }

    /// Logs that callers make this process hold too much, with `open` connections.
    pub(crate) fn crowded(&self, figures: &BudgetFigures, open: usize, now: Tick) {
        let Some(left_out) = self.take_from_budget("crowded", now) else { return };
        warn!(self.logger, "callers hold too much";
            "held_bytes" => figures.held, "limit_bytes" => figures.limit, "open" => open,
            "refused" => figures.refused, "closed" => figures.closed, "left_out" => left_out);
    }

    /// Logs that the event loop was late, with `open` connections of callers.
    pub fn loop_late(&self, delay: Duration, open: usize, now: Tick) {
        let Some(left_out) = self.take_from_budget("loop_late", now) else { return };
        warn!(self.logger, "event loop was late";
            "loop_delay_ms" => delay.as_millis() as u64, "open" => open, "left_out" => left_out);
    }

    /// Logs a placement.
    pub fn placed(&self, line: &PlacementLine<'_>, now: Tick) {
        let Some(left_out) = self.take_from_budget("placed", now) else { return };
        info!(self.logger, "placed";
            "id" => cut(line.id), "target" => line.target, "helpers" => line.helpers.len(), "helped_by" => line.helpers.join(","),
            "prompt_tokens" => line.prompt_tokens, "first_ms" => line.predicted_first.as_millis() as u64,
            "cost" => line.cost, "harm" => line.delay_cost, "own" => line.own_loss, "claim" => line.opportunity_cost,
            "candidates" => line.candidates,
            "left_out" => left_out);
    }

    /// Logs a failed attempt.
    pub fn attempt_failed(&self, line: &FailedAttemptLine<'_>, now: Tick) {
        let Some(left_out) = self.take_from_budget("attempt_failed", now) else { return };
        warn!(self.logger, "attempt failed";
            "id" => cut(line.id), "digest" => %line.digest, "parts" => cut(&join_parts(line.parts)),
            "streamed_ms" => line.streamed_for.as_millis() as u64, "target" => line.target,
            "why" => cut(line.reason), "verdict" => %line.verdict, "left_out" => left_out);
    }

    /// Logs an agent's answer to a request for a retry, `None` if no answer came. `agent_host` is a
    /// target on its host.
    pub fn retry_answered(
        &self,
        service: &str,
        agent_host: SocketAddr,
        reply: Option<PermitReply>,
        now: Tick,
    ) {
        let Some(left_out) = self.take_from_budget("retry", now) else { return };
        let answer = match reply {
            Some(PermitReply::Granted { .. } | PermitReply::Open) => RetryOutcome::Granted,
            Some(PermitReply::Refused { .. }) => RetryOutcome::Refused,
            None => RetryOutcome::Unanswered,
        };
        info!(self.logger, "retry";
            "service" => service, "agent" => %agent_host.ip(), "answer" => %answer,
            "left_out" => left_out);
    }

    /// Logs what an answer states about its target.
    pub fn notice_received(&self, target: &str, notice: &TargetNotice, now: Tick) {
        let Some(left_out) = self.take_from_budget("noted", now) else { return };
        info!(self.logger, "target notice";
            "target" => target, "is_leaving" => notice.is_leaving,
            "backoff_ms" => notice.backoff.map(|duration| duration.as_millis() as u64),
            "rate" => match notice.rate {
                RateNotice::Absent => None,
                RateNotice::Unreadable => Some("unreadable".to_owned()),
                RateNotice::Limit(rate) => Some(rate.per_second().to_string()),
            },
            "left_out" => left_out);
    }

    /// Logs the ejection of a target.
    pub fn ejected(&self, target: &str, duration: Duration) {
        warn!(self.logger, "target ejected";
            "target" => target, "for_ms" => duration.as_millis() as u64);
    }

    /// Logs that another configuration is in force. Entries with the same digest have the same
    /// configuration.
    pub fn config_changed(&self, core: &RelayCore, origin: ConfigOrigin) {
        info!(self.logger, "configuration in force";
            "config_version" => core.rules().version(),
            "revision" => %core.config_revision(),
            "digest" => format!("{:016x}", core.config_digest()),
            "from" => %origin);
    }

    /// Logs that a change of the configuration from another entry does not apply to the `known`
    /// revision, so that the store is read for it.
    pub fn config_change_missed(
        &self,
        delta: &ConfigDelta,
        known: StoreRevision,
        verdict: DeltaVerdict,
    ) {
        info!(self.logger, "configuration change missed";
            "since" => %delta.since, "revision" => %delta.revision, "known" => %known,
            "why" => %verdict);
    }

    /// Logs that the configuration is proven current again, or no longer is.
    pub fn proof_changed(&self, is_held: bool, age: Option<Duration>, policy: StalePolicy) {
        let age_ms = age.map(|age| age.as_millis() as u64);
        if is_held {
            info!(self.logger, "configuration proven"; "proof_age_ms" => age_ms);
        } else {
            warn!(self.logger, "configuration not proven";
                "proof_age_ms" => age_ms, "policy" => ?policy);
        }
    }

    /// Logs a change of the target list.
    pub fn targets_changed(&self, change: &ListChange) {
        if change.is_empty() {
            return;
        }
        info!(self.logger, "targets changed";
            "added" => change.added.join(","), "leaving" => change.leaving.join(","),
            "restarted" => change.restarted.join(","), "removed" => change.removed.join(","));
    }

    /// Logs a change of the failure domains that are out of service.
    pub fn evacuations_changed<'a>(
        &self,
        before: &[Arc<str>],
        domains: impl Iterator<Item = &'a Arc<str>>,
    ) {
        let domains: Vec<_> = domains.cloned().collect();
        if before != domains {
            warn!(self.logger, "failure domains out of service";
                "before" => before.join(","), "now" => domains.join(","));
        }
    }

    /// Logs entries of the target list that cannot be read.
    pub fn entries_unreadable(&self, entries: &[UnreadableEntry], now: Tick) {
        for entry in entries {
            let Some(left_out) = self.take_from_budget("unreadable", now) else { continue };
            warn!(self.logger, "entry lists no target";
                "name" => entry.name.as_deref(), "why" => &entry.reason, "left_out" => left_out);
        }
    }

    /// Logs quarantine records, stored beside the configuration, that cannot be read.
    pub fn quarantine_unreadable(&self, reasons: &[String], now: Tick) {
        for reason in reasons {
            let Some(left_out) = self.take_from_budget("note_unreadable", now) else { continue };
            warn!(self.logger, "note beside the configuration not read";
                "why" => reason, "left_out" => left_out);
        }
    }

    /// Logs that targets crashed under a request.
    pub fn suspected(&self, digest: RequestDigest, crashes: usize) {
        warn!(self.logger, "targets ended under a request";
            "digest" => %digest, "ends" => crashes);
    }

    /// Logs that a request is quarantined from now on.
    pub fn quarantined(&self, digest: RequestDigest, duration: Duration) {
        warn!(self.logger, "request held back";
            "digest" => %digest, "for_s" => duration.as_secs());
    }

    /// Logs that an engine crashed under an attempt with shared parts.
    pub fn part_crashed(&self, report: &PartCrashReport, now: Tick) {
        let Some(left_out) = self.take_from_budget("part_crashed", now) else { return };
        warn!(self.logger, "engine crashed under parts";
            "target" => &*report.instance.incarnation, "digest" => %report.digest,
            "parts" => cut(&join_parts(&report.parts)), "sent_ago_ms" => report.sent_ago_ms,
            "left_out" => left_out);
    }

    /// Logs that a part is no longer suspected.
    pub fn part_cleared(&self, part: &PromptPart) {
        info!(self.logger, "part of prompts cleared"; "part" => part.as_str());
    }

    /// Logs that prompts with all of these parts are quarantined from now on.
    pub fn parts_quarantined(&self, parts: &[PromptPart], duration: Duration) {
        warn!(self.logger, "part of prompts quarantined";
            "parts" => join_parts(parts), "for_s" => duration.as_secs());
    }

    /// Logs that the host resumed after a suspension.
    pub fn resumed(&self, duration: Duration) {
        warn!(self.logger, "host was suspended"; "for_ms" => duration.as_millis() as u64);
    }

    /// Logs that this process is in contact with its peers again.
    pub fn contact_regained(&self, silence: Duration) {
        warn!(self.logger, "peers heard again"; "silent_ms" => silence.as_millis() as u64);
    }

    /// Logs that the store was restored from a backup.
    pub fn epoch_changed(&self, before: u64, epoch: u64) {
        warn!(self.logger, "store restored from a backup"; "epoch_before" => before, "epoch" => epoch);
    }

    /// Logs that the store holds an earlier configuration than the one in force, or no longer does.
    pub fn store_behind(&self, is_behind: bool, version: u64) {
        warn!(self.logger, "store holds an earlier configuration";
            "is_behind" => is_behind, "config_version" => version);
    }

    /// Logs that this entry starts or stops watching the target list for other entries.
    pub fn watching_changed(&self, is_watching: bool) {
        info!(self.logger, "list watch"; "is_watching" => is_watching);
    }

    /// Logs that a dependency was lost or is available again.
    pub fn dependency_changed(&self, name: &str, is_available: bool, reason: &str) {
        if is_available {
            info!(self.logger, "dependency regained"; "name" => name);
        } else {
            warn!(self.logger, "dependency lost"; "name" => name, "why" => reason);
        }
    }
}

/// Returns the start of a text that a caller or a target may have made long.
fn cut(text: &str) -> &str {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// Joins the names of parts, separated by commas.
fn join_parts(parts: &[PromptPart]) -> String {
    parts.iter().map(PromptPart::as_str).collect::<Vec<_>>().join(",")
}
