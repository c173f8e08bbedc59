//! The records of files, jobs and chunks in the key-value service.

use serde::Deserialize;
use serde::Serialize;

/// Key prefix of unfinished jobs.
const JOB_PREFIX: &str = "clementinevale/jobs/";

/// Key prefix of finished jobs.
const DONE_PREFIX: &str = "clementinevale/done/";

/// Key prefix of committed chunks.
const CHUNK_PREFIX: &str = "clementinevale/chunks/";

/// Key prefix of uploaded files.
const FILE_PREFIX: &str = "clementinevale/files/";

/// State of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; its items are waiting or running.
    InProgress,
    /// Its cancellation was accepted; no item is handed over once its owner has confirmed.
    Cancelling,
    /// Cancelled, with no item running any more.
    Cancelled,
    /// Every item has its result.
    Completed,
}

/// The instance that runs a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobOwner {
    /// Epoch of the instance's lease, for fencing.
    pub epoch: u64,
    /// Name of the instance.
    pub instance: String,
}

/// Numbers of items by final state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobCounts {
    /// Items that ran and have their response.
    pub completed: u32,
    /// Items that cannot be completed.
    pub failed: u32,
    /// Items that may or may not have run and must not be repeated.
    pub unknown: u32,
}

impl JobCounts {
    /// Adds the counts of `other`.
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

/// An uploaded file, whose lines are in the journal with its id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileRecord {
    /// Size of the upload, in bytes.
    pub bytes: u64,
    /// Number of items per chunk.
    pub chunk_items: u32,
    /// Time of the upload, in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Digest of the content.
    pub digest: String,
    /// Id of the file.
    pub id: String,
    /// Number of items.
    pub items: u32,
    /// Whether every item may run more than once.
    pub repeatable: bool,
    /// Names of the instances that hold the journal.
    pub replicas: Vec<String>,
    /// Organisation that uploaded it.
    pub organisation: String,
    /// Unique id of the write, so that no two stored values are equal.
    pub write_id: String,
}

/// A job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Number of items per chunk.
    pub chunk_items: u32,
    /// Numbers of items by final state, set when the job has ended.
    pub counts: JobCounts,
    /// Time at which it was accepted, in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Digest of the input's content.
    pub digest: String,
    /// Time at which it is due, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Time at which it ended, in milliseconds since the Unix epoch; 0 before.
    pub ended_ms: u64,
    /// Id of the input file and of the journal with its lines.
    pub file: String,
    /// Id of the job and of the journal with its intents and results.
    pub id: String,
    /// Number of items.
    pub items: u32,
    /// Organisation to which the job is charged.
    pub organisation: String,
    /// Instance that runs it, if any.
    pub owner: Option<JobOwner>,
    /// Priority within the organisation; higher values come first.
    pub priority: u8,
    /// Whether every item may run more than once.
    pub repeatable: bool,
    /// Names of the instances that hold the journal.
    pub replicas: Vec<String>,
    /// State of the job.
    pub state: JobState,
    /// Unique id of the write, so that no two stored values are equal.
    pub write_id: String,
}

/// A committed chunk. Its results are those in the journal's chunk record of the same epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkCommit {
    /// Numbers of items by final state.
    pub counts: JobCounts,
    /// Epoch of the owner that committed the chunk.
    pub epoch: u64,
    /// Unique id of the write, so that no two stored values are equal.
    pub write_id: String,
}

impl FileRecord {
    /// Returns the key prefix of all files.
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
    /// Returns the key prefix of all unfinished jobs.
    #[must_use]
    pub fn prefix() -> &'static str {
        JOB_PREFIX
    }

    /// Returns the key prefix of all finished jobs.
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

    /// Returns whether the job is in a final state.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.state, JobState::Cancelled | JobState::Completed)
    }
}

impl ChunkCommit {
    /// Returns the key prefix of a job's chunks.
    #[must_use]
    pub fn prefix_of(job: &str) -> String {
        format!("{CHUNK_PREFIX}{job}/")
    }

    /// Returns the key of a chunk.
    #[must_use]
    pub fn key_of(job: &str, chunk: u32) -> String {
        format!("{CHUNK_PREFIX}{job}/{chunk:06}")
    }

    /// Parses the number of a chunk from its key.
    #[must_use]
    pub fn chunk_of(key: &str) -> Option<u32> {
        key.rsplit('/').next()?.parse().ok()
    }
}
