//! Calls that are not streams: the target's answer is read completely before it is forwarded.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;

use super::answer::{RelayAnswer, RelayBody, RelayFault};
use super::forward::{AttemptFault, OpenAnswer, SendTerms, start_attempt};
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::permit::acquire_permit;
use super::series::AttemptSeries;
use crate::relay::decide::placement::Placement;
use crate::relay::decide::targets::TargetFault;
use crate::relay::record::RetryStop;
use crate::relay::shared::RelayShared;
use crate::verdict::Verdict;
use crate::web::{BodyError, read_body};

/// Largest answer of a target that is buffered, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Serves a call whose answer is not a stream, with as many attempts as are allowed.
pub(crate) async fn serve_call(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    ledger: &mut RequestLedger,
) -> Result<RelayAnswer, RelayFault> {
    let mut series = AttemptSeries::new();
    loop {
        if let Some(fault) = series.check_quarantine(shared, job) {
            ledger.retry_stop = Some(RetryStop::Quarantined);
            return Err(fault);
        }
        let Some(mut placement) = series.place(shared, job) else {
            ledger.retry_stop = Some(RetryStop::NoTarget);
            return Err(series.final_fault(shared, job, false));
        };
        if !acquire_permit(shared, job, &series, &mut placement).await {
            continue;
        }
        if let Err(stop) = series.renew_retry(shared, job).await {
            ledger.retry_stop = Some(stop);
            return series.final_answer(shared, job, false);
        }
        ledger.record_send(&placement.target);
        let terms = series.send_terms(shared, job, &placement.target);
        let result = call_once(shared, job, &placement, terms).await;
        match result {
            Ok(answer) => return Ok(answer.map(|body| RelayBody::Buffered(Full::new(body)))),
            Err(fault) => {
                let is_timeout = fault.is_timeout;
                ledger.digest = Some(job.digest());
                if let Err(stop) = series.record_fault(shared, job, &placement.target, fault).await
                {
                    ledger.retry_stop = Some(stop);
                    return series.final_answer(shared, job, is_timeout);
                }
                series.wait_after_refusal(shared, job).await;
            }
        }
    }
}

/// Makes one attempt and reads the complete answer.
async fn call_once(
    shared: &Rc<RelayShared>,
    job: &RelayJob,
    placement: &Placement,
    terms: SendTerms,
) -> Result<Response<Bytes>, AttemptFault> {
    let OpenAnswer { mut guard, mut parts, body, head } =
        start_attempt(shared, job, placement, None, terms).await?;
    let time_left = job.deadline.since(shared.now());
    let complete_body =
        read_body(body, MAX_ANSWER_BYTES, time_left).await.map_err(|fault| match fault {
            BodyError::TimedOut => AttemptFault::timeout(Verdict::MayHaveRun),
            BodyError::TooLarge => AttemptFault::malformed("the answer is too large"),
            BodyError::Aborted => AttemptFault::broken("the answer broke off"),
        })?;
    guard.return_connection(&head);
    job.report_answered(shared);
    (shared.target_protocol.clear_answer)(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let is_failure = parts.status.is_server_error();
    let answer = Response::from_parts(parts, complete_body);
    if is_failure && job.route.repeat.is_repeatable() {
        let reason = format!("the target answered {}", answer.status().as_u16());
        let mut fault = AttemptFault::malformed(reason);
        fault.fault = TargetFault::Error;
        fault.verdict = Verdict::Ran;
        fault.answer = Some(Box::new(answer));
        return Err(fault);
    }
    if !is_failure {
        job.report_served_parts(shared);
        shared.core.borrow_mut().record_success(&placement.target);
    }
    Ok(answer)
}
