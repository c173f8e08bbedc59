//! Tests of the scheduling decisions in `cv-dispatch`.

mod call_timeouts;
mod caller_waits;
mod contact_history;
mod crash_simulation;
mod deferred_removals;
mod dispatch_pass;
mod drain_policy;
mod event_parser;
mod job_replication;
mod job_tracker;
mod keeper_set;
mod load_simulation;
mod load_tests;
mod peer_presence;
mod placement;
mod quarantine;
mod request_limits;
mod reservations;
mod results_load;
mod route_table;
mod run_estimate;
mod sample_job;
mod sidecar_subscriptions;
mod slot_queue;
