//! The properties of a job that its scheduling depends on.

use bon::Builder;

use crate::MonotonicTime;
use crate::OrganisationId;

/// The properties of a job that its scheduling depends on.
#[derive(Builder, Clone, Copy, Debug)]
pub struct JobPlan {
    /// Maximum number of attempts of an item, after which it fails.
    #[builder(default = 3)]
    pub attempts: u8,
    /// Number of items per chunk.
    pub chunk_items: u32,
    /// Time by which the job is due.
    pub due: MonotonicTime,
    /// Number of items.
    pub items: u32,
    /// Organisation to which the job is charged.
    pub organisation: OrganisationId,
    /// Priority within the organisation; higher values come first.
    #[builder(default)]
    pub priority: u8,
    /// Whether every item may run more than once.
    pub repeatable: bool,
    /// Weight of the organisation in fair sharing.
    #[builder(default = 1)]
    pub weight: u32,
}

impl JobPlan {
    /// Returns the number of chunks.
    #[must_use]
    pub fn chunks(&self) -> u32 {
        self.items.div_ceil(self.chunk_items.max(1))
    }

    /// Returns the numbers of the items of a chunk.
    #[must_use]
    pub fn chunk_range(&self, chunk: u32) -> std::ops::Range<u32> {
        let first = chunk * self.chunk_items;
        first..(first + self.chunk_items).min(self.items)
    }
}
