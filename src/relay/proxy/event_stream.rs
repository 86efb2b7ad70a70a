//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so that another target can continue a stream that broke in
//! the middle of an event.

use bytes::{Bytes, BytesMut};

/// Size limit of an event, in bytes. More bytes without the end of an event are an error.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

/// Invalid event stream: an event is too long, or its id does not ascend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventFault;

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now, concatenated; `None` if no event is
    /// complete.
    ///
    /// # Errors
    ///
    /// The bytes are not a stream of events with ascending ids.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, EventFault> {
        self.buffer.extend_from_slice(chunk);
        let mut complete_len = 0;
        while let Some(end) = find_event_end(&self.buffer[complete_len..]) {
            let event = &self.buffer[complete_len..complete_len + end];
            if let Some(id) = parse_id(event) {
                if self.last_id.is_some_and(|last| id <= last) {
                    return Err(EventFault);
                }
                self.last_id = Some(id);
            }
            complete_len += end;
        }
        if self.buffer.len() - complete_len > MAX_EVENT_BYTES {
            return Err(EventFault);
        }
        Ok((complete_len > 0).then(|| self.buffer.split_to(complete_len).freeze()))
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns `true` if the buffer holds part of an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns a splitter for an answer that continues after the last complete event.
    #[must_use]
    pub fn resume(&self) -> Self {
        EventSplitter { buffer: BytesMut::new(), last_id: self.last_id }
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
