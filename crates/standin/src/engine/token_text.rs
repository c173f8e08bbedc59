//! Text that depends on all text before it, so that every answer can be checked.
//!
//! A prompt continued with a part of its answer leads to the rest of the same answer, as it does
//! with a real model at temperature zero.

/// Multiplier of the rolling hash.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the state after the words of a text.
pub(super) fn absorb(mut state: u64, text: &str) -> u64 {
    for word in text.split_whitespace() {
        state = absorb_word(state, word);
    }
    state
}

/// Returns the word that follows a state.
pub(super) fn next_word(state: u64) -> String {
    format!("{:05x}", state >> 44)
}

/// Returns the state after one more word.
pub(super) fn absorb_word(state: u64, word: &str) -> u64 {
    let hash = word.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    let mixed = (state ^ hash).wrapping_mul(MULTIPLIER);
    mixed ^ (mixed >> 29)
}

/// Returns the whole answer to a prompt: each word with a space before it.
#[must_use]
pub fn expected_text(prompt: &str, tokens: usize) -> String {
    let mut state = absorb(0, prompt);
    let mut text = String::with_capacity(tokens * 6);
    for _ in 0..tokens {
        let word = next_word(state);
        state = absorb_word(state, &word);
        text.push(' ');
        text.push_str(&word);
    }
    text
}
