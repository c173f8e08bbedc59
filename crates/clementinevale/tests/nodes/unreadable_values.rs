//! Values of the store that keepers cannot read for a while.

use std::time::Duration;

use cv_runtime::block_on;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::submit_job_with_body;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;
use crate::job_checks::submit_until_accepted;

/// Time in which keepers have tried to read a value, or to write in its place.
const ATTEMPT_TIME: Duration = Duration::from_secs(4);

/// Starts a fleet of two engines, one entry and two keepers.
fn small_fleet() -> NodeFleet {
    let size = NodeFleetSize { engines: 2, entries: 1, keepers: 2 };
    NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size)
}

/// Kills all keepers and starts them again.
fn restart_keepers(fleet: &mut NodeFleet) {
    for node in fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper")) {
        node.kill();
        node.start();
    }
}

// Guards against a commit that ends at a stored segment it cannot read, and is never made again.
#[test]
fn results_are_listed_after_a_segment_could_not_be_read() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async { submit_until_accepted(&entries, "job", 4, EVENTS_PER_ITEM).await })
        .expect("the runtime starts");
    let key = "cv/result/job/000000";
    assert!(fleet.store.keys(key).is_empty(), "results are listed before the test disturbs them");
    fleet.store.write_bytes(key, &[255; 12]);
    std::thread::sleep(ATTEMPT_TIME);
    fleet.store.delete(key);
    block_on(async { read_all_results(&entries, "job", 4).await }).expect("the runtime starts");
}

// Guards against a new owner that takes a list of results as complete although it cannot read it.
#[test]
fn results_are_listed_after_a_new_owner_could_not_read_a_segment() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async { submit_until_accepted(&entries, "job", 4, EVENTS_PER_ITEM).await })
        .expect("the runtime starts");
    let key = "cv/result/job/000000";
    assert!(fleet.store.keys(key).is_empty(), "results are listed before the test disturbs them");
    fleet.store.write_bytes(key, &[255; 12]);
    restart_keepers(&mut fleet);
    std::thread::sleep(ATTEMPT_TIME * 2);
    fleet.store.delete(key);
    block_on(async { read_all_results(&entries, "job", 4).await }).expect("the runtime starts");
}

// Guards against a keeper that gives up a large job whose parts it cannot read at first.
#[test]
fn a_large_job_runs_after_its_parts_could_not_be_read() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let body = "q83v".repeat(10_000);
    block_on(async {
        let outcome = submit_job_with_body(entries[0], "large", 100, EVENTS_PER_ITEM, &body).await;
        assert_eq!(outcome, CallerOutcome::Completed);
    })
    .expect("the runtime starts");
    fleet.store.hide_keys(Some("cv/rest/"));
    restart_keepers(&mut fleet);
    std::thread::sleep(ATTEMPT_TIME);
    fleet.store.hide_keys(None);
    block_on(async { read_all_results(&entries, "large", 100).await }).expect("the runtime starts");
}
