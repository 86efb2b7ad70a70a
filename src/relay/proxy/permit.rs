//! Asks agents for what all entries together have a bounded number of: turns at a target that
//! takes few requests, and second attempts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::forward::RelayJob;
use super::series::AttemptSeries;
use crate::relay::core::permits::PermitVerdict;
use crate::relay::decide::permit_desk::PermitReply;
use crate::relay::decide::placement::Placement;
use crate::relay::peers::load_note::LoadNote;
use crate::relay::shared::RelayShared;

/// Longest time for an answer: some round trips between failure domains, and a slow host.
const ASK_LIMIT: Duration = Duration::from_millis(80);

/// Waits for the turn of a request at its target, where that takes a bounded rate. Returns
/// false where it is to be placed anew.
pub(crate) async fn take_turn(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    series: &AttemptSeries,
    placement: &mut Placement,
) -> bool {
    let now = shared.now();
    let most_wait = series.most_wait(job, now);
    let query = shared.core.borrow().permit_query(placement, most_wait, now);
    let Some(query) = query else { return true };
    let note = |nonce| LoadNote::AskPermit { nonce, ask: query.ask.clone() };
    let reply = match query.beside {
        Some(beside) => ask(shared, beside, note).await,
        None => None,
    };
    shared.counts.borrow().note_permit(reply);
    let verdict = shared.core.borrow_mut().take_permit(&query, reply, shared.now());
    match verdict {
        PermitVerdict::Elsewhere => false,
        PermitVerdict::Turn { from, until } => {
            tokio::time::sleep(from.since(shared.now())).await;
            placement.turn_until = Some(until);
            true
        }
    }
}

/// Takes one more second attempt for a service: of the own share, or of what an agent gives
/// beside it. Returns false where there is none.
pub(crate) async fn take_second_attempt(shared: &RelayShared, service: &Arc<str>) -> bool {
    if shared.core.borrow_mut().take_retry(service, shared.now()) {
        return true;
    }
    let Some(queries) = shared.core.borrow_mut().slack_queries(service, shared.now()) else {
        return false;
    };
    let mut reply = None;
    for query in queries {
        let note = |nonce| LoadNote::AskSlack { nonce, ask: query.ask.clone() };
        reply = ask(shared, query.beside, note).await;
        if reply.is_some() {
            break;
        }
    }
    shared.core.borrow_mut().take_slack(service, reply, shared.now())
}

/// A question that waits for its answer. It is forgotten when this is dropped, as it is where
/// its caller leaves.
struct OpenAsk<'a> {
    shared: &'a RelayShared,
    nonce: u64,
}

impl Drop for OpenAsk<'_> {
    fn drop(&mut self) {
        self.shared.permit_asks.borrow_mut().remove(&self.nonce);
    }
}

/// Asks the agent beside a target, none where it does not answer in time.
async fn ask(
    shared: &RelayShared,
    beside: SocketAddr,
    to_note: impl FnOnce(u64) -> LoadNote,
) -> Option<PermitReply> {
    let open = OpenAsk { shared, nonce: rand::random() };
    let (asker, answer) = oneshot::channel();
    shared.permit_asks.borrow_mut().insert(open.nonce, asker);
    shared.link.send_beside(beside, &to_note(open.nonce));
    let answer = tokio::time::timeout(ASK_LIMIT, answer).await;
    answer.ok()?.ok()
}
