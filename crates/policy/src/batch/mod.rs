//! Batch jobs: the stored records, and the scheduling of their items by the owner.
//!
//! The items of a job are divided into chunks. The owner writes an intent to the journal before it
//! hands an item over, writes the result when it arrives, and commits a chunk in the key-value
//! service once all its results are durable on enough replicas. If the owner crashes at any point,
//! the next one recovers the progress of each item from these records.

mod chunk_row;
mod item_row;
mod job_order;
mod job_plan;
mod job_record;
mod job_recovery;
mod job_table;
mod journal_record;

pub use self::item_row::AttemptOutcome;
pub use self::item_row::ItemState;
pub use self::job_plan::JobPlan;
pub use self::job_record::ChunkCommit;
pub use self::job_record::FileRecord;
pub use self::job_record::JobCounts;
pub use self::job_record::JobOwner;
pub use self::job_record::JobRecord;
pub use self::job_record::JobState;
pub use self::job_recovery::JobRecovery;
pub use self::job_table::JobCommand;
pub use self::job_table::JobEvent;
pub use self::job_table::JobId;
pub use self::job_table::JobTable;
pub use self::journal_record::ItemResult;
pub use self::journal_record::JournalRecord;
pub use self::journal_record::ResultState;
