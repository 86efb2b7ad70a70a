//! Memory reservations at several engines for one prompt.
//!
//! Either all memory is reserved or none: engines are called in the order of their addresses, and
//! if one refuses, the earlier reservations are released. Each reservation has a task of its own
//! that makes the calls which [`ReservationState`] decides on, until the memory is released.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::sync::{Notify, oneshot};

use super::protocol::{HelperReservation, Reservation, ReserveReply, TargetCall};
use crate::Result;
use crate::client::full;
use crate::relay::decide::placement::Placement;
use crate::relay::decide::reservation::{
    CallOutcome, RESERVATION_TTL, ReservationCall, ReservationState,
};
use crate::relay::decide::targets::{TargetInstance, TargetState};
use crate::relay::peers::peer_message::PeerMessage;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Timeout of a reservation call: a few round trips between failure domains.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A reservation at one engine.
struct HeldReservation {
    address: SocketAddr,
    /// Instance that was asked for memory; `None` if the target is no longer listed.
    instance: Option<TargetInstance>,
    reservation: Reservation,
    state: RefCell<ReservationState>,
    /// Notified when the owner has ended.
    ended: Notify,
}

impl HeldReservation {
    fn end(&self) {
        self.state.borrow_mut().end();
        self.ended.notify_one();
    }
}

/// Reservations of one attempt. Dropping it releases them.
pub(crate) struct MemoryHold {
    reservations: Vec<Rc<HeldReservation>>,
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
        let mut hold = MemoryHold { reservations: Vec::new() };
        let mut wanted: Vec<_> = helpers.iter_mut().zip(&placement.reservations).collect();
        wanted.sort_by_key(|(helper, _)| helper.address);
        for (helper, memory) in wanted {
            let id = shared.reservation_names.borrow_mut().next_name();
            // A waiting reservation blocks other requests at the engine, and may succeed too late.
            let may_wait = false;
            let tokens = memory.tokens;
            let reservation = Reservation { id, tokens, ttl: RESERVATION_TTL, may_wait };
            helper.reservation = Some(reservation.id.clone());
            let reserved = Rc::new(HeldReservation {
                address: helper.address,
                instance: shared.core.borrow().instance_of(&memory.target),
                reservation,
                state: RefCell::default(),
                ended: Notify::new(),
            });
            hold.reservations.push(reserved.clone());
            let (answered, answer) = oneshot::channel();
            // The call goes on if the caller leaves, so that its reservation is released.
            tokio::task::spawn_local(maintain(shared.clone(), reserved, answered));
            match answer.await {
                Ok(CallOutcome::Done) => {}
                Ok(CallOutcome::Refused) => return Err(format!("no memory at {}", memory.target)),
                Ok(CallOutcome::Unanswered) | Err(_) => {
                    return Err(format!("no answer to a reservation at {}", memory.target));
                }
            }
        }
        Ok(hold)
    }

    /// Returns `true` if all engines hold the memory at `now`, unless one has restarted.
    pub(crate) fn is_held(&self, now: Tick) -> bool {
        self.reservations.iter().all(|held| held.state.borrow().is_held(now))
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        for held in &self.reservations {
            held.end();
        }
    }
}

/// Makes the calls of a reservation until its memory is released, and reports how the first one
/// has ended.
async fn maintain(
    shared: Rc<RelayShared>,
    held: Rc<HeldReservation>,
    answered: oneshot::Sender<CallOutcome>,
) {
    let mut answered = Some(answered);
    while !held.state.borrow().is_finished() {
        let call = held.state.borrow_mut().begin_call(shared.now());
        let Some(call) = call else {
            let left = held.state.borrow().next_due().since(shared.now());
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = held.ended.notified() => {}
            }
            continue;
        };
        let outcome = send_reservation_call(&shared, &held, call).await;
        held.state.borrow_mut().end_call(outcome);
        if let Some(answered) = answered.take() {
            // The receiver is dropped if the caller has disconnected.
            answered.send(outcome).ok();
        }
    }
}

/// Sends a call to an engine and logs it unless the engine did as it was asked.
async fn send_reservation_call(
    shared: &RelayShared,
    held: &HeldReservation,
    call: ReservationCall,
) -> CallOutcome {
    let result = match call {
        ReservationCall::Reserve | ReservationCall::Renew => {
            send_reserve(shared, held).await.map(to_outcome)
        }
        ReservationCall::Release => {
            let call = (shared.target_protocol.to_release)(&held.reservation.id);
            send_call(shared, held, call).await.map(|_| CallOutcome::Done)
        }
    };
    let (outcome, error) = match result {
        Ok(outcome) => (outcome, String::new()),
        Err(error) => (CallOutcome::Unanswered, error.to_string()),
    };
    // A refusal to reserve is logged with the attempt.
    if outcome != CallOutcome::Done && call != ReservationCall::Reserve {
        slog::warn!(shared.log.logger(), "reservation call failed";
            "call" => ?call, "outcome" => ?outcome, "error" => error,
            "id" => &*held.reservation.id, "address" => %held.address);
    }
    outcome
}

fn to_outcome(reply: ReserveReply) -> CallOutcome {
    match reply {
        ReserveReply::Held => CallOutcome::Done,
        ReserveReply::Refused => CallOutcome::Refused,
        // The engine may still reserve the memory later.
        ReserveReply::Waiting => CallOutcome::Unanswered,
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
