//! Puts into the store which requests are held back, so that each entry knows it that
//! follows the configuration, also one that starts later.

use std::rc::Rc;
use std::time::Duration;

use super::feed::{PlatformFeed, WriteEnd};
use super::follow_config::read_proof;
use crate::relay::counts::StoreCall;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Least time between two writes of this entry: targets that end together are noted
/// together.
const WRITE_REST: Duration = Duration::from_millis(100);

/// Writes what is due for as long as the process runs.
pub(crate) async fn follow_quarantine(shared: Rc<RelayShared>, feed: Rc<PlatformFeed>) {
    loop {
        let due = shared.core.borrow().quarantine().holds().write_due();
        wait_until(&shared, due).await;
        write_due(&shared, &feed).await;
        tokio::time::sleep(WRITE_REST).await;
    }
}

/// Waits for a moment, or for word that there is an earlier one.
async fn wait_until(shared: &RelayShared, due: Option<Tick>) {
    let told = shared.quarantine_due.notified();
    let Some(due) = due else { return told.await };
    // A wait that is cut short finds nothing due.
    drop(tokio::time::timeout(due.since(shared.now()), told).await);
}

async fn write_due(shared: &RelayShared, feed: &PlatformFeed) {
    let now = shared.now();
    let revision = shared.core.borrow().config_revision();
    let records = shared.core.borrow_mut().quarantine_to_write(now);
    let Some(records) = records else { return };
    let result = (feed.write_quarantine)(revision, records.clone()).await;
    shared.counts.borrow().note_store_call(StoreCall::QuarantineWrite);
    match result {
        Ok(WriteEnd::Done(revision)) => {
            shared.note_epoch(revision.epoch);
            let is_known = shared.core.borrow_mut().note_written(&records, revision, shared.now());
            if !is_known {
                read_again(shared, feed).await;
            }
        }
        Ok(WriteEnd::Conflict) => read_again(shared, feed).await,
        Err(error) => {
            shared.counts.borrow_mut().store_failures += 1;
            shared.log.dependency("quarantine in the store", false, &error.to_string());
        }
    }
}

/// Reads what has come to be there instead; what is still missing is written later.
async fn read_again(shared: &RelayShared, feed: &PlatformFeed) {
    let sent_at = shared.now();
    match read_proof(shared, feed).await {
        Ok(Some(read)) => {
            shared.note_epoch(read.revision.epoch);
            shared.take_read(read, sent_at);
        }
        Ok(None) => {}
        Err(error) => {
            shared.counts.borrow_mut().store_failures += 1;
            shared.log.dependency("quarantine in the store", false, &error.to_string());
        }
    }
}
