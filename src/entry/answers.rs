//! Answers to callers: whole, as a stream of server-sent events, or a failure.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::caller::CallerHandle;
use super::event::{Failure, FailureCode, Reply};
use crate::memory_budget::{ClaimedBuffer, MemoryClaim, MemoryHolder};
use crate::verdict::{Verdict, promises_not_run};
use crate::web::{
    ChunkStream, ErrorBody, ResponseBody, WebResponse, set_verdict, to_error_response, to_response,
};
use crate::wire::Completion;

/// Returns the status of a failure. One that promises that the request has not run is used only
/// if that is known.
pub(super) fn to_status(failure: &Failure) -> StatusCode {
    let status = match failure.code {
        FailureCode::LimitExceeded => StatusCode::TOO_MANY_REQUESTS,
        FailureCode::Overloaded
        | FailureCode::NoTarget
        | FailureCode::Quarantined
        | FailureCode::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        FailureCode::TimeLimit => StatusCode::GATEWAY_TIMEOUT,
        FailureCode::TargetFailed => StatusCode::BAD_GATEWAY,
        FailureCode::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
    };
    let is_false_promise = promises_not_run(status) && failure.verdict != Verdict::NotRun;
    if is_false_promise { StatusCode::BAD_GATEWAY } else { status }
}

pub(super) fn answer_failure(failure: &Failure, id: &str) -> WebResponse {
    let (status, code) = (to_status(failure), failure.code.to_string());
    // Without a promise there is nothing that the caller may send again.
    let retry_after = failure.retry_after.filter(|_| failure.verdict == Verdict::NotRun);
    to_error_response(status, &code, &failure.message, failure.verdict, id, retry_after)
}

/// Format of the answer to one model request.
pub(super) struct AnswerFormat {
    pub(super) is_chat: bool,
    pub(super) id: String,
    pub(super) model: String,
    /// Whether a stream ends with a separate event that reports the token usage.
    pub(super) has_usage_event: bool,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<CompletionChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<CompletionUsage>,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatText<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct CompletionUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: CachedUsage,
}

#[derive(Serialize)]
struct CachedUsage {
    cached_tokens: u64,
}

impl CompletionUsage {
    fn from_completion(done: &Completion) -> Self {
        CompletionUsage {
            prompt_tokens: done.prompt_tokens,
            completion_tokens: done.answer_tokens,
            total_tokens: done.prompt_tokens + done.answer_tokens,
            prompt_tokens_details: CachedUsage { cached_tokens: done.cached_tokens },
        }
    }
}

impl AnswerFormat {
    fn to_json(&self, text: &[u8], done: Option<&Completion>, is_chunk: bool) -> Vec<u8> {
        let text = String::from_utf8_lossy(text);
        let chat = || Some(ChatText { role: "assistant", content: &text });
        let choice = CompletionChoice {
            index: 0,
            text: (!self.is_chat).then_some(&*text),
            message: if self.is_chat && !is_chunk { chat() } else { None },
            delta: if self.is_chat && is_chunk { chat() } else { None },
            finish_reason: done.map(|done| &*done.finish_reason),
        };
        let has_usage = !(is_chunk && self.has_usage_event);
        let usage = done.filter(|_| has_usage).map(CompletionUsage::from_completion);
        self.to_body(vec![choice], usage, is_chunk)
    }

    /// The event of a stream that reports only the token usage.
    fn to_usage_event(&self, done: &Completion) -> Bytes {
        let usage = Some(CompletionUsage::from_completion(done));
        to_sse(&self.to_body(Vec::new(), usage, true))
    }

    fn to_body(
        &self,
        choices: Vec<CompletionChoice<'_>>,
        usage: Option<CompletionUsage>,
        is_chunk: bool,
    ) -> Vec<u8> {
        let object = match (self.is_chat, is_chunk) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        let body = CompletionBody { id: &self.id, object, model: &self.model, choices, usage };
        // Strings and numbers always serialize to JSON.
        serde_json::to_vec(&body).unwrap_or_default()
    }

    fn to_event(&self, text: &[u8], done: Option<&Completion>) -> Bytes {
        to_sse(&self.to_json(text, done, true))
    }
}

fn to_sse(json: &[u8]) -> Bytes {
    [b"data: ", json, b"\n\n"].concat().into()
}

pub(super) async fn answer_whole(
    mut caller: CallerHandle,
    first: Reply,
    answer_format: &AnswerFormat,
) -> WebResponse {
    let mut text = ClaimedBuffer::new(&caller.memory);
    let mut reply = first;
    loop {
        match reply {
            Reply::Text(part) => text.append(&part).await,
            Reply::Done(done) => {
                let json = answer_format.to_json(text.as_ref(), Some(&done), false);
                let mut body = ClaimedBuffer::new(&caller.memory);
                drop(text);
                body.append(&json).await;
                let mut response =
                    to_response(StatusCode::OK, "application/json", body.into_bytes());
                set_verdict(response.headers_mut(), Verdict::Ran, &answer_format.id);
                return response;
            }
            Reply::Failed(failure) => return answer_failure(&failure, &answer_format.id),
            Reply::Head(..) => {}
        }
        reply = caller.next_reply().await;
    }
}

pub(super) fn answer_stream(
    mut caller: CallerHandle,
    first: Reply,
    answer_format: AnswerFormat,
) -> WebResponse {
    let (chunk_sender, chunks) = mpsc::unbounded_channel();
    let id = answer_format.id.clone();
    let writer = spawn_local(async move {
        let mut reply = first;
        loop {
            let is_last = send_events(&chunk_sender, &caller.memory, &reply, &answer_format);
            if is_last {
                return;
            }
            reply = caller.next_reply().await;
        }
    });
    let guard = Box::new(AbortGuard(writer));
    let mut response = Response::new(ResponseBody::Streamed(ChunkStream { chunks, _guard: guard }));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(hyper::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    set_verdict(headers, Verdict::Ran, &id);
    response
}

/// Aborts a task when the response body that it writes to is dropped.
struct AbortGuard(tokio::task::JoinHandle<()>);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Writes a reply as events; returns `true` after the last one.
fn send_events(
    chunk_sender: &mpsc::UnboundedSender<(Bytes, MemoryClaim)>,
    memory: &MemoryHolder,
    reply: &Reply,
    answer_format: &AnswerFormat,
) -> bool {
    let send = |chunk: Bytes| {
        let claim = memory.claim_held(chunk.len());
        drop(chunk_sender.send((chunk, claim)));
    };
    // If the caller disconnects, the body is dropped, which aborts this task.
    match reply {
        Reply::Text(text) => {
            send(answer_format.to_event(text, None));
            false
        }
        Reply::Done(done) => {
            send(answer_format.to_event(b"", Some(done)));
            if answer_format.has_usage_event {
                send(answer_format.to_usage_event(done));
            }
            send(Bytes::from_static(b"data: [DONE]\n\n"));
            true
        }
        Reply::Failed(failure) => {
            let code = failure.code.to_string();
            let body = ErrorBody::new(&code, &failure.message, failure.verdict, &answer_format.id);
            let json = serde_json::to_vec(&body).unwrap_or_default();
            send(Bytes::from_static(b"event: error\n"));
            send(to_sse(&json));
            true
        }
        Reply::Head(..) => false,
    }
}
