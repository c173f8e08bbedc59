//! Deterministic text in which each word depends on all text before it, so that tests can check
//! every response.
//!
//! A prompt that is extended with a part of its response yields the rest of the same response, as
//! with a real model at temperature zero.

/// Multiplier of the rolling hash.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Updates a hash state with the words of a text.
pub(super) fn hash_text(mut state: u64, text: &str) -> u64 {
    for word in text.split_whitespace() {
        state = hash_word(state, word);
    }
    state
}

/// Returns the word that a hash state generates.
pub(super) fn next_word(state: u64) -> String {
    format!("{:05x}", state >> 44)
}

/// Updates a hash state with one more word.
pub(super) fn hash_word(state: u64, word: &str) -> u64 {
    let hash = word.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    let mixed = (state ^ hash).wrapping_mul(MULTIPLIER);
    mixed ^ (mixed >> 29)
}

/// Returns the complete response to a prompt: `tokens` words, each with a space before it.
#[must_use]
pub fn expected_text(prompt: &str, tokens: usize) -> String {
    let mut state = hash_text(0, prompt);
    let mut text = String::with_capacity(tokens * 6);
    for _ in 0..tokens {
        let word = next_word(state);
        state = hash_word(state, &word);
        text.push(' ');
        text.push_str(&word);
    }
    text
}
