//! A randomized soak of real processes, with faults injected from outside.
//!
//! `CV_SOAK_SEEDS=1-50 CV_SOAK_SECONDS=8 cargo test -p clementinevale --test soak` plays fifty seeds.
//! Without settings it plays the seeds that ever failed and two more, briefly.

mod fault_schedule;
mod guarantee_check;
mod soak_load;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;

use crate::fault_schedule::FaultSchedule;
use crate::guarantee_check::GuaranteeCheck;
use crate::soak_load::run_callers;
use crate::soak_load::run_jobs;

/// Seeds that failed once, each with its cause.
const REGRESSIONS: [(u64, &str); 5] = [
    (21, "SIGHUP ended a process that was reading its settings"),
    (51, "SIGHUP ended a process that was reading its settings"),
    (103, "SIGTERM was sent in the moment of a process's start"),
    (107, "SIGTERM was sent in the moment of a process's start"),
    (109, "SIGTERM was sent in the moment of a process's start"),
];

/// Seeds that are played when none are named.
const SHORT_SEEDS: [u64; 2] = [1, 2];

/// Seconds of faults when none are named.
const SHORT_SECONDS: u64 = 8;

/// Callers at a time.
const CALLERS: u64 = 4;

#[test]
fn promises_hold_under_random_faults() {
    let seconds = setting("CV_SOAK_SECONDS").and_then(|text| text.parse().ok());
    let seconds = Duration::from_secs(seconds.unwrap_or(SHORT_SECONDS));
    let mut broken = Vec::new();
    for seed in seeds() {
        let findings = play(seed, seconds);
        println!("seed {seed}: {}", if findings.is_empty() { "kept" } else { "broken" });
        broken.extend(findings.into_iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Plays one seed and returns what was broken.
fn play(seed: u64, seconds: Duration) -> Vec<String> {
    let size = NodeFleetSize { engines: 3, entries: 2, keepers: 2 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let entries = fleet.entry_addresses();
    let check = GuaranteeCheck::default();
    let (is_finished, faults_are_over) = (AtomicBool::new(false), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (entries, check, is_finished) = (&entries, &check, &is_finished);
            scope.spawn(move || run_callers(entries, check, is_finished, seed * 100 + caller));
        }
        let (entries, check, faults_are_over) = (&entries, &check, &faults_are_over);
        let jobs = scope.spawn(move || run_jobs(entries, check, faults_are_over, seed));
        FaultSchedule::new(seed).run(&mut fleet, seconds, check);
        faults_are_over.store(true, Ordering::Relaxed);
        jobs.join().expect("the jobs' thread");
        is_finished.store(true, Ordering::Relaxed);
    });
    check.finish(&fleet)
}

/// Returns the seeds to play.
fn seeds() -> Vec<u64> {
    let Some(text) = setting("CV_SOAK_SEEDS") else {
        return REGRESSIONS.iter().map(|(seed, _)| *seed).chain(SHORT_SEEDS).collect();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.trim().parse().expect("seeds as in `1-50`");
    (number(first)..=number(last)).collect()
}

/// Returns a setting of the environment.
fn setting(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
