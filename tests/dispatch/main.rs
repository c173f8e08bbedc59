//! Tests of the decisions on deployments whose configuration and jobs lie in a store.

mod event_splitter;
mod job_book;
mod job_copy;
mod keeper_ring;
mod load_play;
mod patience;
mod placement;
mod removal_hold;
mod route_table;
mod run_estimate;
mod sample_job;
mod slot_queue;
