//! Batch jobs that callers submit, read and close during the faults.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_policy::SeededRandom;
use cv_runtime::block_on;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::close_job;
use cv_tests::node_caller::item_id;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::submit_job;
use futures::future::join_all;
use serde_json::Value;

use crate::guarantee_check::GuaranteeCheck;

/// Number of events of an item.
pub const ITEM_EVENTS: u64 = 45;

/// Number of items of a job.
const ITEMS: u64 = 6;

/// Interval between two submitted jobs of a fleet of the smallest size.
const JOB_INTERVAL: Duration = Duration::from_millis(240);

/// Jobs of a run whose random numbers differ from those of the next seed's jobs.
const JOBS_PER_SEED: u64 = 100_000;

/// Interval between two reads of a job.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Pause between two attempts to submit or close a job.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of attempts to submit a job.
const MAX_SUBMISSIONS: usize = 3;

/// Of how many jobs one is closed by its caller.
const JOBS_PER_CLOSE: usize = 4;

/// Upper bound of the time from a job's acceptance to its close, in milliseconds.
const MAX_TIME_TO_CLOSE_MS: usize = 2_500;

/// Maximum time until the close of a job is acknowledged, or given up.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time from the end of the faults until all accepted jobs are done (`finishS`).
const FINISH_TIME: Duration = Duration::from_secs(18);

/// Concurrent callers that submit the history.
const HISTORY_CALLERS: usize = 24;

/// Number of events of an item of the history.
const HISTORY_EVENTS: u64 = 2;

/// Maximum time until the history is done.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(8);

/// Submits, reads and closes the jobs of a run.
pub struct JobLoad<'a> {
    pub check: &'a GuaranteeCheck,
    /// How long jobs are submitted.
    pub duration: Duration,
    pub entries: &'a [SocketAddr],
    pub faults_are_over: &'a AtomicBool,
    /// Multiple of the load of a fleet of the smallest size.
    pub scale: u8,
    pub seed: u64,
}

impl JobLoad<'_> {
    /// Submits jobs until the faults are over, and returns once every accepted job is done.
    pub fn run(&self) {
        let interval = JOB_INTERVAL / u32::from(self.scale);
        let count = (self.duration.as_millis() / interval.as_millis().max(1)) as u32;
        let jobs = (0..count).map(|number| self.run_job(number, interval * number));
        block_on(join_all(jobs)).expect("the runtime starts");
    }

    /// Submits one job after a delay, and reads or closes it.
    async fn run_job(&self, number: u32, delay: Duration) {
        monoio::time::sleep(delay).await;
        let mut random = SeededRandom::new(self.seed * JOBS_PER_SEED + u64::from(number));
        let id = format!("j{}x{number}", self.seed);
        if !self.submit(&id, &mut random).await {
            return;
        }
        if random.below(JOBS_PER_CLOSE) == 0 {
            let delay = random.below(MAX_TIME_TO_CLOSE_MS) as u64;
            monoio::time::sleep(Duration::from_millis(delay)).await;
            self.close(&id, &mut random).await;
        } else {
            self.read_until_done(&id, &mut random).await;
        }
    }

    /// Submits a job a few times; returns whether it was accepted. Records one that was refused at
    /// each attempt.
    async fn submit(&self, id: &str, random: &mut SeededRandom) -> bool {
        let mut is_refused = true;
        for _ in 0..MAX_SUBMISSIONS {
            match submit_job(self.random_entry(random), id, ITEMS, ITEM_EVENTS).await {
                CallerOutcome::Completed => {
                    self.check.record_job(true);
                    return true;
                }
                CallerOutcome::Incorrect(detail) => {
                    self.check.report(format!("job {id}: {detail}"));
                }
                CallerOutcome::NotRun => {}
                CallerOutcome::Unknown(_) => is_refused = false,
            }
            monoio::time::sleep(RETRY_INTERVAL).await;
        }
        self.check.record_job(false);
        if is_refused {
            self.check.record_refused(item_ids(id));
        }
        false
    }

    /// Closes a job, again until that is acknowledged.
    async fn close(&self, id: &str, random: &mut SeededRandom) {
        let started_at = Instant::now();
        while started_at.elapsed() < CLOSE_TIMEOUT {
            if close_job(self.random_entry(random), id).await {
                return self.check.record_closed(item_ids(id), Instant::now());
            }
            monoio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Reads a job's results at random entries until all are listed.
    async fn read_until_done(&self, id: &str, random: &mut SeededRandom) {
        let mut known: Vec<Value> = Vec::new();
        let mut over_since = None;
        while known.len() as u64 != ITEMS {
            if let Ok(response) = read_results(self.random_entry(random), id, 0).await {
                let results = response["results"].as_array().cloned().unwrap_or_default();
                self.check.compare_results(id, &known, &results);
                if results.len() > known.len() {
                    known = results;
                }
            }
            if self.faults_are_over.load(Ordering::Relaxed) {
                let since = *over_since.get_or_insert_with(Instant::now);
                if since.elapsed() > FINISH_TIME {
                    let listed = known.len();
                    self.check.report_unfinished(
                        id,
                        format!("{listed} of {ITEMS} results {FINISH_TIME:?} after the faults"),
                    );
                    return;
                }
            }
            monoio::time::sleep(READ_INTERVAL).await;
        }
    }

    /// Returns the address of a random entry.
    fn random_entry(&self, random: &mut SeededRandom) -> SocketAddr {
        self.entries[random.below(self.entries.len())]
    }
}

/// Submits small jobs ahead of the faults and closes some when they are done, so that their records fill
/// the store's first pages; gives up those that are not accepted or done in time.
pub fn submit_history(entries: &[SocketAddr], seed: u64, count: usize) {
    let started_at = Instant::now();
    let submissions = (0..HISTORY_CALLERS).map(|caller| async move {
        for number in (caller..count).step_by(HISTORY_CALLERS) {
            let id = format!("h{seed}x{number}");
            let entry = entries[number % entries.len()];
            while submit_job(entry, &id, 1, HISTORY_EVENTS).await != CallerOutcome::Completed {
                if started_at.elapsed() > HISTORY_TIMEOUT {
                    return;
                }
                monoio::time::sleep(RETRY_INTERVAL).await;
            }
            let is_done = async || {
                let results = read_results(entry, &id, 0).await;
                results.is_ok_and(|read| {
                    read["results"].as_array().is_some_and(|rows| !rows.is_empty())
                })
            };
            while !is_done().await && started_at.elapsed() < HISTORY_TIMEOUT {
                monoio::time::sleep(RETRY_INTERVAL).await;
            }
            if number % JOBS_PER_CLOSE == 0 {
                // A job that could not be closed stays as one that is done.
                close_job(entry, &id).await;
            }
        }
    });
    block_on(join_all(submissions)).expect("the runtime starts");
}

/// Returns the ids of a job's items.
fn item_ids(job: &str) -> Vec<String> {
    (0..ITEMS).map(|item| item_id(job, item)).collect()
}
