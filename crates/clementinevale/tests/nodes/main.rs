//! Node processes among stand-ins of the platform.

mod batch_jobs;
mod job_checks;
mod keeper_matrix;
mod online_requests;
