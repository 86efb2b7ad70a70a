//! Requests to agents for what is limited over all entries together: permits to send to
//! rate-limited targets, and retries beyond an entry's own budget.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::forward::RelayJob;
use super::series::AttemptSeries;
use crate::relay::core::permits::PermitVerdict;
use crate::relay::decide::permit_issuer::PermitReply;
use crate::relay::decide::placement::Placement;
use crate::relay::peers::peer_message::PeerMessage;
use crate::relay::record::RetryOutcome;
use crate::relay::shared::RelayShared;

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
            tokio::time::sleep(from.since(shared.now())).await;
            placement.send_before = Some(until);
            true
        }
    }
}

/// Takes one retry for a service from the entry's own budget or, if that is spent, from the shared
/// retry budget. Returns `false` if neither grants one.
pub(crate) async fn acquire_retry(shared: &RelayShared, service: &Arc<str>) -> bool {
    let (outcome, agent) = request_retry(shared, service).await;
    shared.counts.borrow().record_retry(outcome);
    shared.log.retry_acquired(service, outcome, agent, shared.now());
    matches!(outcome, RetryOutcome::OwnShare | RetryOutcome::Granted | RetryOutcome::Ungranted)
}

/// Returns the outcome and a target on the host of the last agent that was asked.
async fn request_retry(
    shared: &RelayShared,
    service: &Arc<str>,
) -> (RetryOutcome, Option<SocketAddr>) {
    if shared.core.borrow_mut().take_retry(service, shared.now()) {
        return (RetryOutcome::OwnShare, None);
    }
    let Some(queries) = shared.core.borrow_mut().retry_grant_queries(service, shared.now()) else {
        return (RetryOutcome::Refused, None);
    };
    let (mut reply, mut agent) = (None, None);
    for query in queries {
        let message =
            |nonce| PeerMessage::RequestRetryGrant { nonce, request: query.request.clone() };
        agent = Some(query.agent_host);
        reply = call_agent(shared, query.agent_host, message).await;
        if reply.is_some() {
            break;
        }
    }
    let is_granted = shared.core.borrow_mut().apply_retry_grant(service, reply, shared.now());
    let outcome = match (reply.is_some(), is_granted) {
        (true, true) => RetryOutcome::Granted,
        (true, false) => RetryOutcome::Refused,
        (false, true) => RetryOutcome::Ungranted,
        (false, false) => RetryOutcome::Unanswered,
    };
    (outcome, agent)
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
