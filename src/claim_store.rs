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

use crate::claim::{ClaimHead, ClaimKey, ClaimLog, ClaimRecord, ClaimSegment};
use crate::clock::wall_micros;
use crate::error::{Error, Result};
use crate::store::StoreClient;

/// How long claims gather before they are written.
const GATHER: Duration = Duration::from_millis(20);

/// Most claims of a segment: about 100 KB.
const MAX_BATCH: usize = 1_000;

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
            let writer =
                ShardWriter { store: self.store.clone(), shard, log: None, leftover: Vec::new() };
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
    leftover: Vec<ClaimRecord>,
}

impl ShardWriter {
    async fn run(mut self, mut pending: mpsc::UnboundedReceiver<PendingClaim>) {
        let mut batch = Vec::new();
        while pending.recv_many(&mut batch, MAX_BATCH).await > 0 {
            tokio::time::sleep(GATHER).await;
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
        loop {
            let Some(log) = &mut self.log else {
                return Err(Error::unreachable("no log"));
            };
            let at = wall_micros() / 1_000_000;
            if let Some(head) = log.expire(at) {
                let store = self.store.clone();
                let name = format!("claims/{}/head", self.shard);
                spawn_local(move_head(store, name, head));
            }
            let selected = log.select(records);
            if selected.is_empty() {
                return Ok(());
            }
            let number = log.next();
            let token = format!("{:016x}", rand::random::<u64>());
            let segment = ClaimSegment { token, at, records: selected };
            let found = self.create(number, &segment).await?;
            let is_own = found.token == segment.token;
            if let Some(log) = &mut self.log {
                log.push(&found);
            }
            if is_own {
                return Ok(());
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

    /// Reads the log up to its end, once. What others write later is found
    /// where this writer wants to write.
    async fn load(&mut self) -> Result<()> {
        if self.log.is_some() {
            return Ok(());
        }
        let head = read(&self.store, &format!("claims/{}/head", self.shard)).await?;
        let mut log = ClaimLog::new(head.unwrap_or(ClaimHead { first: 1 }));
        while let Some(segment) = read(&self.store, &self.name(log.next())).await? {
            log.push(&segment);
        }
        self.log = Some(log);
        Ok(())
    }

    fn name(&self, number: u64) -> String {
        format!("claims/{}/{number}", self.shard)
    }
}

async fn read<T: DeserializeOwned>(store: &StoreClient, name: &str) -> Result<Option<T>> {
    let Some(stored) = store.get(name).await? else { return Ok(None) };
    serde_json::from_slice(&stored.content).map(Some).map_err(Error::unreachable)
}

/// Moves the beginning of a log. If this fails, the next one moves it further.
async fn move_head(store: StoreClient, name: String, head: ClaimHead) {
    let Ok(stored) = store.get(&name).await else { return };
    let version = stored.map_or(0, |stored| stored.version);
    let _ = store.put(&name, to_bytes(&head), version).await;
}

fn to_bytes<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// A claim store that tasks of one thread share.
pub(crate) type SharedClaims = Rc<ClaimStore>;
