//! Prompts from a seed.

use cv_policy::SeededRandom;

/// Makes prompts that begin with one of a few shared prefixes and end in words of their own.
#[derive(Clone, Debug)]
pub struct PromptSource {
    own_words: usize,
    prefix_words: usize,
    prefixes: usize,
    random: SeededRandom,
}

impl PromptSource {
    /// Creates a source with so many different prefixes of so many words.
    #[must_use]
    pub fn new(seed: u64, prefixes: usize, prefix_words: usize, own_words: usize) -> Self {
        Self { own_words, prefix_words, prefixes, random: SeededRandom::new(seed) }
    }

    /// Returns the next prompt.
    pub fn next_prompt(&mut self) -> String {
        let prefix = self.random.below(self.prefixes.max(1));
        let mut words: Vec<String> =
            (0..self.prefix_words).map(|word| format!("p{prefix}w{word}")).collect();
        words.extend((0..self.own_words).map(|_| format!("{:x}", self.random.number())));
        words.join(" ")
    }
}
