//! Journals on the local disk, written by a dedicated thread.
//!
//! A journal is a file of records, each with its length and checksum. Appended records are synced
//! before they are acknowledged. A torn tail is truncated when the file is opened, a record with a
//! wrong checksum is skipped and counted, and a failed write leaves the file as it was.

mod journal_file;
mod journal_store;

pub use crate::journal_file::JournalFile;
pub use crate::journal_file::RecordPage;
pub use crate::journal_store::JournalFault;
pub use crate::journal_store::JournalStore;
