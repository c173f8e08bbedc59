//! The key-value service of the batch world: who owns the job, and what is committed.

use std::collections::BTreeMap;

use cv_policy::batch::ChunkCommit;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCounts;

use crate::batch_cases::BatchBug;

/// What the service holds of one job.
#[derive(Clone, Debug)]
pub struct SimulatedStore {
    bug: Option<BatchBug>,
    cancel_revision: Option<u64>,
    commits: BTreeMap<u32, (u64, Vec<ItemResult>)>,
    down_until: u64,
    /// Revision of the job's record.
    pub revision: u64,
}

impl SimulatedStore {
    /// Creates a service with a job that nobody owns.
    pub fn new(bug: Option<BatchBug>) -> Self {
        let commits = BTreeMap::new();
        Self { bug, cancel_revision: None, commits, down_until: 0, revision: 1 }
    }

    /// Takes the service down until a time, in milliseconds.
    pub fn set_down_until(&mut self, time: u64) {
        self.down_until = time;
    }

    /// Tells whether the service does not answer.
    pub fn is_down(&self, now: u64) -> bool {
        now < self.down_until
    }

    /// Tells whether the job is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancel_revision.is_some()
    }

    /// Notes the cancellation.
    pub fn cancel(&mut self) {
        if self.cancel_revision.is_none() {
            self.revision += 1;
            self.cancel_revision = Some(self.revision);
        }
    }

    /// Returns the committed chunks with the epochs that committed them.
    pub fn committed_chunks(&self) -> impl Iterator<Item = (u32, u64)> {
        self.commits.iter().map(|(chunk, (epoch, _))| (*chunk, *epoch))
    }

    /// Returns the records of the committed chunks.
    pub fn chunk_commits(&self) -> impl Iterator<Item = (u32, ChunkCommit)> {
        self.committed_chunks().map(|(chunk, epoch)| {
            let commit =
                ChunkCommit { counts: JobCounts::default(), epoch, write_id: String::new() };
            (chunk, commit)
        })
    }

    /// Returns who committed a chunk, where a second commit is fenced off.
    pub fn commit_epoch(&self, chunk: u32) -> Option<u64> {
        let known = self.commits.get(&chunk).map(|(epoch, _)| *epoch);
        known.filter(|_| self.bug != Some(BatchBug::CommitNotFenced))
    }

    /// Commits a chunk unless it is fenced off; tells whether it did.
    pub fn commit(
        &mut self,
        chunk: u32,
        epoch: u64,
        results: Vec<ItemResult>,
        is_fenced: bool,
    ) -> bool {
        if is_fenced && self.bug != Some(BatchBug::CommitNotFenced) {
            return false;
        }
        self.commits.insert(chunk, (epoch, results));
        true
    }
}
