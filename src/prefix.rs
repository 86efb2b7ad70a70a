//! Marks of a prompt's prefixes, by which agents know what is cached.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text that one block of the prefix cache stands for.
pub const BLOCK_BYTES: usize = 4096;

/// Blocks that each have a mark of their own, before marks thin out.
const DENSE_BLOCKS: usize = 8;

/// Growth of the distance from mark to mark after the dense ones.
const GROWTH: f64 = 1.25;

/// Hash of a prompt's first blocks, chained and salted per client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixMark(
    /// How many blocks the hash covers.
    pub u32,
    /// The hash.
    pub u64,
);

/// Marks of a prompt, from short prefixes to long ones.
///
/// A short prompt has a mark for every block, a long one about thirty in
/// all, so that a probe stays small.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixMarks(pub Vec<PrefixMark>);

/// Makes marks of a prompt as its text arrives.
#[derive(Debug)]
pub struct MarkBuilder {
    chain: u64,
    blocks: u32,
    next: u32,
    pending: Vec<u8>,
    marks: Vec<PrefixMark>,
}

impl MarkBuilder {
    /// Starts with the salt of a client account.
    #[must_use]
    pub fn new(salt: &str) -> Self {
        MarkBuilder {
            chain: xxh3_64_with_seed(salt.as_bytes(), 0),
            blocks: 0,
            next: 1,
            pending: Vec::new(),
            marks: Vec::new(),
        }
    }

    /// Takes more of the prompt.
    pub fn update(&mut self, mut text: &[u8]) {
        if !self.pending.is_empty() {
            let wanted = (BLOCK_BYTES - self.pending.len()).min(text.len());
            self.pending.extend_from_slice(&text[..wanted]);
            text = &text[wanted..];
            if self.pending.len() < BLOCK_BYTES {
                return;
            }
            let block = std::mem::take(&mut self.pending);
            self.push_block(&block);
        }
        let mut blocks = text.chunks_exact(BLOCK_BYTES);
        for block in &mut blocks {
            self.push_block(block);
        }
        self.pending.extend_from_slice(blocks.remainder());
    }

    fn push_block(&mut self, block: &[u8]) {
        self.chain = xxh3_64_with_seed(block, self.chain);
        self.blocks += 1;
        if self.blocks < self.next {
            return;
        }
        self.marks.push(PrefixMark(self.blocks, self.chain));
        self.next = if (self.blocks as usize) < DENSE_BLOCKS {
            self.blocks + 1
        } else {
            (f64::from(self.blocks) * GROWTH) as u32
        };
    }

    /// Ends the prompt. An incomplete last block has no mark.
    #[must_use]
    pub fn into_marks(self) -> PrefixMarks {
        PrefixMarks(self.marks)
    }
}

impl PrefixMarks {
    /// The hash of the prompt's first block, by which prompts with a common
    /// beginning meet at the same targets.
    #[must_use]
    pub fn peek_first(&self) -> Option<u64> {
        self.0.first().map(|mark| mark.1)
    }
}
