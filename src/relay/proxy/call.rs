//! Plain calls: the answer is read whole before any of it is given.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;

use super::answer::{RelayAnswer, RelayBody, RelayFault};
use super::forward::{AttemptFault, OpenAnswer, RelayJob, open};
use super::ledger::RequestLedger;
use super::permit::take_turn;
use super::series::AttemptSeries;
use crate::relay::decide::placement::Placement;
use crate::relay::decide::targets::TargetFault;
use crate::relay::record::SeriesEnd;
use crate::relay::shared::RelayShared;
use crate::verdict::Verdict;
use crate::web::{BodyFault, read_body};

/// Largest whole answer of a target, in bytes.
pub(crate) const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Serves a plain call: the answer is read whole before any of it is given.
pub(crate) async fn serve_call(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    ledger: &mut RequestLedger,
) -> Result<RelayAnswer, RelayFault> {
    let mut series = AttemptSeries::new();
    loop {
        if let Some(fault) = series.hold_fault(shared, job) {
            ledger.series_end = Some(SeriesEnd::HeldBack);
            return Err(fault);
        }
        let Some(mut placement) = series.place(shared, job) else {
            ledger.series_end = Some(SeriesEnd::NoTarget);
            return Err(series.to_fault(shared, job, false));
        };
        if !take_turn(shared, job, &series, &mut placement).await {
            continue;
        }
        ledger.note_send(&placement.target);
        let may_hedge = series.may_hedge(shared, job, &placement.target);
        let result = call_once(shared, job, &placement, may_hedge).await;
        match result {
            Ok(answer) => return Ok(answer.map(|body| RelayBody::Whole(Full::new(body)))),
            Err(fault) => {
                let is_timeout = fault.is_timeout;
                ledger.digest = Some(job.digest());
                if let Err(end) = series.note_fault(shared, job, &placement.target, fault).await {
                    ledger.series_end = Some(end);
                    if let Some(answer) = series.answer.take() {
                        return Ok(answer.map(|body| RelayBody::Whole(Full::new(body))));
                    }
                    return Err(series.to_fault(shared, job, is_timeout));
                }
                series.pause(shared, job).await;
            }
        }
    }
}

/// One attempt at a plain call.
async fn call_once(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    placement: &Placement,
    may_hedge: bool,
) -> Result<Response<Bytes>, AttemptFault> {
    let OpenAnswer { mut guard, mut parts, body, head } =
        open(shared, job, placement, None, may_hedge).await?;
    let left = job.deadline.since(shared.now());
    let whole = read_body(body, MAX_ANSWER, left).await.map_err(|fault| match fault {
        BodyFault::TooSlow => AttemptFault::timeout(Verdict::MayHaveRun),
        BodyFault::TooLarge => AttemptFault::garbled("the answer is too large"),
        BodyFault::Broken => AttemptFault::broken("the answer broke off"),
    })?;
    guard.keep(&head);
    job.note_answered(shared);
    (shared.targets.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let is_failure = parts.status.is_server_error();
    let answer = Response::from_parts(parts, whole);
    if is_failure && job.route.repeat.is_repeatable() {
        let why = format!("the target answered {}", answer.status().as_u16());
        let mut fault = AttemptFault::garbled(why);
        fault.fault = TargetFault::Error;
        fault.verdict = Verdict::Ran;
        fault.answer = Some(Box::new(answer));
        return Err(fault);
    }
    if !is_failure {
        shared.core.borrow_mut().note_success(&placement.target);
    }
    Ok(answer)
}
