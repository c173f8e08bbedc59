//! What the key-value service holds of files, jobs and chunks.

use serde::Deserialize;
use serde::Serialize;

/// Prefix of the keys of jobs that are not finished.
const JOB_PREFIX: &str = "clementinevale/jobs/";

/// Prefix of the keys of finished jobs.
const DONE_PREFIX: &str = "clementinevale/done/";

/// Prefix of the keys of committed chunks.
const CHUNK_PREFIX: &str = "clementinevale/chunks/";

/// Prefix of the keys of uploaded files.
const FILE_PREFIX: &str = "clementinevale/files/";

/// How far a job has got.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// It is accepted and runs when its turn comes.
    InProgress,
    /// Its cancellation is accepted; no item is handed over once its owner has confirmed.
    Cancelling,
    /// It was cancelled and has stopped.
    Cancelled,
    /// Every item has its one result.
    Completed,
}

/// Who runs a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobOwner {
    /// Epoch of the instance's lease.
    pub epoch: u64,
    /// Name of the instance.
    pub instance: String,
}

/// Numbers of items by result.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobCounts {
    /// Items that ran and have their answer.
    pub completed: u32,
    /// Items that cannot be completed.
    pub failed: u32,
    /// Items of which nobody knows what became.
    pub unknown: u32,
}

impl JobCounts {
    /// Adds other numbers.
    pub fn add(&mut self, other: Self) {
        self.completed += other.completed;
        self.failed += other.failed;
        self.unknown += other.unknown;
    }

    /// Returns the number of items that have ended.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.completed + self.failed + self.unknown
    }
}

/// An uploaded file; the journal that holds its lines bears its id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileRecord {
    /// Size of the upload, in bytes.
    pub bytes: u64,
    /// Items in one chunk.
    pub chunk_items: u32,
    /// When it was uploaded, in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Digest of the content.
    pub digest: String,
    /// Its id.
    pub id: String,
    /// Number of items.
    pub items: u32,
    /// Whether every item may run more than once.
    pub repeatable: bool,
    /// Names of the instances that hold the journal.
    pub replicas: Vec<String>,
    /// Who uploaded it.
    pub organisation: String,
    /// Makes this value unlike any other.
    pub write_id: String,
}

/// A job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Items in one chunk.
    pub chunk_items: u32,
    /// Numbers of items by result, once the job has ended.
    pub counts: JobCounts,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Digest of the input's content.
    pub digest: String,
    /// When it is due, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch; 0 before.
    pub ended_ms: u64,
    /// Id of the input file, which names the journal of the lines.
    pub file: String,
    /// Its id, which names the journal of intents and results.
    pub id: String,
    /// Number of items.
    pub items: u32,
    /// Who pays.
    pub organisation: String,
    /// Who runs it.
    pub owner: Option<JobOwner>,
    /// Priority within the organisation, the highest first.
    pub priority: u8,
    /// Whether every item may run more than once.
    pub repeatable: bool,
    /// Names of the instances that hold the journal.
    pub replicas: Vec<String>,
    /// How far it has got.
    pub state: JobState,
    /// Makes this value unlike any other.
    pub write_id: String,
}

/// A committed chunk: the results in the journal's chunk record of this epoch are the ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkCommit {
    /// Numbers of items by result.
    pub counts: JobCounts,
    /// Epoch of the owner that committed.
    pub epoch: u64,
    /// Makes this value unlike any other.
    pub write_id: String,
}

impl FileRecord {
    /// Returns the prefix of all files' keys.
    #[must_use]
    pub fn prefix() -> &'static str {
        FILE_PREFIX
    }

    /// Returns the key of a file.
    #[must_use]
    pub fn key_of(file: &str) -> String {
        format!("{FILE_PREFIX}{file}")
    }
}

impl JobRecord {
    /// Returns the prefix of all unfinished jobs' keys.
    #[must_use]
    pub fn prefix() -> &'static str {
        JOB_PREFIX
    }

    /// Returns the prefix of all finished jobs' keys.
    #[must_use]
    pub fn done_prefix() -> &'static str {
        DONE_PREFIX
    }

    /// Returns the key of an unfinished job.
    #[must_use]
    pub fn key_of(job: &str) -> String {
        format!("{JOB_PREFIX}{job}")
    }

    /// Returns the key of a finished job.
    #[must_use]
    pub fn done_key_of(job: &str) -> String {
        format!("{DONE_PREFIX}{job}")
    }

    /// Returns the number of chunks.
    #[must_use]
    pub fn chunks(&self) -> u32 {
        self.items.div_ceil(self.chunk_items.max(1))
    }

    /// Tells whether the job has reached its last state.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.state, JobState::Cancelled | JobState::Completed)
    }
}

impl ChunkCommit {
    /// Returns the prefix of the keys of a job's chunks.
    #[must_use]
    pub fn prefix_of(job: &str) -> String {
        format!("{CHUNK_PREFIX}{job}/")
    }

    /// Returns the key of a chunk.
    #[must_use]
    pub fn key_of(job: &str, chunk: u32) -> String {
        format!("{CHUNK_PREFIX}{job}/{chunk:06}")
    }

    /// Reads the number of a chunk off its key.
    #[must_use]
    pub fn chunk_of(key: &str) -> Option<u32> {
        key.rsplit('/').next()?.parse().ok()
    }
}
