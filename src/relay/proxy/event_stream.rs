//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so that another target can continue a stream that broke in
//! the middle of an event.

use bytes::{Bytes, BytesMut};

/// Size limit of an event with the comments and empty events before it, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers bytes and returns complete events. Comments and empty events are returned together with
/// the next event that holds something, or at the end of the stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the comments and empty events at the start of the buffer.
    empty_len: usize,
    /// Length of the part of the buffer that is known to hold no end of an event.
    scanned_len: usize,
    last_id: Option<u64>,
}

/// Invalid event stream: an event is too long, or its id does not ascend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventFault;

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now, concatenated; `None` if no event
    /// that holds something is complete.
    ///
    /// # Errors
    ///
    /// The bytes are not a stream of events with ascending ids.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, EventFault> {
        self.buffer.extend_from_slice(chunk);
        let (mut complete_len, mut start) = (0, self.empty_len);
        // The end of an event may begin with the last byte that was scanned.
        let mut from = self.scanned_len.saturating_sub(1).max(start);
        while let Some(end) = find_event_end(&self.buffer[from..]) {
            let event = &self.buffer[start..from + end];
            start = from + end;
            if !is_empty(event) {
                complete_len = start;
            }
            if let Some(id) = parse_id(event) {
                if self.last_id.is_some_and(|last| id <= last) {
                    return Err(EventFault);
                }
                self.last_id = Some(id);
            }
            from = start;
        }
        self.empty_len = start - complete_len;
        self.scanned_len = self.buffer.len() - complete_len;
        if self.scanned_len > MAX_EVENT_BYTES {
            return Err(EventFault);
        }
        Ok((complete_len > 0).then(|| self.buffer.split_to(complete_len).freeze()))
    }

    /// Returns the comments and empty events after the last event, `None` if there are none.
    pub fn take_empty(&mut self) -> Option<Bytes> {
        let length = std::mem::take(&mut self.empty_len);
        self.scanned_len -= length;
        (length > 0).then(|| self.buffer.split_to(length).freeze())
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns `true` if the buffer holds part of an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.buffer.len() > self.empty_len
    }

    /// Returns a splitter for an answer that continues after the last complete event.
    #[must_use]
    pub fn resume(&self) -> Self {
        EventSplitter { last_id: self.last_id, ..EventSplitter::default() }
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

/// Returns `true` if an event has no field that holds something: it consists of comments, or of
/// fields without a value.
fn is_empty(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| {
        let value = line.iter().position(|byte| *byte == b':').map(|at| (at, &line[at + 1..]));
        value.is_none_or(|(at, value)| at == 0 || value.trim_ascii().is_empty())
    })
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
