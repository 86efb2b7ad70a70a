//! Parsing of completion requests, without copying the prompt.

use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::de::{self, Deserializer, SeqAccess, Visitor};

use super::account::AccountTable;
use crate::config::{AccountPolicy, Model};
use crate::prefix::{PrefixHasher, PrefixHashes};
use crate::verdict::Verdict;

/// Maximum number of tokens in an answer if the request does not set it.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Largest accepted maximum number of tokens in an answer.
const MAX_ANSWER_TOKENS: u64 = 32_768;

/// Rejection of a request before it reaches the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFault {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code.
    pub code: &'static str,
    /// Description for human readers.
    pub message: String,
    /// Whether the request may have run; an earlier request with the same key may have.
    pub verdict: Verdict,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl RequestFault {
    #[cold]
    pub(super) fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        let verdict = Verdict::NotRun;
        RequestFault { status, code, message: message.into(), verdict, retry_after: None }
    }
}

/// The fields of a completion request that the entry uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Requested model.
    pub model: String,
    /// Length of the prompt text in bytes.
    pub prompt_bytes: u64,
    /// Maximum number of tokens in the answer.
    pub max_answer_tokens: u64,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Whether a stream is to end with an event that reports the token usage.
    pub has_usage_event: bool,
    /// Hashes of the prompt's prefixes.
    pub prefix_hashes: PrefixHashes,
}

#[derive(Deserialize)]
struct ModelBody<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow, default)]
    prompt: Option<PromptText<'a>>,
    #[serde(borrow, default)]
    messages: Option<Vec<ChatMessage<'a>>>,
    #[serde(default)]
    max_tokens: Option<u64>,
    /// The newer name of `max_tokens`, which takes precedence.
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(borrow, default)]
    adapter: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    version: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow)]
    content: PromptText<'a>,
}

/// Text of a prompt: a string, or a list of objects with a `text` field.
struct PromptText<'a>(Vec<Cow<'a, str>>);

#[derive(Deserialize)]
struct TextPart<'a> {
    #[serde(borrow)]
    text: Cow<'a, str>,
}

impl<'de: 'a, 'a> Deserialize<'de> for PromptText<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PromptVisitor)
    }
}

struct PromptVisitor;

impl<'de> Visitor<'de> for PromptVisitor {
    type Value = PromptText<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or a list of text parts")
    }

    fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(PromptText(vec![Cow::Borrowed(text)]))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(PromptText(vec![Cow::Owned(text.to_owned())]))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Self::Value, A::Error> {
        let mut texts = Vec::new();
        while let Some(part) = parts.next_element::<TextPart<'de>>()? {
            texts.push(part.text);
        }
        Ok(PromptText(texts))
    }
}

impl CompletionRequest {
    /// Parses a request body and checks it against the account's permissions.
    ///
    /// # Errors
    ///
    /// Invalid JSON, a missing prompt, a maximum number of tokens out of range, an unknown model,
    /// or a model, adapter or version that the account may not use.
    pub fn from_body(
        body: &[u8],
        policy: &AccountPolicy,
        table: &AccountTable,
    ) -> Result<Self, RequestFault> {
        let parsed: ModelBody<'_> = serde_json::from_slice(body).map_err(|error| {
            let position = format!("at line {} column {}", error.line(), error.column());
            let text =
                if error.is_data() { error.to_string() } else { format!("not JSON {position}") };
            RequestFault::new(400, "bad_body", text)
        })?;
        let model = find_model(&parsed, policy, table)?;
        check_choice("adapter", parsed.adapter.as_deref(), &policy.adapters, &model.adapters)?;
        check_choice("version", parsed.version.as_deref(), &policy.versions, &model.versions)?;
        let mut hasher = PrefixHasher::new(&policy.name);
        let mut prompt_bytes = 0;
        for text in prompt_texts(&parsed)? {
            prompt_bytes += text.len() as u64;
            hasher.update(text.as_bytes());
        }
        let max_answer_tokens = parse_answer_tokens(&parsed)?;
        Ok(CompletionRequest {
            model: parsed.model.into_owned(),
            prompt_bytes,
            max_answer_tokens,
            stream: parsed.stream,
            has_usage_event: parsed.stream_options.is_some_and(|options| options.include_usage),
            prefix_hashes: hasher.into_hashes(),
        })
    }
}

fn parse_answer_tokens(parsed: &ModelBody<'_>) -> Result<u64, RequestFault> {
    let requested = parsed.max_completion_tokens.or(parsed.max_tokens);
    let tokens = requested.unwrap_or(DEFAULT_ANSWER_TOKENS);
    if tokens == 0 || tokens > MAX_ANSWER_TOKENS {
        let text = format!(
            "`max_completion_tokens` or `max_tokens` must be from 1 to {MAX_ANSWER_TOKENS}"
        );
        return Err(RequestFault::new(400, "bad_max_tokens", text));
    }
    Ok(tokens)
}

fn find_model<'a>(
    parsed: &ModelBody<'_>,
    policy: &AccountPolicy,
    table: &'a AccountTable,
) -> Result<&'a Model, RequestFault> {
    let name = &*parsed.model;
    let Some(model) = table.config().model(name) else {
        return Err(RequestFault::new(404, "unknown_model", format!("no model `{name}`")));
    };
    if !policy.models.iter().any(|allowed| &**allowed == name) {
        let text = format!("this account may not use model `{name}`");
        return Err(RequestFault::new(403, "model_not_allowed", text));
    }
    Ok(model)
}

fn check_choice(
    kind: &str,
    requested: Option<&str>,
    allowed: &[std::sync::Arc<str>],
    offered: &[std::sync::Arc<str>],
) -> Result<(), RequestFault> {
    let Some(requested) = requested else { return Ok(()) };
    let contains = |list: &[std::sync::Arc<str>]| list.iter().any(|name| &**name == requested);
    if contains(allowed) && contains(offered) {
        return Ok(());
    }
    let text = format!("this account may not use {kind} `{requested}` of this model");
    Err(RequestFault::new(403, "choice_not_allowed", text))
}

/// The texts of a prompt, in order. They include the roles of messages, which are part of the
/// engine's input.
fn prompt_texts<'a>(parsed: &'a ModelBody<'_>) -> Result<Vec<&'a str>, RequestFault> {
    let mut texts = Vec::new();
    for message in parsed.messages.iter().flatten() {
        texts.push(&*message.role);
        texts.extend(message.content.0.iter().map(|text| &**text));
    }
    if let Some(prompt) = &parsed.prompt {
        texts.extend(prompt.0.iter().map(|text| &**text));
    }
    if texts.is_empty() {
        return Err(RequestFault::new(400, "bad_body", "neither `prompt` nor `messages` is given"));
    }
    Ok(texts)
}
