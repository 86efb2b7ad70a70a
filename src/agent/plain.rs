//! HTTP client of the agent for a plain service.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};

use super::engine::report_backoff;
use super::event::{RunEvent, RunUsage, StartRun};
use crate::client::{CallBody, CallFault, HttpClient, pieces};
use crate::verdict::{Verdict, is_final};
use crate::wire::Call;

/// Maximum size of an answer that is kept for its entry, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Interval at which a call that waits for room checks for it.
const ROOM_INTERVAL: Duration = Duration::from_millis(5);

/// Client of one plain service.
#[derive(Debug)]
pub(super) struct PlainClient {
    address: Arc<str>,
    http: HttpClient,
}

impl PlainClient {
    /// Creates a client that keeps no idle connections: if the service closed one
    /// while a call is in flight, it would be unknown whether the call ran.
    pub(super) fn new(address: Arc<str>) -> Self {
        PlainClient { address, http: HttpClient::new(0) }
    }

    /// Makes a call and reports its events.
    ///
    /// The answer is read on only while `has_room` returns `true`.
    pub(super) async fn run(
        &self,
        start: StartRun,
        has_room: impl Fn() -> bool,
        report: Rc<dyn Fn(RunEvent)>,
    ) {
        if let Err(event) = self.try_run(start, has_room, &report).await {
            report(event);
        }
    }

    async fn try_run(
        &self,
        start: StartRun,
        has_room: impl Fn() -> bool,
        report: &Rc<dyn Fn(RunEvent)>,
    ) -> Result<(), RunEvent> {
        let Some(request) = self.to_request(start) else {
            return Err(RunEvent::Failed(Verdict::NotRun, "not a call of a plain service".into()));
        };
        let response = self.http.send(request).await.map_err(|fault| match fault {
            CallFault::NotSent(text) => RunEvent::Failed(Verdict::NotRun, text.into()),
            CallFault::Unknown(text) => RunEvent::Failed(Verdict::MayHaveRun, text.into()),
        })?;
        if !is_final(response.status()) {
            let text = format!("invalid status {}", response.status().as_u16());
            return Err(RunEvent::Failed(Verdict::MayHaveRun, text.into()));
        }
        report_backoff(&response, report);
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type: Arc<str> = content_type.unwrap_or("application/octet-stream").into();
        report(RunEvent::Head(response.status().as_u16(), content_type));
        let mut body = response.into_body();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame
                .map_err(|error| RunEvent::Failed(Verdict::MayHaveRun, error.to_string().into()))?;
            if let Ok(part) = frame.into_data() {
                length += part.len();
                if length > MAX_ANSWER_BYTES {
                    let text = format!("the answer is longer than {MAX_ANSWER_BYTES} bytes");
                    return Err(RunEvent::Failed(Verdict::MayHaveRun, text.into()));
                }
                report(RunEvent::Text(part));
            }
            // The report is handled in another turn of the event loop.
            tokio::task::yield_now().await;
            while !has_room() {
                tokio::time::sleep(ROOM_INTERVAL).await;
            }
        }
        report(RunEvent::Done(RunUsage::default()));
        Ok(())
    }

    fn to_request(&self, start: StartRun) -> Option<Request<CallBody>> {
        let Call::Plain { method, path, content_type, key } = start.call else {
            return None;
        };
        let mut request = Request::new(pieces(start.body));
        *request.method_mut() = method.parse().ok()?;
        *request.uri_mut() = format!("http://{}{path}", self.address).parse().ok()?;
        let headers = request.headers_mut();
        headers.insert(
            HeaderName::from_static("x-request-id"),
            HeaderValue::from_str(&start.id.to_string()).ok()?,
        );
        if !content_type.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_str(&content_type).ok()?);
        }
        if !key.is_empty() {
            let name = HeaderName::from_static("idempotency-key");
            headers.insert(name, HeaderValue::from_str(&key).ok()?);
        }
        Some(request)
    }
}
