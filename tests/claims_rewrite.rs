//! Guards against a burst of writes after the store is restored from a backup.
//!
//! The fault: each entry that has read a log of claims rewrites all lost claims at once. One
//! write per log would suffice, but the number of writes grows with the number of entries and
//! uses up the store's write rate, so that callers' new claims can not be written.

use std::time::Duration;

use shalelane::claim::ClaimKey;
use shalelane::claim_store::{ClaimOutcome, ClaimStore};
use shalelane::store::StoreClient;
use standins::store_server::{StoreFault, StoreServer};
use tokio::task::LocalSet;

/// Number of entries that have read the log.
const ENTRIES: usize = 60;

/// Maximum number of writes for one restored log: a few entries may check it at the same moment.
const ALLOWED_WRITES: u64 = 12;

/// Time within which all entries have checked the log.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// The claim store of one entry, with its client.
struct ClaimEntry {
    client: StoreClient,
    claims: ClaimStore,
}

impl ClaimEntry {
    fn new(store: &StoreServer) -> Self {
        let client = StoreClient::new(store.server.address.to_string().into());
        ClaimEntry { claims: ClaimStore::new(client.clone()), client }
    }

    async fn claim(&self, request: &str) -> ClaimOutcome {
        self.claims.claim(ClaimKey::new("acme", "boats", "key"), request.into()).await
    }
}

async fn rewrite() {
    let store = StoreServer::start();
    let backup = store.to_snapshot();
    let entries: Vec<_> = (0..ENTRIES).map(|_| ClaimEntry::new(&store)).collect();
    assert_eq!(entries[0].claim("first").await, ClaimOutcome::Won);
    for entry in &entries[1..] {
        assert_eq!(entry.claim("other").await, ClaimOutcome::Taken("first".into()));
    }
    store.set_fault(StoreFault { delay: Duration::from_millis(5), ..StoreFault::default() });
    store.restore(backup);
    let before = store.counts();
    // All entries learn of the restore at the same moment, when their watches of the
    // configuration end.
    for entry in &entries {
        let client = entry.client.clone();
        tokio::task::spawn_local(async move { client.get("config").await.expect("an answer") });
    }
    tokio::time::sleep(SETTLING_TIME).await;
    let after = store.counts();
    let writes = after.writes + after.limited - before.writes - before.limited;
    assert!(writes <= ALLOWED_WRITES, "{writes} writes of one claim by {ENTRIES} entries");
    let late = ClaimEntry::new(&store);
    assert_eq!(late.claim("late").await, ClaimOutcome::Taken("first".into()));
}

#[test]
fn lost_claims_are_not_rewritten_by_every_entry() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, rewrite());
}
