//! Targets that name a limit on the requests that they take in a second.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_runtime::block_on;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::NodeProcess;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::request_plain;
use cv_tests::node_caller::request_stream;
use cv_tests::node_caller::submit_job;

/// The limit, in requests a second.
const LIMIT: f64 = 2.0;

/// Time after the first response with the limit from which it is checked.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which requests come.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Starts a fleet of one engine and one plain service, both with the limit.
fn limited_fleet() -> NodeFleet {
    limited_fleet_of(3)
}

/// Starts a fleet with the limit and a number of entries.
fn limited_fleet_of(entries: u8) -> NodeFleet {
    let size = NodeFleetSize { engines: 1, entries, keepers: 2 };
    let fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    fleet.request_limit.store((LIMIT * 100.0) as u32, Ordering::Relaxed);
    // Waits until the sidecar has sent its first load reports.
    std::thread::sleep(Duration::from_millis(1_200));
    fleet
}

/// Sends requests to the entries in turn; returns the outcomes.
fn send_requests(entries: &[SocketAddr], is_stream: bool) -> Vec<CallerOutcome> {
    let started_at = Instant::now();
    let outcomes = block_on(async {
        let mut calls = Vec::new();
        while started_at.elapsed() < LOAD_TIME {
            let (entry, id) = (entries[calls.len() % entries.len()], format!("r{}", calls.len()));
            calls.push(monoio::spawn(async move {
                if is_stream {
                    request_stream(entry, "advice", &id, 4).await
                } else {
                    request_plain(entry, "status", &id).await
                }
            }));
            monoio::time::sleep(REQUEST_INTERVAL).await;
        }
        futures::future::join_all(calls).await
    });
    outcomes.expect("the runtime starts")
}

/// Checks that a target got in no window more than one and a half times what its limit allows, and
/// five; and that it did get about what the limit allows.
fn check_limit(fleet: &NodeFleet, target: &str) {
    let runs = fleet.target_log.runs();
    let starts: Vec<Instant> =
        runs.iter().filter(|run| run.target_id == target).map(|run| run.started_at).collect();
    let first = *starts.first().expect("the target got requests");
    let limit = LIMIT * WINDOW.as_secs_f64();
    let counted: Vec<Instant> =
        starts.into_iter().filter(|start| *start >= first + CONTACT_TIME).collect();
    for start in &counted {
        let count = counted.iter().filter(|other| *other >= start && **other < *start + WINDOW);
        let count = count.count() as f64;
        assert!(count <= 1.5 * limit + 5.0, "{target} got {count} requests in {WINDOW:?}");
    }
    assert!(counted.len() as f64 >= limit, "{target} got only {} requests", counted.len());
}

/// Checks that requests were either served or refused.
fn check_outcomes(outcomes: &[CallerOutcome]) {
    let is_honest = |outcome: &CallerOutcome| {
        matches!(outcome, CallerOutcome::Completed | CallerOutcome::NotRun)
    };
    let dishonest: Vec<_> = outcomes.iter().filter(|outcome| !is_honest(outcome)).collect();
    assert!(dishonest.is_empty(), "{dishonest:?}");
}

#[test]
fn an_engine_gets_no_more_requests_than_it_takes() {
    let fleet = limited_fleet();
    let entries = fleet.entry_addresses();
    let submitted = block_on(submit_job(entries[0], "job", 20, 20));
    assert_eq!(submitted.expect("the runtime starts"), CallerOutcome::Completed);
    check_outcomes(&send_requests(&entries, true));
    check_limit(&fleet, "engine-0");
}

#[test]
fn a_plain_service_gets_no_more_requests_than_it_takes() {
    let fleet = limited_fleet();
    check_outcomes(&send_requests(&fleet.entry_addresses(), false));
    check_limit(&fleet, "plain-0");
}

#[test]
fn without_keepers_a_plain_service_gets_no_more_requests_than_it_takes() {
    let mut fleet = limited_fleet_of(10);
    let keepers = fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper"));
    keepers.for_each(NodeProcess::kill);
    check_outcomes(&send_requests(&fleet.entry_addresses(), false));
    check_limit(&fleet, "plain-0");
}

#[test]
fn an_engine_without_a_sidecar_gets_no_more_requests_than_it_takes() {
    let mut fleet = limited_fleet();
    let sidecar = fleet.nodes.iter_mut().find(|node| node.name.starts_with("sidecar"));
    sidecar.expect("the fleet has a sidecar").kill();
    // Missing load reports are detected in less than a second.
    std::thread::sleep(Duration::from_millis(1_500));
    check_outcomes(&send_requests(&fleet.entry_addresses(), true));
    check_limit(&fleet, "engine-0");
}

#[test]
fn a_limit_ends_when_the_target_names_it_no_more() {
    let fleet = limited_fleet();
    let entries = fleet.entry_addresses();
    send_requests(&entries, false);
    fleet.request_limit.store(0, Ordering::Relaxed);
    send_requests(&entries, false);
    let outcomes = send_requests(&entries, false);
    let served = outcomes.iter().filter(|outcome| **outcome == CallerOutcome::Completed).count();
    assert_eq!(served, outcomes.len(), "requests are refused although the limit has ended");
}
