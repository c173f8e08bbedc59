//! The key-value store of the batch simulation: the job's revision, cancellation and commits.

use std::collections::BTreeMap;

use cv_policy::batch::ChunkCommit;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCounts;

use crate::batch_cases::BatchBug;

/// What the store holds about one job.
#[derive(Clone, Debug)]
pub struct SimulatedStore {
    bug: Option<BatchBug>,
    cancel_revision: Option<u64>,
    commits: BTreeMap<u32, (u64, Vec<ItemResult>)>,
    down_until: u64,
    /// Revision of the job's record; each claim and the cancellation raise it.
    pub revision: u64,
}

impl SimulatedStore {
    /// Creates a store with a job that has no owner.
    pub fn new(bug: Option<BatchBug>) -> Self {
        let commits = BTreeMap::new();
        Self { bug, cancel_revision: None, commits, down_until: 0, revision: 1 }
    }

    /// Makes the store unavailable until a time, in milliseconds.
    pub fn set_down_until(&mut self, time: u64) {
        self.down_until = time;
    }

    /// Returns whether the store is unavailable.
    pub fn is_down(&self, now: u64) -> bool {
        now < self.down_until
    }

    /// Returns whether the cancellation of the job is recorded.
    pub fn is_cancelled(&self) -> bool {
        self.cancel_revision.is_some()
    }

    /// Records the cancellation.
    pub fn cancel(&mut self) {
        if self.cancel_revision.is_none() {
            self.revision += 1;
            self.cancel_revision = Some(self.revision);
        }
    }

    /// Returns the committed chunks, each with the epoch of its commit.
    pub fn committed_chunks(&self) -> impl Iterator<Item = (u32, u64)> {
        self.commits.iter().map(|(chunk, (epoch, _))| (*chunk, *epoch))
    }

    /// Returns the commit records of the chunks, as recovery reads them.
    pub fn chunk_commits(&self) -> impl Iterator<Item = (u32, ChunkCommit)> {
        self.committed_chunks().map(|(chunk, epoch)| {
            let commit =
                ChunkCommit { counts: JobCounts::default(), epoch, write_id: String::new() };
            (chunk, commit)
        })
    }

    /// Returns the epoch that committed a chunk; a committed chunk accepts no second commit.
    pub fn commit_epoch(&self, chunk: u32) -> Option<u64> {
        let epoch = self.commits.get(&chunk).map(|(epoch, _)| *epoch);
        epoch.filter(|_| self.bug != Some(BatchBug::CommitNotFenced))
    }

    /// Commits a chunk unless the commit is fenced; returns whether it is committed.
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
