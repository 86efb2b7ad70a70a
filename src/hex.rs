//! Hexadecimal encoding of hashes.

use std::fmt::Write;

/// Encodes bytes as lowercase hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
