//! What a job's journal holds.

use serde::Deserialize;
use serde::Serialize;

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// It ran, and this is its answer.
    Completed,
    /// It cannot be completed, and this is why.
    Failed,
    /// It may not be repeated, was handed over, and nobody knows what became of it.
    Unknown,
}

/// The result of one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// The answer's body, or the reason of a failure.
    pub body: String,
    /// Number of the item in its job, counted from 0.
    pub item: u32,
    /// How the item ended.
    pub state: ResultState,
    /// Status of the answer, 0 where there was none.
    pub status: u16,
}

/// One record of a journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JournalRecord {
    /// Input lines of consecutive items.
    Items {
        /// Number of the first item.
        first: u32,
        /// One line an item.
        lines: Vec<String>,
    },
    /// The first record of a job's journal, by which a lost journal is told from an empty one.
    Opened {
        /// The job's id.
        job: String,
    },
    /// Items that are about to be handed over, with the numbers of their attempts.
    Intent {
        /// The owner's epoch.
        epoch: u64,
        /// Item and attempt, the latter counted from 1.
        items: Vec<(u32, u8)>,
    },
    /// Results, in the order in which they came.
    Results {
        /// The owner's epoch.
        epoch: u64,
        /// The results.
        results: Vec<ItemResult>,
    },
    /// All results of a chunk, in the order of its items; valid once the chunk is committed.
    Chunk {
        /// Number of the chunk, counted from 0.
        chunk: u32,
        /// The owner's epoch.
        epoch: u64,
        /// The results.
        results: Vec<ItemResult>,
    },
}
