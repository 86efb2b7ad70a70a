//! Keys of requests that did not run stayed taken: nobody released the claim of a caller that had
//! given up meanwhile, and an entry that had seen a key taken did not read its release.

use std::rc::Rc;
use std::time::{Duration, Instant};

use shalelane::claim::ClaimKey;
use shalelane::claim_store::{ClaimOutcome, ClaimStore};
use shalelane::store::StoreClient;
use standins::store_server::{StoreFault, StoreServer};
use tokio::task::LocalSet;

/// Delay of the store's answers, longer than the caller waits.
const STORE_DELAY: Duration = Duration::from_millis(200);

/// Time within which the key has to be free again.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);

fn new_claims(store: &StoreServer) -> Rc<ClaimStore> {
    Rc::new(ClaimStore::new(StoreClient::new(store.server.address.to_string().into())))
}

async fn abandon_claim() {
    let store = StoreServer::start();
    let one = new_claims(&store);
    let key = ClaimKey::new("acme", "boats", "key");
    store.set_fault(StoreFault { delay: STORE_DELAY, ..StoreFault::default() });
    let claim = one.claim(key.clone(), "abandoned".into());
    assert!(tokio::time::timeout(STORE_DELAY / 4, claim).await.is_err(), "the claim was fast");
    tokio::time::sleep(STORE_DELAY * 5).await;
    store.set_fault(StoreFault::default());
    wait_free(|| new_claims(&store), &key).await;
}

async fn release_elsewhere() {
    let store = StoreServer::start();
    let (one, other) = (new_claims(&store), new_claims(&store));
    let key = ClaimKey::new("acme", "boats", "key");
    assert_eq!(one.claim(key.clone(), "first".into()).await, ClaimOutcome::Won);
    let outcome = other.claim(key.clone(), "second".into()).await;
    assert_eq!(outcome, ClaimOutcome::Taken("first".into()));
    one.release(key.clone(), "first".into());
    wait_free(|| other.clone(), &key).await;
}

/// Claims a key until the claim succeeds.
async fn wait_free(claims: impl Fn() -> Rc<ClaimStore>, key: &ClaimKey) {
    let start = Instant::now();
    loop {
        let outcome = claims().claim(key.clone(), "repeated".into()).await;
        if outcome == ClaimOutcome::Won {
            return;
        }
        assert!(start.elapsed() < RELEASE_LIMIT, "the key stays {outcome:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn block_on(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, work);
}

#[test]
fn a_key_whose_caller_gave_up_before_the_claim_is_free_again() {
    block_on(abandon_claim());
}

#[test]
fn a_key_that_one_entry_releases_is_free_at_an_entry_that_saw_it_taken() {
    block_on(release_elsewhere());
}
