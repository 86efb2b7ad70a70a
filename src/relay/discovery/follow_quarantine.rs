//! Writes the quarantine to the store, so that each entry that follows the configuration
//! knows it, also one that starts later.

use std::rc::Rc;
use std::time::Duration;

use super::follow_config::read_proof;
use super::source::{DiscoverySource, WriteOutcome};
use crate::relay::counts::StoreCall;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Minimum delay between two writes of this entry: targets that crash together are recorded
/// together.
const WRITE_DELAY: Duration = Duration::from_millis(100);

/// Writes due changes for as long as the process runs.
pub(crate) async fn follow_quarantine(shared: Rc<RelayShared>, source: Rc<DiscoverySource>) {
    loop {
        let due = shared.core.borrow().quarantine().write_due();
        wait_until(&shared, due).await;
        write_changes(&shared, &source).await;
        tokio::time::sleep(WRITE_DELAY).await;
    }
}

/// Waits until `due`, or until a signal that there is an earlier moment.
async fn wait_until(shared: &RelayShared, due: Option<Tick>) {
    let notified = shared.quarantine_write_due.notified();
    let Some(due) = due else { return notified.await };
    // If the wait is cut short, the caller finds nothing due.
    drop(tokio::time::timeout(due.since(shared.now()), notified).await);
}

async fn write_changes(shared: &RelayShared, source: &DiscoverySource) {
    let now = shared.now();
    let revision = shared.core.borrow().config_revision();
    let records = shared.core.borrow_mut().quarantine_to_write(now);
    let Some(records) = records else { return };
    let result = (source.write_quarantine)(revision, records.clone()).await;
    shared.counts.borrow().record_store_call(StoreCall::QuarantineWrite);
    match result {
        Ok(WriteOutcome::Done(revision)) => {
            shared.record_epoch(revision.epoch);
            let is_known =
                shared.core.borrow_mut().record_written(&records, revision, shared.now());
            if !is_known {
                reload(shared, source).await;
            }
        }
        Ok(WriteOutcome::Conflict) => reload(shared, source).await,
        Err(error) => {
            shared.counts.borrow_mut().store_failures += 1;
            shared.log.dependency_changed("quarantine in the store", false, &error.to_string());
        }
    }
}

/// Reads the conflicting state; records that are still missing are written later.
async fn reload(shared: &RelayShared, source: &DiscoverySource) {
    let sent_at = shared.now();
    match read_proof(shared, source).await {
        Ok(Some(read)) => {
            shared.record_epoch(read.revision.epoch);
            shared.apply_read(read, sent_at);
        }
        Ok(None) => {}
        Err(error) => {
            shared.counts.borrow_mut().store_failures += 1;
            shared.log.dependency_changed("quarantine in the store", false, &error.to_string());
        }
    }
}
