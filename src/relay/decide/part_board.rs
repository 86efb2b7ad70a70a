//! What an agent keeps of the entries' reports on parts of prompts, and which of them it relays.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::part_evidence::{PartSet, ServedCounts};
use super::part_message::{
    AGENT_REPORTER, PartCrashReport, PartMessage, PartNotice, PartServedReport,
};
use super::prompt_part::PromptPart;
use crate::time::Tick;

/// Maximum number of crash reports to keep for entries that start; the newest are kept.
const MAX_REPORTS: usize = 64;

/// Time for which reports are kept.
const REPORT_TTL: Duration = Duration::from_secs(600);

/// Maximum number of crash reports relayed in a second, and of served requests. It suffices for 16
/// requests at each of twelve engines that crash at the same moment; entries decide by a few.
const MAX_RELAYED_PER_SECOND: u32 = 200;

/// Maximum number of suspected parts, and of quarantines.
const MAX_PARTS: usize = 1_024;

/// Maximum number of entries whose served requests are added up for a part.
const MAX_REPORTERS: usize = 1_024;

/// Requests with a part that entries served.
#[derive(Debug, Default)]
struct ServedSum {
    by_entry: BTreeMap<u64, ServedCounts>,
    relayed: ServedCounts,
}

impl ServedSum {
    /// Records the numbers of an entry. Returns the sums if one has doubled since it was relayed.
    fn record(&mut self, entry: u64, served: ServedCounts) -> Option<ServedCounts> {
        if self.by_entry.len() < MAX_REPORTERS {
            let known = self.by_entry.entry(entry).or_default();
            *known = known.max(served);
        }
        let sum = ServedCounts::sum(self.by_entry.values());
        let has_doubled = |sum: u32, relayed: u32| sum >= relayed.saturating_mul(2).max(1);
        let is_news = has_doubled(sum.since, self.relayed.since)
            || has_doubled(sum.before, self.relayed.before)
            || has_doubled(sum.total, self.relayed.total);
        if !is_news {
            return None;
        }
        self.relayed = sum;
        Some(sum)
    }
}

/// Counts the messages of one kind that are relayed in a second.
#[derive(Debug, Default)]
struct RelayBudget {
    since: Tick,
    relayed: u32,
}

impl RelayBudget {
    /// Takes one message from the budget. Returns `false` if it is spent.
    fn take(&mut self, now: Tick) -> bool {
        if now.since(self.since) >= Duration::from_secs(1) {
            *self = RelayBudget { since: now, relayed: 0 };
        }
        self.relayed += 1;
        self.relayed <= MAX_RELAYED_PER_SECOND
    }
}

/// Reports on parts that entries sent to an agent.
#[derive(Debug, Default)]
pub struct PartBoard {
    reports: VecDeque<(PartCrashReport, Tick)>,
    served: BTreeMap<PromptPart, ServedSum>,
    notices: BTreeMap<PartSet, (PartNotice, Tick)>,
    crash_budget: RelayBudget,
    served_budget: RelayBudget,
}

impl PartBoard {
    /// Handles a message of an entry. Returns the message to relay to the other entries.
    pub fn on_message(&mut self, message: PartMessage, now: Tick) -> Option<PartMessage> {
        self.expire(now);
        match message {
            PartMessage::Crashed(report) => self.on_crash(report, now),
            PartMessage::Served(report) => {
                let served = self.served.get_mut(&report.part)?;
                let sum = served.record(report.reporter, report.served)?;
                let (part, reporter) = (report.part, AGENT_REPORTER);
                let report = PartServedReport { part, reporter, served: sum };
                self.served_budget.take(now).then_some(PartMessage::Served(report))
            }
            PartMessage::Cleared(part) => {
                self.served.remove(&part)?;
                for (report, _) in &mut self.reports {
                    report.parts.retain(|known| *known != part);
                }
                self.reports.retain(|(report, _)| !report.parts.is_empty());
                Some(PartMessage::Cleared(part))
            }
            PartMessage::Quarantined(notice) => {
                let known = self.notices.get(&notice.parts);
                if known.is_some_and(|(known, _)| known.generation() >= notice.generation()) {
                    return None;
                }
                if self.notices.len() < MAX_PARTS {
                    self.notices.insert(notice.parts.clone(), (notice.clone(), now));
                }
                Some(PartMessage::Quarantined(notice))
            }
        }
    }

    fn on_crash(&mut self, report: PartCrashReport, now: Tick) -> Option<PartMessage> {
        let is_same = |known: &PartCrashReport| {
            (&known.instance, known.digest, &known.parts)
                == (&report.instance, report.digest, &report.parts)
        };
        if self.reports.iter().any(|(known, _)| is_same(known)) {
            return None;
        }
        for part in &report.parts {
            if self.served.len() < MAX_PARTS {
                self.served.entry(part.clone()).or_default();
            }
        }
        self.reports.push_back((report.clone(), now));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        self.crash_budget.take(now).then_some(PartMessage::Crashed(report))
    }

    /// Returns the messages for an entry that has just started.
    #[must_use]
    pub fn to_messages(&self, now: Tick) -> Vec<PartMessage> {
        let reports = self.reports.iter().map(|(report, at)| {
            let age = u32::try_from(now.since(*at).as_millis()).unwrap_or(u32::MAX);
            let mut report = report.clone();
            report.sent_ago_ms = report.sent_ago_ms.saturating_add(age);
            report.broke_ago_ms = report.broke_ago_ms.saturating_add(age);
            PartMessage::Crashed(report)
        });
        let sums =
            self.served.iter().filter(|(_, served)| served.relayed != ServedCounts::default());
        let sums = sums.map(|(part, served)| {
            PartMessage::Served(PartServedReport {
                part: part.clone(),
                reporter: AGENT_REPORTER,
                served: served.relayed,
            })
        });
        let notices = self.notices.values().filter_map(|(notice, at)| {
            let left_ms = notice.left_ms.saturating_sub(now.since(*at).as_millis() as u64);
            let is_over = left_ms == 0 && notice.left_ms > 0;
            (!is_over).then(|| PartMessage::Quarantined(PartNotice { left_ms, ..notice.clone() }))
        });
        reports.chain(sums).chain(notices).collect()
    }

    fn expire(&mut self, now: Tick) {
        let known = self.reports.len();
        self.reports.retain(|(_, at)| now.since(*at) <= REPORT_TTL);
        if self.reports.len() < known {
            let reports = &self.reports;
            let is_reported =
                |part: &PromptPart| reports.iter().any(|(report, _)| report.parts.contains(part));
            self.served.retain(|part, _| is_reported(part));
        }
        let lasts = |notice: &PartNotice, at: Tick| {
            now.since(at) <= Duration::from_millis(notice.left_ms).max(REPORT_TTL)
        };
        self.notices.retain(|_, (notice, at)| lasts(notice, *at));
    }
}
