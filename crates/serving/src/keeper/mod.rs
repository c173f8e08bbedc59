//! The instances that keep and run batch jobs.

mod item_run;
mod job_calls;
mod job_cell;
mod job_commits;
mod job_copies;
mod job_dispatch;
mod job_record;
mod job_shelf;
mod keeper_handler;
mod keeper_lease;
mod keeper_metrics;
mod keeper_server;
mod keeper_state;
mod stored_keys;

pub use self::keeper_server::KeeperServer;
pub use self::keeper_server::KeeperSettings;
