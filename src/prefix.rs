//! Hashes of a prompt's prefixes, by which agents estimate how much of it is cached.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text per block of the prefix cache.
pub const BLOCK_BYTES: usize = 4096;

/// Number of leading blocks that each end a hashed prefix; later hashes are sparser.
const DENSE_BLOCKS: usize = 8;

/// Ratio of the lengths of successive hashed prefixes after the dense ones.
const LENGTH_GROWTH: f64 = 1.25;

/// Chained hash of a prompt's first blocks, salted per client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHash(
    /// Number of blocks that the hash covers.
    pub u32,
    /// The hash.
    pub u64,
);

/// Prefix hashes of a prompt, from short prefixes to long ones.
///
/// A short prompt has a hash for every block, a long one about thirty in all,
/// so that a probe stays small.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHashes(pub Vec<PrefixHash>);

/// Computes the prefix hashes of a prompt incrementally.
#[derive(Debug)]
pub struct PrefixHasher {
    chain: u64,
    blocks: u32,
    next_hashed: u32,
    pending: Vec<u8>,
    hashes: Vec<PrefixHash>,
}

impl PrefixHasher {
    /// Creates a hasher salted with `salt`, the name of a client account.
    #[must_use]
    pub fn new(salt: &str) -> Self {
        PrefixHasher {
            chain: xxh3_64_with_seed(salt.as_bytes(), 0),
            blocks: 0,
            next_hashed: 1,
            pending: Vec::new(),
            hashes: Vec::new(),
        }
    }

    /// Appends text of the prompt.
    pub fn update(&mut self, mut text: &[u8]) {
        if !self.pending.is_empty() {
            let missing = (BLOCK_BYTES - self.pending.len()).min(text.len());
            self.pending.extend_from_slice(&text[..missing]);
            text = &text[missing..];
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
        if self.blocks < self.next_hashed {
            return;
        }
        self.hashes.push(PrefixHash(self.blocks, self.chain));
        self.next_hashed = if (self.blocks as usize) < DENSE_BLOCKS {
            self.blocks + 1
        } else {
            (f64::from(self.blocks) * LENGTH_GROWTH) as u32
        };
    }

    /// Returns the hashes. An incomplete last block is not hashed.
    #[must_use]
    pub fn into_hashes(self) -> PrefixHashes {
        PrefixHashes(self.hashes)
    }
}

impl PrefixHashes {
    /// Returns the hash of the prompt's first block, which routes prompts with a
    /// common prefix to the same targets.
    #[must_use]
    pub fn peek_first(&self) -> Option<u64> {
        self.0.first().map(|prefix| prefix.1)
    }
}
