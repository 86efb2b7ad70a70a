//! A revision of the platform's store.

use serde::{Deserialize, Serialize};

/// A revision, with the epoch of the store that gave it out. A store that is back from an old
/// copy begins a new epoch and gives out the same numbers again.
///
/// # Example
///
/// ```
/// use shalelane::relay::discovery::store_revision::StoreRevision;
///
/// let before = StoreRevision { epoch: 1, number: 150 };
/// assert!(StoreRevision { epoch: 2, number: 60 } > before);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    Serialize,
    Deserialize,
)]
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

    /// Returns true where a store that came back from a copy shows a revision that was given
    /// out before.
    #[must_use]
    pub fn is_copy_of(self, former: StoreRevision) -> bool {
        self.epoch > former.epoch && self.number == former.number
    }
}
