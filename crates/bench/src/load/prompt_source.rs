//! Generates prompts from a seed.

use cv_policy::SeededRandom;

/// Generates prompts that start with one of a few shared prefixes and end in unique words.
#[derive(Clone, Debug)]
pub struct PromptSource {
    unique_words: usize,
    prefix_words: usize,
    prefixes: usize,
    random: SeededRandom,
}

impl PromptSource {
    /// Creates a source with `prefixes` prefixes of `prefix_words` words, each followed by
    /// `unique_words` random words.
    #[must_use]
    pub fn new(seed: u64, prefixes: usize, prefix_words: usize, unique_words: usize) -> Self {
        Self { unique_words, prefix_words, prefixes, random: SeededRandom::new(seed) }
    }

    /// Generates the next prompt.
    pub fn next_prompt(&mut self) -> String {
        let prefix = self.random.below(self.prefixes.max(1));
        let mut words: Vec<String> =
            (0..self.prefix_words).map(|word| format!("p{prefix}w{word}")).collect();
        words.extend((0..self.unique_words).map(|_| format!("{:x}", self.random.number())));
        words.join(" ")
    }
}
