//! Answers to callers: bodies, and the answers that the relay gives itself.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

use super::dialect::CallerDialect;
use crate::verdict::Verdict;
use crate::web::set_verdict;

/// The rest of an answer is not to be had: its connection is closed without
/// the end that would make it look whole.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off")]
pub(crate) struct BrokenAnswer;

/// Body of an answer.
pub(crate) enum RelayBody {
    /// Whole.
    Whole(Full<Bytes>),
    /// In parts as they come.
    Parts(mpsc::Receiver<Result<Bytes, BrokenAnswer>>),
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
            RelayBody::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            RelayBody::Parts(parts) => {
                parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Whole(body) => body.is_end_stream(),
            RelayBody::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Whole(body) => body.size_hint(),
            RelayBody::Parts(_) => SizeHint::default(),
        }
    }
}

/// A failure that the relay answers itself.
#[derive(Clone, Debug)]
pub(crate) struct RelayFault {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) why: String,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Duration>,
}

impl RelayFault {
    /// Refused without having run; the caller may come back.
    pub(crate) fn refused(code: &'static str, why: impl Into<String>, after: Duration) -> Self {
        RelayFault {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            why: why.into(),
            verdict: Verdict::NotRun,
            retry_after: Some(after),
        }
    }

    /// Refused for what the request is.
    pub(crate) fn bad(status: StatusCode, code: &'static str, why: impl Into<String>) -> Self {
        RelayFault { status, code, why: why.into(), verdict: Verdict::NotRun, retry_after: None }
    }

    /// Failed, and may have run.
    pub(crate) fn failed(status: StatusCode, code: &'static str, why: impl Into<String>) -> Self {
        let verdict = Verdict::MayHaveRun;
        RelayFault { status, code, why: why.into(), verdict, retry_after: None }
    }

    pub(crate) fn into_answer(self, dialect: &CallerDialect, id: &str) -> RelayAnswer {
        #[derive(Serialize)]
        struct FaultText<'a> {
            code: &'a str,
            message: &'a str,
            verdict: Verdict,
        }
        let text = FaultText { code: self.code, message: &self.why, verdict: self.verdict };
        let body = serde_json::to_vec(&text).unwrap_or_default();
        let mut response = Response::new(RelayBody::Whole(Full::new(body.into())));
        *response.status_mut() = self.status;
        set_verdict(response.headers_mut(), self.verdict, id);
        if let Some(span) = self.retry_after {
            (dialect.set_retry_after)(response.headers_mut(), span);
        }
        response
    }
}
