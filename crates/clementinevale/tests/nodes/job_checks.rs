//! Submits jobs and checks what callers read of them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::expected_output;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::submit_job;

/// Events of each item.
pub(crate) const EVENTS: u64 = 20;

/// Time after which a result that was read anywhere is there everywhere.
const VISIBILITY_DELAY: Duration = Duration::from_secs(1);

/// Longest time until a job is done.
pub(crate) const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// Submits a job until it is accepted.
pub(crate) async fn submit_until_accepted(
    entries: &[SocketAddr],
    job: &str,
    items: u64,
    events: u64,
) {
    let began = Instant::now();
    for entry in entries.iter().cycle() {
        match submit_job(*entry, job, items, events).await {
            CallerOutcome::Completed => return,
            CallerOutcome::Incorrect(detail) => panic!("{detail}"),
            CallerOutcome::NotRun | CallerOutcome::Unknown(_) => {}
        }
        assert!(began.elapsed() < JOB_TIMEOUT, "the job is not accepted");
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Reads the results of a job of usual items to the end.
pub(crate) async fn read_all_results(
    entries: &[SocketAddr],
    job: &str,
    items: u64,
) -> Vec<serde_json::Value> {
    read_all_results_with_events(entries, job, items, EVENTS).await
}

/// Reads a job's results until all are there, and checks that none changes or comes twice.
pub(crate) async fn read_all_results_with_events(
    entries: &[SocketAddr],
    job: &str,
    items: u64,
    events: u64,
) -> Vec<serde_json::Value> {
    let mut began = Instant::now();
    let mut known: Vec<serde_json::Value> = Vec::new();
    // What was known for as long as the platform lets results settle.
    let mut settled = 0;
    for entry in entries.iter().cycle() {
        let asked = Instant::now();
        if let Ok(answer) = read_results(*entry, job, 0).await {
            let results = answer["results"].as_array().cloned().unwrap_or_default();
            let shared = known.len().min(results.len());
            assert_eq!(known[..shared], results[..shared], "a position changed");
            if asked.duration_since(began) > VISIBILITY_DELAY {
                assert!(results.len() >= settled, "{} of {settled} results", results.len());
            }
            if results.len() > known.len() {
                settled = known.len();
                known = results;
                began = Instant::now();
            }
        }
        if known.len() as u64 == items {
            break;
        }
        assert!(began.elapsed() < JOB_TIMEOUT, "{} of {items} results", known.len());
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut ids: Vec<&str> = known.iter().filter_map(|result| result["id"].as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len() as u64, items, "an item is listed twice");
    for result in &known {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed");
        assert_eq!(result["text"], expected_output(id, events), "the output of {id}");
    }
    known
}
