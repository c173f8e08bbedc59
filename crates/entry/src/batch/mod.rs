//! Batch jobs: accepting, running and reading them.

mod batch_api;
mod batch_coordinator;
mod batch_document;
mod batch_objects;
mod file_upload;
mod instance_lease;
mod item_run;
mod item_task;
mod job_claim;
mod job_runtime;
mod job_view;
mod journal_client;
mod replica_repair;
mod result_stream;

pub(crate) use self::batch_api::handle_batch_request;
pub(crate) use self::batch_coordinator::BatchCoordinator;
pub(crate) use self::journal_client::JournalClient;
pub(crate) use self::journal_client::read_local_page;
