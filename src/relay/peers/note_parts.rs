//! Notes that are longer than a datagram, in parts.
//!
//! The load that it answers: a twentieth of the engines of a large fleet replaced within
//! seconds. How many changes one answer of a watch brings grows with the fleet, and a
//! datagram does not: news that did not fit were told to nobody, and each entry read the
//! whole list to learn them.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::load_note::MAX_NOTE;
use crate::time::Tick;

/// Bytes of a part: the rest of a datagram is for what names it.
const PART_BYTES: usize = MAX_NOTE - 64;

/// Most parts of a note. What is longer is not told: who needs it reads the store.
const MOST_PARTS: usize = 64;

/// Most notes of which parts are kept.
const MOST_NOTES: usize = 64;

/// Time for which parts are kept, and for which it is known that a note was whole: copies of
/// them come through several agents.
const KEPT_SPAN: Duration = Duration::from_secs(2);

/// A part of a note.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotePart {
    /// Names the note.
    #[serde(rename = "i")]
    pub id: u64,
    /// Place of the part, from zero.
    #[serde(rename = "n")]
    pub number: u16,
    /// Parts of the note.
    #[serde(rename = "c")]
    pub count: u16,
    /// Its bytes.
    #[serde(rename = "b")]
    pub bytes: Bytes,
}

impl NotePart {
    /// The parts of a note's bytes, none where there would be too many.
    #[must_use]
    pub fn split(bytes: &Bytes, id: u64) -> Option<Vec<Self>> {
        let count = bytes.len().div_ceil(PART_BYTES);
        if count > MOST_PARTS {
            return None;
        }
        let to_part = |number: usize| {
            let from = number * PART_BYTES;
            let bytes = bytes.slice(from..bytes.len().min(from + PART_BYTES));
            NotePart { id, number: number as u16, count: count as u16, bytes }
        };
        Some((0..count).map(to_part).collect())
    }
}

#[derive(Debug)]
struct OpenNote {
    parts: Vec<Option<Bytes>>,
    heard_at: Tick,
    /// True once it was whole.
    is_taken: bool,
}

/// Parts of notes that are not whole yet.
#[derive(Debug, Default)]
pub struct PartBuffer {
    notes: HashMap<u64, OpenNote>,
}

impl PartBuffer {
    /// Takes a part. Returns the bytes of its note where that is whole with it, once.
    pub fn take(&mut self, part: NotePart, now: Tick) -> Option<Vec<u8>> {
        let NotePart { id, number, count, bytes } = part;
        if count as usize > MOST_PARTS || number >= count {
            return None;
        }
        self.notes.retain(|_, note| now.since(note.heard_at) < KEPT_SPAN);
        if self.notes.len() >= MOST_NOTES && !self.notes.contains_key(&id) {
            return None;
        }
        let note = self.notes.entry(id).or_insert_with(|| OpenNote {
            parts: vec![None; count.into()],
            heard_at: now,
            is_taken: false,
        });
        *note.parts.get_mut(usize::from(number))? = Some(bytes);
        let is_whole = note.parts.iter().all(Option::is_some);
        if !is_whole || std::mem::replace(&mut note.is_taken, true) {
            return None;
        }
        let parts = note.parts.iter_mut().filter_map(|part| part.replace(Bytes::new()));
        Some(parts.flatten().collect())
    }
}
