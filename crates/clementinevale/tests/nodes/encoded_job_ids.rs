//! Jobs whose ids mean something else in a query or path, unless they are encoded there.

use std::time::Duration;
use std::time::Instant;

use cv_dispatch::ItemOutcome;
use cv_dispatch::ItemResult;
use cv_runtime::block_on;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::expected_output;
use cv_tests::node_caller::item_id;
use cv_tests::node_caller::submit_job_with_body;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::JOB_TIMEOUT;
use crate::job_checks::read_all_results;
use crate::job_checks::submit_until_accepted;

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

// Guards against the key of a job that, sent unencoded in a query, names keys of another job, or none:
// its results are then listed among those of the other, or a repeated submission runs anew.
#[test]
fn a_restarted_keeper_lists_each_result_under_its_own_job() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let jobs = ["job", "job&x", "job+x", "job%41"];
    let read_jobs = || {
        block_on(async {
            let mut results = Vec::new();
            for job in jobs {
                results.push(read_all_results(&entries, job, 3).await);
            }
            results
        })
        .expect("the runtime starts")
    };
    let submit_jobs = || {
        block_on(async {
            for job in jobs {
                submit_until_accepted(&entries, job, 3, EVENTS_PER_ITEM).await;
            }
        })
        .expect("the runtime starts");
    };
    submit_jobs();
    let results = read_jobs();
    restart_keepers(&mut fleet);
    submit_jobs();
    assert_eq!(read_jobs(), results);
    assert_eq!(fleet.target_log.runs().len(), 12, "an item has run again");
}

// Guards against the prefix of a large job's parts that, sent unencoded in a query, names those of
// another job as well: a restarted keeper can then not read the job, whose items never run.
#[test]
fn a_restarted_keeper_runs_large_jobs_whose_ids_share_a_beginning() {
    const ITEMS: u64 = 60;
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let jobs = ["large", "large&x", "large+x"];
    let body = "q83v".repeat(10_000);
    block_on(async {
        for job in jobs {
            let outcome =
                submit_job_with_body(entries[0], job, ITEMS, EVENTS_PER_ITEM, &body).await;
            assert_eq!(outcome, CallerOutcome::Completed);
        }
    })
    .expect("the runtime starts");
    restart_keepers(&mut fleet);
    block_on(async {
        for job in jobs {
            read_all_results(&entries, job, ITEMS).await;
        }
    })
    .expect("the runtime starts");
}

// Guards against a job id that, sent unencoded in the path of a call between keepers, names another job.
#[test]
fn a_restarted_keeper_resumes_each_item_with_its_own_output() {
    const LONG_ITEM_EVENTS: u64 = 500;
    // Output is replicated every second, and a run starts within another second.
    const REPLICATION_TIME: Duration = Duration::from_millis(2_500);
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let jobs = ["job", "job#x", "job?x", "job x", "lot", "lot#x", "lot?x", "lot x"];
    block_on(async {
        for job in jobs {
            submit_until_accepted(&entries, job, 1, LONG_ITEM_EVENTS).await;
        }
    })
    .expect("the runtime starts");
    std::thread::sleep(REPLICATION_TIME);
    let restarted_at = Instant::now();
    let keeper = fleet.nodes.iter_mut().find(|node| node.name.starts_with("keeper"));
    let keeper = keeper.expect("the fleet has a keeper");
    keeper.kill();
    keeper.start();
    // Callers cannot read the results of ids that a path holds only encoded.
    let stored_result = |fleet: &NodeFleet, job: &str| {
        let value = fleet.store.read_bytes(&format!("cv/result/{job}/000000"))?;
        postcard::from_bytes::<Vec<ItemResult>>(&value).ok()?.into_iter().next()
    };
    let is_complete =
        |fleet: &NodeFleet| jobs.iter().all(|job| stored_result(fleet, job).is_some());
    assert!(fleet.wait_for(JOB_TIMEOUT, is_complete), "not all jobs are complete");
    for job in jobs {
        let text = expected_output(&item_id(job, 0), LONG_ITEM_EVENTS).into_bytes();
        let outcome = stored_result(&fleet, job).map(|result| result.outcome);
        assert!(outcome == Some(ItemOutcome::Completed(text)), "job {job} has other output");
    }
    let runs = fleet.target_log.runs();
    let later_runs = runs.iter().filter(|run| run.started_at > restarted_at);
    let resumed: Vec<bool> = later_runs.map(|run| run.after > 0).collect();
    assert!(!resumed.is_empty(), "the restarted keeper owned no job");
    assert!(resumed.iter().all(|is_resumed| *is_resumed), "an item began anew: {runs:?}");
}
