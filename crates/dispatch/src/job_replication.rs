//! Copies of unfinished outputs, which let another instance go on where a run stopped.

use serde::Deserialize;
use serde::Serialize;

/// How much is known of an item that has not ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressMark {
    /// Length of the output, in bytes.
    pub bytes: usize,
    /// Number of its last event.
    pub event: Option<u64>,
    /// Failed answers so far.
    pub failures: u32,
}

/// What an item has put out since a mark.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemUpdate {
    /// Output after the mark.
    pub data: Vec<u8>,
    /// Position of the item in its job.
    pub item: usize,
    /// Where `data` begins.
    pub since: ProgressMark,
    /// Where it ends.
    pub until: ProgressMark,
}

/// What the items of a job have put out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobUpdate {
    /// Items with news.
    pub items: Vec<ItemUpdate>,
    /// The job.
    pub job: String,
}

/// What another instance has of a job's outputs, as far as it has confirmed that.
#[derive(Clone, Debug, Default)]
pub struct ReplicaProgress {
    holder: String,
    /// By item.
    marks: Vec<ProgressMark>,
}

impl ReplicaProgress {
    /// Returns what a holder has; nothing if another one had the copies so far.
    pub fn acknowledged_by(&mut self, holder: &str) -> &[ProgressMark] {
        if self.holder != holder {
            self.marks.clear();
            holder.clone_into(&mut self.holder);
        }
        &self.marks
    }

    /// Notes that the holder has taken copies.
    pub fn acknowledge(&mut self, holder: &str, items: &[ItemUpdate]) {
        if self.holder != holder {
            return;
        }
        for copy in items {
            if self.marks.len() <= copy.item {
                self.marks.resize(copy.item + 1, ProgressMark::default());
            }
            self.marks[copy.item] = copy.until;
        }
    }

    /// Forgets what the holder has, since it could not take what follows.
    pub fn reset(&mut self) {
        self.marks.clear();
    }
}
