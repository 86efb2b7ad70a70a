//! Asks for a permit to send to a target that takes a bounded rate from all entries.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::forward::RelayJob;
use super::series::AttemptSeries;
use crate::relay::core::permits::{PermitQuery, PermitVerdict};
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
    let reply = ask(shared, &query).await;
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

/// Asks the agent that gives permits, none where it does not answer in time.
async fn ask(shared: &RelayShared, query: &PermitQuery) -> Option<PermitReply> {
    let beside = query.beside?;
    let nonce = rand::random();
    let (asker, answer) = oneshot::channel();
    shared.permit_asks.borrow_mut().insert(nonce, asker);
    shared.link.send_beside(beside, &LoadNote::AskPermit { nonce, ask: query.ask.clone() });
    let answer = tokio::time::timeout(ASK_LIMIT, answer).await;
    shared.permit_asks.borrow_mut().remove(&nonce);
    answer.ok()?.ok()
}
