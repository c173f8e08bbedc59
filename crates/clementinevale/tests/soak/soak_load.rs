//! Online callers and batch jobs that run during the faults.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_policy::SeededRandom;
use cv_runtime::block_on;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::NodeCaller;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::submit_job;
use serde_json::Value;

use crate::guarantee_check::GuaranteeCheck;

/// Number of events of an item.
pub const ITEM_EVENTS: u64 = 25;

/// Number of items of a job.
const ITEMS: u64 = 6;

/// Interval between two submitted jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between two reads of all jobs.
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum time from the end of the faults until all accepted jobs are done.
const FINISH_TIMEOUT: Duration = Duration::from_secs(25);

/// Maximum number of requests over one connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 12;

/// An accepted job and the results read of it so far.
struct AcceptedJob {
    id: String,
    known: Vec<Value>,
}

/// Sends requests over reused connections until `is_finished` is set.
pub fn run_callers(
    entries: &[SocketAddr],
    check: &GuaranteeCheck,
    is_finished: &AtomicBool,
    seed: u64,
) {
    let mut random = SeededRandom::new(seed);
    let result = block_on(async {
        let mut number = 0;
        while !is_finished.load(Ordering::Relaxed) {
            let mut caller = NodeCaller::new(entries[random.below(entries.len())]);
            for _ in 0..=random.below(MAX_REQUESTS_PER_CONNECTION) {
                number += 1;
                let id = format!("r{seed}x{number}");
                let events = 2 + random.below(40) as u64;
                let (outcome, is_at_most_once) = match random.below(4) {
                    0 => (caller.request_stream("advice", &id, events).await, false),
                    1 => (caller.request_stream("hints", &id, events).await, true),
                    2 => (caller.request_plain("orders", &id).await, true),
                    _ => (caller.request_plain("status", &id).await, false),
                };
                check.record_outcome(&id, is_at_most_once, &outcome);
                if outcome != CallerOutcome::Completed {
                    // Waits before the next connection, as a refused caller does.
                    monoio::time::sleep(Duration::from_millis(30)).await;
                    break;
                }
            }
        }
    });
    result.expect("the runtime starts");
}

/// Submits and reads jobs until `faults_are_over` is set, then reads until all jobs are done.
pub fn run_jobs(
    entries: &[SocketAddr],
    check: &GuaranteeCheck,
    faults_are_over: &AtomicBool,
    seed: u64,
) {
    let result = block_on(async {
        let mut jobs: Vec<AcceptedJob> = Vec::new();
        let mut next_submission = Instant::now();
        let mut number = 0;
        while !faults_are_over.load(Ordering::Relaxed) {
            if Instant::now() >= next_submission {
                next_submission = Instant::now() + JOB_INTERVAL;
                number += 1;
                let id = format!("j{seed}x{number}");
                if submit(entries, &id, check).await {
                    jobs.push(AcceptedJob { id, known: Vec::new() });
                }
            }
            read_all(entries, &mut jobs, check).await;
            monoio::time::sleep(READ_INTERVAL).await;
        }
        let faults_ended_at = Instant::now();
        while faults_ended_at.elapsed() < FINISH_TIMEOUT && jobs.iter().any(|job| !is_done(job)) {
            read_all(entries, &mut jobs, check).await;
            monoio::time::sleep(READ_INTERVAL).await;
        }
        for job in jobs.iter().filter(|job| !is_done(job)) {
            check.report(format!(
                "job {}: {} of {ITEMS} results {FINISH_TIMEOUT:?} after the faults",
                job.id,
                job.known.len()
            ));
        }
    });
    result.expect("the runtime starts");
}

/// Submits a job to one entry after the other until one accepts it; returns whether one did.
async fn submit(entries: &[SocketAddr], id: &str, check: &GuaranteeCheck) -> bool {
    for entry in entries {
        match submit_job(*entry, id, ITEMS, ITEM_EVENTS).await {
            CallerOutcome::Completed => return true,
            CallerOutcome::Incorrect(detail) => check.report(format!("job {id}: {detail}")),
            CallerOutcome::NotRun | CallerOutcome::Unknown(_) => {}
        }
    }
    false
}

/// Reads the results of every job, distributed over the entries, and checks them.
async fn read_all(entries: &[SocketAddr], jobs: &mut [AcceptedJob], check: &GuaranteeCheck) {
    for (index, job) in jobs.iter_mut().enumerate() {
        let entry = entries[index % entries.len()];
        let Ok(response) = read_results(entry, &job.id, 0).await else {
            continue;
        };
        let results = response["results"].as_array().cloned().unwrap_or_default();
        check.compare_results(&job.id, &job.known, &results);
        if results.len() > job.known.len() {
            job.known = results;
        }
    }
}

/// Returns whether all results of a job have been read.
fn is_done(job: &AcceptedJob) -> bool {
    job.known.len() as u64 == ITEMS
}
