//! Counters and histograms of the relay, in the Prometheus text format.

use std::time::Duration;

use super::core::RelayCore;
use super::record::RequestEnd;
use crate::metrics::MetricsPage;
use crate::time::Tick;

/// What is counted while requests are served.
#[derive(Debug, Default)]
pub(super) struct RelayCounts {
    pub(super) requests: u64,
    pub(super) store_calls: u64,
    pub(super) store_failures: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    broken: u64,
    caller_left: u64,
}

impl RelayCounts {
    pub(super) fn note_end(&mut self, end: RequestEnd) {
        let count = match end {
            RequestEnd::Answered => &mut self.answered,
            RequestEnd::Refused => &mut self.refused,
            RequestEnd::Failed => &mut self.failed,
            RequestEnd::Broken => &mut self.broken,
            RequestEnd::CallerLeft => &mut self.caller_left,
        };
        *count += 1;
    }

    /// The page that is scraped.
    pub(super) fn to_text(&self, core: &RelayCore, now: Tick) -> Vec<u8> {
        let page = MetricsPage::default();
        let counts = [
            ("shalelane_relay_requests_total", "requests read", self.requests),
            ("shalelane_relay_answered_total", "requests answered whole", self.answered),
            ("shalelane_relay_refused_total", "requests refused as not run", self.refused),
            ("shalelane_relay_failed_total", "requests that failed", self.failed),
            ("shalelane_relay_broken_total", "answers that broke off", self.broken),
            ("shalelane_relay_caller_left_total", "callers that left", self.caller_left),
            ("shalelane_relay_store_calls_total", "calls to the store", self.store_calls),
            ("shalelane_relay_store_failures_total", "failed calls", self.store_failures),
        ];
        for (name, help, count) in counts {
            page.add_count(name, help).follow(count);
        }
        let age = core.lease().age(now).unwrap_or(Duration::MAX);
        let gauges = [
            (
                "shalelane_relay_config_version",
                "configuration in force",
                core.rules().version() as i64,
            ),
            (
                "shalelane_relay_proof_age_ms",
                "age of the proof that it is current",
                i64::try_from(age.as_millis()).unwrap_or(i64::MAX),
            ),
            ("shalelane_relay_targets", "known targets", core.targets.iter().count() as i64),
        ];
        for (name, help, value) in gauges {
            page.add_gauge(name, help).set(value);
        }
        page.to_text()
    }
}
