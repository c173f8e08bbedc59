//! Batch jobs over keepers, while parts of the fleet fail.

use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::StoreMode;
use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::close_job;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::request_stream;
use cv_tests::node_caller::submit_job;
use cv_tests::node_caller::submit_job_with_body;
use rstest::rstest;

use crate::job_checks::EVENTS;
use crate::job_checks::JOB_TIMEOUT;
use crate::job_checks::read_all_results;
use crate::job_checks::read_all_results_with_events;
use crate::job_checks::submit_until_accepted;

/// Time after which no item of an ended job may start.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// A fleet of two engines, two entries and two keepers.
fn small_fleet() -> NodeFleet {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 2 };
    NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size)
}

#[test]
fn a_job_is_run_and_read_at_every_entry() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        submit_until_accepted(&entries, "job1", 10, EVENTS).await;
        // A job that comes again is the same job.
        submit_until_accepted(&entries[1..], "job1", 10, EVENTS).await;
        let results = read_all_results(&entries, "job1", 10).await;
        for entry in &entries {
            let again = read_results(*entry, "job1", 0).await.expect("an answer");
            assert_eq!(again["results"].as_array(), Some(&results));
            assert!(read_results(*entry, "unknown", 0).await.is_err());
        }
    })
    .expect("a runtime");
}

#[test]
fn a_job_larger_than_a_stored_value_is_kept_and_run() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    // 100 items of 30,000 bytes each.
    let body = "q83v".repeat(10_000);
    block_on(async {
        let outcome = submit_job_with_body(entries[0], "large", 100, EVENTS, &body).await;
        assert_eq!(outcome, CallerOutcome::Completed);
        let again = submit_job_with_body(entries[1], "large", 100, EVENTS, &body).await;
        assert_eq!(again, CallerOutcome::Completed);
    })
    .expect("a runtime");
    // Whoever owns it now has to read it from the store.
    for node in fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper")) {
        node.kill();
        node.start();
    }
    block_on(async { read_all_results(&entries, "large", 100).await }).expect("a runtime");
}

#[test]
fn a_killed_owner_is_followed_by_another() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 8, EVENTS).await;
        }
    })
    .expect("a runtime");
    let node = fleet.nodes.iter_mut().find(|node| node.name.starts_with("keeper"));
    node.expect("a keeper").kill();
    block_on(async {
        for job in 0..4 {
            read_all_results(&entries, &format!("job{job}"), 8).await;
        }
    })
    .expect("a runtime");
}

/// How a keeper goes.
#[derive(Clone, Copy, Debug)]
enum KeeperExit {
    /// It is killed, and the next owner has only the copies that it was sent.
    Killed,
    /// It is asked to leave.
    Drained,
    /// It is killed and started at once: it owns its jobs again and has to ask for the copies.
    Restarted,
}

#[rstest]
#[case(KeeperExit::Killed)]
#[case(KeeperExit::Drained)]
#[case(KeeperExit::Restarted)]
fn unfinished_outputs_survive_their_keeper(#[case] end: KeeperExit) {
    const LONG: u64 = 500;
    // Copies are made every second; runs begin within another.
    const STALE: Duration = Duration::from_secs(2);
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 2, LONG).await;
        }
    })
    .expect("a runtime");
    std::thread::sleep(STALE + Duration::from_millis(500));
    let ended = Instant::now();
    let keeper = fleet.nodes.iter_mut().find(|node| node.name.starts_with("keeper"));
    let keeper = keeper.expect("a keeper");
    match end {
        KeeperExit::Killed => keeper.kill(),
        KeeperExit::Drained => assert_eq!(keeper.terminate(JOB_TIMEOUT), Ok(())),
        KeeperExit::Restarted => {
            keeper.kill();
            keeper.start();
        }
    }
    block_on(async {
        for job in 0..4 {
            read_all_results_with_events(&entries, &format!("job{job}"), 2, LONG).await;
        }
    })
    .expect("a runtime");
    let runs = fleet.target_log.runs();
    let mut again = 0;
    for run in runs.iter().filter(|run| run.started_at > ended) {
        let of_item = runs.iter().filter(|other| other.request_id == run.request_id);
        let began = of_item.map(|other| other.started_at).min().expect("a run");
        if ended.duration_since(began) > STALE {
            assert!(run.after > 0, "{} began anew", run.request_id);
            again += 1;
        }
    }
    assert!(again > 0, "no run was made again");
}

#[test]
fn a_leaving_sidecar_hands_its_items_back() {
    const LONG: u64 = 600;
    // Half of the grace of 4 s, in which it serves on, and some time to end.
    const LEAVE_TIME: Duration = Duration::from_millis(2_800);
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job0", 8, LONG)).expect("a runtime");
    std::thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    let left = fleet.nodes[0].terminate(JOB_TIMEOUT);
    assert_eq!(left, Ok(()));
    assert!(began.elapsed() < LEAVE_TIME, "it left after {:?}", began.elapsed());
    fleet.nodes[0].start();
    block_on(async { read_all_results_with_events(&entries, "job0", 8, LONG).await })
        .expect("a runtime");
    let runs = fleet.target_log.runs();
    let again = runs.iter().filter(|run| run.started_at > began + LEAVE_TIME / 2);
    assert!(again.clone().count() > 0, "no item was handed back");
    assert!(again.clone().all(|run| run.after > 0), "{again:?}");
}

#[test]
fn reads_of_results_spare_a_store_that_refuses_all_calls() {
    const OUTAGE: Duration = Duration::from_secs(5);
    // Until the keepers know of the outage they may ask for each job a few times.
    const MOST_CALLS: usize = 40;
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 4, EVENTS).await;
        }
        for job in 0..4 {
            read_all_results(&entries, &format!("job{job}"), 4).await;
        }
        fleet.store.set_mode(StoreMode::Busy);
        let (began, before) =
            (Instant::now(), fleet.store.call_count("/kv-range?prefix=cv/result/"));
        let mut reads = 0;
        while began.elapsed() < OUTAGE {
            for entry in &entries {
                let _ = read_results(*entry, "job0", 0).await;
                reads += 1;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        let calls = fleet.store.call_count("/kv-range?prefix=cv/result/") - before;
        assert!(reads > 2 * MOST_CALLS, "{reads} reads");
        assert!(calls <= MOST_CALLS, "{calls} calls for {reads} reads");
        fleet.store.set_mode(StoreMode::Up);
        read_all_results(&entries, "job0", 4).await;
    })
    .expect("a runtime");
}

#[test]
fn a_keeper_that_was_cut_off_shows_nothing_older() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 30, EVENTS).await;
        }
    })
    .expect("a runtime");
    let keeper = fleet.nodes.iter().find(|node| node.name.starts_with("keeper"));
    let proxy = &keeper.expect("a keeper").store_proxy;
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
                block_on(read_all_results(entries, &format!("job{job}"), 30)).expect("a runtime")
            });
        }
    });
}

#[test]
fn a_keeper_that_was_cut_off_runs_nothing_of_a_job_that_ended_meanwhile() {
    /// Time for which reads of what there is to do get no answer that anybody waits for.
    const DEAF_TIME: Duration = Duration::from_secs(4);
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let jobs: Vec<String> = (0..4).map(|job| format!("job{job}")).collect();
    block_on(async {
        for job in &jobs {
            submit_until_accepted(&entries, job, 150, EVENTS).await;
        }
    })
    .expect("a runtime");
    let keeper = fleet.nodes.iter().find(|node| node.name.starts_with("keeper"));
    let proxy = &keeper.expect("a keeper").store_proxy;
    proxy.set_mode(FaultMode::Disconnect);
    std::thread::sleep(Duration::from_millis(500));
    block_on(async {
        for job in &jobs {
            let began = Instant::now();
            while !close_job(entries[0], job).await {
                assert!(began.elapsed() < JOB_TIMEOUT, "the end is not acknowledged");
            }
        }
    })
    .expect("a runtime");
    let acknowledged = Instant::now();
    std::thread::sleep(Duration::from_secs(4));
    // The keeper registers at once and hears of the ends late.
    fleet.store.set_read_delay("cv/work/", DEAF_TIME * 4);
    proxy.set_mode(FaultMode::Pass);
    std::thread::sleep(DEAF_TIME);
    fleet.store.set_read_delay("cv/work/", Duration::ZERO);
    std::thread::sleep(Duration::from_secs(2));
    let late = fleet
        .target_log
        .runs()
        .into_iter()
        .filter(|run| run.started_at > acknowledged + CANCEL_TIME);
    assert_eq!(late.count(), 0, "items of ended jobs run");
}

#[test]
fn jobs_survive_the_kill_of_every_process() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job1", 12, EVENTS)).expect("a runtime");
    for node in &mut fleet.nodes {
        node.kill();
    }
    for node in &mut fleet.nodes {
        node.start();
    }
    block_on(read_all_results(&entries, "job1", 12)).expect("a runtime");
}

#[test]
fn an_ended_job_stays_ended_when_the_keepers_start_again() {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(async {
        submit_until_accepted(&entries, "job1", 40, EVENTS).await;
        assert!(close_job(entries[0], "job1").await);
    })
    .expect("a runtime");
    std::thread::sleep(Duration::from_secs(1));
    for node in fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper")) {
        node.kill();
        node.start();
    }
    let before = fleet.target_log.runs().len();
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(fleet.target_log.runs().len(), before, "items of an ended job run again");
}

#[test]
fn a_store_that_loses_its_answers_loses_no_job() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    fleet.store.set_mode(StoreMode::LosesResponses);
    let first = block_on(submit_job(entries[0], "job1", 6, EVENTS)).expect("a runtime");
    assert!(
        !matches!(first, CallerOutcome::NotRun | CallerOutcome::Incorrect(_)),
        "a job that may be accepted is called refused: {first:?}"
    );
    fleet.store.set_mode(StoreMode::Up);
    block_on(async {
        submit_until_accepted(&entries, "job1", 6, EVENTS).await;
        read_all_results(&entries, "job1", 6).await;
    })
    .expect("a runtime");
}

#[test]
fn a_job_is_refused_truly_while_the_store_is_away() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    fleet.store.set_mode(StoreMode::Busy);
    let refused = block_on(submit_job(entries[0], "job1", 6, EVENTS)).expect("a runtime");
    assert_eq!(refused, CallerOutcome::NotRun);
    fleet.store.set_mode(StoreMode::Up);
    std::thread::sleep(Duration::from_secs(4));
    assert!(fleet.target_log.runs().is_empty(), "a refused job runs");
}

#[test]
fn batch_items_give_way_to_online_requests() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let waits = block_on(async {
        submit_until_accepted(&entries, "job1", 40, EVENTS).await;
        monoio::time::sleep(Duration::from_millis(300)).await;
        let mut waits = Vec::new();
        for number in 0..10 {
            let began = Instant::now();
            let outcome = request_stream(entries[0], "hints", &format!("s{number}"), 2).await;
            assert_eq!(outcome, CallerOutcome::Completed);
            waits.push(began.elapsed());
        }
        read_all_results(&entries, "job1", 40).await;
        waits
    });
    let mut waits = waits.expect("a runtime");
    waits.sort_unstable();
    // Two events take 16 ms; an item takes ten times as long.
    assert!(waits[5] < Duration::from_millis(120), "online waits behind batch: {waits:?}");
}

#[test]
fn a_retired_keeper_hands_its_jobs_over() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job1", 20, EVENTS)).expect("a runtime");
    fleet.store.write("op/retire/keeper-70", &serde_json::json!({ "finishByS": 10 }));
    let is_told = |fleet: &NodeFleet| !fleet.store.keys("status/retire/keeper-70").is_empty();
    assert!(fleet.wait_for(Duration::from_secs(5), is_told));
    block_on(read_all_results(&entries, "job1", 20)).expect("a runtime");
}
