//! The answer of a run, as far as it is kept for an entry that asks for it again.

use bytes::{Bytes, BytesMut};

/// The answer of a run.
#[derive(Debug)]
pub(super) struct RunOutput {
    bytes: BytesMut,
    /// Bytes that the target has sent.
    length: u64,
    is_kept: bool,
}

impl RunOutput {
    pub(super) fn new() -> Self {
        RunOutput { bytes: BytesMut::new(), length: 0, is_kept: true }
    }

    /// Number of bytes that the target has sent.
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Returns `true` if the answer is kept.
    pub(super) fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Number of bytes that are kept.
    pub(super) fn kept_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes that the target has sent.
    pub(super) fn push(&mut self, text: &[u8]) {
        self.length += text.len() as u64;
        if self.is_kept {
            self.bytes.extend_from_slice(text);
        }
    }

    /// Drops what is kept, and keeps no more of the answer.
    pub(super) fn drop_bytes(&mut self) {
        self.bytes = BytesMut::new();
        self.is_kept = false;
    }

    /// Returns the bytes from `offset` on; `None` if they are not kept.
    pub(super) fn starting_at(&self, offset: u64) -> Option<Bytes> {
        let is_at_end = offset >= self.length;
        (self.is_kept || is_at_end).then(|| bytes_from(&self.bytes, offset))
    }

    /// Takes the whole answer; `None` if it is not kept.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        self.is_kept.then(|| std::mem::take(&mut self.bytes).freeze())
    }
}

/// Copies the bytes from `offset` on.
pub(super) fn bytes_from(bytes: &[u8], offset: u64) -> Bytes {
    let start = (offset as usize).min(bytes.len());
    Bytes::copy_from_slice(&bytes[start..])
}
