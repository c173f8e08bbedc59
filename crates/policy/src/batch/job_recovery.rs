//! How far a job had got under its earlier owners.

use super::ChunkCommit;
use super::ItemResult;
use super::JobCounts;
use super::JournalRecord;

/// What the commits and the journals of a job tell, put together in any order.
///
/// Journals of several replicas may be merged: the highest attempt counts, and of several results
/// of one item any will do, since none of them was committed.
#[derive(Clone, Debug, Default)]
pub struct JobRecovery {
    /// Attempts by item, sorted by item.
    attempts: Vec<(u32, u8)>,
    chunk_items: u32,
    /// Committed chunks with their epochs, sorted by chunk.
    committed: Vec<(u32, u64)>,
    counts: JobCounts,
    /// Results of items in chunks that are not committed, sorted by item.
    results: Vec<ItemResult>,
}

impl JobRecovery {
    /// Creates the recovery of a job with chunks of this size.
    #[must_use]
    pub fn new(chunk_items: u32) -> Self {
        Self { chunk_items, ..Self::default() }
    }

    /// Takes a committed chunk; take all of them before the journals.
    pub fn add_commit(&mut self, chunk: u32, commit: &ChunkCommit) {
        if let Err(position) = self.committed.binary_search_by_key(&chunk, |row| row.0) {
            self.committed.insert(position, (chunk, commit.epoch));
            self.counts.add(commit.counts);
        }
    }

    /// Takes one record of a journal.
    pub fn add_record(&mut self, record: JournalRecord) {
        match record {
            JournalRecord::Intent { items, .. } => {
                for (item, attempt) in items {
                    self.take_attempt(item, attempt);
                }
            }
            JournalRecord::Results { results, .. } => {
                for result in results {
                    self.take_result(result);
                }
            }
            JournalRecord::Items { .. }
            | JournalRecord::Opened { .. }
            | JournalRecord::Chunk { .. } => {}
        }
    }

    /// Tells whether a chunk is committed.
    #[must_use]
    pub fn is_committed(&self, chunk: u32) -> bool {
        self.committed.binary_search_by_key(&chunk, |row| row.0).is_ok()
    }

    /// Returns the committed chunks with their epochs.
    #[must_use]
    pub fn committed(&self) -> &[(u32, u64)] {
        &self.committed
    }

    /// Returns the numbers of items in committed chunks.
    #[must_use]
    pub fn counts(&self) -> JobCounts {
        self.counts
    }

    /// Returns the attempts that an item has used.
    #[must_use]
    pub fn attempts_of(&self, item: u32) -> u8 {
        let found = self.attempts.binary_search_by_key(&item, |row| row.0);
        found.map_or(0, |position| self.attempts[position].1)
    }

    /// Returns the recovered result of an item.
    #[must_use]
    pub fn result_of(&self, item: u32) -> Option<&ItemResult> {
        let found = self.results.binary_search_by_key(&item, |result| result.item);
        found.ok().map(|position| &self.results[position])
    }

    /// Returns the attempts of items that have no result, which the next owner must know too.
    #[must_use]
    pub fn unfinished_attempts(&self) -> Vec<(u32, u8)> {
        let open = self.attempts.iter().copied();
        open.filter(|(item, _)| !self.is_settled(*item)).collect()
    }

    /// Takes an attempt; the highest number counts.
    fn take_attempt(&mut self, item: u32, attempt: u8) {
        if self.is_committed(item / self.chunk_items.max(1)) {
            return;
        }
        match self.attempts.binary_search_by_key(&item, |row| row.0) {
            Ok(position) => self.attempts[position].1 = self.attempts[position].1.max(attempt),
            Err(position) => self.attempts.insert(position, (item, attempt)),
        }
    }

    /// Takes a result, unless there is one.
    fn take_result(&mut self, result: ItemResult) {
        if self.is_committed(result.item / self.chunk_items.max(1)) {
            return;
        }
        let found = self.results.binary_search_by_key(&result.item, |known| known.item);
        if let Err(position) = found {
            self.results.insert(position, result);
        }
    }

    /// Tells whether an item has a result.
    fn is_settled(&self, item: u32) -> bool {
        self.is_committed(item / self.chunk_items.max(1)) || self.result_of(item).is_some()
    }
}
