//! What makes two sendings the same request: its account, host, path and body.
//!
//! A caller names each sending anew, so the name says nothing of what is sent. The
//! digest is one that no other caller can aim at: what is learned of a request is held
//! against whoever sends it.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Names a request by what it asks for, whichever sending it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// The digest of a request. `account` is none on public routes.
    ///
    /// # Example
    ///
    /// ```
    /// use shalelane::relay::decide::request_digest::RequestDigest;
    ///
    /// let digest = RequestDigest::of(Some("acme"), "h.example", "/a?b", b"body");
    /// assert_ne!(digest, RequestDigest::of(None, "h.example", "/a?b", b"body"));
    /// ```
    #[must_use]
    pub fn of(account: Option<&str>, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [account.unwrap_or_default(), host, path] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update([u8::from(account.is_some())]);
        hash.update(body);
        let digest = hash.finalize();
        let high = digest.iter().take(size_of::<u128>());
        RequestDigest(high.fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }

    /// Place of a name in an order of this request's own, the same in all processes.
    #[must_use]
    pub fn rank_of(&self, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.0 as u64)
    }

    /// Reads the form that [`fmt::Display`] writes, none where it is not one.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        const DIGITS: usize = 2 * size_of::<u128>();
        let is_hex = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_hex.then(|| u128::from_str_radix(text, 16).ok());
        number.flatten().map(RequestDigest)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:032x}", self.0)
    }
}
