//! An open chunk.

use super::item_row::ItemRow;
use super::item_row::ItemState;
use crate::MonotonicTime;

/// How far a chunk has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ChunkStage {
    /// Its lines are being read.
    Loading,
    /// Its items run.
    Running,
    /// Its commit is under way.
    Committing,
}

/// A chunk whose items run.
#[derive(Clone, Debug)]
pub(super) struct ChunkRow {
    pub chunk: u32,
    pub first: u32,
    pub rows: Vec<ItemRow>,
    pub stage: ChunkStage,
}

impl ChunkRow {
    /// Finds an item for change.
    pub fn item_mut(&mut self, item: u32) -> Option<&mut ItemRow> {
        self.rows.get_mut(item.checked_sub(self.first)? as usize)
    }

    /// Tells whether every result is durable.
    pub fn is_recorded(&self) -> bool {
        self.rows.iter().all(|row| row.state == ItemState::ResultDurable)
    }

    /// Counts the items in a state.
    pub fn count(&self, state: ItemState) -> usize {
        self.rows.iter().filter(|row| row.state == state).count()
    }

    /// Returns the items in a state that may be handed over now, at most so many.
    pub fn due_items(&self, now: MonotonicTime, state: ItemState, most: usize) -> Vec<u32> {
        let rows = self.rows.iter().enumerate();
        rows.filter(|(_, row)| row.state == state && row.not_before <= now)
            .map(|(index, _)| self.first + index as u32)
            .take(most)
            .collect()
    }
}
