//! What the owner has to know of a job to run it.

use bon::Builder;

use crate::MonotonicTime;
use crate::OrganisationId;

/// A job, as far as its owner's decisions depend on it.
#[derive(Builder, Clone, Copy, Debug)]
pub struct JobPlan {
    /// Runs of an item before it ends as failed.
    #[builder(default = 3)]
    pub attempts: u8,
    /// Items in one chunk.
    pub chunk_items: u32,
    /// When it is due.
    pub due: MonotonicTime,
    /// Number of items.
    pub items: u32,
    /// Who pays.
    pub organisation: OrganisationId,
    /// Priority within the organisation, the highest first.
    #[builder(default)]
    pub priority: u8,
    /// Whether every item may run more than once.
    pub repeatable: bool,
    /// The organisation's weight in the shares.
    #[builder(default = 1)]
    pub weight: u32,
}

impl JobPlan {
    /// Returns the number of chunks.
    #[must_use]
    pub fn chunks(&self) -> u32 {
        self.items.div_ceil(self.chunk_items.max(1))
    }

    /// Returns the items of a chunk.
    #[must_use]
    pub fn chunk_range(&self, chunk: u32) -> std::ops::Range<u32> {
        let first = chunk * self.chunk_items;
        first..(first + self.chunk_items).min(self.items)
    }
}
