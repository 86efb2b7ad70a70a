//! Calls that are not streams: the target's answer is read completely before it is forwarded.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;

use super::answer::{RelayAnswer, RelayBody, RelayFault};
use super::attempt_race::AttemptRace;
use super::forward::AttemptFault;
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::permit::acquire_permit;
use super::running_attempt::{AttemptYield, StreamPosition};
use super::series::AttemptSeries;
use crate::relay::log_line::RetryStop;
use crate::relay::shared::RelayShared;

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
        if let Some(fault) = series.check_stop(shared, job, false) {
            ledger.retry_stop = Some(RetryStop::Stopping);
            return series.take_answer().ok_or(fault);
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
        let position = StreamPosition::default();
        let mut race = AttemptRace::start(shared, job, placement, &series, &position);
        match read_answer(&mut race, &mut series, ledger).await {
            Ok(answer) => return Ok(answer.map(|body| RelayBody::Buffered(Full::new(body)))),
            Err(fault) => {
                let failed = series.record_fault(shared, job, race.current(), fault);
                drop(race);
                ledger.digest = Some(job.digest());
                if let Err(stop) = series.acquire_next(shared, job, failed).await {
                    ledger.retry_stop = Some(stop);
                    return series.final_answer(shared, job, failed.is_timeout);
                }
                series.wait_after_refusal(shared, job).await;
            }
        }
    }
}

/// Reads the first complete answer.
async fn read_answer(
    race: &mut AttemptRace<'_>,
    series: &mut AttemptSeries,
    ledger: &mut RequestLedger,
) -> Result<Response<Bytes>, AttemptFault> {
    match race.next(series, ledger).await? {
        AttemptYield::Answer(answer) => Ok(answer),
        AttemptYield::Events(_) | AttemptYield::StreamEnd(_) | AttemptYield::Silence => {
            Err(AttemptFault::malformed("a stream in place of an answer"))
        }
    }
}
