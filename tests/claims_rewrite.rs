//! After a return of the platform's store from an old copy each entry that had read a log of
//! claims wrote all that it lacked, at once: the writes grew with the entries, of which the first
//! of each log would have done, and the store's rate of writes was used up for callers' new claims.

use std::time::Duration;

use shalelane::claim::ClaimKey;
use shalelane::claim_store::{ClaimOutcome, ClaimStore};
use shalelane::store::StoreClient;
use standins::store_server::{StoreFault, StoreServer};
use tokio::task::LocalSet;

/// Entries that have read the log.
const ENTRIES: usize = 60;

/// Writes that the return of a log may take: a few entries look at the same moment.
const ALLOWED_WRITES: u64 = 12;

/// Time for all entries to have looked.
const SETTLED: Duration = Duration::from_secs(4);

/// An entry's view of the claims.
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
    let copy = store.to_copy();
    let entries: Vec<_> = (0..ENTRIES).map(|_| ClaimEntry::new(&store)).collect();
    assert_eq!(entries[0].claim("first").await, ClaimOutcome::Won);
    for entry in &entries[1..] {
        assert_eq!(entry.claim("other").await, ClaimOutcome::Taken("first".into()));
    }
    store.set_fault(StoreFault { delay: Duration::from_millis(5), ..StoreFault::default() });
    store.restore(copy);
    let before = store.counts();
    // All hear of the return at the same moment, when their watches of the configuration end.
    for entry in &entries {
        let client = entry.client.clone();
        tokio::task::spawn_local(async move { client.get("config").await.expect("an answer") });
    }
    tokio::time::sleep(SETTLED).await;
    let after = store.counts();
    let writes = after.writes + after.limited - before.writes - before.limited;
    assert!(writes <= ALLOWED_WRITES, "{writes} writes of one claim by {ENTRIES} entries");
    let late = ClaimEntry::new(&store);
    assert_eq!(late.claim("late").await, ClaimOutcome::Taken("first".into()));
}

#[test]
fn lost_claims_are_not_written_by_every_entry() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, rewrite());
}
