//! Identifies repeated submissions of a request by its account, host, path and body.
//!
//! A caller gives each submission a separate ID, so the ID does not identify the content.
//! What is learned about a request is applied to every submission with the same digest. So
//! the digest is a cryptographic hash: no caller can craft a request that collides with another
//! caller's.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of a request's content, the same for each submission of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest of a request. `account` is `None` on public routes.
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

    /// Returns the rank of a name for this request (rendezvous hashing), which is the same in
    /// all processes.
    #[must_use]
    pub fn rank_of(&self, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.0 as u64)
    }

    /// Parses the output of [`fmt::Display`]; `None` if the text is malformed.
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
