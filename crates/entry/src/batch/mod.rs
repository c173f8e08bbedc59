//! Batch jobs: the API, job ownership, item runs, and journal replication.

mod batch_api;
mod batch_coordinator;
mod batch_lines;
mod batch_objects;
mod file_upload;
mod instance_lease;
mod item_run;
mod job_claimer;
mod job_commands;
mod job_view;
mod journal_client;
mod owned_job;
mod replica_repair;
mod result_stream;

pub(crate) use self::batch_api::handle_batch_request;
pub(crate) use self::batch_coordinator::BatchCoordinator;
pub(crate) use self::journal_client::JournalClient;
pub(crate) use self::journal_client::read_local_page;
