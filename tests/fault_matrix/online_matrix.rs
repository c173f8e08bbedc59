//! The online guarantees under every fault at every step.

use crate::online_simulation::CallerOutcome;
use crate::online_simulation::OnlineBug;
use crate::online_simulation::OnlineFault;
use crate::online_simulation::OnlineHistory;
use crate::online_simulation::OnlineSimulation;
use crate::online_simulation::OnlineStep;
use crate::online_simulation::RequestKind;

/// The kinds of requests to test.
const REQUEST_KINDS: [RequestKind; 3] = [
    RequestKind { repeatable: false, streamed: false },
    RequestKind { repeatable: true, streamed: false },
    RequestKind { repeatable: true, streamed: true },
];

/// Checks a history against the online guarantees; returns the first violation.
fn find_violation(kind: RequestKind, history: &OnlineHistory) -> Option<&'static str> {
    if !kind.repeatable && history.executions.len() > 1 {
        return Some("a non-repeatable request ran more than once");
    }
    for (send, outcome) in &history.outcomes {
        let executions = history.executions.iter().filter(|owner| *owner == send).count();
        if *outcome == CallerOutcome::NotRun && executions > 0 {
            return Some("a request was reported as not run although it ran");
        }
        if *outcome == CallerOutcome::Completed && executions == 0 {
            return Some("a request was reported as completed although it never ran");
        }
    }
    None
}

/// Lists the empty combination, all single faults and all ordered pairs of them.
fn fault_combinations() -> Vec<Vec<(OnlineStep, OnlineFault)>> {
    let steps = OnlineStep::all();
    let singles: Vec<(OnlineStep, OnlineFault)> = steps
        .iter()
        .flat_map(|step| OnlineFault::ALL.into_iter().map(move |fault| (*step, fault)))
        .collect();
    let mut lists: Vec<Vec<(OnlineStep, OnlineFault)>> = vec![Vec::new()];
    lists.extend(singles.iter().map(|single| vec![*single]));
    for first in &singles {
        // The pair of a fault with itself injects that fault twice.
        lists.extend(singles.iter().map(|second| vec![*first, *second]));
    }
    lists
}

/// Runs the matrix; returns the number of cases and the violations with their cases.
fn run_matrix(bug: Option<OnlineBug>) -> (usize, Vec<String>) {
    let mut violations = Vec::new();
    let mut cases = 0;
    for kind in REQUEST_KINDS {
        for faults in fault_combinations() {
            cases += 1;
            let history = OnlineSimulation::new(kind, faults.clone(), bug).run();
            if let Some(violation) = find_violation(kind, &history) {
                violations.push(format!("{violation}: {kind:?} {faults:?} {history:?}"));
            }
        }
    }
    (cases, violations)
}

#[test]
fn single_and_paired_faults_keep_the_online_guarantees() {
    let (cases, violations) = run_matrix(None);
    println!("{cases} cases, {} violations", violations.len());
    assert!(
        violations.is_empty(),
        "{} violations in {cases} cases, first: {}",
        violations.len(),
        violations[0]
    );
}

#[test]
fn every_deliberate_online_bug_is_detected() {
    for bug in OnlineBug::ALL {
        let (cases, violations) = run_matrix(Some(bug));
        println!("{bug:?}: detected by {} of {cases} cases", violations.len());
        assert!(!violations.is_empty(), "{bug:?} was not detected in {cases} cases");
    }
}
