//! Claims in the platform's store, many of them in one write.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::claim::{ClaimHead, ClaimKey, ClaimLog, ClaimRecord, ClaimSegment};
use crate::clock::wall_micros;
use crate::error::{Error, Result};
use crate::store::StoreClient;

/// How long claims gather before they are written.
const GATHER: Duration = Duration::from_millis(20);

/// Most claims of a segment: about 100 KB.
const MAX_BATCH: usize = 1_000;

/// Time after the store came back from a copy in which nobody gets a key that is free: others
/// write their claims again that it lost. They hear of its return by their watch of the
/// configuration, half a second after it was cut, and write at once; the rest is for a slow
/// store.
const REWRITE_SPAN: Duration = Duration::from_secs(3);

/// Longest wait, at random, before an entry writes again what the store has lost: all entries
/// hear of its return at the same moment, and the first to write spares the others that.
const REWRITE_SPREAD: Duration = Duration::from_millis(1_200);

/// Wait before what the store has lost is tried again to be written: each entry does so for
/// each log that it has read.
const REWRITE_STEP: Duration = Duration::from_millis(500);

/// Readings back of a lost answer.
const READ_BACKS: u32 = 3;

/// Wait from one reading back to the next.
const READ_BACK_STEP: Duration = Duration::from_millis(100);

/// What came of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key belongs to the request that claimed it.
    Won,
    /// It belongs to another one.
    Taken(String),
    /// The store is away: nobody knows, and nothing may run.
    Away,
}

struct PendingClaim {
    record: ClaimRecord,
    answer: Option<oneshot::Sender<ClaimOutcome>>,
}

/// Writes claims, a task for each log that is in use.
pub struct ClaimStore {
    store: StoreClient,
    shards: RefCell<HashMap<u8, mpsc::UnboundedSender<PendingClaim>>>,
}

impl ClaimStore {
    /// Works on `store`.
    #[must_use]
    pub fn new(store: StoreClient) -> Self {
        ClaimStore { store, shards: RefCell::default() }
    }

    /// Claims a key for a request.
    pub async fn claim(&self, key: ClaimKey, request: String) -> ClaimOutcome {
        let (answer_in, answer) = oneshot::channel();
        let record = ClaimRecord { key, request, is_release: false };
        self.send(PendingClaim { record, answer: Some(answer_in) });
        answer.await.unwrap_or(ClaimOutcome::Away)
    }

    /// Gives a key back whose request was not run.
    pub fn release(&self, key: ClaimKey, request: String) {
        let record = ClaimRecord { key, request, is_release: true };
        self.send(PendingClaim { record, answer: None });
    }

    fn send(&self, pending: PendingClaim) {
        let shard = pending.record.key.shard();
        let mut shards = self.shards.borrow_mut();
        let sender = shards.entry(shard).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let writer = ShardWriter::new(self.store.clone(), shard);
            spawn_local(writer.run(receiver));
            sender
        });
        // The task runs as long as this store, which holds its sender.
        let _ = sender.send(pending);
    }
}

struct ShardWriter {
    store: StoreClient,
    shard: u8,
    log: Option<ClaimLog>,
    /// Epoch of the store in which the log was read.
    log_epoch: u64,
    /// Where the log begins, as it was read or written last.
    head: ClaimHead,
    /// Until when others may still write again what the store has lost.
    closed_until: Option<Instant>,
    /// Claims that the store has lost and that are to be written again.
    lost: Vec<ClaimRecord>,
    /// When this writer does so, none where that is not decided.
    rewrite_at: Option<Instant>,
    leftover: Vec<ClaimRecord>,
}

impl ShardWriter {
    fn new(store: StoreClient, shard: u8) -> Self {
        ShardWriter {
            store,
            shard,
            log: None,
            log_epoch: 0,
            head: ClaimHead::default(),
            closed_until: None,
            lost: Vec::new(),
            rewrite_at: None,
            leftover: Vec::new(),
        }
    }

    /// Returns true where the store lacks what this writer knows.
    fn is_rewrite_due(&self) -> bool {
        let is_outdated = self.log_epoch != self.store.epoch();
        (self.log.is_some() && is_outdated) || !self.lost.is_empty()
    }

    /// When what the store has lost is tried to be written.
    fn next_rewrite(&self) -> Instant {
        let step = Instant::now() + REWRITE_STEP;
        self.rewrite_at.map_or(step, |at| if at > Instant::now() { at } else { step })
    }

    async fn run(mut self, mut pending: mpsc::UnboundedReceiver<PendingClaim>) {
        let mut batch = Vec::new();
        let mut epochs = self.store.subscribe_epoch();
        loop {
            tokio::select! {
                count = pending.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    tokio::time::sleep(GATHER).await;
                }
                // What the store has lost is written again, whether anybody asks or not.
                _ = epochs.changed() => {
                    self.rewrite_at = Some(Instant::now() + REWRITE_SPREAD.mul_f64(rand::random()));
                    continue;
                }
                () = tokio::time::sleep_until(self.next_rewrite()), if self.is_rewrite_due() => {}
            }
            while batch.len() < MAX_BATCH
                && let Ok(more) = pending.try_recv()
            {
                batch.push(more);
            }
            self.settle(std::mem::take(&mut batch)).await;
        }
    }

    /// Writes a batch and answers every claim of it.
    async fn settle(&mut self, batch: Vec<PendingClaim>) {
        let mut records = std::mem::take(&mut self.leftover);
        records.extend(batch.iter().map(|one| one.record.clone()));
        let is_known = self.write(&records).await.is_ok();
        if !is_known {
            self.keep_releases(records);
        }
        for one in batch {
            let Some(answer) = one.answer else { continue };
            let owner = self.log.as_ref().and_then(|log| log.owner(&one.record.key));
            let outcome = match owner {
                _ if !is_known => ClaimOutcome::Away,
                Some(owner) if owner == one.record.request => ClaimOutcome::Won,
                Some(owner) => ClaimOutcome::Taken(owner.to_owned()),
                None => ClaimOutcome::Away,
            };
            // A caller that went away has no use for the answer.
            let _ = answer.send(outcome);
        }
    }

    /// Keeps for the next batch that keys are to be given back: also those whose
    /// claim may yet take effect, and whose request was refused.
    fn keep_releases(&mut self, records: Vec<ClaimRecord>) {
        let releases = records.into_iter().map(|one| ClaimRecord { is_release: true, ..one });
        self.leftover = releases.collect();
        self.leftover.truncate(MAX_BATCH);
    }

    /// Writes what is worth writing, behind all that others have written.
    async fn write(&mut self, records: &[ClaimRecord]) -> Result<()> {
        self.load().await?;
        let rewrites = self.rewrites(records);
        if rewrites && !self.lost.is_empty() {
            self.catch_up().await?;
        }
        loop {
            let is_closed = self.closed_until.is_some_and(|until| Instant::now() < until);
            let Some(log) = &mut self.log else {
                return Err(Error::unreachable("no log"));
            };
            let at = wall_micros() / 1_000_000;
            let first = log.expire(at).unwrap_or(self.head.first);
            let epoch = if is_closed { self.head.epoch } else { self.log_epoch };
            let head = ClaimHead { first, epoch };
            if head != self.head {
                self.head = head;
                let name = head_name(self.shard);
                spawn_local(move_head(self.store.clone(), name, head));
            }
            let wanted = records.iter().filter(|one| one.is_release || !is_closed);
            let lost = self.lost.iter().filter(|_| rewrites);
            let wanted: Vec<_> = lost.chain(wanted).cloned().collect();
            let mut selected = log.select(&wanted);
            selected.truncate(MAX_BATCH);
            if selected.is_empty() {
                if rewrites {
                    self.lost.clear();
                }
                return Ok(());
            }
            let number = log.next();
            let token = format!("{:016x}", rand::random::<u64>());
            let segment = ClaimSegment { token, at, records: selected };
            let found = self.create(number, &segment).await?;
            if self.store.epoch() != self.log_epoch {
                // The store came back from a copy: the segment may stand behind a gap.
                self.load().await?;
                continue;
            }
            if let Some(log) = &mut self.log {
                log.push(&found);
            }
        }
    }

    /// Creates a segment. Returns the one that is there in the end: this one,
    /// or that of a faster writer.
    async fn create(&self, number: u64, segment: &ClaimSegment) -> Result<ClaimSegment> {
        let name = self.name(number);
        let Err(cause) = self.store.put(&name, to_bytes(segment), 0).await else {
            return Ok(segment.clone());
        };
        for _ in 0..READ_BACKS {
            match read(&self.store, &name).await {
                Ok(Some(found)) => return Ok(found),
                // The write was refused, and has not taken effect.
                Ok(None) if !cause.is_unreachable() => return Err(cause),
                _ => tokio::time::sleep(READ_BACK_STEP).await,
            }
        }
        Err(cause)
    }

    /// Reads the log up to its end, once in each epoch of the store. What others write later
    /// is found where this writer wants to write.
    async fn load(&mut self) -> Result<()> {
        if self.log.is_some() && self.log_epoch == self.store.epoch() {
            return Ok(());
        }
        let head: Option<ClaimHead> = read(&self.store, &head_name(self.shard)).await?;
        let head = head.unwrap_or_default();
        let epoch = self.store.epoch();
        let mut log = ClaimLog::new(head);
        while let Some(segment) = read(&self.store, &self.name(log.next())).await? {
            log.push(&segment);
        }
        if self.store.epoch() != epoch {
            return Err(Error::unreachable("the store came back while its log was read"));
        }
        if let Some(former) = &self.log {
            self.lost.extend(former.missing_in(&log));
        }
        self.log = Some(log);
        self.log_epoch = epoch;
        self.head = head;
        // Nobody has said since the store came back that the log is whole again.
        let is_rewritten = head.epoch >= epoch;
        self.closed_until = (!is_rewritten).then(|| Instant::now() + REWRITE_SPAN);
        Ok(())
    }

    /// Returns true where what was lost is to be written with these records. Before its turn
    /// this writer leaves that to others, unless a key might be given out that was lost, or is
    /// given back.
    fn rewrites(&self, records: &[ClaimRecord]) -> bool {
        let now = Instant::now();
        let is_closed = self.closed_until.is_some_and(|until| now < until);
        let is_turn = self.rewrite_at.is_none_or(|at| now >= at);
        is_turn || !is_closed || records.iter().any(|one| one.is_release)
    }

    /// Reads what others have written since the log was read.
    async fn catch_up(&mut self) -> Result<()> {
        while let Some(number) = self.log.as_ref().map(ClaimLog::next)
            && let Some(segment) = read(&self.store, &self.name(number)).await?
        {
            if let Some(log) = &mut self.log {
                log.push(&segment);
            }
        }
        Ok(())
    }

    fn name(&self, number: u64) -> String {
        format!("claims/{}/{number}", self.shard)
    }
}

fn head_name(shard: u8) -> String {
    format!("claims/{shard}/head")
}

async fn read<T: DeserializeOwned>(store: &StoreClient, name: &str) -> Result<Option<T>> {
    let Some(stored) = store.get(name).await? else { return Ok(None) };
    serde_json::from_slice(&stored.content).map(Some).map_err(Error::unreachable)
}

/// Moves the beginning of a log, where no other has. If this fails, the next one moves it
/// further.
async fn move_head(store: StoreClient, name: String, head: ClaimHead) {
    let Ok(stored) = store.get(&name).await else { return };
    let known = stored.as_ref().and_then(|stored| serde_json::from_slice(&stored.content).ok());
    if known.is_some_and(|known: ClaimHead| known.first >= head.first && known.epoch >= head.epoch)
    {
        return;
    }
    let version = stored.map_or(0, |stored| stored.version);
    let _ = store.put(&name, to_bytes(&head), version).await;
}

fn to_bytes<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// A claim store that tasks of one thread share.
pub(crate) type SharedClaims = Rc<ClaimStore>;
