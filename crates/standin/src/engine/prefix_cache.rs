//! A prompt prefix cache of limited size.

use super::deterministic_text::hash_word;

/// Number of tokens in one block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// Cached blocks, keyed by the hash of all text up to their end; evicts the least recently used.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    /// Hash and time of last use, sorted by hash.
    rows: Vec<(u64, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the length in tokens of a prompt's cached prefix, and caches all complete blocks of
    /// the prompt.
    pub fn look_up_and_insert(&mut self, prompt: &str) -> usize {
        let mut cached_tokens = 0;
        let mut is_prefix_cached = true;
        for hash in block_hashes(prompt) {
            self.clock += 1;
            match self.rows.binary_search_by_key(&hash, |row| row.0) {
                Ok(position) => {
                    self.rows[position].1 = self.clock;
                    if is_prefix_cached {
                        cached_tokens += BLOCK_TOKENS;
                    }
                }
                Err(position) => {
                    is_prefix_cached = false;
                    self.rows.insert(position, (hash, self.clock));
                    self.evict();
                }
            }
        }
        cached_tokens
    }

    /// Evicts the least recently used block if the cache is over capacity.
    fn evict(&mut self) {
        if self.rows.len() <= self.capacity {
            return;
        }
        let oldest = self.rows.iter().enumerate().min_by_key(|(_, row)| row.1);
        if let Some((position, _)) = oldest {
            self.rows.remove(position);
        }
    }
}

/// Returns the hash of each complete block together with all text before it.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut state = 0;
    let mut hashes = Vec::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        state = hash_word(state, word);
        if (index + 1) % BLOCK_TOKENS == 0 {
            hashes.push(state);
        }
    }
    hashes
}
