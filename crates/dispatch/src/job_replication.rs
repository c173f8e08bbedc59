//! Replication of unfinished outputs, so that another keeper can resume an interrupted run.

use serde::Deserialize;
use serde::Serialize;

/// A point in the progress of an item that has not ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressMark {
    /// Length of the output, in bytes.
    pub bytes: usize,
    /// Number of the last event in the output.
    pub event: Option<u64>,
    /// Number of failed responses from targets so far.
    pub failures: u32,
}

/// The progress of an item between two marks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemUpdate {
    /// Output between the marks.
    pub data: Vec<u8>,
    /// Position of the item in its job.
    pub item: usize,
    /// Mark at which `data` begins.
    pub since: ProgressMark,
    /// Mark at which `data` ends.
    pub until: ProgressMark,
}

/// The progress of a job's items, as its owner sends it to another keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobUpdate {
    /// Updates of the items that have changed.
    pub items: Vec<ItemUpdate>,
    /// Id of the job.
    pub job: String,
}

/// What a replica has acknowledged of a job's progress.
///
/// A replica is the keeper that the job's owner sends its updates to.
#[derive(Clone, Debug, Default)]
pub struct ReplicaProgress {
    /// Name of the replica.
    replica: String,
    /// Acknowledged marks, by the position of the item in the job.
    marks: Vec<ProgressMark>,
}

impl ReplicaProgress {
    /// Returns the marks that a replica has acknowledged; none if it was another one until now.
    pub fn acknowledged_by(&mut self, replica: &str) -> &[ProgressMark] {
        if self.replica != replica {
            self.marks.clear();
            replica.clone_into(&mut self.replica);
        }
        &self.marks
    }

    /// Records that the replica has applied updates; ignored if the replica has changed since.
    pub fn acknowledge(&mut self, replica: &str, items: &[ItemUpdate]) {
        if self.replica != replica {
            return;
        }
        for update in items {
            if self.marks.len() <= update.item {
                self.marks.resize(update.item + 1, ProgressMark::default());
            }
            self.marks[update.item] = update.until;
        }
    }

    /// Clears all marks after the replica could not apply an update, so that it gets everything.
    pub fn reset(&mut self) {
        self.marks.clear();
    }
}
