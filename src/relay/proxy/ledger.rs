//! Log line and counters of a request, written when it ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use hyper::StatusCode;

use super::answer::RelayFault;
use super::job::RelayJob;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::run_targets::RunTargets;
use crate::relay::log_line::{RequestEnd, RequestLine, RetryStop, StreamPace};
use crate::relay::shared::RelayShared;
use crate::time::Tick;
use crate::verdict::Verdict;

/// Collects what is logged about a request. The line is also written if the caller leaves.
pub(crate) struct RequestLedger {
    shared: Rc<RelayShared>,
    id: Arc<str>,
    arrived: Tick,
    targets: Vec<Arc<str>>,
    sends: usize,
    /// Digest of the request; set once an attempt has failed.
    pub(crate) digest: Option<RequestDigest>,
    /// Number of more urgent ranks of the service; `None` where all are alike.
    pub(crate) more_urgent: Option<u8>,
    /// Targets that may run the request.
    pub(crate) runs: Rc<RefCell<RunTargets>>,
    /// Reason why the request was not sent again after a failure.
    pub(crate) retry_stop: Option<RetryStop>,
    pace: StreamPace,
    is_ended: bool,
}

impl RequestLedger {
    pub(crate) fn new(shared: &Rc<RelayShared>, id: Arc<str>, arrived: Tick) -> Self {
        RequestLedger {
            shared: shared.clone(),
            id,
            arrived,
            targets: Vec::new(),
            sends: 0,
            digest: None,
            more_urgent: None,
            runs: Rc::default(),
            retry_stop: None,
            pace: StreamPace::default(),
            is_ended: false,
        }
    }

    /// Records that the request is sent to a target.
    pub(crate) fn record_send(&mut self, target: &Arc<str>) {
        self.sends += 1;
        if !self.targets.contains(target) {
            self.targets.push(target.clone());
        }
    }

    /// Records events that are forwarded to the caller.
    pub(crate) fn record_events(&mut self, job: &RelayJob) {
        let now = self.shared.now();
        if self.pace.time_to_first.is_none() {
            let prompt = job.need.map_or(0, |need| need.prompt_tokens);
            self.shared.counts.borrow().record_first_event(prompt, now.since(job.arrived));
        }
        self.pace.record(job.arrived, now);
    }

    pub(crate) fn end(&mut self, outcome: RequestEnd, status: StatusCode, reason: &str) {
        self.is_ended = true;
        let shared = &self.shared;
        let now = shared.now();
        shared.counts.borrow_mut().record_end(outcome);
        if let Some(more_urgent) = self.more_urgent {
            shared.counts.borrow().record_ranked_end(more_urgent, outcome);
        }
        let run_targets = self.runs.borrow().count();
        shared.counts.borrow().record_run_targets(run_targets);
        let core = shared.core.borrow();
        let line = RequestLine {
            id: &self.id,
            outcome,
            status: status.as_u16(),
            reason,
            targets: &self.targets.join(","),
            sends: self.sends,
            run_targets,
            digest: self.digest,
            more_urgent: self.more_urgent,
            retry_stop: self.retry_stop,
            elapsed: now.since(self.arrived),
            pace: self.pace,
            version: core.rules().version(),
            proof_age: core.lease().age(now),
        };
        shared.log.request_ended(&line, now);
    }

    pub(crate) fn end_with_fault(&mut self, fault: &RelayFault) {
        self.shared.counts.borrow().record_fault(fault.code);
        let is_refused = fault.verdict == Verdict::NotRun;
        let outcome = if is_refused { RequestEnd::Refused } else { RequestEnd::Failed };
        self.end(outcome, fault.status, &fault.message);
    }
}

impl Drop for RequestLedger {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(RequestEnd::CallerLeft, StatusCode::OK, "the caller left");
        }
    }
}
