//! The keeper: the process that accepts batch jobs, stores them in the coordination store and runs
//! their items.

mod accepted_job;
mod close_notices;
mod item_expiry;
mod item_run;
mod job_dispatch;
mod job_path;
mod job_record;
mod job_requests;
mod job_table;
mod keeper_handler;
mod keeper_metrics;
mod keeper_node;
mod keeper_registration;
mod keeper_state;
mod load_gate;
mod owner_check;
mod placed_run;
mod progress_replication;
mod quota_desk;
mod result_commits;
mod route_record;
mod run_outcome;
mod stored_keys;
mod stored_quarantines;
mod tracked_job;
mod wait_review;

pub use self::keeper_node::KeeperNode;
pub use self::keeper_node::KeeperSettings;
pub(crate) use self::stored_quarantines::load_quarantines;
