//! Submits jobs and checks the results that callers read.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::expected_output;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::submit_job;

/// Number of events of an item.
pub(crate) const EVENTS_PER_ITEM: u64 = 20;

/// Time after which every entry must return a result that any entry has returned.
const VISIBILITY_DELAY: Duration = Duration::from_secs(1);

/// Maximum time until a job is accepted, or until its next result arrives.
pub(crate) const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// Submits a job to the entries in turn until one accepts it.
pub(crate) async fn submit_until_accepted(
    entries: &[SocketAddr],
    job: &str,
    items: u64,
    events: u64,
) {
    let started_at = Instant::now();
    for entry in entries.iter().cycle() {
        match submit_job(*entry, job, items, events).await {
            CallerOutcome::Completed => return,
            CallerOutcome::Incorrect(detail) => panic!("{detail}"),
            CallerOutcome::NotRun | CallerOutcome::Unknown(_) => {}
        }
        assert!(
            started_at.elapsed() < JOB_TIMEOUT,
            "job {job} is not accepted within {JOB_TIMEOUT:?}"
        );
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Reads and checks all results of a job whose items have [`EVENTS_PER_ITEM`] events.
pub(crate) async fn read_all_results(
    entries: &[SocketAddr],
    job: &str,
    items: u64,
) -> Vec<serde_json::Value> {
    read_all_results_with_events(entries, job, items, EVENTS_PER_ITEM).await
}

/// Reads a job's results until all are listed.
///
/// Checks that no position changes, no item is listed twice, no listed result disappears after
/// [`VISIBILITY_DELAY`], and every item is completed with its `events` events.
pub(crate) async fn read_all_results_with_events(
    entries: &[SocketAddr],
    job: &str,
    items: u64,
    events: u64,
) -> Vec<serde_json::Value> {
    let mut last_progress_at = Instant::now();
    let mut known: Vec<serde_json::Value> = Vec::new();
    // Number of results that were already known before the latest progress.
    let mut settled = 0;
    for entry in entries.iter().cycle() {
        let requested_at = Instant::now();
        if let Ok(response) = read_results(*entry, job, 0).await {
            let results = response["results"].as_array().cloned().unwrap_or_default();
            let shared = known.len().min(results.len());
            assert_eq!(
                known[..shared],
                results[..shared],
                "job {job}: the result at a position changed"
            );
            if requested_at.duration_since(last_progress_at) > VISIBILITY_DELAY {
                assert!(
                    results.len() >= settled,
                    "job {job}: {} results are listed, expected at least {settled}",
                    results.len()
                );
            }
            if results.len() > known.len() {
                settled = known.len();
                known = results;
                last_progress_at = Instant::now();
            }
        }
        if known.len() as u64 == items {
            break;
        }
        assert!(
            last_progress_at.elapsed() < JOB_TIMEOUT,
            "job {job}: {} of {items} results are listed",
            known.len()
        );
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut ids: Vec<&str> = known.iter().filter_map(|result| result["id"].as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len() as u64, items, "job {job}: an item is listed twice");
    for result in &known {
        let id = result["id"].as_str().expect("a result has an id");
        assert_eq!(result["state"], "completed");
        assert_eq!(result["text"], expected_output(id, events), "the output of {id}");
    }
    known
}
