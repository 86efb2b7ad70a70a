//! Memory that the connections of a process may make it hold, around [`MemoryLedger`].

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::clock::ProcessClock;
use crate::memory_ledger::{ClaimKind, ClaimVerdict, HolderId, MemoryLedger};

/// Interval at which a claim that waits for room is decided again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Iterations of the event loop within which an evicted connection is closed.
const CLOSING_TURNS: u32 = 4;

/// Share of a process's memory that its connections may make it hold. The rest is for the
/// configuration, the list of targets, the log and the allocator.
const CONNECTION_SHARE: f64 = 0.4;

/// Smallest capacity of a [`ClaimedBuffer`], in bytes.
const MIN_CAPACITY: usize = 4 * 1024;

const BYTES_PER_MIB: u64 = 1024 * 1024;

/// There is no room for what was claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// Returns the bytes that connections may make a process hold that may use `memory_mb` MiB, which
/// are not limited without it.
pub(crate) fn connection_bytes(memory_mb: Option<u64>) -> usize {
    let bytes = memory_mb.map(|memory| (memory * BYTES_PER_MIB) as f64 * CONNECTION_SHARE);
    bytes.map_or(usize::MAX / 2, |bytes| bytes as usize)
}

/// The budget of a process.
#[derive(Clone)]
pub(crate) struct MemoryBudget(Arc<BudgetState>);

struct BudgetState {
    ledger: Mutex<MemoryLedger>,
    /// Eviction signals, by holder.
    exits: Mutex<HashMap<HolderId, Arc<HolderExit>>>,
    /// Notified when bytes were released.
    released: Notify,
    clock: ProcessClock,
    refused: AtomicU64,
    closed: AtomicU64,
}

/// How a holder learns that it has to leave.
#[derive(Default)]
struct HolderExit {
    is_due: AtomicBool,
    notify: Notify,
    /// Whether the holder refuses its request itself.
    is_refusable: AtomicBool,
}

/// What the budget has decided so far, and what is held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetFigures {
    pub(crate) held: usize,
    pub(crate) limit: usize,
    /// Claims that were refused.
    pub(crate) refused: u64,
    /// Holders that were told to leave.
    pub(crate) closed: u64,
}

impl MemoryBudget {
    pub(crate) fn new(limit: usize, clock: ProcessClock) -> Self {
        MemoryBudget(Arc::new(BudgetState {
            ledger: Mutex::new(MemoryLedger::new(limit)),
            exits: Mutex::default(),
            released: Notify::new(),
            clock,
            refused: AtomicU64::new(0),
            closed: AtomicU64::new(0),
        }))
    }

    pub(crate) fn set_limit(&self, limit: usize) {
        self.0.ledger().set_limit(limit);
    }

    pub(crate) fn figures(&self) -> BudgetFigures {
        let ledger = self.0.ledger();
        BudgetFigures {
            held: ledger.held(),
            limit: ledger.limit(),
            refused: self.0.refused.load(Ordering::Relaxed),
            closed: self.0.closed.load(Ordering::Relaxed),
        }
    }

    /// Adds a holder with `bytes`.
    pub(crate) fn open(&self, bytes: usize) -> HolderGuard {
        let id = self.0.ledger().open(self.0.clock.now());
        let exit = Arc::<HolderExit>::default();
        self.0.exits().insert(id, exit.clone());
        let holder = MemoryHolder { budget: self.0.clone(), id, exit };
        let base = holder.claim_held(bytes);
        HolderGuard { holder, _base: base }
    }

    /// Tells an idle holder to leave and waits until it has, if no place is left for another connection.
    /// Returns `true` if there was one.
    pub(crate) async fn make_place(&self, is_full: impl Fn() -> bool) -> bool {
        if !is_full() {
            return false;
        }
        let now = self.0.clock.now();
        let chosen = self.0.ledger().choose_idle(now);
        self.0.tell(chosen.as_slice());
        for _ in 0..CLOSING_TURNS {
            if chosen.is_some() && is_full() {
                tokio::task::yield_now().await;
            }
        }
        chosen.is_some()
    }
}

impl BudgetState {
    // A panic ends the process, so the state behind a poisoned lock is never used.
    fn ledger(&self) -> MutexGuard<'_, MemoryLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn exits(&self) -> MutexGuard<'_, HashMap<HolderId, Arc<HolderExit>>> {
        self.exits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self, leaving: &[HolderId]) {
        let exits = self.exits();
        for exit in leaving.iter().filter_map(|id| exits.get(id)) {
            exit.is_due.store(true, Ordering::Relaxed);
            exit.notify.notify_waiters();
            self.closed.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn release(&self, id: HolderId, bytes: usize) {
        self.ledger().release(id, bytes);
        self.released.notify_waiters();
    }
}

/// A connection's part of the budget.
#[derive(Clone)]
pub(crate) struct MemoryHolder {
    budget: Arc<BudgetState>,
    id: HolderId,
    exit: Arc<HolderExit>,
}

/// Closes a holder when it is dropped. Claims may outlive it.
pub(crate) struct HolderGuard {
    holder: MemoryHolder,
    _base: MemoryClaim,
}

impl HolderGuard {
    pub(crate) fn holder(&self) -> &MemoryHolder {
        &self.holder
    }
}

impl Drop for HolderGuard {
    fn drop(&mut self) {
        let MemoryHolder { budget, id, .. } = &self.holder;
        budget.exits().remove(id);
        budget.ledger().close(*id);
    }
}

impl MemoryHolder {
    /// Claims bytes before they are allocated, and waits while others leave for them.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub(crate) async fn claim(&self, bytes: usize) -> Result<MemoryClaim, NoRoom> {
        loop {
            let released = self.budget.released.notified();
            match self.try_claim(bytes, ClaimKind::Request) {
                (ClaimVerdict::Granted, claim) => return claim.ok_or(NoRoom),
                (ClaimVerdict::Refused, _) => {
                    self.budget.refused.fetch_add(1, Ordering::Relaxed);
                    return Err(NoRoom);
                }
                (ClaimVerdict::Awaited, _) => wait_for_release(released).await,
            }
        }
    }

    /// Claims bytes before they are allocated, and waits until there is room for them.
    pub(crate) async fn claim_in_time(&self, bytes: usize) -> MemoryClaim {
        loop {
            let released = self.budget.released.notified();
            if let (_, Some(claim)) = self.try_claim(bytes, ClaimKind::Answer) {
                return claim;
            }
            wait_for_release(released).await;
        }
    }

    fn try_claim(&self, bytes: usize, kind: ClaimKind) -> (ClaimVerdict, Option<MemoryClaim>) {
        let now = self.budget.clock.now();
        let outcome = self.budget.ledger().claim(self.id, bytes, kind, now);
        self.budget.tell(&outcome.leaving);
        let is_granted = outcome.verdict == ClaimVerdict::Granted;
        (outcome.verdict, is_granted.then(|| MemoryClaim { holder: self.clone(), bytes }))
    }

    /// Claims bytes that are held already. Others, or this holder, are told to leave if all hold too
    /// much then.
    pub(crate) fn claim_held(&self, bytes: usize) -> MemoryClaim {
        let now = self.budget.clock.now();
        let leaving = self.budget.ledger().claim_held(self.id, bytes, now);
        self.budget.tell(&leaving);
        MemoryClaim { holder: self.clone(), bytes }
    }

    /// Returns `true` if the connection must not read on now: it has to be closed.
    pub(crate) fn is_told_to_leave(&self) -> bool {
        self.exit.is_due.load(Ordering::Relaxed)
    }

    /// Returns `true` if others are about to release what was claimed.
    pub(crate) fn awaits_leaving(&self) -> bool {
        self.budget.ledger().awaits_leaving()
    }

    pub(crate) fn record_moved(&self, bytes: usize) {
        let now = self.budget.clock.now();
        self.budget.ledger().record_moved(self.id, bytes, now);
    }

    /// Sets whether the peer has to send or read before the connection goes on.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        let mut ledger = self.budget.ledger();
        ledger.set_stalled(self.id, is_stalled);
        if !is_stalled && self.exit.is_due.swap(false, Ordering::Relaxed) {
            // It has gone on before it could leave.
            ledger.record_left(self.id);
        }
    }

    /// Completes once the connection has to be closed. While [`MemoryHolder::run_refusable`] runs, the
    /// request is refused in place of it.
    pub(crate) async fn closing(&self) {
        loop {
            let notified = self.exit.notify.notified();
            let is_refusable = self.exit.is_refusable.load(Ordering::Relaxed);
            if self.exit.is_due.load(Ordering::Relaxed) && !is_refusable {
                return;
            }
            notified.await;
        }
    }

    /// Runs `work` unless the holder has to leave.
    ///
    /// # Errors
    ///
    /// The holder has to leave. Once its request is refused and what it held is released, it may stay.
    pub(crate) async fn run_refusable<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, NoRoom> {
        self.exit.is_refusable.store(true, Ordering::Relaxed);
        let leaving = async {
            loop {
                let notified = self.exit.notify.notified();
                if self.exit.is_due.load(Ordering::Relaxed) {
                    return;
                }
                notified.await;
            }
        };
        let result = tokio::select! {
            biased;
            () = leaving => Err(NoRoom),
            output = work => Ok(output),
        };
        self.exit.is_due.store(false, Ordering::Relaxed);
        self.exit.is_refusable.store(false, Ordering::Relaxed);
        self.budget.ledger().record_left(self.id);
        result
    }
}

async fn wait_for_release(released: impl Future<Output = ()>) {
    // Holders that stand still become candidates for leaving as time passes.
    drop(tokio::time::timeout(RECHECK_INTERVAL, released).await);
}

/// Bytes that a connection holds, released on drop.
pub(crate) struct MemoryClaim {
    holder: MemoryHolder,
    bytes: usize,
}

impl MemoryClaim {
    /// Adds another claim of the same holder.
    pub(crate) fn merge(&mut self, mut other: MemoryClaim) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.holder.budget.release(self.holder.id, self.bytes);
        }
    }
}

/// A buffer whose capacity is claimed before it grows.
pub(crate) struct ClaimedBuffer {
    bytes: Vec<u8>,
    claim: MemoryClaim,
}

impl AsRef<[u8]> for ClaimedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ClaimedBuffer {
    pub(crate) fn new(holder: &MemoryHolder) -> Self {
        let claim = MemoryClaim { holder: holder.clone(), bytes: 0 };
        ClaimedBuffer { bytes: Vec::new(), claim }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the capacity to grow to for `added` bytes; `None` if there is room for them. It is not
    /// above `max_len` unless that is exceeded.
    fn next_capacity(&self, added: usize, max_len: usize) -> Option<usize> {
        let needed = self.bytes.len() + added;
        let capacity = self.bytes.capacity();
        let grown = (capacity * 2).max(MIN_CAPACITY).min(max_len).max(needed);
        (needed > capacity).then_some(grown)
    }

    /// Adds bytes, of at most `max_len` altogether.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub(crate) async fn extend(&mut self, data: &[u8], max_len: usize) -> Result<(), NoRoom> {
        if let Some(capacity) = self.next_capacity(data.len(), max_len) {
            let claim = self.claim.holder.claim(capacity - self.bytes.capacity()).await?;
            self.grow(capacity, claim);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Waits until there is room for `added` bytes, of at most `max_len` altogether.
    pub(crate) async fn reserve(&mut self, added: usize, max_len: usize) {
        if let Some(capacity) = self.next_capacity(added, max_len) {
            let holder = self.claim.holder.clone();
            let claim = holder.claim_in_time(capacity - self.bytes.capacity()).await;
            self.grow(capacity, claim);
        }
    }

    /// Adds bytes once there is room for them.
    pub(crate) async fn append(&mut self, data: &[u8]) {
        self.reserve(data.len(), usize::MAX).await;
        self.push(data);
    }

    /// Adds bytes for which there is room.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
    }

    fn grow(&mut self, capacity: usize, claim: MemoryClaim) {
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.claim.merge(claim);
    }

    /// Returns the bytes. The claim is released with the last reference to them.
    pub(crate) fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}
