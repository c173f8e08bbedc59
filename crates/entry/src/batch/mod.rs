//! Batch jobs.
