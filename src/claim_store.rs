//! Claims in the platform's store, written in batches.

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

/// Time for which claims are collected into one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Maximum number of claims in a segment: about 100 KB.
const MAX_BATCH: usize = 1_000;

/// Time after a restore of the store from a backup during which no free key is granted, because
/// other entries may still rewrite the claims that the store has lost. They learn of the restore
/// through their watch of the configuration, half a second after the watch was cut, and write
/// within [`MAX_REWRITE_DELAY`]; the remaining time is for a slow store.
const REWRITE_WINDOW: Duration = Duration::from_secs(3);

/// Maximum random delay before an entry rewrites the claims that the store has lost. All entries
/// learn of the restore at the same moment, and the first write makes those of the others
/// unnecessary.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1_200);

/// Delay before the next attempt to rewrite lost claims. Each entry makes these attempts for
/// each log that it has read.
const REWRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay before releases that are not part of a batch are written.
const RELEASE_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of reads that check whether a write without a usable answer took effect.
const MAX_READ_BACKS: u32 = 3;

/// Delay between two such reads.
const READ_BACK_DELAY: Duration = Duration::from_millis(100);

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request owns the key.
    Won,
    /// Another request, named here, owns the key.
    Taken(String),
    /// The store is unreachable: the owner is unknown, so the request must not run.
    StoreUnreachable,
}

struct PendingClaim {
    record: ClaimRecord,
    answer: Option<oneshot::Sender<ClaimOutcome>>,
}

/// Writes claims to the store, with one task per log in use.
pub struct ClaimStore {
    store: StoreClient,
    shards: RefCell<HashMap<u8, mpsc::UnboundedSender<PendingClaim>>>,
}

impl ClaimStore {
    /// Creates a claim store that uses `store`.
    #[must_use]
    pub fn new(store: StoreClient) -> Self {
        ClaimStore { store, shards: RefCell::default() }
    }

    /// Claims a key for a request.
    pub async fn claim(&self, key: ClaimKey, request: String) -> ClaimOutcome {
        let (answer_sender, answer) = oneshot::channel();
        let record = ClaimRecord { key, request, is_release: false };
        self.send(PendingClaim { record, answer: Some(answer_sender) });
        answer.await.unwrap_or(ClaimOutcome::StoreUnreachable)
    }

    /// Releases a key whose request was not run.
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
        // The task runs as long as this store holds its sender.
        let _ = sender.send(pending);
    }
}

struct ShardWriter {
    store: StoreClient,
    shard: u8,
    log: Option<ClaimLog>,
    /// Store epoch in which the log was read.
    log_epoch: u64,
    /// Head of the log, as last read or written.
    head: ClaimHead,
    /// End of the time in which other entries may still rewrite lost claims.
    rewrite_end: Option<Instant>,
    /// Claims that the store has lost and that have to be rewritten.
    lost: Vec<ClaimRecord>,
    /// When this writer rewrites lost claims; `None` if no time is chosen.
    rewrite_at: Option<Instant>,
    /// Releases of failed batches, to be written with the next batch.
    unwritten_releases: Vec<ClaimRecord>,
    /// When those releases are written if no batch arrives; `None` if there are none.
    release_at: Option<Instant>,
}

impl ShardWriter {
    fn new(store: StoreClient, shard: u8) -> Self {
        ShardWriter {
            store,
            shard,
            log: None,
            log_epoch: 0,
            head: ClaimHead::default(),
            rewrite_end: None,
            lost: Vec::new(),
            rewrite_at: None,
            unwritten_releases: Vec::new(),
            release_at: None,
        }
    }

    /// Returns `true` if the store may lack claims that this writer knows.
    fn is_rewrite_due(&self) -> bool {
        let is_outdated = self.log_epoch != self.store.epoch();
        (self.log.is_some() && is_outdated) || !self.lost.is_empty()
    }

    /// Returns the time of the next attempt to rewrite lost claims.
    fn next_rewrite(&self) -> Instant {
        let retry = Instant::now() + REWRITE_RETRY_DELAY;
        self.rewrite_at.map_or(retry, |at| if at > Instant::now() { at } else { retry })
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
                    tokio::time::sleep(BATCH_WINDOW).await;
                }
                // Lost claims are rewritten even if no new claim arrives.
                _ = epochs.changed() => {
                    self.rewrite_at = Some(Instant::now() + MAX_REWRITE_DELAY.mul_f64(rand::random()));
                    continue;
                }
                () = tokio::time::sleep_until(self.next_rewrite()), if self.is_rewrite_due() => {}
                () = sleep_until(self.release_at), if self.release_at.is_some() => {}
            }
            while batch.len() < MAX_BATCH
                && let Ok(more) = pending.try_recv()
            {
                batch.push(more);
            }
            self.write_batch(std::mem::take(&mut batch)).await;
        }
    }

    /// Writes a batch and answers each of its claims.
    async fn write_batch(&mut self, batch: Vec<PendingClaim>) {
        let mut records = std::mem::take(&mut self.unwritten_releases);
        self.release_at = None;
        records.extend(batch.iter().map(|pending| pending.record.clone()));
        let is_written = self.write(&records).await.is_ok();
        if !is_written {
            self.keep_releases(records);
        }
        for pending in batch {
            let Some(answer) = pending.answer else { continue };
            let owner = self.log.as_ref().and_then(|log| log.owner(&pending.record.key));
            let outcome = match owner {
                _ if !is_written => ClaimOutcome::StoreUnreachable,
                Some(owner) if owner == pending.record.request => ClaimOutcome::Won,
                Some(owner) => ClaimOutcome::Taken(owner.to_owned()),
                None => ClaimOutcome::StoreUnreachable,
            };
            let is_won = outcome == ClaimOutcome::Won;
            if answer.send(outcome).is_err() && is_won {
                // The caller has disconnected, so the request does not run.
                self.unwritten_releases.push(ClaimRecord { is_release: true, ..pending.record });
                self.release_at = Some(Instant::now() + RELEASE_DELAY);
            }
        }
    }

    /// Keeps the releases of a failed batch for the next one, and turns its claims into
    /// releases: such a claim may still take effect although its request was refused.
    fn keep_releases(&mut self, records: Vec<ClaimRecord>) {
        let releases = records.into_iter().map(|record| ClaimRecord { is_release: true, ..record });
        self.unwritten_releases = releases.collect();
        self.unwritten_releases.truncate(MAX_BATCH);
    }

    /// Appends the records that change the log, after all segments of other writers.
    async fn write(&mut self, records: &[ClaimRecord]) -> Result<()> {
        self.load().await?;
        let is_rewrite = self.is_rewrite(records);
        // A key that is taken here may have been released by another writer.
        if is_rewrite && !self.lost.is_empty() || self.has_taken_key(records) {
            self.catch_up().await?;
        }
        loop {
            let awaits_rewrites = self.rewrite_end.is_some_and(|end| Instant::now() < end);
            let Some(log) = &mut self.log else {
                return Err(Error::unreachable("claim log not loaded"));
            };
            let at = wall_micros() / 1_000_000;
            let first = log.expire(at).unwrap_or(self.head.first);
            let epoch = if awaits_rewrites { self.head.epoch } else { self.log_epoch };
            let head = ClaimHead { first, epoch };
            if head != self.head {
                self.head = head;
                let name = head_name(self.shard);
                spawn_local(advance_head(self.store.clone(), name, head));
            }
            let writable = records.iter().filter(|record| record.is_release || !awaits_rewrites);
            let lost = self.lost.iter().filter(|_| is_rewrite);
            let writable: Vec<_> = lost.chain(writable).cloned().collect();
            let mut selected = log.select(&writable);
            selected.truncate(MAX_BATCH);
            if selected.is_empty() {
                if is_rewrite {
                    self.lost.clear();
                }
                return Ok(());
            }
            let number = log.next();
            let token = format!("{:016x}", rand::random::<u64>());
            let segment = ClaimSegment { token, at, records: selected };
            let found = self.create(number, &segment).await?;
            if self.store.epoch() != self.log_epoch {
                // The store was restored from a backup: there may be a gap before the segment.
                self.load().await?;
                continue;
            }
            if let Some(log) = &mut self.log {
                log.push(&found);
            }
        }
    }

    /// Creates a segment. Returns the segment that is stored under the number: this one,
    /// or that of a faster writer.
    async fn create(&self, number: u64, segment: &ClaimSegment) -> Result<ClaimSegment> {
        let name = self.segment_name(number);
        let Err(cause) = self.store.put(&name, to_bytes(segment), 0).await else {
            return Ok(segment.clone());
        };
        for _ in 0..MAX_READ_BACKS {
            match read(&self.store, &name).await {
                Ok(Some(found)) => return Ok(found),
                // The store refused the write, so it has not taken effect.
                Ok(None) if !cause.is_unreachable() => return Err(cause),
                _ => tokio::time::sleep(READ_BACK_DELAY).await,
            }
        }
        Err(cause)
    }

    /// Reads the log up to its end, once per store epoch. Segments that other writers add later
    /// are found when this writer tries to create a segment under the same number.
    async fn load(&mut self) -> Result<()> {
        if self.log.is_some() && self.log_epoch == self.store.epoch() {
            return Ok(());
        }
        let head: Option<ClaimHead> = read(&self.store, &head_name(self.shard)).await?;
        let head = head.unwrap_or_default();
        let epoch = self.store.epoch();
        let mut log = ClaimLog::new(head);
        while let Some(segment) = read(&self.store, &self.segment_name(log.next())).await? {
            log.push(&segment);
        }
        if self.store.epoch() != epoch {
            return Err(Error::unreachable(
                "store restored from a backup while a claim log was read",
            ));
        }
        if let Some(previous) = &self.log {
            self.lost.extend(previous.missing_in(&log));
        }
        self.log = Some(log);
        self.log_epoch = epoch;
        self.head = head;
        // Free keys are withheld until the head shows that the log is complete in this epoch.
        let is_complete = head.epoch >= epoch;
        self.rewrite_end = (!is_complete).then(|| Instant::now() + REWRITE_WINDOW);
        Ok(())
    }

    /// Returns `true` if lost claims have to be written together with these records. Until its
    /// chosen time this writer leaves the rewrite to other entries, unless keys whose claims
    /// were lost could be granted or the records contain a release.
    fn is_rewrite(&self, records: &[ClaimRecord]) -> bool {
        let now = Instant::now();
        let awaits_rewrites = self.rewrite_end.is_some_and(|end| now < end);
        let is_due = self.rewrite_at.is_none_or(|at| now >= at);
        is_due || !awaits_rewrites || records.iter().any(|record| record.is_release)
    }

    /// Returns `true` if one of the claims is on a key that another request owns.
    fn has_taken_key(&self, records: &[ClaimRecord]) -> bool {
        let Some(log) = &self.log else { return false };
        let mut claims = records.iter().filter(|record| !record.is_release);
        claims.any(|claim| log.owner(&claim.key).is_some_and(|owner| owner != claim.request))
    }

    /// Reads the segments that other writers have added since the log was read.
    async fn catch_up(&mut self) -> Result<()> {
        while let Some(number) = self.log.as_ref().map(ClaimLog::next)
            && let Some(segment) = read(&self.store, &self.segment_name(number)).await?
        {
            if let Some(log) = &mut self.log {
                log.push(&segment);
            }
        }
        Ok(())
    }

    fn segment_name(&self, number: u64) -> String {
        format!("claims/{}/{number}", self.shard)
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn head_name(shard: u8) -> String {
    format!("claims/{shard}/head")
}

async fn read<T: DeserializeOwned>(store: &StoreClient, name: &str) -> Result<Option<T>> {
    let Some(stored) = store.get(name).await? else { return Ok(None) };
    serde_json::from_slice(&stored.content).map(Some).map_err(Error::unreachable)
}

/// Advances the stored head of a log, unless another writer has done so. If this fails, the
/// next change of the head advances it further.
async fn advance_head(store: StoreClient, name: String, head: ClaimHead) {
    let Ok(stored) = store.get(&name).await else { return };
    let current = stored.as_ref().and_then(|stored| serde_json::from_slice(&stored.content).ok());
    if current.is_some_and(|current: ClaimHead| {
        current.first >= head.first && current.epoch >= head.epoch
    }) {
        return;
    }
    let version = stored.map_or(0, |stored| stored.version);
    let _ = store.put(&name, to_bytes(&head), version).await;
}

fn to_bytes<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// A claim store shared by the tasks of one thread.
pub(crate) type SharedClaims = Rc<ClaimStore>;
