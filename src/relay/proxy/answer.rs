//! Responses to callers: body types, and the failures that the relay itself answers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::chunk_queue::ChunkReceiver;
use super::protocol::CallerProtocol;
use crate::verdict::Verdict;
use crate::web::set_verdict;

/// The answer cannot be completed. The caller's connection is closed without the regular end of the
/// body, so that the caller does not take the answer for complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("answer ended before it was complete")]
pub(crate) struct BrokenAnswer;

/// Body of a response to a caller.
pub(crate) enum RelayBody {
    /// Complete body, read before it is sent.
    Buffered(Full<Bytes>),
    /// Chunks, forwarded as they arrive.
    Streamed(ChunkReceiver),
}

pub(crate) type RelayAnswer = Response<RelayBody>;

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            RelayBody::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            RelayBody::Streamed(chunks) => {
                chunks.poll_next(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Buffered(body) => body.is_end_stream(),
            RelayBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Buffered(body) => body.size_hint(),
            RelayBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A failure that the relay itself answers.
#[derive(Clone, Debug)]
pub(crate) struct RelayFault {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Duration>,
}

impl RelayFault {
    /// Refused without having run; the caller may retry after `retry_after`.
    pub(crate) fn refused(
        code: &'static str,
        message: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        RelayFault {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// Rejected because of the request itself; a retry does not help.
    pub(crate) fn invalid(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        RelayFault {
            status,
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Failed after it may have run.
    pub(crate) fn failed(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let verdict = Verdict::MayHaveRun;
        RelayFault { status, code, message: message.into(), verdict, retry_after: None }
    }

    pub(crate) fn into_answer(self, protocol: &CallerProtocol, id: &str) -> RelayAnswer {
        #[derive(Serialize)]
        struct ErrorBody<'a> {
            code: &'a str,
            message: &'a str,
            verdict: Verdict,
        }
        let fault = ErrorBody { code: self.code, message: &self.message, verdict: self.verdict };
        let body = serde_json::to_vec(&fault).unwrap_or_default();
        let mut response = Response::new(RelayBody::Buffered(Full::new(body.into())));
        *response.status_mut() = self.status;
        set_verdict(response.headers_mut(), self.verdict, id);
        if let Some(delay) = self.retry_after {
            (protocol.set_retry_after)(response.headers_mut(), delay);
        }
        response
    }
}
