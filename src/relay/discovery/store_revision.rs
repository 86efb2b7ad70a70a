//! A revision of the platform's store.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

/// A revision, with the epoch of the store that gave it out. A store that is back from an old
/// copy begins a new epoch and gives out the same numbers again.
#[derive(Clone, Copy, Debug, Default, derive_more::Display, Serialize, Deserialize)]
#[display("{epoch}/{number}")]
pub struct StoreRevision {
    /// Times that the store came back from a copy.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Changes since its beginning, as far as the copy knew them.
    #[serde(rename = "n")]
    pub number: u64,
}

impl StoreRevision {
    /// Returns true where nothing was read yet.
    #[must_use]
    pub fn is_unknown(self) -> bool {
        self == StoreRevision::default()
    }
}

impl PartialEq for StoreRevision {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for StoreRevision {}

impl PartialOrd for StoreRevision {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for StoreRevision {
    fn cmp(&self, other: &Self) -> Ordering {
        self.number.cmp(&other.number)
    }
}
