//! Cuts a stream of server-sent events into whole events.
//!
//! Only whole events are passed on, so that another target can continue a
//! stream that broke within one.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, in bytes; a longer one is no event.
const MAX_EVENT: usize = 256 * 1024;

/// Collects bytes and gives back whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

/// Bytes without the end of an event, or an event without an ascending id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventFault;

impl EventSplitter {
    /// Adds bytes and takes all events that are whole now, as one piece.
    ///
    /// # Errors
    ///
    /// The bytes are not a stream of events with ascending ids.
    pub fn push(&mut self, part: &[u8]) -> Result<Option<Bytes>, EventFault> {
        self.rest.extend_from_slice(part);
        let mut whole = 0;
        while let Some(end) = find_end(&self.rest[whole..]) {
            let event = &self.rest[whole..whole + end];
            if let Some(id) = parse_id(event) {
                if self.last_id.is_some_and(|last| id <= last) {
                    return Err(EventFault);
                }
                self.last_id = Some(id);
            }
            whole += end;
        }
        if self.rest.len() - whole > MAX_EVENT {
            return Err(EventFault);
        }
        Ok((whole > 0).then(|| self.rest.split_to(whole).freeze()))
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns true where part of an event is still waiting for its end.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Forgets the part of an event that its target did not finish.
    pub fn clear_rest(&mut self) {
        self.rest.clear();
    }
}

/// Length of the first event with the blank line that ends it.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
