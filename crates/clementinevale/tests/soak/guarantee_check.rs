//! Compares the outcomes that callers saw with the runs at the targets.

use std::sync::Mutex;
use std::sync::PoisonError;

use cv_tests::NodeFleet;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::expected_output;
use serde_json::Value;

use crate::soak_load::ITEM_EVENTS;

/// Collects violations of the system's guarantees; shared between threads.
#[derive(Debug, Default)]
pub struct GuaranteeCheck {
    state: Mutex<CheckState>,
}

/// Outcomes and violations recorded so far.
#[derive(Debug, Default)]
struct CheckState {
    /// Violations, in words.
    violations: Vec<String>,
    /// At-most-once requests whose caller was told that they have not run.
    not_run: Vec<String>,
    /// Requests that may run at most once.
    at_most_once: Vec<String>,
    /// Number of requests with a complete, correct response.
    completed: u64,
}

impl GuaranteeCheck {
    /// Records a violation.
    pub fn report(&self, violation: String) {
        self.lock().violations.push(violation);
    }

    /// Records the outcome of a request whose id is not used again.
    pub fn record_outcome(&self, id: &str, is_at_most_once: bool, outcome: &CallerOutcome) {
        let mut state = self.lock();
        if is_at_most_once {
            state.at_most_once.push(id.to_owned());
        }
        match outcome {
            CallerOutcome::Completed => state.completed += 1,
            CallerOutcome::NotRun if is_at_most_once => state.not_run.push(id.to_owned()),
            CallerOutcome::Incorrect(detail) => state.violations.push(detail.clone()),
            CallerOutcome::NotRun | CallerOutcome::Unknown(_) => {}
        }
    }

    /// Compares the results of a read with those read before, and new outputs with the expected.
    pub fn compare_results(&self, job: &str, known: &[Value], results: &[Value]) {
        let shared = known.len().min(results.len());
        if known[..shared] != results[..shared] {
            self.report(format!("job {job}: the result at a position changed"));
        }
        for result in &results[shared..] {
            let id = result["id"].as_str().unwrap_or_default();
            if known.iter().any(|other| other["id"] == result["id"]) {
                self.report(format!("job {job}: item {id} is listed twice"));
            }
            if result["state"] == "completed" && result["text"] != expected_output(id, ITEM_EVENTS)
            {
                self.report(format!("job {job}: item {id} has a wrong output: {}", result["text"]));
            }
        }
    }

    /// Returns all violations and, if there are any, the folder that the logs were copied to.
    ///
    /// It expects that the last request has ended.
    pub fn finish(&self, fleet: &NodeFleet) -> Vec<String> {
        let mut state = self.lock();
        state.at_most_once.sort_unstable();
        state.not_run.sort_unstable();
        let mut run_ids: Vec<String> =
            fleet.target_log.runs().into_iter().map(|run| run.request_id).collect();
        run_ids.sort_unstable();
        let mut violations = std::mem::take(&mut state.violations);
        for pair in run_ids.windows(2) {
            if pair[0] == pair[1] && state.at_most_once.binary_search(&pair[0]).is_ok() {
                violations.push(format!("request {} ran twice", pair[0]));
            }
        }
        for id in &state.not_run {
            if run_ids.binary_search(id).is_ok() {
                violations
                    .push(format!("request {id} ran but its caller was told that it had not"));
            }
        }
        if state.completed == 0 {
            violations.push("no request was completed".to_owned());
        }
        if !violations.is_empty() {
            let folder = std::env::temp_dir().join(format!("cv-soak-{}", std::process::id()));
            let copied = fleet.copy_logs(&folder);
            violations.push(format!(
                "logs: {}",
                copied.map_or_else(|error| error.to_string(), |()| folder.display().to_string())
            ));
        }
        violations
    }

    /// Locks the state; ignores poisoning, as each change to it is complete in itself.
    fn lock(&self) -> std::sync::MutexGuard<'_, CheckState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
