//! A cache of prompt prefixes in limited memory.

use super::token_text::absorb_word;

/// Tokens in one block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// Blocks by the hash of all text up to their end, the least recently used evicted first.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    /// Hash and last use, sorted by hash.
    rows: Vec<(u64, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns how many tokens of a prompt are cached, and caches all of its whole blocks.
    pub fn look_up(&mut self, prompt: &str) -> usize {
        let mut cached = 0;
        let mut unbroken = true;
        for hash in block_hashes(prompt) {
            self.clock += 1;
            match self.rows.binary_search_by_key(&hash, |row| row.0) {
                Ok(position) => {
                    self.rows[position].1 = self.clock;
                    if unbroken {
                        cached += BLOCK_TOKENS;
                    }
                }
                Err(position) => {
                    unbroken = false;
                    self.rows.insert(position, (hash, self.clock));
                    self.evict();
                }
            }
        }
        cached
    }

    /// Drops the least recently used block if there are too many.
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

/// Returns the hash of each whole block together with all text before it.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut state = 0;
    let mut hashes = Vec::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        state = absorb_word(state, word);
        if (index + 1) % BLOCK_TOKENS == 0 {
            hashes.push(state);
        }
    }
    hashes
}
