//! Parsing of [`Config`] from TOML, with line and column of each error.

use super::Config;
use super::check::PathSegment;
use crate::error::{Error, Result, TextPosition};

impl Config {
    /// Parses and validates a TOML document.
    ///
    /// # Errors
    ///
    /// Returns an error for invalid syntax, an unknown field, an unknown reference or a value
    /// out of range. The error carries line and column.
    ///
    /// # Example
    ///
    /// ```
    /// let error = shalelane::Config::from_toml("[[services]]\nname = 1").unwrap_err();
    /// assert_eq!(error.line(), Some(2));
    /// ```
    pub fn from_toml(text: &str) -> Result<Config> {
        let config: Config = toml::from_str(text).map_err(|error| from_toml_error(text, &error))?;
        config.check(&|path| locate_path(text, path))?;
        Ok(config)
    }

    /// Parses and validates the JSON form of a whole configuration.
    ///
    /// # Errors
    ///
    /// Returns an error for malformed or truncated JSON, and for content that
    /// [`Config::from_toml`] rejects.
    pub fn from_json(bytes: &[u8]) -> Result<Config> {
        let config: Config = serde_json::from_slice(bytes).map_err(|error| {
            let position = TextPosition { line: error.line(), column: error.column() };
            Error::config(Some(position), "not a configuration document")
        })?;
        config.check(&|_| None)?;
        Ok(config)
    }

    /// Serializes the whole configuration to JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

#[cold]
fn from_toml_error(text: &str, error: &toml::de::Error) -> Error {
    let position = error.span().map(|span| to_position(text, span.start));
    let mut message = error.message().replace('\n', " ");
    if let Some(near) = nearest_field(&message) {
        message = format!("{message}; nearest is `{near}`");
    }
    Error::config(position, message)
}

/// Finds the most similar field name in serde's message about an unknown field, which lists
/// the expected names.
fn nearest_field(message: &str) -> Option<String> {
    let (unknown, expected) = message.strip_prefix("unknown field `")?.split_once('`')?;
    let known = expected.split('`').skip(1).step_by(2);
    nearest(unknown, known).map(str::to_owned)
}

/// Returns the known name most similar to `name`, `None` if none is similar enough.
pub(super) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    /// Minimum Jaro-Winkler similarity of a name that an error suggests.
    const MIN_SIMILARITY: f64 = 0.7;
    known
        .map(|other| (strsim::jaro_winkler(name, other), other))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, other)| other)
}

/// Converts a byte offset to line and column.
fn to_position(text: &str, offset: usize) -> TextPosition {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    TextPosition { line, column }
}

/// Finds the position of the value at `path`, or of its innermost ancestor that has one.
fn locate_path(text: &str, path: &[PathSegment]) -> Option<TextPosition> {
    let document = toml_edit::ImDocument::parse(text).ok()?;
    let mut item = document.as_item();
    let mut span = None;
    for segment in path {
        let next = match segment {
            PathSegment::Field(name) => item.get(*name),
            PathSegment::Index(index) => match item.get(*index) {
                Some(inner) => Some(inner),
                None => {
                    return element_offset(item, *index).map(|offset| to_position(text, offset));
                }
            },
        };
        let Some(inner) = next else { break };
        span = inner.span().or(span);
        item = inner;
    }
    span.map(|span| to_position(text, span.start))
}

/// Returns the byte offset of an element of an inline array.
fn element_offset(item: &toml_edit::Item, index: usize) -> Option<usize> {
    Some(item.as_array()?.get(index)?.span()?.start)
}
