//! Looks whether a plain target has ended that broke off a request. An engine's agent
//! tells of its end within half a second; of a plain target's the list tells after three
//! heartbeats, and a request that ends targets would reach it again meanwhile.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::connections::connect;
use crate::relay::decide::targets::TargetLife;
use crate::relay::shared::RelayShared;

/// Time before each look: nobody has to listen there for 50 ms until a target has ended.
const LOOK_STEP: Duration = Duration::from_millis(60);

/// Most looks.
const LOOKS: u32 = 2;

/// Looks at a target's address, where no other look is under way.
pub(crate) fn check_end(shared: &Rc<RelayShared>, life: &TargetLife) {
    let Some(address) = plain_address(shared, life) else { return };
    if !shared.end_checks.borrow_mut().insert(life.clone()) {
        return;
    }
    let (shared, life) = (shared.clone(), life.clone());
    tokio::task::spawn_local(async move {
        look(&shared, &life, address).await;
        shared.end_checks.borrow_mut().remove(&life);
        shared.tell_suspects();
    });
}

/// The address of a plain target, none for an engine or one that is gone.
fn plain_address(shared: &RelayShared, life: &TargetLife) -> Option<SocketAddr> {
    let core = shared.core.borrow();
    let target = core.targets.get(&life.incarnation)?;
    target.model.is_none().then_some(target.record.address)
}

async fn look(shared: &RelayShared, life: &TargetLife, address: SocketAddr) {
    for _ in 0..LOOKS {
        tokio::time::sleep(LOOK_STEP).await;
        let Err(fault) = connect(address).await else { return };
        if !fault.is_refused() || shared.core.borrow_mut().note_unreachable(life, shared.now()) {
            return;
        }
    }
}
