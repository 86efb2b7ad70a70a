//! A caller that waits for its answer.

use std::rc::Rc;
use std::time::Instant;

use tokio::sync::mpsc;

use super::daemon::EntryShared;
use super::event::{Arrival, Event, Failure, FailureCode, Reply};
use crate::claim::ClaimKey;
use crate::verdict::Verdict;

/// A caller that waits for its answer. Dropping it before the end tells the
/// core that the caller went away.
pub(super) struct CallerLink {
    shared: Rc<EntryShared>,
    number: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    pub(super) opened: Instant,
    claim: Option<ClaimKey>,
    is_over: bool,
}

impl CallerLink {
    pub(super) fn open(
        shared: &Rc<EntryShared>,
        arrival: Arrival,
        claim: Option<ClaimKey>,
    ) -> Self {
        let (reply_in, replies) = mpsc::unbounded_channel();
        let number = arrival.number;
        shared.replies.borrow_mut().insert(number, reply_in);
        shared.send(Event::Arrive(Box::new(arrival)));
        let shared = shared.clone();
        CallerLink { shared, number, replies, opened: Instant::now(), claim, is_over: false }
    }

    pub(super) async fn next(&mut self) -> Reply {
        let reply = self.replies.recv().await;
        // The core gives every request a final answer before it lets go.
        let reply = reply.unwrap_or_else(|| Reply::Failed(lost_answer()));
        self.is_over |= matches!(reply, Reply::Done(_) | Reply::Failed(_));
        if matches!(&reply, Reply::Failed(failure) if failure.verdict == Verdict::NotRun) {
            self.give_key_back();
        }
        reply
    }
}

impl CallerLink {
    /// The request was not run, so its caller may use the key again.
    fn give_key_back(&mut self) {
        if let Some(key) = self.claim.take() {
            let id = format!("{}.{}", self.shared.process, self.number);
            self.shared.claims.release(key, id);
        }
    }
}

impl Drop for CallerLink {
    fn drop(&mut self) {
        if !self.is_over {
            self.shared.replies.borrow_mut().remove(&self.number);
            self.shared.send(Event::CallerGone(self.number));
        }
    }
}

#[cold]
pub(super) fn lost_answer() -> Failure {
    Failure {
        code: FailureCode::Stopping,
        message: "this entry ended before the answer was whole".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after: None,
    }
}
