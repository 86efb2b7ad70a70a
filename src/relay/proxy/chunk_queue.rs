//! Chunks of an answer that wait for their caller to read them.
//!
//! Each stream may keep some chunks, so that its target ends and releases its memory although the
//! caller reads slowly. All streams together may keep a bounded number of bytes beyond what each may
//! keep in any case, so that slow callers neither fill the memory nor delay others.

use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use super::answer::BrokenAnswer;
use crate::memory_budget::{MemoryBudget, MemoryClaim, MemoryHolder};

/// Bytes that each stream may keep.
const OWN_BYTES: usize = 64 * 1024;

/// Bytes that one stream may keep if others leave room.
const MAX_STREAM_BYTES: usize = 1024 * 1024;

/// Bytes that all streams may keep beyond their own, at most.
const MAX_SHARED_BYTES: usize = 32 * 1024 * 1024;

/// Inverse of the share of what callers may make a process hold that streams may keep beyond their
/// own.
const SHARED_DIVISOR: usize = 4;

type Chunk = Result<Bytes, BrokenAnswer>;

/// Bytes that all streams of a process keep beyond their own.
pub(crate) struct SharedRoom {
    kept: Cell<usize>,
    budget: MemoryBudget,
}

impl SharedRoom {
    pub(crate) fn new(budget: MemoryBudget) -> Rc<Self> {
        Rc::new(SharedRoom { kept: Cell::new(0), budget })
    }

    fn has_room(&self, added: usize) -> bool {
        let max_bytes = MAX_SHARED_BYTES.min(self.budget.figures().limit / SHARED_DIVISOR);
        self.kept.get() + added <= max_bytes
    }
}

/// Number of bytes in one queue.
struct QueueSize {
    bytes: Cell<usize>,
    shared_room: Rc<SharedRoom>,
    /// Notified when the caller has taken a chunk.
    taken: Notify,
}

impl QueueSize {
    fn has_room(&self, length: usize) -> bool {
        let bytes = self.bytes.get() + length;
        let added = shared_part(bytes) - shared_part(self.bytes.get());
        let is_own = self.bytes.get() == 0 || added == 0;
        is_own || bytes <= MAX_STREAM_BYTES && self.shared_room.has_room(added)
    }

    fn set(&self, bytes: usize) {
        let before = shared_part(self.bytes.replace(bytes));
        let kept = &self.shared_room.kept;
        kept.set(kept.get() - before + shared_part(bytes));
    }
}

impl Drop for QueueSize {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Returns how many of the bytes of a queue count as shared.
fn shared_part(bytes: usize) -> usize {
    bytes.saturating_sub(OWN_BYTES)
}

/// Sending end of a queue.
pub(crate) struct ChunkSender {
    chunks: mpsc::UnboundedSender<(Chunk, Option<MemoryClaim>)>,
    size: Rc<QueueSize>,
    memory: MemoryHolder,
}

/// Receiving end of a queue.
pub(crate) struct ChunkReceiver {
    chunks: mpsc::UnboundedReceiver<(Chunk, Option<MemoryClaim>)>,
    size: Rc<QueueSize>,
}

/// Creates an empty queue.
pub(crate) fn new_queue(
    shared_room: Rc<SharedRoom>,
    memory: MemoryHolder,
) -> (ChunkSender, ChunkReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let size = Rc::new(QueueSize { bytes: Cell::new(0), shared_room, taken: Notify::new() });
    let sender = ChunkSender { chunks: sender, size: size.clone(), memory };
    (sender, ChunkReceiver { chunks: receiver, size })
}

impl ChunkSender {
    /// Adds a chunk once there is room for it. Returns `false` if the caller has left.
    pub(crate) async fn send(&self, chunk: Bytes) -> bool {
        while !self.size.has_room(chunk.len()) && !self.chunks.is_closed() {
            tokio::select! {
                () = self.size.taken.notified() => {}
                () = self.chunks.closed() => {}
            }
        }
        self.size.set(self.size.bytes.get() + chunk.len());
        // A chunk that waits must not keep the larger buffer alive that it is a part of.
        let waits = self.size.bytes.get() > chunk.len();
        let chunk = if waits { Bytes::copy_from_slice(&chunk) } else { chunk };
        let claim = self.memory.claim_held(chunk.len());
        self.chunks.send((Ok(chunk), Some(claim))).is_ok()
    }

    /// Breaks the answer off after the chunks that wait.
    pub(crate) fn break_off(&self) {
        // If the caller has left, the error cannot be delivered.
        drop(self.chunks.send((Err(BrokenAnswer), None)));
    }

    /// Returns a future that completes once the caller has left.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let chunks = self.chunks.clone();
        async move { chunks.closed().await }
    }
}

impl ChunkReceiver {
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let chunk = self.chunks.poll_recv(context).map(|next| next.map(|(chunk, _claim)| chunk));
        if let Poll::Ready(Some(Ok(chunk))) = &chunk {
            self.size.set(self.size.bytes.get() - chunk.len());
            self.size.taken.notify_one();
        }
        chunk
    }
}
