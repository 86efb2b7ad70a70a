//! Memory reservations at several engines for one prompt.
//!
//! Either all memory is reserved or none: engines are called in the order of their addresses, and
//! if one refuses, the earlier reservations are released. A reservation is short and is renewed
//! while its request lives. It thus expires soon after its owner has crashed, and a renewal that is
//! processed late holds memory only briefly.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::task::AbortHandle;

use super::protocol::{HelperReservation, Reservation, ReserveReply, TargetCall};
use crate::Result;
use crate::client::full;
use crate::relay::decide::placement::Placement;
use crate::relay::decide::targets::{TargetInstance, TargetState};
use crate::relay::peers::peer_message::PeerMessage;
use crate::relay::shared::RelayShared;

/// Time after which a reservation expires unless it is renewed: less than two seconds, after which
/// unused reserved memory is counted against its owner.
const RESERVATION_TTL: Duration = Duration::from_millis(1_900);

/// Interval between renewals; two renewals in a row may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// Timeout of a reservation call: a few round trips between failure domains.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of attempts to release a reservation; after that it expires by itself.
const MAX_RELEASE_ATTEMPTS: usize = 2;

#[derive(Clone)]
struct HeldReservation {
    address: SocketAddr,
    /// Instance that was asked for memory; `None` if the target is no longer listed.
    instance: Option<TargetInstance>,
    reservation: Reservation,
}

/// Reservations of one attempt. Dropping it releases them.
pub(crate) struct MemoryHold {
    shared: Rc<RelayShared>,
    reservations: Vec<HeldReservation>,
    renewal_task: Option<AbortHandle>,
}

impl MemoryHold {
    /// Reserves all memory of a placement and sets the reservation ids in `helpers`, whose first
    /// elements are the engines that reserve memory.
    ///
    /// # Errors
    ///
    /// An engine refused or did not answer; nothing stays reserved then.
    pub(crate) async fn reserve(
        shared: &Rc<RelayShared>,
        placement: &Placement,
        helpers: &mut [HelperReservation],
    ) -> std::result::Result<Self, String> {
        let mut hold =
            MemoryHold { shared: shared.clone(), reservations: Vec::new(), renewal_task: None };
        let mut wanted: Vec<_> = helpers.iter_mut().zip(&placement.reservations).collect();
        wanted.sort_by_key(|(helper, _)| helper.address);
        for (helper, memory) in wanted {
            let id = format!(
                "{:016x}{:08x}",
                shared.core.borrow().entry(),
                shared.next_reservation_number()
            );
            // A waiting reservation blocks other requests at the engine, and may succeed too late.
            let may_wait = false;
            let tokens = memory.tokens;
            let reservation = Reservation { id: id.into(), tokens, ttl: RESERVATION_TTL, may_wait };
            helper.reservation = Some(reservation.id.clone());
            // Recorded before the call: a call without an answer may have taken effect and must be
            // released.
            let instance = shared.core.borrow().instance_of(&memory.target);
            let reserved = HeldReservation { address: helper.address, instance, reservation };
            hold.reservations.push(reserved.clone());
            match send_reserve(shared, &reserved).await {
                Ok(ReserveReply::Held) => {}
                Ok(ReserveReply::Waiting | ReserveReply::Refused) => {
                    return Err(format!("no memory at {}", memory.target));
                }
                Err(error) => return Err(format!("no reservation at {}: {error}", memory.target)),
            }
        }
        let task = tokio::task::spawn_local(renew_all(shared.clone(), hold.reservations.clone()));
        hold.renewal_task = Some(task.abort_handle());
        Ok(hold)
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        if let Some(renewal_task) = self.renewal_task.take() {
            renewal_task.abort();
        }
        for reserved in std::mem::take(&mut self.reservations) {
            tokio::task::spawn_local(release(self.shared.clone(), reserved));
        }
    }
}

async fn renew_all(shared: Rc<RelayShared>, reservations: Vec<HeldReservation>) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        for reserved in &reservations {
            let result = send_reserve(&shared, reserved).await;
            if !matches!(result, Ok(ReserveReply::Held)) {
                slog::warn!(shared.log.logger(), "reservation not renewed";
                    "id" => &*reserved.reservation.id, "address" => %reserved.address,
                    "reply" => ?result);
            }
        }
    }
}

async fn release(shared: Rc<RelayShared>, reserved: HeldReservation) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let call = (shared.target_protocol.to_release)(&reserved.reservation.id);
        match send_call(&shared, &reserved, call).await {
            Ok(_) => return,
            Err(error) => slog::warn!(shared.log.logger(), "reservation not released";
                "id" => &*reserved.reservation.id, "address" => %reserved.address,
                "error" => %error),
        }
    }
}

async fn send_reserve(shared: &RelayShared, reserved: &HeldReservation) -> Result<ReserveReply> {
    let call = (shared.target_protocol.to_reserve)(&reserved.reservation);
    send_call(shared, reserved, call).await.map(shared.target_protocol.parse_reserve)
}

async fn send_call(
    shared: &RelayShared,
    reserved: &HeldReservation,
    call: TargetCall,
) -> Result<StatusCode> {
    let mut request = Request::new(full(call.body));
    *request.method_mut() = Method::POST;
    let uri = format!("http://{}{}", reserved.address, call.path);
    *request.uri_mut() = uri.parse().unwrap_or_default();
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let response = shared.http_client.call(request, CALL_TIMEOUT).await?;
    report_spent(shared, reserved);
    let head = (shared.target_protocol.parse_answer)(response.status(), response.headers());
    if !head.is_replaced {
        shared.apply_notice(reserved.instance.as_ref(), &head.notice, None);
    }
    Ok(response.status())
}

/// Reports a call that a rate-limited target received without a permit to the agent beside it,
/// which counts it as well. The calls do not wait for permits, since memory that is already
/// reserved has to be renewed and released.
fn report_spent(shared: &RelayShared, reserved: &HeldReservation) {
    let Some(instance) = &reserved.instance else { return };
    let has_rate_limit = |target: &TargetState| target.rate.is_some();
    if shared.core.borrow().targets.get(&instance.incarnation).is_some_and(has_rate_limit) {
        shared
            .link
            .send_beside(reserved.address, &PeerMessage::SentWithoutPermit(instance.clone()));
    }
}
