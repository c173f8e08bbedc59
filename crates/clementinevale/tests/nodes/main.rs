//! Node processes among stand-ins of the platform.

mod batch_jobs;
mod online_requests;
