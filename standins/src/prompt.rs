//! Prompts as real bytes, and the answers that an engine must give to them.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of each word of a prompt and of an answer, its space included.
pub const WORD: usize = 8;

/// Makes a prompt of about `tokens` tokens of four bytes, with a beginning
/// that is the same for all prompts of one `family`.
#[must_use]
pub fn make_prompt(tokens: u64, family: u64, common_tokens: u64, seed: u64) -> String {
    let bytes = tokens as usize * 4;
    let common = (common_tokens as usize * 4).min(bytes / 2);
    let mut text = String::with_capacity(bytes + WORD);
    fill(&mut text, common, family);
    fill(&mut text, bytes, seed);
    text
}

fn fill(text: &mut String, until: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while text.len() < until {
        let word: u32 = rng.random::<u32>() & 0x0fff_ffff;
        push_word(text, word);
    }
}

fn push_word(text: &mut String, word: u32) {
    use std::fmt::Write;
    let _ = write!(text, "{word:07x} ");
}

/// Hash of a prompt, by which its answer is known.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Appends token number `index` of the answer to a prompt.
pub fn push_answer_token(text: &mut String, hash: u64, index: u64) {
    let word = xxh3_64_with_seed(&index.to_le_bytes(), hash) as u32 & 0x0fff_ffff;
    push_word(text, word);
}

/// The whole answer of so many tokens to a prompt.
#[must_use]
pub fn whole_answer(hash: u64, tokens: u64) -> String {
    let mut text = String::with_capacity(tokens as usize * WORD);
    for index in 0..tokens {
        push_answer_token(&mut text, hash, index);
    }
    text
}
