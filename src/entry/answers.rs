//! What callers are answered: whole, as a stream, or with a failure.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::caller::CallerLink;
use super::event::{Failure, FailureCode, Reply};
use crate::verdict::Verdict;
use crate::web::{Answer, AnswerBody, FaultBody, PartStream, answer, answer_fault, set_verdict};
use crate::wire::Completion;

pub(super) fn to_status(code: FailureCode) -> StatusCode {
    match code {
        FailureCode::LimitExceeded => StatusCode::TOO_MANY_REQUESTS,
        FailureCode::Overloaded
        | FailureCode::NoTarget
        | FailureCode::HeldBack
        | FailureCode::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        FailureCode::TimeLimit => StatusCode::GATEWAY_TIMEOUT,
        FailureCode::TargetFailed => StatusCode::BAD_GATEWAY,
        FailureCode::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
    }
}

pub(super) fn answer_failure(failure: &Failure, id: &str) -> Answer {
    let (status, code) = (to_status(failure.code), failure.code.to_string());
    answer_fault(status, &code, &failure.message, failure.verdict, id, failure.retry_after)
}

/// What the answer of one request looks like.
pub(super) struct AnswerShape {
    pub(super) is_chat: bool,
    pub(super) id: String,
    pub(super) model: String,
    /// A stream ends with a part of its own that tells its tokens.
    pub(super) has_usage_part: bool,
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

impl AnswerShape {
    fn to_json(&self, text: &[u8], done: Option<&Completion>, is_part: bool) -> Vec<u8> {
        let text = String::from_utf8_lossy(text);
        let chat = || Some(ChatText { role: "assistant", content: &text });
        let choice = CompletionChoice {
            index: 0,
            text: (!self.is_chat).then_some(&*text),
            message: if self.is_chat && !is_part { chat() } else { None },
            delta: if self.is_chat && is_part { chat() } else { None },
            finish_reason: done.map(|done| &*done.finish_reason),
        };
        let has_usage = !(is_part && self.has_usage_part);
        let usage = done.filter(|_| has_usage).map(CompletionUsage::from_completion);
        self.to_body(vec![choice], usage, is_part)
    }

    /// The part of a stream that tells only its tokens.
    fn to_usage_event(&self, done: &Completion) -> Bytes {
        let usage = Some(CompletionUsage::from_completion(done));
        to_sse(&self.to_body(Vec::new(), usage, true))
    }

    fn to_body(
        &self,
        choices: Vec<CompletionChoice<'_>>,
        usage: Option<CompletionUsage>,
        is_part: bool,
    ) -> Vec<u8> {
        let object = match (self.is_chat, is_part) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        let body = CompletionBody { id: &self.id, object, model: &self.model, choices, usage };
        // Texts and numbers always have a form in JSON.
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
    mut caller: CallerLink,
    first: Reply,
    shape: &AnswerShape,
) -> Answer {
    let mut text = Vec::new();
    let mut reply = first;
    loop {
        match reply {
            Reply::Text(part) => text.extend_from_slice(&part),
            Reply::Done(done) => {
                let json = shape.to_json(&text, Some(&done), false);
                let mut response = answer(StatusCode::OK, "application/json", json);
                set_verdict(response.headers_mut(), Verdict::Ran, &shape.id);
                return response;
            }
            Reply::Failed(failure) => return answer_failure(&failure, &shape.id),
            Reply::Head(..) => {}
        }
        reply = caller.next().await;
    }
}

pub(super) fn answer_stream(mut caller: CallerLink, first: Reply, shape: AnswerShape) -> Answer {
    let (part_in, parts) = mpsc::unbounded_channel();
    let id = shape.id.clone();
    let pump = spawn_local(async move {
        let mut reply = first;
        loop {
            let is_over = push_events(&part_in, &reply, &shape);
            if is_over {
                return;
            }
            reply = caller.next().await;
        }
    });
    let guard = Box::new(AbortGuard(pump));
    let mut response = Response::new(AnswerBody::Parts(PartStream { parts, _guard: guard }));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(hyper::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    set_verdict(headers, Verdict::Ran, &id);
    response
}

/// Ends a task when the body that it feeds is dropped.
struct AbortGuard(tokio::task::JoinHandle<()>);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Writes a reply as events, true after the last one.
fn push_events(parts: &mpsc::UnboundedSender<Bytes>, reply: &Reply, shape: &AnswerShape) -> bool {
    // A caller that went away drops the body, which ends this task.
    match reply {
        Reply::Text(text) => {
            let _ = parts.send(shape.to_event(text, None));
            false
        }
        Reply::Done(done) => {
            let _ = parts.send(shape.to_event(b"", Some(done)));
            if shape.has_usage_part {
                let _ = parts.send(shape.to_usage_event(done));
            }
            let _ = parts.send(Bytes::from_static(b"data: [DONE]\n\n"));
            true
        }
        Reply::Failed(failure) => {
            let code = failure.code.to_string();
            let body = FaultBody::new(&code, &failure.message, failure.verdict, &shape.id);
            let json = serde_json::to_vec(&body).unwrap_or_default();
            let _ = parts.send(Bytes::from_static(b"event: error\n"));
            let _ = parts.send(to_sse(&json));
            true
        }
        Reply::Head(..) => false,
    }
}
