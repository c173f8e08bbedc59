//! Recovery of a job's progress under its earlier owners.

use super::ChunkCommit;
use super::ItemResult;
use super::JobCounts;
use super::JournalRecord;

/// The progress of a job, rebuilt from its chunk commits and its journals.
///
/// Journals of several replicas may be added in any order, after all commits. The highest attempt
/// of an item counts. Of several results of an item the first is kept; any is valid, since none of
/// them was committed.
#[derive(Clone, Debug, Default)]
pub struct JobRecovery {
    /// Items with their highest attempt, sorted by item.
    attempts: Vec<(u32, u8)>,
    chunk_items: u32,
    /// Committed chunks with their epochs, sorted by chunk.
    committed: Vec<(u32, u64)>,
    counts: JobCounts,
    /// Results of items in chunks that are not committed, sorted by item.
    results: Vec<ItemResult>,
}

impl JobRecovery {
    /// Creates an empty recovery of a job with `chunk_items` items per chunk.
    #[must_use]
    pub fn new(chunk_items: u32) -> Self {
        Self { chunk_items, ..Self::default() }
    }

    /// Adds a committed chunk. All commits have to be added before any journal record.
    pub fn add_commit(&mut self, chunk: u32, commit: &ChunkCommit) {
        if let Err(position) = self.committed.binary_search_by_key(&chunk, |row| row.0) {
            self.committed.insert(position, (chunk, commit.epoch));
            self.counts.add(commit.counts);
        }
    }

    /// Adds a record of a journal.
    pub fn add_record(&mut self, record: JournalRecord) {
        match record {
            JournalRecord::Intent { items, .. } => {
                for (item, attempt) in items {
                    self.add_attempt(item, attempt);
                }
            }
            JournalRecord::Results { results, .. } => {
                for result in results {
                    self.add_result(result);
                }
            }
            JournalRecord::Items { .. }
            | JournalRecord::Opened { .. }
            | JournalRecord::Chunk { .. } => {}
        }
    }

    /// Returns whether a chunk is committed.
    #[must_use]
    pub fn is_committed(&self, chunk: u32) -> bool {
        self.committed.binary_search_by_key(&chunk, |row| row.0).is_ok()
    }

    /// Returns the committed chunks with their epochs.
    #[must_use]
    pub fn committed(&self) -> &[(u32, u64)] {
        &self.committed
    }

    /// Returns the numbers of items by final state in committed chunks.
    #[must_use]
    pub fn counts(&self) -> JobCounts {
        self.counts
    }

    /// Returns the number of attempts that an item has used.
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

    /// Returns the items without a result and their attempts, which the next owner needs too.
    #[must_use]
    pub fn unfinished_attempts(&self) -> Vec<(u32, u8)> {
        let attempts = self.attempts.iter().copied();
        attempts.filter(|(item, _)| !self.has_result(*item)).collect()
    }

    /// Adds an attempt of an item; the highest number counts.
    fn add_attempt(&mut self, item: u32, attempt: u8) {
        if self.is_committed(item / self.chunk_items.max(1)) {
            return;
        }
        match self.attempts.binary_search_by_key(&item, |row| row.0) {
            Ok(position) => self.attempts[position].1 = self.attempts[position].1.max(attempt),
            Err(position) => self.attempts.insert(position, (item, attempt)),
        }
    }

    /// Adds the result of an item unless it has one.
    fn add_result(&mut self, result: ItemResult) {
        if self.is_committed(result.item / self.chunk_items.max(1)) {
            return;
        }
        let found = self.results.binary_search_by_key(&result.item, |existing| existing.item);
        if let Err(position) = found {
            self.results.insert(position, result);
        }
    }

    /// Returns whether an item has a result.
    fn has_result(&self, item: u32) -> bool {
        self.is_committed(item / self.chunk_items.max(1)) || self.result_of(item).is_some()
    }
}
