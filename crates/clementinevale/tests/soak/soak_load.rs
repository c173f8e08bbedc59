//! Callers and jobs during the faults.

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

/// Events of an item.
pub const ITEM_EVENTS: u64 = 25;

/// Items of a job.
const ITEMS: u64 = 6;

/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two reads of all jobs.
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// Time from the end of the faults within which all accepted jobs are done.
const FINISH_TIMEOUT: Duration = Duration::from_secs(25);

/// Requests over one connection, at most.
const MAX_REQUESTS_PER_CONNECTION: usize = 12;

/// A job that is being read.
struct ReadJob {
    id: String,
    known: Vec<Value>,
}

/// Sends requests over kept connections until the soak is over.
pub fn run_callers(
    entries: &[SocketAddr],
    check: &GuaranteeCheck,
    is_finished: &AtomicBool,
    seed: u64,
) {
    let mut random = SeededRandom::new(seed);
    let served = block_on(async {
        let mut number = 0;
        while !is_finished.load(Ordering::Relaxed) {
            let mut caller = NodeCaller::new(entries[random.below(entries.len())]);
            for _ in 0..=random.below(MAX_REQUESTS_PER_CONNECTION) {
                number += 1;
                let id = format!("r{seed}x{number}");
                let events = 2 + random.below(40) as u64;
                let (outcome, is_once) = match random.below(4) {
                    0 => (caller.request_stream("advice", &id, events).await, false),
                    1 => (caller.request_stream("hints", &id, events).await, true),
                    2 => (caller.request_plain("orders", &id).await, true),
                    _ => (caller.request_plain("status", &id).await, false),
                };
                check.record_outcome(&id, is_once, &outcome);
                if outcome != CallerOutcome::Completed {
                    // A caller that was refused comes back a little later.
                    monoio::time::sleep(Duration::from_millis(30)).await;
                    break;
                }
            }
        }
    });
    served.expect("a runtime");
}

/// Submits and reads jobs during the faults, and until all are done after them.
pub fn run_jobs(
    entries: &[SocketAddr],
    check: &GuaranteeCheck,
    faults_are_over: &AtomicBool,
    seed: u64,
) {
    let worked = block_on(async {
        let mut jobs: Vec<ReadJob> = Vec::new();
        let mut next = Instant::now();
        let mut number = 0;
        while !faults_are_over.load(Ordering::Relaxed) {
            if Instant::now() >= next {
                next = Instant::now() + JOB_INTERVAL;
                number += 1;
                let id = format!("j{seed}x{number}");
                if submit(entries, &id, check).await {
                    jobs.push(ReadJob { id, known: Vec::new() });
                }
            }
            read_all(entries, &mut jobs, check).await;
            monoio::time::sleep(READ_INTERVAL).await;
        }
        let calm = Instant::now();
        while calm.elapsed() < FINISH_TIMEOUT && jobs.iter().any(|job| !is_done(job)) {
            read_all(entries, &mut jobs, check).await;
            monoio::time::sleep(READ_INTERVAL).await;
        }
        for job in jobs.iter().filter(|job| !is_done(job)) {
            check.report(format!("job {}: {} of {ITEMS} results", job.id, job.known.len()));
        }
    });
    worked.expect("a runtime");
}

/// Submits a job at each entry until one accepts it.
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

/// Reads all jobs that are not done, each at one of the entries.
async fn read_all(entries: &[SocketAddr], jobs: &mut [ReadJob], check: &GuaranteeCheck) {
    for (turn, job) in jobs.iter_mut().enumerate() {
        let entry = entries[turn % entries.len()];
        let Ok(answer) = read_results(entry, &job.id, 0).await else {
            continue;
        };
        let results = answer["results"].as_array().cloned().unwrap_or_default();
        check.compare_results(&job.id, &job.known, &results);
        if results.len() > job.known.len() {
            job.known = results;
        }
    }
}

/// Tells whether all results of a job have been read.
fn is_done(job: &ReadJob) -> bool {
    job.known.len() as u64 == ITEMS
}
