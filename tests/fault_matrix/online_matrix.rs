//! The online promises under every fault at every step.

use crate::online_simulation::CallerOutcome;
use crate::online_simulation::OnlineBug;
use crate::online_simulation::OnlineFault;
use crate::online_simulation::OnlineHistory;
use crate::online_simulation::OnlineSimulation;
use crate::online_simulation::OnlineStep;
use crate::online_simulation::RequestKind;

/// The kinds of requests.
const REQUEST_KINDS: [RequestKind; 3] = [
    RequestKind { repeatable: false, streamed: false },
    RequestKind { repeatable: true, streamed: false },
    RequestKind { repeatable: true, streamed: true },
];

/// Checks a history against the promises; returns the first one that is broken.
fn find_violation(kind: RequestKind, history: &OnlineHistory) -> Option<&'static str> {
    if !kind.repeatable && history.executions.len() > 1 {
        return Some("a request that must not be repeated ran more than once");
    }
    for (send, told) in &history.outcomes {
        let executions = history.executions.iter().filter(|owner| *owner == send).count();
        if *told == CallerOutcome::NotRun && executions > 0 {
            return Some("a refusal said 'not run' of a request that ran");
        }
        if *told == CallerOutcome::Completed && executions == 0 {
            return Some("an answer came from nowhere");
        }
    }
    None
}

/// Lists all single faults, and all pairs of them.
fn fault_combinations() -> Vec<Vec<(OnlineStep, OnlineFault)>> {
    let steps = OnlineStep::all();
    let singles: Vec<(OnlineStep, OnlineFault)> = steps
        .iter()
        .flat_map(|step| OnlineFault::ALL.into_iter().map(move |fault| (*step, fault)))
        .collect();
    let mut lists: Vec<Vec<(OnlineStep, OnlineFault)>> = vec![Vec::new()];
    lists.extend(singles.iter().map(|single| vec![*single]));
    for first in &singles {
        // The pair of a fault with itself is the fault that happens twice.
        lists.extend(singles.iter().map(|second| vec![*first, *second]));
    }
    lists
}

/// Runs the matrix and returns the broken promises with their cases.
fn run_matrix(bug: Option<OnlineBug>) -> (usize, Vec<String>) {
    let mut broken = Vec::new();
    let mut cases = 0;
    for kind in REQUEST_KINDS {
        for faults in fault_combinations() {
            cases += 1;
            let history = OnlineSimulation::new(kind, faults.clone(), bug).run();
            if let Some(promise) = find_violation(kind, &history) {
                broken.push(format!("{promise}: {kind:?} {faults:?} {history:?}"));
            }
        }
    }
    (cases, broken)
}

#[test]
fn no_fault_and_no_pair_of_faults_breaks_an_online_promise() {
    let (cases, broken) = run_matrix(None);
    println!("{cases} cases, {} broken", broken.len());
    assert!(broken.is_empty(), "{} of {cases}, first: {}", broken.len(), broken[0]);
}

#[test]
fn every_planted_online_bug_is_found() {
    for bug in OnlineBug::ALL {
        let (cases, broken) = run_matrix(Some(bug));
        println!("{bug:?}: found by {} of {cases} cases", broken.len());
        assert!(!broken.is_empty(), "{bug:?} is not found");
    }
}
