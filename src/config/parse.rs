//! TOML to [`Config`], with the place of each fault.

use super::Config;
use super::check::Step;
use crate::error::{Error, Place, Result};

impl Config {
    /// Reads and checks a TOML document.
    ///
    /// # Errors
    ///
    /// A fault of syntax, an unknown field, a bad reference or a value out of
    /// range. The error carries line and column.
    ///
    /// # Example
    ///
    /// ```
    /// let error = shalelane::Config::from_toml("[[services]]\nname = 1").unwrap_err();
    /// assert_eq!(error.line(), Some(2));
    /// ```
    pub fn from_toml(text: &str) -> Result<Config> {
        let config: Config = toml::from_str(text).map_err(|error| from_toml_error(text, &error))?;
        config.check(&|path| find_path(text, path))?;
        Ok(config)
    }

    /// Reads and checks the JSON form that the store keeps.
    ///
    /// # Errors
    ///
    /// A half-written document, or a fault that [`Config::from_toml`] refuses.
    pub fn from_json(bytes: &[u8]) -> Result<Config> {
        let config: Config = serde_json::from_slice(bytes).map_err(|error| {
            let place = Place { line: error.line(), column: error.column() };
            Error::config(Some(place), "not a configuration document")
        })?;
        config.check(&|_| None)?;
        Ok(config)
    }

    /// Writes the JSON form that the store keeps.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

#[cold]
fn from_toml_error(text: &str, error: &toml::de::Error) -> Error {
    let place = error.span().map(|span| to_place(text, span.start));
    let mut message = error.message().replace('\n', " ");
    if let Some(near) = nearest_field(&message) {
        message = format!("{message}; nearest is `{near}`");
    }
    Error::config(place, message)
}

/// Finds the nearest of the names that serde lists for an unknown field.
fn nearest_field(message: &str) -> Option<String> {
    let (unknown, expected) = message.strip_prefix("unknown field `")?.split_once('`')?;
    let known = expected.split('`').skip(1).step_by(2);
    nearest(unknown, known).map(str::to_owned)
}

/// The known name that most resembles `name`, none where nothing does.
pub(super) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    const LIKENESS: f64 = 0.7;
    known
        .map(|other| (strsim::jaro_winkler(name, other), other))
        .filter(|(likeness, _)| *likeness >= LIKENESS)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, other)| other)
}

fn to_place(text: &str, offset: usize) -> Place {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |at| at + 1) + 1;
    Place { line, column }
}

/// Finds where the value at `path` stands.
fn find_path(text: &str, path: &[Step]) -> Option<Place> {
    let document = toml_edit::ImDocument::parse(text).ok()?;
    let mut item = document.as_item();
    let mut span = None;
    for step in path {
        let next = match step {
            Step::Field(name) => item.get(*name),
            Step::Index(index) => match item.get(*index) {
                Some(inner) => Some(inner),
                None => return element_span(item, *index).map(|at| to_place(text, at)),
            },
        };
        let Some(inner) = next else { break };
        span = inner.span().or(span);
        item = inner;
    }
    span.map(|span| to_place(text, span.start))
}

fn element_span(item: &toml_edit::Item, index: usize) -> Option<usize> {
    Some(item.as_array()?.get(index)?.span()?.start)
}
