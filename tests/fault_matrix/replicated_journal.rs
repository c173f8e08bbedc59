//! The replicated journal of the batch simulation, on disks that fill up, fail and are replaced.

use cv_policy::SeededRandom;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JournalRecord;

use crate::batch_cases::BatchBug;

/// Replicas of the journal.
const REPLICAS: usize = 3;

/// Replicas that have to store a record before it is durable.
pub const QUORUM: usize = 2;

/// Time from a disk's failure to its replacement, in milliseconds.
const REPAIR_DELAY_MS: u64 = 20;

/// One replica of the journal and the state of its disk.
#[derive(Clone, Debug, Default)]
struct JournalReplica {
    /// Time of the disk's failure in milliseconds; 0 if it is healthy.
    failed_at: u64,
    full: bool,
    journal: Vec<JournalRecord>,
    lost: bool,
}

/// The journal of one job, with all its replicas.
#[derive(Clone, Debug)]
pub struct ReplicatedJournal {
    bug: Option<BatchBug>,
    replicas: Vec<JournalReplica>,
}

impl ReplicatedJournal {
    /// Creates empty replicas on healthy disks.
    pub fn new(bug: Option<BatchBug>) -> Self {
        Self { bug, replicas: vec![JournalReplica::default(); REPLICAS] }
    }

    /// Fills a disk: its replica accepts no more records and stays readable.
    pub fn fill_disk(&mut self, disk: usize, now: u64) {
        self.replicas[disk].full = true;
        self.replicas[disk].failed_at = now.max(1);
    }

    /// Loses a disk and the records on it.
    pub fn lose_disk(&mut self, disk: usize, now: u64) {
        self.replicas[disk] =
            JournalReplica { failed_at: now.max(1), lost: true, ..self.replicas[disk].clone() };
        self.replicas[disk].journal.clear();
    }

    /// Appends a record to every writable replica; returns how many acknowledge it.
    pub fn append(&mut self, record: &JournalRecord, random: &mut SeededRandom) -> usize {
        if self.bug == Some(BatchBug::WriteWithoutQuorum) {
            let disk = random.below(REPLICAS);
            self.replicas[disk].journal.push(record.clone());
            return QUORUM;
        }
        let mut acknowledged = 0;
        for replica in self.replicas.iter_mut().filter(|replica| !replica.full && !replica.lost) {
            replica.journal.push(record.clone());
            acknowledged += 1;
        }
        // One replica may be slow: its record then does not count, or is missing because the caller
        // waits only for a quorum.
        if acknowledged == REPLICAS && random.below(3) == 0 {
            let disk = random.below(REPLICAS);
            self.replicas[disk].journal.pop();
            acknowledged -= 1;
        }
        acknowledged
    }

    /// Reads the smallest number of replicas that overlaps with every write quorum, chosen at
    /// random; `None` if fewer are readable.
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
        // Any subset of the replicas may respond first.
        while readable.len() > needed {
            let position = random.below(readable.len());
            readable.remove(position);
        }
        Some(
            readable
                .into_iter()
                .flat_map(|replica| self.replicas[replica].journal.clone())
                .collect(),
        )
    }

    /// Finds the results that an epoch recorded for a chunk, in any replica.
    pub fn find_chunk(&self, chunk: u32, epoch: u64) -> Option<Vec<ItemResult>> {
        let records = self.replicas.iter().flat_map(|replica| &replica.journal);
        records.into_iter().find_map(|record| match record {
            JournalRecord::Chunk { chunk: recorded, epoch: writer, results }
                if *recorded == chunk && *writer == epoch =>
            {
                Some(results.clone())
            }
            _ => None,
        })
    }

    /// Replaces one disk whose repair is due with a merged copy of all readable replicas.
    pub fn repair_replica(&mut self, now: u64) {
        let is_due =
            |disk: &JournalReplica| disk.failed_at > 0 && now >= disk.failed_at + REPAIR_DELAY_MS;
        let Some(failed) = self.replicas.iter().position(is_due) else { return };
        let sources = self.readable_replicas();
        if sources.len() < REPLICAS - QUORUM + 1 {
            return;
        }
        let selected = if self.bug == Some(BatchBug::RepairFromOneReplica) {
            &sources[..1]
        } else {
            &sources[..]
        };
        let records = selected.iter().flat_map(|source| self.replicas[*source].journal.clone());
        let journal = records.collect();
        self.replicas[failed] = JournalReplica { journal, ..JournalReplica::default() };
    }

    /// Returns the indices of the replicas whose disks are not lost.
    fn readable_replicas(&self) -> Vec<usize> {
        (0..REPLICAS).filter(|replica| !self.replicas[*replica].lost).collect()
    }
}
