//! Names the parts of a prompt that other prompts may share.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::hex::to_hex;

/// Maximum length of a name, in bytes. A longer one is replaced by its hash.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of parts of one prompt that are considered.
const MAX_PARTS: usize = 64;

/// A part of a prompt, as the caller names it. Equal names stand for equal content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPart(Arc<str>);

impl PromptPart {
    /// Creates a part from its name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        if name.len() <= MAX_NAME_BYTES {
            return PromptPart(name.into());
        }
        PromptPart(to_hex(&Sha256::digest(name)).into())
    }

    /// Creates the shared parts of a prompt, each once and sorted, from the names of all its parts
    /// in their order. The last part belongs to one request or session only.
    ///
    /// # Example
    ///
    /// ```
    /// use shalelane::relay::decide::prompt_part::PromptPart;
    ///
    /// let shared = PromptPart::shared_of(["system", "manual", "question"]);
    /// assert_eq!(*shared, [PromptPart::from_name("manual"), PromptPart::from_name("system")]);
    /// ```
    #[must_use]
    pub fn shared_of<'a>(names: impl IntoIterator<Item = &'a str>) -> Arc<[PromptPart]> {
        let mut names: Vec<_> = names.into_iter().take(MAX_PARTS + 1).collect();
        names.pop();
        let mut parts: Vec<_> = names.into_iter().map(PromptPart::from_name).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.into()
    }

    /// Returns the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}
