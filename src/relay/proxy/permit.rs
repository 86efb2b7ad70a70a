//! Requests to agents for what is limited over all entries together: permits to send to
//! rate-limited targets, and retries beyond an entry's own budget.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::job::RelayJob;
use super::series::AttemptSeries;
use crate::relay::core::permits::PermitVerdict;
use crate::relay::core::retries::RetryGrantQuery;
use crate::relay::decide::permit_issuer::PermitReply;
use crate::relay::decide::placement::Placement;
use crate::relay::decide::retry_budget::RETRY_SEND_WINDOW;
use crate::relay::log_line::RetryOutcome;
use crate::relay::peers::peer_message::PeerMessage;
use crate::relay::shared::RelayShared;
use crate::relay::stop::StopPhase;
use crate::time::Tick;

/// Timeout of a reply: some round trips between failure domains, and a slow host.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

/// Waits for a permit to send the request if its target is rate-limited. Returns `false` if the
/// request must be placed again.
pub(crate) async fn acquire_permit(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    series: &AttemptSeries,
    placement: &mut Placement,
) -> bool {
    let now = shared.now();
    let max_permit_wait = series.max_permit_wait(job, now);
    let query = shared.core.borrow().permit_query(placement, max_permit_wait, now);
    let Some(query) = query else { return true };
    let message = |nonce| PeerMessage::RequestPermit { nonce, request: query.request.clone() };
    let reply = match query.agent_host {
        Some(address) => call_agent(shared, address, message).await,
        None => None,
    };
    shared.counts.borrow().record_permit(reply);
    let verdict = shared.core.borrow_mut().apply_permit(&query, reply, shared.now());
    match verdict {
        PermitVerdict::PlaceAgain => false,
        PermitVerdict::SendWithin { from, until } => {
            let wait = tokio::time::sleep(from.since(shared.now()));
            if !series.is_unsent() {
                wait.await;
            } else if shared.stop.run_until(StopPhase::Finishing, wait).await.is_none() {
                return false;
            }
            placement.send_before = Some(until);
            true
        }
    }
}

/// Acquires one retry for a service from the entry's own budget or, if that is spent, from the
/// shared retry budget. Returns the time before which it has to be sent, `None` if neither pays.
pub(crate) async fn acquire_retry(shared: &RelayShared, service: &Arc<str>) -> Option<Tick> {
    let now = shared.now();
    let is_paid = shared.core.borrow_mut().take_retry(service, now);
    let outcome =
        if is_paid { RetryOutcome::OwnShare } else { request_retry(shared, service).await };
    shared.counts.borrow().record_retry(outcome);
    let is_acquired = matches!(outcome, RetryOutcome::OwnShare | RetryOutcome::Granted);
    is_acquired.then_some(now + RETRY_SEND_WINDOW)
}

/// Asks agents for a retry, one after the other.
async fn request_retry(shared: &RelayShared, service: &Arc<str>) -> RetryOutcome {
    let query = shared.core.borrow_mut().retry_grant_query(service, shared.now());
    let Some(RetryGrantQuery { request, own_credit, agent_hosts }) = query else {
        return RetryOutcome::Refused;
    };
    let mut shortest_wait_ms = None;
    for agent_host in agent_hosts {
        // It may not have answered another request meanwhile.
        if !shared.core.borrow().may_ask(agent_host, shared.now()) {
            continue;
        }
        let message = |nonce| PeerMessage::RequestRetryGrant { nonce, request: request.clone() };
        let reply = call_agent(shared, agent_host, message).await;
        shared.log.retry_answered(service, agent_host, reply, shared.now());
        match reply {
            Some(PermitReply::Granted { .. } | PermitReply::Open) => return RetryOutcome::Granted,
            Some(PermitReply::Refused { wait_ms }) => {
                shortest_wait_ms = Some(shortest_wait_ms.unwrap_or(u32::MAX).min(wait_ms));
            }
            None => shared.core.borrow_mut().record_agent_silence(agent_host),
        }
    }
    shared.core.borrow_mut().record_retry_refusal(
        service,
        own_credit,
        shortest_wait_ms,
        shared.now(),
    );
    if shortest_wait_ms.is_some() { RetryOutcome::Refused } else { RetryOutcome::Unanswered }
}

/// A request to an agent that awaits its reply. Dropping it unregisters it, also if the caller
/// leaves.
struct PendingRequest<'a> {
    shared: &'a RelayShared,
    nonce: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.shared.pending_permits.borrow_mut().remove(&self.nonce);
    }
}

/// Sends a request to the agent beside a target; returns `None` if it does not reply in time.
async fn call_agent(
    shared: &RelayShared,
    address: SocketAddr,
    to_message: impl FnOnce(u64) -> PeerMessage,
) -> Option<PermitReply> {
    let pending = PendingRequest { shared, nonce: rand::random() };
    let (reply_sender, reply_receiver) = oneshot::channel();
    shared.pending_permits.borrow_mut().insert(pending.nonce, reply_sender);
    shared.link.send_beside(address, &to_message(pending.nonce));
    let reply = tokio::time::timeout(REPLY_TIMEOUT, reply_receiver).await;
    reply.ok()?.ok()
}
