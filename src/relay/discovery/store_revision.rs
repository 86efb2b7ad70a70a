//! A revision of the platform's store.

use serde::{Deserialize, Serialize};

/// A revision with the epoch of the store that issued it. A store that is restored from a backup
/// begins a new epoch and issues the same numbers again.
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
    /// Number of times that the store was restored from a backup.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of changes since the store was created, as far as the backup included them.
    #[serde(rename = "n")]
    pub number: u64,
}

impl StoreRevision {
    /// Returns `true` if nothing was read yet.
    #[must_use]
    pub fn is_unknown(self) -> bool {
        self == StoreRevision::default()
    }

    /// Returns `true` if this is `former` as shown by a store that was restored from a backup
    /// since.
    #[must_use]
    pub fn is_copy_of(self, former: StoreRevision) -> bool {
        self.epoch > former.epoch && self.number == former.number
    }
}
