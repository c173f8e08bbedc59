//! The journals of the batch world, on disks that fill up, fail and are replaced.

use cv_policy::SeededRandom;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JournalRecord;

use crate::batch_cases::BatchBug;

/// Number of journals, and how many of them have to hold a record.
const REPLICAS: usize = 3;
pub const QUORUM: usize = 2;

/// Time after which a bad disk is replaced, in milliseconds.
const REPAIR_DELAY_MS: u64 = 20;

/// One journal and its disk.
#[derive(Clone, Debug, Default)]
struct JournalReplica {
    /// Since when it has been bad, in milliseconds; 0 if it is sound.
    failed_at: u64,
    full: bool,
    journal: Vec<JournalRecord>,
    lost: bool,
}

/// All journals of a job.
#[derive(Clone, Debug)]
pub struct ReplicatedJournal {
    bug: Option<BatchBug>,
    replicas: Vec<JournalReplica>,
}

impl ReplicatedJournal {
    /// Creates empty journals on sound disks.
    pub fn new(bug: Option<BatchBug>) -> Self {
        Self { bug, replicas: vec![JournalReplica::default(); REPLICAS] }
    }

    /// Fills a disk up: its journal takes no more records.
    pub fn fill_disk(&mut self, disk: usize, now: u64) {
        self.replicas[disk].full = true;
        self.replicas[disk].failed_at = now.max(1);
    }

    /// Loses a disk with its journal.
    pub fn lose_disk(&mut self, disk: usize, now: u64) {
        self.replicas[disk] =
            JournalReplica { failed_at: now.max(1), lost: true, ..self.replicas[disk].clone() };
        self.replicas[disk].journal.clear();
    }

    /// Appends a record on every disk that takes it; returns on how many it is.
    pub fn append(&mut self, record: &JournalRecord, random: &mut SeededRandom) -> usize {
        if self.bug == Some(BatchBug::WriteWithoutQuorum) {
            let disk = random.below(REPLICAS);
            self.replicas[disk].journal.push(record.clone());
            return QUORUM;
        }
        let mut kept = 0;
        for disk in self.replicas.iter_mut().filter(|disk| !disk.full && !disk.lost) {
            disk.journal.push(record.clone());
            kept += 1;
        }
        // One disk may be slow to answer, so that its record is there and does not count, or is
        // not there and was not waited for.
        if kept == REPLICAS && random.below(3) == 0 {
            let disk = random.below(REPLICAS);
            self.replicas[disk].journal.pop();
            kept -= 1;
        }
        kept
    }

    /// Reads as many journals as recovery needs, any of those that can be read; `None` if too few
    /// can.
    pub fn read_for_recovery(&self, random: &mut SeededRandom) -> Option<Vec<JournalRecord>> {
        let needed = if self.bug == Some(BatchBug::RecoveryWithoutQuorum) {
            1
        } else {
            REPLICAS - QUORUM + 1
        };
        let mut readable = self.readable_replicas();
        if readable.len() < needed {
            return None;
        }
        // Any of the journals may be the ones that answer.
        while readable.len() > needed {
            let position = random.below(readable.len());
            readable.remove(position);
        }
        Some(readable.into_iter().flat_map(|disk| self.replicas[disk].journal.clone()).collect())
    }

    /// Finds the results of a committed chunk in any journal.
    pub fn find_chunk(&self, chunk: u32, epoch: u64) -> Option<Vec<ItemResult>> {
        let records = self.replicas.iter().flat_map(|disk| &disk.journal);
        records.into_iter().find_map(|record| match record {
            JournalRecord::Chunk { chunk: known, epoch: by, results }
                if *known == chunk && *by == epoch =>
            {
                Some(results.clone())
            }
            _ => None,
        })
    }

    /// Replaces one disk that has been bad for a while with a copy of all others together.
    pub fn repair_replica(&mut self, now: u64) {
        let is_due =
            |disk: &JournalReplica| disk.failed_at > 0 && now >= disk.failed_at + REPAIR_DELAY_MS;
        let Some(bad) = self.replicas.iter().position(is_due) else { return };
        let sources = self.readable_replicas();
        if sources.len() < REPLICAS - QUORUM + 1 {
            return;
        }
        let taken = if self.bug == Some(BatchBug::RepairFromOneReplica) {
            &sources[..1]
        } else {
            &sources[..]
        };
        let records = taken.iter().flat_map(|source| self.replicas[*source].journal.clone());
        let journal = records.collect();
        self.replicas[bad] = JournalReplica { journal, ..JournalReplica::default() };
    }

    /// Returns the disks whose journals can be read.
    fn readable_replicas(&self) -> Vec<usize> {
        (0..REPLICAS).filter(|disk| !self.replicas[*disk].lost).collect()
    }
}
