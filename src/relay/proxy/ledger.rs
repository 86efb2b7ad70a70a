//! What is logged and counted of a request when it ends.

use std::rc::Rc;
use std::sync::Arc;

use hyper::StatusCode;

use super::answer::RelayFault;
use crate::relay::record::{RequestEnd, RequestLine, StreamPace};
use crate::relay::shared::{OpenRequest, RelayShared};
use crate::time::Tick;
use crate::verdict::Verdict;

/// What is logged of a request when it ends, also where its caller leaves.
pub(crate) struct RequestLedger {
    shared: Rc<RelayShared>,
    id: Arc<str>,
    arrived: Tick,
    pub(crate) targets: Vec<Arc<str>>,
    pub(crate) pace: StreamPace,
    is_ended: bool,
    /// A planned stop waits for the end of the answer, not of its head.
    _open: OpenRequest,
}

impl RequestLedger {
    pub(crate) fn new(shared: &Rc<RelayShared>, id: Arc<str>, arrived: Tick) -> Self {
        RequestLedger {
            shared: shared.clone(),
            id,
            arrived,
            targets: Vec::new(),
            pace: StreamPace::default(),
            is_ended: false,
            _open: OpenRequest::new(shared),
        }
    }

    pub(crate) fn end(&mut self, end: RequestEnd, status: StatusCode, why: &str) {
        self.is_ended = true;
        let shared = &self.shared;
        let now = shared.now();
        shared.counts.borrow_mut().note_end(end);
        let core = shared.core.borrow();
        let line = RequestLine {
            id: &self.id,
            end,
            status: status.as_u16(),
            why,
            targets: &self.targets.join(","),
            took: now.since(self.arrived),
            pace: self.pace,
            version: core.rules().version(),
            proof_age: core.lease().age(now),
        };
        shared.log.request_ended(&line, now);
    }

    pub(crate) fn end_fault(&mut self, fault: &RelayFault) {
        self.shared.counts.borrow().note_fault(fault.code);
        let is_refused = fault.verdict == Verdict::NotRun;
        let end = if is_refused { RequestEnd::Refused } else { RequestEnd::Failed };
        self.end(end, fault.status, &fault.why);
    }
}

impl Drop for RequestLedger {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(RequestEnd::CallerLeft, StatusCode::OK, "the caller left");
        }
    }
}
