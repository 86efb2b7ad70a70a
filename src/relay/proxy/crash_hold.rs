//! Holds a request whose connections broke until the crashes of its engines are known.

use std::time::Duration;

use super::job::RelayJob;
use crate::relay::log_line::RetryStop;
use crate::relay::shared::RelayShared;

/// Interval at which a held request checks what is known of its engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until it is known whether engines crashed under this request.
///
/// # Errors
///
/// The request was quarantined meanwhile.
pub(crate) async fn wait_for_crash_reports(
    shared: &RelayShared,
    job: &RelayJob,
) -> Result<(), RetryStop> {
    let started = shared.now();
    while let Some(until) = job.crash_wait_until(shared) {
        if job.quarantine_hold(shared).is_some() {
            return Err(RetryStop::Quarantined);
        }
        let now = shared.now();
        if now >= until {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL.min(until.since(now))).await;
    }
    let waited = shared.now().since(started);
    if waited >= CHECK_INTERVAL {
        slog::info!(shared.log.logger(), "crash reports awaited"; "id" => %job.id,
            "waited_ms" => waited.as_millis() as u64);
    }
    Ok(())
}
