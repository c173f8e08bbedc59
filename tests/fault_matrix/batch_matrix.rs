//! The batch promises under every fault at every step.

use std::collections::BTreeMap;

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::batch_cases::BatchBug;
use crate::batch_cases::BatchFault;
use crate::batch_cases::BatchHistory;
use crate::batch_cases::BatchStep;
use crate::batch_simulation::BatchSimulation;
use crate::batch_simulation::ITEM_COUNT;
use crate::batch_simulation::MAX_ATTEMPTS;
use crate::fault_seed;

/// Occurrences of each step at which a fault may strike.
const OCCURRENCES: u32 = 2;

/// Schedules of each single fault.
const SCHEDULES_PER_FAULT: u64 = 4;

/// Schedules of each pair of a lost disk and a dead owner.
const SCHEDULES_PER_DISK_LOSS: u64 = 400;

/// Random lists of up to three faults.
const RANDOM_CASES: u32 = 3_000;

/// A fault at an occurrence of a step.
type InjectedFault = (BatchStep, u32, BatchFault);

/// Checks a history against the promises; returns the first one that is broken.
fn find_violation(repeatable: bool, history: &BatchHistory) -> Option<String> {
    let mut runs: BTreeMap<u32, u32> = BTreeMap::new();
    for (item, _) in &history.executions {
        *runs.entry(*item).or_insert(0) += 1;
    }
    if !repeatable && runs.values().any(|count| *count > 1) {
        return Some(format!("an item that must not be repeated ran twice: {runs:?}"));
    }
    // Each owner that dies or is paused may cost each of its items one further run.
    if runs.values().any(|count| *count > u32::from(MAX_ATTEMPTS) + 3) {
        return Some(format!("an item ran without bound: {runs:?}"));
    }
    for (chunk, readings) in &history.chunk_reads {
        if readings.iter().any(|results| *results != readings[0]) {
            return Some(format!("the results of chunk {chunk} changed after their commit"));
        }
    }
    if !history.unreadable_chunks.is_empty() {
        return Some(format!("committed chunks are not readable: {:?}", history.unreadable_chunks));
    }
    if let Some(confirmed) = history.cancel_confirmed_at
        && history.executions.iter().any(|(_, time)| *time > confirmed)
    {
        return Some("an item was handed over after the cancellation was confirmed".to_owned());
    }
    if history.ended {
        let items: usize = history.chunk_reads.values().map(|readings| readings[0].len()).sum();
        if items != ITEM_COUNT as usize {
            return Some(format!("the job ended with {items} results"));
        }
    }
    if !history.ended && history.cancel_confirmed_at.is_none() {
        return Some("the job never ended".to_owned());
    }
    None
}

/// Runs one case; returns the broken promise with the case.
fn run_case(
    repeatable: bool,
    faults: &[InjectedFault],
    bug: Option<BatchBug>,
    seed: u64,
) -> Option<String> {
    let history = BatchSimulation::new(repeatable, faults.to_vec(), bug, seed).run();
    let broken = find_violation(repeatable, &history)?;
    Some(format!("{broken}; repeatable {repeatable}, faults {faults:?}, schedule {seed}"))
}

/// Lists every fault at every occurrence of every step.
fn single_faults() -> Vec<InjectedFault> {
    let mut placed = Vec::new();
    for step in BatchStep::injection_points() {
        for occurrence in 0..OCCURRENCES {
            placed.extend(BatchFault::ALL.into_iter().map(|fault| (step, occurrence, fault)));
        }
    }
    placed
}

/// Runs all singles and pairs until `most` promises are broken; returns the number of cases and the
/// broken promises.
fn run_matrix(bug: Option<BatchBug>, most: usize) -> (usize, Vec<String>) {
    let singles = single_faults();
    let mut cases = 0;
    let mut broken: Vec<String> = Vec::new();
    for repeatable in [true, false] {
        for first in &singles {
            if broken.len() >= most {
                return (cases, broken);
            }
            for schedule in 0..SCHEDULES_PER_FAULT {
                cases += 1;
                let seed = fault_seed() + schedule;
                broken.extend(run_case(repeatable, &[*first], bug, seed));
            }
            for second in &singles {
                cases += 1;
                let seed = fault_seed() + cases as u64;
                broken.extend(run_case(repeatable, &[*first, *second], bug, seed));
            }
        }
    }
    for (first, second) in disk_loss_pairs(&singles) {
        for schedule in 0..SCHEDULES_PER_DISK_LOSS {
            if broken.len() >= most {
                return (cases, broken);
            }
            cases += 1;
            broken.extend(run_case(false, &[first, second], bug, fault_seed() + schedule));
        }
    }
    (cases, broken)
}

/// Lists the pairs of a lost disk and a dead owner, where what each disk has matters most.
fn disk_loss_pairs(singles: &[InjectedFault]) -> Vec<(InjectedFault, InjectedFault)> {
    let of = |kind: BatchFault| singles.iter().copied().filter(move |placed| placed.2 == kind);
    let pairs = of(BatchFault::DiskLost)
        .flat_map(|first| of(BatchFault::OwnerCrashed).map(move |second| (first, second)));
    pairs.collect()
}

#[test]
fn no_fault_and_no_pair_of_faults_breaks_a_batch_promise() {
    let (cases, broken) = run_matrix(None, usize::MAX);
    println!("{cases} cases, {} broken, FAULT_SEED={}", broken.len(), fault_seed());
    let shown: Vec<&String> = broken.iter().take(5).collect();
    let command = "cargo test -p cv-tests --test fault_matrix";
    assert!(
        broken.is_empty(),
        "{} of {cases}: {shown:#?}\nrepeat: FAULT_SEED={} {command}",
        broken.len(),
        fault_seed()
    );
}

#[test]
fn no_random_list_of_faults_breaks_a_batch_promise() {
    let singles = single_faults();
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&fault_seed().to_le_bytes());
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = ProptestConfig {
        cases: RANDOM_CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new_with_rng(config, random);
    let places = proptest::collection::vec(0..singles.len(), 0..4);
    let strategy = (places, proptest::bool::ANY, proptest::num::u64::ANY);
    let result = runner.run(&strategy, |(places, repeatable, seed)| {
        let faults: Vec<InjectedFault> = places.iter().map(|place| singles[*place]).collect();
        match run_case(repeatable, &faults, None, seed) {
            Some(broken) => Err(proptest::test_runner::TestCaseError::fail(broken)),
            None => Ok(()),
        }
    });
    assert!(result.is_ok(), "FAULT_SEED={}: {result:?}", fault_seed());
}

#[test]
fn every_planted_batch_bug_is_found() {
    for bug in BatchBug::ALL {
        let (cases, broken) = run_matrix(Some(bug), 1);
        println!("{bug:?}: found {} time(s) within {cases} cases", broken.len());
        assert!(!broken.is_empty(), "{bug:?} is not found");
    }
}
