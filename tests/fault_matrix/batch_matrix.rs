//! The batch guarantees under every fault at every step.

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

/// Occurrences of each step at which faults are injected.
const OCCURRENCES: u32 = 2;

/// Random schedules run for each single fault.
const SCHEDULES_PER_FAULT: u64 = 4;

/// Random schedules run for each pair of a lost disk and a crashed owner.
const SCHEDULES_PER_DISK_LOSS: u64 = 400;

/// Random lists of up to three faults to run.
const RANDOM_CASES: u32 = 3_000;

/// A fault with the step and the occurrence at which it is injected.
type InjectedFault = (BatchStep, u32, BatchFault);

/// Checks a history against the batch guarantees; returns the first violation.
fn find_violation(repeatable: bool, history: &BatchHistory) -> Option<String> {
    let mut runs: BTreeMap<u32, u32> = BTreeMap::new();
    for (item, _) in &history.executions {
        *runs.entry(*item).or_insert(0) += 1;
    }
    if !repeatable && runs.values().any(|count| *count > 1) {
        return Some(format!("a non-repeatable item ran more than once: {runs:?}"));
    }
    // Each of up to three owners that crash or are paused can add one run to each of its items.
    if runs.values().any(|count| *count > u32::from(MAX_ATTEMPTS) + 3) {
        return Some(format!(
            "an item ran more often than its attempts and faults allow: {runs:?}"
        ));
    }
    for (chunk, reads) in &history.chunk_reads {
        if reads.iter().any(|results| *results != reads[0]) {
            return Some(format!("the results of chunk {chunk} changed after their commit"));
        }
    }
    if !history.unreadable_chunks.is_empty() {
        return Some(format!("committed chunks are not readable: {:?}", history.unreadable_chunks));
    }
    if let Some(confirmed_at) = history.cancel_confirmed_at
        && history.executions.iter().any(|(_, time)| *time > confirmed_at)
    {
        return Some("an item ran after the cancellation was confirmed".to_owned());
    }
    if history.finished {
        let items: usize = history.chunk_reads.values().map(|reads| reads[0].len()).sum();
        if items != ITEM_COUNT as usize {
            return Some(format!("the job finished with {items} results, expected {ITEM_COUNT}"));
        }
    }
    if !history.finished && history.cancel_confirmed_at.is_none() {
        return Some("the job did not finish".to_owned());
    }
    None
}

/// Runs one case; returns its violation, if any, with the parameters that reproduce it.
fn run_case(
    repeatable: bool,
    faults: &[InjectedFault],
    bug: Option<BatchBug>,
    seed: u64,
) -> Option<String> {
    let history = BatchSimulation::new(repeatable, faults.to_vec(), bug, seed).run();
    let violation = find_violation(repeatable, &history)?;
    Some(format!("{violation}; repeatable {repeatable}, faults {faults:?}, schedule {seed}"))
}

/// Lists every fault at every occurrence of every step.
fn single_faults() -> Vec<InjectedFault> {
    let mut faults = Vec::new();
    for step in BatchStep::injection_points() {
        for occurrence in 0..OCCURRENCES {
            faults.extend(BatchFault::ALL.into_iter().map(|fault| (step, occurrence, fault)));
        }
    }
    faults
}

/// Runs all single faults and pairs, and stops once `max_violations` are found; returns the number
/// of cases and the violations.
fn run_matrix(bug: Option<BatchBug>, max_violations: usize) -> (usize, Vec<String>) {
    let singles = single_faults();
    let mut cases = 0;
    let mut violations: Vec<String> = Vec::new();
    for repeatable in [true, false] {
        for first in &singles {
            if violations.len() >= max_violations {
                return (cases, violations);
            }
            for schedule in 0..SCHEDULES_PER_FAULT {
                cases += 1;
                let seed = fault_seed() + schedule;
                violations.extend(run_case(repeatable, &[*first], bug, seed));
            }
            for second in &singles {
                cases += 1;
                let seed = fault_seed() + cases as u64;
                violations.extend(run_case(repeatable, &[*first, *second], bug, seed));
            }
        }
    }
    for (first, second) in disk_loss_pairs(&singles) {
        for schedule in 0..SCHEDULES_PER_DISK_LOSS {
            if violations.len() >= max_violations {
                return (cases, violations);
            }
            cases += 1;
            violations.extend(run_case(false, &[first, second], bug, fault_seed() + schedule));
        }
    }
    (cases, violations)
}

/// Lists the pairs of a lost disk and a crashed owner, whose recovery depends on which replica
/// holds which record.
fn disk_loss_pairs(singles: &[InjectedFault]) -> Vec<(InjectedFault, InjectedFault)> {
    let select = |kind: BatchFault| singles.iter().copied().filter(move |fault| fault.2 == kind);
    let pairs = select(BatchFault::DiskLost)
        .flat_map(|first| select(BatchFault::OwnerCrashed).map(move |second| (first, second)));
    pairs.collect()
}

#[test]
fn single_and_paired_faults_keep_the_batch_guarantees() {
    let (cases, violations) = run_matrix(None, usize::MAX);
    println!("{cases} cases, {} violations, FAULT_SEED={}", violations.len(), fault_seed());
    let shown: Vec<&String> = violations.iter().take(5).collect();
    let command = "cargo test -p cv-tests --test fault_matrix";
    assert!(
        violations.is_empty(),
        "{} violations in {cases} cases: {shown:#?}\nreproduce: FAULT_SEED={} {command}",
        violations.len(),
        fault_seed()
    );
}

#[test]
fn random_lists_of_faults_keep_the_batch_guarantees() {
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
    let indices = proptest::collection::vec(0..singles.len(), 0..4);
    let strategy = (indices, proptest::bool::ANY, proptest::num::u64::ANY);
    let result = runner.run(&strategy, |(indices, repeatable, seed)| {
        let faults: Vec<InjectedFault> = indices.iter().map(|index| singles[*index]).collect();
        match run_case(repeatable, &faults, None, seed) {
            Some(violation) => Err(proptest::test_runner::TestCaseError::fail(violation)),
            None => Ok(()),
        }
    });
    assert!(result.is_ok(), "FAULT_SEED={}: {result:?}", fault_seed());
}

#[test]
fn every_deliberate_batch_bug_is_detected() {
    for bug in BatchBug::ALL {
        let (cases, violations) = run_matrix(Some(bug), 1);
        println!("{bug:?}: {} violation(s) in {cases} cases", violations.len());
        assert!(!violations.is_empty(), "{bug:?} was not detected in {cases} cases");
    }
}
