//! Generates prompts and the answers that the engine must return for them.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of each word of a prompt and of an answer, including the trailing space.
pub const WORD: usize = 8;

/// Generates a prompt of about `tokens` tokens of four bytes.
///
/// The first `common_tokens` tokens, at most half of the prompt, are the same for all
/// prompts of one `family`.
#[must_use]
pub fn make_prompt(tokens: u64, family: u64, common_tokens: u64, seed: u64) -> String {
    let bytes = tokens as usize * 4;
    let common = (common_tokens as usize * 4).min(bytes / 2);
    let mut text = String::with_capacity(bytes + WORD);
    fill_words(&mut text, common, family);
    fill_words(&mut text, bytes, seed);
    text
}

fn fill_words(text: &mut String, length: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while text.len() < length {
        let word: u32 = rng.random::<u32>() & 0x0fff_ffff;
        push_word(text, word);
    }
}

fn push_word(text: &mut String, word: u32) {
    use std::fmt::Write;
    let _ = write!(text, "{word:07x} ");
}

/// Hashes a prompt; the hash determines the answer.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Appends the token at `index` of the answer to the prompt with this hash.
pub fn push_answer_token(text: &mut String, hash: u64, index: u64) {
    let word = xxh3_64_with_seed(&index.to_le_bytes(), hash) as u32 & 0x0fff_ffff;
    push_word(text, word);
}

/// Returns the complete answer of `tokens` tokens to the prompt with this hash.
#[must_use]
pub fn whole_answer(hash: u64, tokens: u64) -> String {
    let mut text = String::with_capacity(tokens as usize * WORD);
    for index in 0..tokens {
        push_answer_token(&mut text, hash, index);
    }
    text
}
