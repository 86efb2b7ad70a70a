//! Decides how the connections of a process share its memory.
//!
//! Every connection is a holder. A claim that does not fit is granted once other holders have left,
//! provided that they hold more and move less than the claimant; otherwise it is refused at once. A
//! part of the memory is kept for small claims, so that small requests find room beside large ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Tick;

/// Bytes up to which what a connection holds counts as small.
const SMALL_BYTES: usize = 96 * 1024;

/// Inverse of the share of the memory that only small holders may claim.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Period over which moved bytes are counted. Those of the present and the last period count.
const MOVED_PERIOD: Duration = Duration::from_millis(500);

/// Identifies a holder.
pub type HolderId = u64;

/// Bytes that a holder has moved lately.
#[derive(Clone, Copy, Debug, Default)]
struct MovedBytes {
    period: u64,
    current: usize,
    last: usize,
}

impl MovedBytes {
    fn add(&mut self, bytes: usize, now: Tick) {
        let period = period_of(now);
        if period != self.period {
            let is_next = period == self.period + 1;
            self.last = if is_next { self.current } else { 0 };
            (self.period, self.current) = (period, 0);
        }
        self.current += bytes;
    }

    fn recent(&self, now: Tick) -> usize {
        match period_of(now) - self.period {
            0 => self.current + self.last,
            1 => self.current,
            _ => 0,
        }
    }
}

fn period_of(now: Tick) -> u64 {
    now.0 / MOVED_PERIOD.as_micros() as u64
}

#[derive(Clone, Copy, Debug)]
struct HolderRecord {
    held: usize,
    moved: MovedBytes,
    /// Whether its peer has to send or read before it goes on.
    is_stalled: bool,
    is_leaving: bool,
    is_closed: bool,
}

impl HolderRecord {
    /// Returns how much it holds for each byte that it moves.
    fn weight(&self, now: Tick) -> usize {
        self.held / (1 + self.moved.recent(now))
    }

    fn may_leave(&self) -> bool {
        self.is_stalled && !self.is_leaving && !self.is_closed
    }
}

/// Kind of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimKind {
    /// For a request, which can be refused.
    Request,
    /// For the answer to a request that has run. It is not refused for good, and the largest one
    /// always goes on.
    Answer,
}

/// Answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The bytes are held.
    Granted,
    /// There will be room once the holders that were told to leave have left.
    Awaited,
    /// There is no room.
    Refused,
}

/// A claim's verdict and the holders that have to leave for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// The verdict.
    pub verdict: ClaimVerdict,
    /// Holders that have to release what they hold.
    pub leaving: Vec<HolderId>,
}

/// Memory that the holders of a process share.
#[derive(Debug)]
pub struct MemoryLedger {
    limit: usize,
    held: usize,
    /// Number of holders that were told to leave and have not left.
    leaving: usize,
    next_id: HolderId,
    holders: BTreeMap<HolderId, HolderRecord>,
}

impl MemoryLedger {
    /// Creates a ledger of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        MemoryLedger { limit, held: 0, leaving: 0, next_id: 0, holders: BTreeMap::new() }
    }

    /// Sets the number of bytes that all holders may hold.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of bytes that all holders may hold.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that all holders hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns `true` if the holders hold more than they may, and some of them are about to leave.
    #[must_use]
    pub fn awaits_leaving(&self) -> bool {
        self.held > self.limit && self.leaving > 0
    }

    /// Adds a holder, which holds nothing yet.
    pub fn open(&mut self, now: Tick) -> HolderId {
        self.next_id += 1;
        let mut moved = MovedBytes::default();
        // A connection has time for its first request.
        moved.add(1, now);
        let holder =
            HolderRecord { held: 0, moved, is_stalled: true, is_leaving: false, is_closed: false };
        self.holders.insert(self.next_id, holder);
        self.next_id
    }

    /// Closes a holder. It is forgotten once it has released everything.
    pub fn close(&mut self, id: HolderId) {
        self.record_left(id);
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.is_closed = true;
        if holder.held == 0 {
            self.holders.remove(&id);
        }
    }

    /// Sets whether the peer of a holder has to send or read before the holder goes on.
    pub fn set_stalled(&mut self, id: HolderId, is_stalled: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_stalled = is_stalled;
        }
    }

    /// Records that a holder has sent or received bytes.
    pub fn record_moved(&mut self, id: HolderId, bytes: usize, now: Tick) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved.add(bytes, now);
        }
    }

    /// Records that a holder that was told to leave has released what it could.
    pub fn record_left(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.leaving -= usize::from(std::mem::take(&mut holder.is_leaving));
        }
    }

    /// Claims bytes for a holder.
    pub fn claim(
        &mut self,
        id: HolderId,
        bytes: usize,
        kind: ClaimKind,
        now: Tick,
    ) -> ClaimOutcome {
        let Some(holder) = self.holders.get(&id) else { return refused() };
        let claimant = HolderRecord { held: holder.held + bytes, ..*holder };
        if claimant.is_leaving {
            return refused();
        }
        let reserve =
            if claimant.held <= SMALL_BYTES { 0 } else { self.limit / SMALL_SHARE_DIVISOR };
        let missing = (self.held + bytes).saturating_sub(self.limit - reserve);
        if missing == 0 || self.is_only_large(id) {
            self.add(id, bytes);
            return ClaimOutcome { verdict: ClaimVerdict::Granted, leaving: Vec::new() };
        }
        // An answer that is being read gives way to no other, however slow its target is.
        let weight = if kind == ClaimKind::Answer { 0 } else { claimant.weight(now) };
        match self.choose_leaving(id, missing, weight, now) {
            Some(leaving) => ClaimOutcome { verdict: ClaimVerdict::Awaited, leaving },
            None if kind == ClaimKind::Answer && self.is_largest_at_work(id) => {
                self.add(id, bytes);
                ClaimOutcome { verdict: ClaimVerdict::Granted, leaving: Vec::new() }
            }
            None => refused(),
        }
    }

    /// Claims bytes that the holder holds already. Returns the holders that have to leave for them,
    /// which may be the claimant itself.
    pub fn claim_held(&mut self, id: HolderId, bytes: usize, now: Tick) -> Vec<HolderId> {
        self.add(id, bytes);
        let missing = self.held.saturating_sub(self.limit);
        let Some(holder) = self.holders.get(&id).copied().filter(|_| missing > 0) else {
            return Vec::new();
        };
        match self.choose_leaving(id, missing, holder.weight(now), now) {
            Some(leaving) => leaving,
            None if holder.may_leave() && !self.is_only_large(id) => {
                self.mark_leaving(&[id]);
                vec![id]
            }
            None => Vec::new(),
        }
    }

    /// Releases bytes that a holder has claimed.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        // What was claimed for a holder that is forgotten was not added.
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let released = bytes.min(holder.held);
        holder.held -= released;
        self.held -= released;
        if holder.is_closed && holder.held == 0 {
            self.holders.remove(&id);
        }
    }

    /// Chooses a holder that leaves so that another connection finds a place; `None` if all have moved
    /// something lately or do not wait for their peer.
    pub fn choose_idle(&mut self, now: Tick) -> Option<HolderId> {
        let idle = self.holders.iter().filter(|(_, holder)| {
            holder.may_leave() && holder.held > 0 && holder.moved.recent(now) == 0
        });
        let (id, _) = idle.max_by_key(|(id, holder)| (holder.held, u64::MAX - **id))?;
        let id = *id;
        self.mark_leaving(&[id]);
        Some(id)
    }

    fn add(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.held += bytes;
            self.held += bytes;
        }
    }

    /// Returns `true` if no other holder is large.
    fn is_only_large(&self, id: HolderId) -> bool {
        self.holders.iter().all(|(other, holder)| *other == id || holder.held <= SMALL_BYTES)
    }

    /// Returns `true` if no other holder that does not wait for its peer holds more.
    fn is_largest_at_work(&self, id: HolderId) -> bool {
        let at_work = self.holders.iter().filter(|(_, holder)| !holder.is_stalled);
        let largest = at_work.max_by_key(|(id, holder)| (holder.held, u64::MAX - **id));
        largest.is_none_or(|(largest, _)| *largest == id)
    }

    /// Chooses holders above `weight` that together release `missing` bytes, with those that leave
    /// already. Large ones come first. Returns `None` if there are not enough.
    fn choose_leaving(
        &mut self,
        claimant: HolderId,
        missing: usize,
        weight: usize,
        now: Tick,
    ) -> Option<Vec<HolderId>> {
        let leaving = self.holders.values().filter(|holder| holder.is_leaving);
        let mut released: usize = leaving.map(|holder| holder.held).sum();
        let mut candidates: Vec<_> = self
            .holders
            .iter()
            .filter(|(id, holder)| **id != claimant && holder.may_leave())
            .map(|(id, holder)| (holder.held > SMALL_BYTES, holder.weight(now), *id, holder.held))
            .filter(|(_, other_weight, ..)| *other_weight > weight)
            .collect();
        candidates.sort_unstable();
        let mut chosen = Vec::new();
        while released < missing {
            let (_, _, id, held) = candidates.pop()?;
            released += held;
            chosen.push(id);
        }
        self.mark_leaving(&chosen);
        Some(chosen)
    }

    fn mark_leaving(&mut self, ids: &[HolderId]) {
        for id in ids {
            if let Some(holder) = self.holders.get_mut(id) {
                self.leaving += usize::from(!std::mem::replace(&mut holder.is_leaving, true));
            }
        }
    }
}

fn refused() -> ClaimOutcome {
    ClaimOutcome { verdict: ClaimVerdict::Refused, leaving: Vec::new() }
}
