//! Batch jobs run by keepers while processes, the store or connections fail.

use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::StoreMode;
use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::DEFAULT_BODY;
use cv_tests::node_caller::close_job;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::request_stream;
use cv_tests::node_caller::submit_job;
use cv_tests::node_caller::submit_job_to_route;
use cv_tests::node_caller::submit_job_with_body;
use rstest::rstest;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::JOB_TIMEOUT;
use crate::job_checks::read_all_results;
use crate::job_checks::read_all_results_with_events;
use crate::job_checks::submit_until_accepted;

/// Time after the acknowledged close of a job from which none of its items may start.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a fleet of two engines, two entries and two keepers.
fn small_fleet() -> NodeFleet {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 2 };
    NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size)
}

#[test]
fn a_job_runs_and_its_results_are_readable_at_every_entry() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        submit_until_accepted(&entries, "job1", 10, EVENTS_PER_ITEM).await;
        // Submitting the same job again must not create another one.
        submit_until_accepted(&entries[1..], "job1", 10, EVENTS_PER_ITEM).await;
        let results = read_all_results(&entries, "job1", 10).await;
        for entry in &entries {
            let response =
                read_results(*entry, "job1", 0).await.expect("the entry returns results");
            assert_eq!(response["results"].as_array(), Some(&results));
            assert!(read_results(*entry, "unknown", 0).await.is_err());
        }
    })
    .expect("the runtime starts");
}

#[test]
fn a_job_larger_than_a_stored_value_is_stored_and_run() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    // 100 items of 30,000 bytes each.
    let body = "q83v".repeat(10_000);
    block_on(async {
        let outcome = submit_job_with_body(entries[0], "large", 100, EVENTS_PER_ITEM, &body).await;
        assert_eq!(outcome, CallerOutcome::Completed);
        let repeated = submit_job_with_body(entries[1], "large", 100, EVENTS_PER_ITEM, &body).await;
        assert_eq!(repeated, CallerOutcome::Completed);
    })
    .expect("the runtime starts");
    // After the restart, the owner has to load the job from the store.
    for node in fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper")) {
        node.kill();
        node.start();
    }
    block_on(async { read_all_results(&entries, "large", 100).await }).expect("the runtime starts");
}

#[test]
fn another_keeper_takes_over_the_jobs_of_a_killed_keeper() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 8, EVENTS_PER_ITEM).await;
        }
    })
    .expect("the runtime starts");
    let node = fleet.nodes.iter_mut().find(|node| node.name.starts_with("keeper"));
    node.expect("the fleet has a keeper").kill();
    block_on(async {
        for job in 0..4 {
            read_all_results(&entries, &format!("job{job}"), 8).await;
        }
    })
    .expect("the runtime starts");
}

/// How a keeper exits.
#[derive(Clone, Copy, Debug)]
enum KeeperExit {
    /// It is killed; the next owner has only the progress that was replicated to it.
    Killed,
    /// It receives SIGTERM and drains.
    Drained,
    /// It is killed and restarted at once: it owns its jobs again and has to request the replicated
    /// progress from its peers.
    Restarted,
}

#[rstest]
#[case(KeeperExit::Killed)]
#[case(KeeperExit::Drained)]
#[case(KeeperExit::Restarted)]
fn unfinished_outputs_survive_the_exit_of_their_keeper(#[case] exit: KeeperExit) {
    const LONG_ITEM_EVENTS: u64 = 500;
    // Progress is replicated every second, and a run starts within another second.
    const REPLICATION_TIME: Duration = Duration::from_secs(2);
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 2, LONG_ITEM_EVENTS).await;
        }
    })
    .expect("the runtime starts");
    std::thread::sleep(REPLICATION_TIME + Duration::from_millis(500));
    let exited_at = Instant::now();
    let keeper = fleet.nodes.iter_mut().find(|node| node.name.starts_with("keeper"));
    let keeper = keeper.expect("the fleet has a keeper");
    match exit {
        KeeperExit::Killed => keeper.kill(),
        KeeperExit::Drained => assert_eq!(keeper.terminate(JOB_TIMEOUT), Ok(())),
        KeeperExit::Restarted => {
            keeper.kill();
            keeper.start();
        }
    }
    block_on(async {
        for job in 0..4 {
            read_all_results_with_events(&entries, &format!("job{job}"), 2, LONG_ITEM_EVENTS).await;
        }
    })
    .expect("the runtime starts");
    let runs = fleet.target_log.runs();
    let mut resumed_runs = 0;
    for run in runs.iter().filter(|run| run.started_at > exited_at) {
        let runs_of_item = runs.iter().filter(|other| other.request_id == run.request_id);
        let first_started_at =
            runs_of_item.map(|other| other.started_at).min().expect("the request has a run");
        if exited_at.duration_since(first_started_at) > REPLICATION_TIME {
            assert!(run.after > 0, "{} restarted from its first event", run.request_id);
            resumed_runs += 1;
        }
    }
    assert!(resumed_runs > 0, "no run was resumed");
}

#[test]
fn a_draining_sidecar_returns_its_items() {
    const LONG_ITEM_EVENTS: u64 = 600;
    // It goes on serving for half of its grace period of 4 s; the rest is time to exit.
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_800);
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job0", 8, LONG_ITEM_EVENTS))
        .expect("the runtime starts");
    std::thread::sleep(Duration::from_millis(500));
    let terminated_at = Instant::now();
    let result = fleet.nodes[0].terminate(JOB_TIMEOUT);
    assert_eq!(result, Ok(()));
    assert!(
        terminated_at.elapsed() < DRAIN_TIMEOUT,
        "the sidecar exited after {:?}, expected less than {DRAIN_TIMEOUT:?}",
        terminated_at.elapsed()
    );
    fleet.nodes[0].start();
    block_on(async { read_all_results_with_events(&entries, "job0", 8, LONG_ITEM_EVENTS).await })
        .expect("the runtime starts");
    let runs = fleet.target_log.runs();
    let resumed_runs = runs.iter().filter(|run| run.started_at > terminated_at + DRAIN_TIMEOUT / 2);
    assert!(resumed_runs.clone().count() > 0, "no item was returned and resumed");
    assert!(resumed_runs.clone().all(|run| run.after > 0), "{resumed_runs:?}");
}

#[test]
fn result_reads_cause_few_calls_to_a_store_that_refuses_them() {
    const OUTAGE_DURATION: Duration = Duration::from_secs(5);
    // Until the keepers detect the outage, they may call the store a few times for each job.
    const MAX_CALLS: usize = 40;
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 4, EVENTS_PER_ITEM).await;
        }
        for job in 0..4 {
            read_all_results(&entries, &format!("job{job}"), 4).await;
        }
        fleet.store.set_mode(StoreMode::Busy);
        let (started_at, calls_before) =
            (Instant::now(), fleet.store.call_count("/kv-range?prefix=cv/result/"));
        let mut reads = 0;
        while started_at.elapsed() < OUTAGE_DURATION {
            for entry in &entries {
                let _ = read_results(*entry, "job0", 0).await;
                reads += 1;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        let calls = fleet.store.call_count("/kv-range?prefix=cv/result/") - calls_before;
        assert!(
            reads > 2 * MAX_CALLS,
            "{reads} reads are too few to test the limit of {MAX_CALLS} calls"
        );
        assert!(
            calls <= MAX_CALLS,
            "{calls} calls for {reads} reads, expected at most {MAX_CALLS}"
        );
        fleet.store.set_mode(StoreMode::Up);
        read_all_results(&entries, "job0", 4).await;
    })
    .expect("the runtime starts");
}

#[test]
fn a_keeper_serves_no_older_results_after_losing_the_store() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 30, EVENTS_PER_ITEM).await;
        }
    })
    .expect("the runtime starts");
    let keeper = fleet.nodes.iter().find(|node| node.name.starts_with("keeper"));
    let proxy = &keeper.expect("the fleet has a keeper").store_proxy;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            proxy.set_mode(FaultMode::HalfOpen);
            std::thread::sleep(Duration::from_secs(6));
            proxy.set_mode(FaultMode::Disconnect);
            std::thread::sleep(Duration::from_millis(50));
            proxy.set_mode(FaultMode::Pass);
        });
        for job in 0..4 {
            let entries = &entries;
            scope.spawn(move || {
                block_on(read_all_results(entries, &format!("job{job}"), 30))
                    .expect("the runtime starts")
            });
        }
    });
}

#[test]
fn a_keeper_runs_no_item_of_a_job_closed_while_it_had_lost_the_store() {
    /// Time during which the store delays each read of `cv/work/` beyond its timeout.
    const READ_DELAY_PERIOD: Duration = Duration::from_secs(4);
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let jobs: Vec<String> = (0..4).map(|job| format!("job{job}")).collect();
    block_on(async {
        for job in &jobs {
            submit_until_accepted(&entries, job, 150, EVENTS_PER_ITEM).await;
        }
    })
    .expect("the runtime starts");
    let keeper = fleet.nodes.iter().find(|node| node.name.starts_with("keeper"));
    let proxy = &keeper.expect("the fleet has a keeper").store_proxy;
    proxy.set_mode(FaultMode::Disconnect);
    std::thread::sleep(Duration::from_millis(500));
    block_on(async {
        for job in &jobs {
            let started_at = Instant::now();
            while !close_job(entries[0], job).await {
                assert!(
                    started_at.elapsed() < JOB_TIMEOUT,
                    "the close of {job} is not acknowledged within {JOB_TIMEOUT:?}"
                );
            }
        }
    })
    .expect("the runtime starts");
    let acknowledged_at = Instant::now();
    std::thread::sleep(Duration::from_secs(4));
    // The keeper registers at once but learns late that the jobs are closed.
    fleet.store.set_read_delay("cv/work/", READ_DELAY_PERIOD * 4);
    proxy.set_mode(FaultMode::Pass);
    std::thread::sleep(READ_DELAY_PERIOD);
    fleet.store.set_read_delay("cv/work/", Duration::ZERO);
    std::thread::sleep(Duration::from_secs(2));
    let late_runs = fleet
        .target_log
        .runs()
        .into_iter()
        .filter(|run| run.started_at > acknowledged_at + CANCEL_TIMEOUT);
    assert_eq!(late_runs.count(), 0, "items of closed jobs run");
}

#[test]
fn jobs_survive_the_kill_of_every_process() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job1", 12, EVENTS_PER_ITEM))
        .expect("the runtime starts");
    for node in &mut fleet.nodes {
        node.kill();
    }
    for node in &mut fleet.nodes {
        node.start();
    }
    block_on(read_all_results(&entries, "job1", 12)).expect("the runtime starts");
}

#[test]
fn a_closed_job_stays_closed_when_the_keepers_restart() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        submit_until_accepted(&entries, "job1", 40, EVENTS_PER_ITEM).await;
        assert!(close_job(entries[0], "job1").await);
    })
    .expect("the runtime starts");
    std::thread::sleep(Duration::from_secs(1));
    for node in fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper")) {
        node.kill();
        node.start();
    }
    let runs_before = fleet.target_log.runs().len();
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(fleet.target_log.runs().len(), runs_before, "items of a closed job run again");
}

#[test]
fn no_job_is_lost_when_the_store_loses_responses() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    fleet.store.set_mode(StoreMode::LosesResponses);
    let outcome =
        block_on(submit_job(entries[0], "job1", 6, EVENTS_PER_ITEM)).expect("the runtime starts");
    assert!(
        !matches!(outcome, CallerOutcome::NotRun | CallerOutcome::Incorrect(_)),
        "a job that may have been accepted is reported as refused: {outcome:?}"
    );
    fleet.store.set_mode(StoreMode::Up);
    block_on(async {
        submit_until_accepted(&entries, "job1", 6, EVENTS_PER_ITEM).await;
        read_all_results(&entries, "job1", 6).await;
    })
    .expect("the runtime starts");
}

#[test]
fn a_job_refused_during_a_store_outage_never_runs() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    fleet.store.set_mode(StoreMode::Busy);
    let outcome =
        block_on(submit_job(entries[0], "job1", 6, EVENTS_PER_ITEM)).expect("the runtime starts");
    assert_eq!(outcome, CallerOutcome::NotRun);
    fleet.store.set_mode(StoreMode::Up);
    std::thread::sleep(Duration::from_secs(4));
    assert!(fleet.target_log.runs().is_empty(), "a refused job runs");
}

#[test]
fn online_requests_have_priority_over_batch_items() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let latencies = block_on(async {
        submit_until_accepted(&entries, "job1", 40, EVENTS_PER_ITEM).await;
        monoio::time::sleep(Duration::from_millis(300)).await;
        let mut latencies = Vec::new();
        for number in 0..10 {
            let started_at = Instant::now();
            let outcome = request_stream(entries[0], "hints", &format!("s{number}"), 2).await;
            assert_eq!(outcome, CallerOutcome::Completed);
            latencies.push(started_at.elapsed());
        }
        read_all_results(&entries, "job1", 40).await;
        latencies
    });
    let mut latencies = latencies.expect("the runtime starts");
    latencies.sort_unstable();
    // Two events take 16 ms; an item takes ten times as long, which is above the limit.
    assert!(
        latencies[5] < Duration::from_millis(120),
        "online requests queued behind batch items: {latencies:?}"
    );
}

// Guards against a pass over the waiting items that ends at the first one whose service has no room.
#[test]
fn items_run_while_another_service_has_no_target() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 30, EVENTS_PER_ITEM).await;
        }
        // Items that are due later are dispatched first.
        for job in 0..4 {
            let id = format!("reports{job}");
            let outcome =
                submit_job_to_route(entries[0], "reports", &id, 4, EVENTS_PER_ITEM, DEFAULT_BODY);
            assert_eq!(outcome.await, CallerOutcome::Completed);
        }
        for job in 0..4 {
            read_all_results(&entries, &format!("job{job}"), 30).await;
        }
    })
    .expect("the runtime starts");
}

#[test]
fn a_retired_keeper_hands_over_its_jobs() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job1", 20, EVENTS_PER_ITEM))
        .expect("the runtime starts");
    fleet.store.write("op/retire/keeper-70", &serde_json::json!({ "finishByS": 10 }));
    let is_reported = |fleet: &NodeFleet| !fleet.store.keys("status/retire/keeper-70").is_empty();
    assert!(fleet.wait_for(Duration::from_secs(5), is_reported));
    block_on(read_all_results(&entries, "job1", 20)).expect("the runtime starts");
}

// Guards against the retirement of the last keeper, after which nobody knows of the accepted jobs.
#[test]
fn the_last_keeper_is_not_retired() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job1", 20, EVENTS_PER_ITEM))
        .expect("the runtime starts");
    fleet.store.write("op/retire/keeper-70", &serde_json::json!({ "finishByS": 10 }));
    let is_reported = |fleet: &NodeFleet| !fleet.store.keys("status/retire/keeper-70").is_empty();
    assert!(fleet.wait_for(Duration::from_secs(5), is_reported));
    // The platform removes the instance.
    let node = fleet.nodes.iter_mut().find(|node| node.name == "keeper-70");
    node.expect("the fleet has the keeper").kill();
    fleet.store.write("op/retire/keeper-71", &serde_json::json!({ "finishByS": 10 }));
    std::thread::sleep(Duration::from_secs(2));
    block_on(async {
        submit_until_accepted(&entries, "job2", 4, EVENTS_PER_ITEM).await;
        read_all_results(&entries, "job1", 20).await;
        read_all_results(&entries, "job2", 4).await;
    })
    .expect("the runtime starts");
}
