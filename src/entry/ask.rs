//! Callers' bodies: what they ask for, read without copying the prompt.

use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::de::{self, Deserializer, SeqAccess, Visitor};

use super::account::AccountTable;
use crate::config::{AccountPolicy, Model};
use crate::prefix::{MarkBuilder, PrefixMarks};
use crate::verdict::Verdict;

/// Most tokens of an answer where the caller states none.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Most tokens of an answer at all.
const MAX_ANSWER_TOKENS: u64 = 32_768;

/// A request that is refused before anything is done about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskFault {
    /// HTTP status.
    pub status: u16,
    /// Code for programs.
    pub code: &'static str,
    /// For a reader.
    pub message: String,
    /// Whether it may have run: another request with its key may have.
    pub verdict: Verdict,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl AskFault {
    #[cold]
    pub(super) fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        let verdict = Verdict::NotRun;
        AskFault { status, code, message: message.into(), verdict, retry_after: None }
    }
}

/// What an entry needs to know of a caller's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelAsk {
    /// Model wanted.
    pub model: String,
    /// Bytes of prompt text.
    pub prompt_bytes: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// Whether the answer is wanted as a stream.
    pub stream: bool,
    /// Whether a stream is to end with a part that tells its tokens.
    pub usage_part: bool,
    /// Marks of the prompt.
    pub marks: PrefixMarks,
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
    /// The newer name of `max_tokens`, which wins.
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

/// A text, or a list of texts, or of parts that carry one.
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

impl ModelAsk {
    /// Reads a caller's body and checks it against what the account may use.
    ///
    /// # Errors
    ///
    /// Broken JSON, a missing prompt, an unknown model, or a model, adapter
    /// or version that the account may not use.
    pub fn from_body(
        body: &[u8],
        policy: &AccountPolicy,
        table: &AccountTable,
    ) -> Result<Self, AskFault> {
        let read: ModelBody<'_> = serde_json::from_slice(body).map_err(|error| {
            let place = format!("at line {} column {}", error.line(), error.column());
            let text =
                if error.is_data() { error.to_string() } else { format!("not JSON {place}") };
            AskFault::new(400, "bad_body", text)
        })?;
        let model = find_model(&read, policy, table)?;
        check_choice("adapter", read.adapter.as_deref(), &policy.adapters, &model.adapters)?;
        check_choice("version", read.version.as_deref(), &policy.versions, &model.versions)?;
        let mut marks = MarkBuilder::new(&policy.name);
        let mut prompt_bytes = 0;
        for text in prompt_texts(&read)? {
            prompt_bytes += text.len() as u64;
            marks.update(text.as_bytes());
        }
        let answer_tokens = read_answer_tokens(&read)?;
        Ok(ModelAsk {
            model: read.model.into_owned(),
            prompt_bytes,
            answer_tokens,
            stream: read.stream,
            usage_part: read.stream_options.is_some_and(|options| options.include_usage),
            marks: marks.into_marks(),
        })
    }
}

fn read_answer_tokens(read: &ModelBody<'_>) -> Result<u64, AskFault> {
    let wanted = read.max_completion_tokens.or(read.max_tokens);
    let tokens = wanted.unwrap_or(DEFAULT_ANSWER_TOKENS);
    if tokens == 0 || tokens > MAX_ANSWER_TOKENS {
        let text = format!(
            "`max_completion_tokens` or `max_tokens` must be from 1 to {MAX_ANSWER_TOKENS}"
        );
        return Err(AskFault::new(400, "bad_max_tokens", text));
    }
    Ok(tokens)
}

fn find_model<'a>(
    read: &ModelBody<'_>,
    policy: &AccountPolicy,
    table: &'a AccountTable,
) -> Result<&'a Model, AskFault> {
    let name = &*read.model;
    let Some(model) = table.config().model(name) else {
        return Err(AskFault::new(404, "unknown_model", format!("no model `{name}`")));
    };
    if !policy.models.iter().any(|allowed| &**allowed == name) {
        let text = format!("this account may not use model `{name}`");
        return Err(AskFault::new(403, "model_not_allowed", text));
    }
    Ok(model)
}

fn check_choice(
    kind: &str,
    wanted: Option<&str>,
    allowed: &[std::sync::Arc<str>],
    offered: &[std::sync::Arc<str>],
) -> Result<(), AskFault> {
    let Some(wanted) = wanted else { return Ok(()) };
    let is_in = |list: &[std::sync::Arc<str>]| list.iter().any(|name| &**name == wanted);
    if is_in(allowed) && is_in(offered) {
        return Ok(());
    }
    let text = format!("this account may not use {kind} `{wanted}` of this model");
    Err(AskFault::new(403, "choice_not_allowed", text))
}

/// The texts of a prompt in order. Roles are part of it: they change what the
/// engine sees.
fn prompt_texts<'a>(read: &'a ModelBody<'_>) -> Result<Vec<&'a str>, AskFault> {
    let mut texts = Vec::new();
    for message in read.messages.iter().flatten() {
        texts.push(&*message.role);
        texts.extend(message.content.0.iter().map(|text| &**text));
    }
    if let Some(prompt) = &read.prompt {
        texts.extend(prompt.0.iter().map(|text| &**text));
    }
    if texts.is_empty() {
        return Err(AskFault::new(400, "bad_body", "neither `prompt` nor `messages` is given"));
    }
    Ok(texts)
}
