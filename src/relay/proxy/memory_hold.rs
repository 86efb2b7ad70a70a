//! Memory reserved at several engines for one prompt.
//!
//! All of it or none: engines are asked in the order of their addresses, and
//! where one refuses, what was reserved is given back. A reservation is short
//! and renewed while its request lives, so that it ends by itself soon after
//! its owner has died, and a renewal that is carried out late holds nothing
//! for long.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::task::AbortHandle;

use super::dialect::{HelperSeat, Reservation, ReserveReply, TargetCall};
use crate::Result;
use crate::client::full;
use crate::relay::decide::placement::Placement;
use crate::relay::decide::targets::{TargetLife, TargetState};
use crate::relay::peers::load_note::LoadNote;
use crate::relay::shared::RelayShared;

/// How long a reservation lasts without renewal: less than the two seconds
/// from which memory that nobody uses is held against its owner.
const HOLD: Duration = Duration::from_millis(1_900);

/// Time between two renewals; two in a row may be lost.
const RENEW_STEP: Duration = Duration::from_millis(600);

/// Longest time for an order: a few round trips between failure domains.
const ORDER_LIMIT: Duration = Duration::from_millis(400);

/// Times that memory is given back; after that it lapses by itself.
const RELEASE_TRIES: usize = 2;

#[derive(Clone)]
struct HeldSeat {
    address: SocketAddr,
    /// The life that was asked, none where the target is gone.
    life: Option<TargetLife>,
    reservation: Reservation,
}

/// Reservations of one attempt. They are given back when this is dropped.
pub(crate) struct MemoryHold {
    shared: Rc<RelayShared>,
    seats: Vec<HeldSeat>,
    renewing: Option<AbortHandle>,
}

impl MemoryHold {
    /// Reserves all seats of a placement and names them in `helpers`, whose
    /// first members are the engines that hold memory.
    ///
    /// # Errors
    ///
    /// Some engine refused or did not answer; nothing is held then.
    pub(crate) async fn reserve(
        shared: &Rc<RelayShared>,
        placement: &Placement,
        helpers: &mut [HelperSeat],
    ) -> std::result::Result<Self, String> {
        let mut hold = MemoryHold { shared: shared.clone(), seats: Vec::new(), renewing: None };
        let mut wanted: Vec<_> = helpers.iter_mut().zip(&placement.seats).collect();
        wanted.sort_by_key(|(helper, _)| helper.address);
        for (helper, seat) in wanted {
            let id = format!("{:016x}{:08x}", shared.core.borrow().entry(), shared.next_order());
            // One that waits keeps others out, and its turn may come too late.
            let may_wait = false;
            let tokens = seat.tokens;
            let reservation = Reservation { id: id.into(), tokens, hold: HOLD, may_wait };
            helper.reservation = Some(reservation.id.clone());
            // Noted before it is asked for: an order without an answer may
            // have been carried out and has to be given back.
            let life = shared.core.borrow().life_of(&seat.target);
            let asked = HeldSeat { address: helper.address, life, reservation };
            hold.seats.push(asked.clone());
            match send_reserve(shared, &asked).await {
                Ok(ReserveReply::Held) => {}
                Ok(ReserveReply::Waiting | ReserveReply::Refused) => {
                    return Err(format!("no memory at {}", seat.target));
                }
                Err(error) => return Err(format!("no reservation at {}: {error}", seat.target)),
            }
        }
        let task = tokio::task::spawn_local(renew_all(shared.clone(), hold.seats.clone()));
        hold.renewing = Some(task.abort_handle());
        Ok(hold)
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        if let Some(renewing) = self.renewing.take() {
            renewing.abort();
        }
        for seat in std::mem::take(&mut self.seats) {
            tokio::task::spawn_local(release(self.shared.clone(), seat));
        }
    }
}

async fn renew_all(shared: Rc<RelayShared>, seats: Vec<HeldSeat>) {
    loop {
        tokio::time::sleep(RENEW_STEP).await;
        for seat in &seats {
            let result = send_reserve(&shared, seat).await;
            if !matches!(result, Ok(ReserveReply::Held)) {
                slog::warn!(shared.log.logger(), "reservation not renewed";
                    "id" => &*seat.reservation.id, "address" => %seat.address,
                    "reply" => ?result);
            }
        }
    }
}

async fn release(shared: Rc<RelayShared>, seat: HeldSeat) {
    for _ in 0..RELEASE_TRIES {
        let call = (shared.targets.to_release)(&seat.reservation.id);
        match send_order(&shared, &seat, call).await {
            Ok(_) => return,
            Err(error) => slog::warn!(shared.log.logger(), "reservation not released";
                "id" => &*seat.reservation.id, "address" => %seat.address, "error" => %error),
        }
    }
}

async fn send_reserve(shared: &RelayShared, seat: &HeldSeat) -> Result<ReserveReply> {
    let call = (shared.targets.to_reserve)(&seat.reservation);
    send_order(shared, seat, call).await.map(shared.targets.parse_reserve)
}

async fn send_order(shared: &RelayShared, seat: &HeldSeat, call: TargetCall) -> Result<StatusCode> {
    let mut request = Request::new(full(call.body));
    *request.method_mut() = Method::POST;
    let uri = format!("http://{}{}", seat.address, call.path);
    *request.uri_mut() = uri.parse().unwrap_or_default();
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let response = shared.orders.call(request, ORDER_LIMIT).await?;
    note_spent(shared, seat);
    let head = (shared.targets.parse_answer)(response.status(), response.headers());
    if !head.is_replaced {
        shared.take_notice(seat.life.as_ref(), &head.notice, None);
    }
    Ok(response.status())
}

/// Tells the agent beside a target that takes few requests of an order that it got: memory
/// that was reserved before has to be renewed and given back.
fn note_spent(shared: &RelayShared, seat: &HeldSeat) {
    let Some(life) = &seat.life else { return };
    let is_scarce = |target: &TargetState| target.rate.is_some();
    if shared.core.borrow().targets.get(&life.incarnation).is_some_and(is_scarce) {
        shared.link.send_beside(seat.address, &LoadNote::Spent(life.clone()));
    }
}
