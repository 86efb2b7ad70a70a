//! Connection between a caller's HTTP request and the core.

use std::rc::Rc;
use std::time::Instant;

use tokio::sync::mpsc;

use super::daemon::EntryShared;
use super::event::{Arrival, Event, Failure, FailureCode, Reply};
use crate::claim::ClaimKey;
use crate::memory_budget::MemoryHolder;
use crate::verdict::Verdict;

/// Receives the core's replies to one request.
///
/// If it is dropped before the last reply, the core is notified that the caller disconnected.
pub(super) struct CallerHandle {
    shared: Rc<EntryShared>,
    number: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    pub(super) opened_at: Instant,
    claim: Option<ClaimKey>,
    is_finished: bool,
    /// The part of the memory that the caller's connection holds.
    pub(super) memory: MemoryHolder,
}

impl CallerHandle {
    pub(super) fn open(
        shared: &Rc<EntryShared>,
        arrival: Arrival,
        claim: Option<ClaimKey>,
        memory: MemoryHolder,
    ) -> Self {
        let (reply_sender, replies) = mpsc::unbounded_channel();
        let number = arrival.number;
        shared.replies.borrow_mut().insert(number, reply_sender);
        shared.send(Event::Arrive(Box::new(arrival)));
        let shared = shared.clone();
        CallerHandle {
            shared,
            number,
            replies,
            opened_at: Instant::now(),
            claim,
            is_finished: false,
            memory,
        }
    }

    pub(super) async fn next_reply(&mut self) -> Reply {
        let reply = self.replies.recv().await;
        // The core sends a final reply to every request, so the channel closes early only if the
        // entry ends.
        let reply = reply.unwrap_or_else(|| Reply::Failed(entry_ended_failure()));
        self.is_finished |= matches!(reply, Reply::Done(_) | Reply::Failed(_));
        if matches!(&reply, Reply::Failed(failure) if failure.verdict == Verdict::NotRun) {
            self.release_claim();
        }
        reply
    }
}

impl CallerHandle {
    /// Releases the claim of the idempotency key: the request was not run, so the caller may use
    /// the key again.
    fn release_claim(&mut self) {
        if let Some(key) = self.claim.take() {
            let id = format!("{}.{}", self.shared.process, self.number);
            self.shared.claims.release(key, id);
        }
    }
}

impl Drop for CallerHandle {
    fn drop(&mut self) {
        if !self.is_finished {
            self.shared.replies.borrow_mut().remove(&self.number);
            self.shared.send(Event::CallerDisconnected(self.number));
        }
    }
}

/// Failure of a request that is open when the entry ends.
#[cold]
pub(super) fn entry_ended_failure() -> Failure {
    Failure {
        code: FailureCode::Stopping,
        message: "this entry ended before the answer was whole".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after: None,
    }
}
