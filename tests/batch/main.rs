//! Batch jobs: accepted, finished once, readable.

mod exactly_once;
