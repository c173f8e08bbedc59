//! End-to-end tests of batch jobs: upload, submission, results, cancellation and failover.

mod exactly_once;
