//! Fragments of messages that are longer than a datagram.
//!
//! The number of changes in one answer of a watch grows with the fleet, for example if a twentieth
//! of a large fleet's engines is replaced within seconds, but the size of a datagram does not.
//! Without fragments such an update reaches no entry, and each entry reads the whole list to learn
//! the changes.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::peer_message::MAX_DATAGRAM_BYTES;
use crate::time::Tick;

/// Payload bytes of a fragment: the rest of the datagram holds its header.
const FRAGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - 64;

/// Maximum number of fragments of a message. A longer message is not sent: entries that need it
/// read the store.
const MAX_FRAGMENTS: usize = 64;

/// Maximum number of messages whose fragments are buffered.
const MAX_MESSAGES: usize = 64;

/// How long fragments are buffered, and how long a message is known to be complete: copies of
/// fragments come through several agents.
const BUFFER_TTL: Duration = Duration::from_secs(2);

/// A fragment of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageFragment {
    /// Identifies the message.
    #[serde(rename = "i")]
    pub id: u64,
    /// Index of the fragment, from zero.
    #[serde(rename = "n")]
    pub number: u16,
    /// Number of fragments of the message.
    #[serde(rename = "c")]
    pub count: u16,
    /// Its payload.
    #[serde(rename = "b")]
    pub bytes: Bytes,
}

impl MessageFragment {
    /// Splits the bytes of a message, `None` if there would be too many fragments.
    #[must_use]
    pub fn split(bytes: &Bytes, id: u64) -> Option<Vec<Self>> {
        let count = bytes.len().div_ceil(FRAGMENT_BYTES);
        if count > MAX_FRAGMENTS {
            return None;
        }
        let to_fragment = |number: usize| {
            let from = number * FRAGMENT_BYTES;
            let bytes = bytes.slice(from..bytes.len().min(from + FRAGMENT_BYTES));
            MessageFragment { id, number: number as u16, count: count as u16, bytes }
        };
        Some((0..count).map(to_fragment).collect())
    }
}

#[derive(Debug)]
struct PartialMessage {
    fragments: Vec<Option<Bytes>>,
    received_at: Tick,
    /// Whether the message was already returned.
    is_returned: bool,
}

/// Fragments of messages that are not complete yet.
#[derive(Debug, Default)]
pub struct FragmentBuffer {
    messages: HashMap<u64, PartialMessage>,
}

impl FragmentBuffer {
    /// Inserts a fragment. Returns the bytes of its message, once, if this fragment completes it.
    pub fn insert(&mut self, fragment: MessageFragment, now: Tick) -> Option<Vec<u8>> {
        let MessageFragment { id, number, count, bytes } = fragment;
        if count as usize > MAX_FRAGMENTS || number >= count {
            return None;
        }
        self.messages.retain(|_, message| now.since(message.received_at) < BUFFER_TTL);
        if self.messages.len() >= MAX_MESSAGES && !self.messages.contains_key(&id) {
            return None;
        }
        let message = self.messages.entry(id).or_insert_with(|| PartialMessage {
            fragments: vec![None; count.into()],
            received_at: now,
            is_returned: false,
        });
        *message.fragments.get_mut(usize::from(number))? = Some(bytes);
        let is_complete = message.fragments.iter().all(Option::is_some);
        if !is_complete || std::mem::replace(&mut message.is_returned, true) {
            return None;
        }
        let fragments =
            message.fragments.iter_mut().filter_map(|fragment| fragment.replace(Bytes::new()));
        Some(fragments.flatten().collect())
    }
}
