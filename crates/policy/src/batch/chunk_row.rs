//! The state of an open chunk.

use super::item_row::ItemRow;
use super::item_row::ItemState;
use crate::MonotonicTime;

/// Processing stage of a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ChunkStage {
    /// Its input lines are being read.
    Loading,
    /// Its items are being processed.
    Running,
    /// It is being committed.
    Committing,
}

/// A chunk that is being processed.
#[derive(Clone, Debug)]
pub(super) struct ChunkRow {
    pub chunk: u32,
    /// Number of the first item.
    pub first_item: u32,
    pub rows: Vec<ItemRow>,
    pub stage: ChunkStage,
}

impl ChunkRow {
    /// Returns an item for modification; `None` if it is in another chunk.
    pub fn item_mut(&mut self, item: u32) -> Option<&mut ItemRow> {
        self.rows.get_mut(item.checked_sub(self.first_item)? as usize)
    }

    /// Returns whether all results are durable.
    pub fn is_durable(&self) -> bool {
        self.rows.iter().all(|row| row.state == ItemState::ResultDurable)
    }

    /// Returns the number of items in a state.
    pub fn count(&self, state: ItemState) -> usize {
        self.rows.iter().filter(|row| row.state == state).count()
    }

    /// Returns up to `limit` items in a state whose delay is over.
    pub fn due_items(&self, now: MonotonicTime, state: ItemState, limit: usize) -> Vec<u32> {
        let rows = self.rows.iter().enumerate();
        rows.filter(|(_, row)| row.state == state && row.not_before <= now)
            .map(|(index, _)| self.first_item + index as u32)
            .take(limit)
            .collect()
    }
}
