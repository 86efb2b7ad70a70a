//! A caller's request on its way to targets, and what the quarantine learns of it.

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use super::protocol::CallerHead;
use crate::memory_budget::{MemoryClaim, MemoryHolder};
use crate::relay::core::RelayCore;
use crate::relay::decide::crash_wait::CrashWait;
use crate::relay::decide::part_ledger::{PartAttempt, PartVerdict};
use crate::relay::decide::placement::PromptNeed;
use crate::relay::decide::prompt_part::PromptPart;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::run_targets::RunTargets;
use crate::relay::decide::service_scope::{DomainSet, ServiceScope};
use crate::relay::decide::targets::TargetInstance;
use crate::relay::discovery::rules::RouteRule;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// A waiting prompt is placed again after its objective divided by this: that is one or two forward
/// passes for long prompts, and each decision costs a small host some milliseconds.
const PLACEMENT_DIVISOR: u32 = 30;

/// A caller's request, completely read and admitted.
pub(crate) struct RelayJob {
    pub(crate) route: Rc<RouteRule>,
    pub(crate) service: Arc<str>,
    /// Failure domains whose targets may run the request; `None` for all.
    pub(crate) domains: Option<Rc<DomainSet>>,
    pub(crate) account: Option<Arc<str>>,
    /// Number of more urgent ranks of the service; `None` where all are alike.
    pub(crate) more_urgent: Option<u8>,
    pub(crate) head: CallerHead,
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The part of the memory that the caller's connection holds.
    pub(crate) memory: MemoryHolder,
    /// What the parsed parts of the prompt hold.
    pub(crate) _parts_claim: MemoryClaim,
    pub(crate) arrived: Tick,
    /// Time at which the request's time limit expires.
    pub(crate) deadline: Tick,
    /// Resources that the prompt needs from an engine; `None` for a plain call.
    pub(crate) need: Option<PromptNeed>,
    /// Digest of the request, computed on first use.
    pub(crate) cached_digest: OnceCell<RequestDigest>,
    pub(crate) crash_wait: RefCell<CrashWait>,
    /// Targets that may run the request.
    pub(crate) runs: Rc<RefCell<RunTargets>>,
}

/// Why a request is not sent to any target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QuarantineHold {
    /// The request itself is quarantined for this time.
    Request(Duration),
    /// Parts of its prompt are quarantined for this time.
    Parts(Duration),
}

impl RelayJob {
    /// Returns the digest that identifies the request, independent of the attempt id.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.cached_digest.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            RequestDigest::of(self.account.as_deref(), &self.route.host, path, &self.body)
        })
    }

    /// Returns `true` if targets have crashed under this request, so that it must run apart from
    /// other such requests.
    pub(crate) fn is_suspect(&self, core: &RelayCore) -> bool {
        core.quarantine().has_requests() && core.quarantine().is_suspect(&self.digest())
    }

    /// Returns the parts of the prompt by which engines may crash; none for a plain call.
    pub(crate) fn shared_parts(&self) -> &[PromptPart] {
        if self.need.is_some() { &self.head.shared_parts } else { &[] }
    }

    /// Returns why the request is quarantined; `None` if it may be sent.
    pub(crate) fn quarantine_hold(&self, shared: &RelayShared) -> Option<QuarantineHold> {
        if shared.core.borrow().quarantine().is_empty() {
            return None;
        }
        shared.report_suspects();
        let now = shared.now();
        let verdict = shared.core.borrow_mut().part_verdict(self.shared_parts(), now);
        if let PartVerdict::Quarantined(time_left) = verdict {
            // The write of a claimed probe may be due.
            shared.report_suspects();
            return Some(QuarantineHold::Parts(time_left));
        }
        let core = shared.core.borrow();
        let quarantined = core.quarantine().quarantined();
        if quarantined.is_empty() {
            return None;
        }
        quarantined.quarantine_left(&self.digest(), now).map(QuarantineHold::Request)
    }

    /// Reports to the quarantine that the connection of an attempt broke that was sent at `sent_at`.
    pub(crate) fn report_broken(
        &self,
        shared: &RelayShared,
        instance: &TargetInstance,
        sent_at: Tick,
        streamed_for: Duration,
        now: Tick,
    ) {
        if self.need.is_some() && streamed_for.is_zero() {
            self.crash_wait.borrow_mut().record_broken(instance, now);
        }
        let mut core = shared.core.borrow_mut();
        core.record_broken(self.digest(), instance, streamed_for, now);
        if !self.shared_parts().is_empty() {
            let parts = self.head.shared_parts.clone();
            let attempt = PartAttempt { digest: self.digest(), parts, sent_at, broke_at: now };
            core.record_broken_parts(attempt, instance, streamed_for, now);
        }
    }

    /// Returns the time before which the request is not sent again, since its engines may have
    /// crashed; `None` if it need not wait, or no retry could be acquired after the wait.
    pub(crate) fn crash_wait_until(&self, shared: &RelayShared) -> Option<Tick> {
        let wait = self.crash_wait.borrow();
        let mut core = shared.core.borrow_mut();
        let until = wait.wait_until(self.deadline, |instance| core.engine_signs(instance))?;
        core.may_acquire_retry(&self.service, shared.now()).then_some(until)
    }

    /// Reports to the quarantine that an engine has begun to serve an attempt that was sent at
    /// `sent_at`, and has not crashed.
    pub(crate) fn report_served_parts(&self, shared: &RelayShared, sent_at: Tick) {
        if self.need.is_some() {
            let parts = &self.head.shared_parts;
            shared.core.borrow_mut().record_served_parts(parts, sent_at, shared.now());
        }
    }

    /// Returns `true` if the request may only be sent to targets that may run it already.
    pub(crate) fn is_limited_to_runs(&self) -> bool {
        self.runs.borrow().count() >= self.route.max_targets
    }

    /// Returns the targets that may run the request.
    pub(crate) fn scope(&self) -> ServiceScope<'_> {
        ServiceScope { service: &self.service, domains: self.domains.as_deref() }
    }

    /// Returns the time until a target of the service accepts requests; `None` if one does now.
    pub(crate) fn time_to_target(&self, shared: &RelayShared) -> Option<Duration> {
        shared.core.borrow().time_to_target(self.scope(), shared.now())
    }

    /// Reports to the quarantine that a target has answered this request.
    pub(crate) fn report_answered(&self, shared: &RelayShared) {
        if shared.core.borrow().quarantine().has_requests() {
            shared.core.borrow_mut().record_answered(self.digest());
        }
    }

    /// Returns the time left until the objective or the deadline. Permits that come later are more
    /// useful to other requests.
    pub(crate) fn time_to_objective(&self, now: Tick) -> Duration {
        (self.arrived + self.route.objective).min(self.deadline).since(now)
    }

    /// Returns the interval at which a waiting prompt is placed again.
    pub(crate) fn placement_interval(&self) -> Duration {
        self.route.objective / PLACEMENT_DIVISOR
    }

    /// Returns the resources that the prompt needs from an engine at `now`.
    pub(crate) fn need_at(&self, now: Tick) -> Option<PromptNeed> {
        let waited = now.since(self.arrived);
        let time_left = self.deadline.since(now);
        self.need.map(|need| PromptNeed { waited, time_left, ..need })
    }
}
