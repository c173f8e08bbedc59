//! The records of a job's journal.

use serde::Deserialize;
use serde::Serialize;

/// Final state of an item.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// It ran; the body is its response.
    Completed,
    /// It cannot be completed; the body is the reason.
    Failed,
    /// It was handed over, must not be repeated, and may or may not have run.
    Unknown,
}

/// Result of one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// Body of the response, or the reason for a failure.
    pub body: String,
    /// Number of the item in its job, counted from 0.
    pub item: u32,
    /// Final state of the item.
    pub state: ResultState,
    /// HTTP status of the response, 0 if there was none.
    pub status: u16,
}

/// A record of a journal. Records are encoded by position, so fields and variants keep their order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JournalRecord {
    /// Input lines of consecutive items.
    Items {
        /// Number of the first item.
        first: u32,
        /// One line per item.
        lines: Vec<String>,
    },
    /// The first record of a job's journal, which distinguishes an empty journal from a lost one.
    Opened {
        /// Id of the job.
        job: String,
    },
    /// Items that are about to be handed over; durable before any of them is.
    Intent {
        /// Epoch of the owner.
        epoch: u64,
        /// Item numbers with their attempt numbers, the latter counted from 1.
        items: Vec<(u32, u8)>,
    },
    /// Results in order of arrival.
    Results {
        /// Epoch of the owner.
        epoch: u64,
        /// The results.
        results: Vec<ItemResult>,
    },
    /// All results of a chunk in item order; valid once the chunk is committed.
    Chunk {
        /// Number of the chunk, counted from 0.
        chunk: u32,
        /// Epoch of the owner.
        epoch: u64,
        /// The results.
        results: Vec<ItemResult>,
    },
}
