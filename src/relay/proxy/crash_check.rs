//! Probes whether a plain target has crashed after its connection broke during a request.
//!
//! The agent of an engine reports a crash within half a second. The target list reports the crash
//! of a plain target only after three heartbeats; until then, a request that crashes targets could
//! be sent to that address again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::connections::connect;
use crate::relay::decide::targets::TargetInstance;
use crate::relay::shared::RelayShared;

/// Delay before each probe: a target counts as crashed only after its port has refused connections
/// for 50 ms.
const PROBE_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of probes.
const MAX_PROBES: u32 = 2;

/// Probes the address of a plain target unless a probe of that instance is already running.
pub(crate) fn check_crash(shared: &Rc<RelayShared>, instance: &TargetInstance) {
    let Some(address) = plain_address(shared, instance) else { return };
    if !shared.crash_checks.borrow_mut().insert(instance.clone()) {
        return;
    }
    let (shared, instance) = (shared.clone(), instance.clone());
    tokio::task::spawn_local(async move {
        probe_address(&shared, &instance, address).await;
        shared.crash_checks.borrow_mut().remove(&instance);
        shared.report_suspects();
    });
}

/// Returns the address of a plain target; `None` for an engine or a target that is not listed.
fn plain_address(shared: &RelayShared, instance: &TargetInstance) -> Option<SocketAddr> {
    let core = shared.core.borrow();
    let target = core.targets.get(&instance.incarnation)?;
    target.model.is_none().then_some(target.record.address)
}

async fn probe_address(shared: &RelayShared, instance: &TargetInstance, address: SocketAddr) {
    for _ in 0..MAX_PROBES {
        tokio::time::sleep(PROBE_DELAY).await;
        let Err(fault) = connect(address, &shared.target_connections).await else { return };
        if !fault.is_refused()
            || shared.core.borrow_mut().record_unreachable(instance, shared.now())
        {
            return;
        }
    }
}
