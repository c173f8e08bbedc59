//! What callers were told, held against what the targets ran.

use std::sync::Mutex;
use std::sync::PoisonError;

use cv_tests::NodeFleet;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::expected_output;
use serde_json::Value;

use crate::soak_load::ITEM_EVENTS;

/// Collects what breaks a promise; threads share it.
#[derive(Debug, Default)]
pub struct GuaranteeCheck {
    state: Mutex<CheckState>,
}

/// What has been seen.
#[derive(Debug, Default)]
struct CheckState {
    findings: Vec<String>,
    /// Requests that were said not to have run, at their only attempt.
    not_run: Vec<String>,
    /// Requests that may run once.
    once: Vec<String>,
    whole: u64,
}

impl GuaranteeCheck {
    /// Notes what breaks a promise.
    pub fn report(&self, finding: String) {
        self.lock().findings.push(finding);
    }

    /// Takes the outcome of a request that has an id of its own.
    pub fn record_outcome(&self, id: &str, is_once: bool, outcome: &CallerOutcome) {
        let mut state = self.lock();
        if is_once {
            state.once.push(id.to_owned());
        }
        match outcome {
            CallerOutcome::Completed => state.whole += 1,
            CallerOutcome::NotRun if is_once => state.not_run.push(id.to_owned()),
            CallerOutcome::Incorrect(detail) => state.findings.push(detail.clone()),
            CallerOutcome::NotRun | CallerOutcome::Unknown(_) => {}
        }
    }

    /// Holds results that were read against those read before.
    pub fn compare_results(&self, job: &str, known: &[Value], results: &[Value]) {
        let shared = known.len().min(results.len());
        if known[..shared] != results[..shared] {
            self.report(format!("job {job}: a position changed"));
        }
        for result in &results[shared..] {
            let id = result["id"].as_str().unwrap_or_default();
            if known.iter().any(|other| other["id"] == result["id"]) {
                self.report(format!("job {job}: item {id} is listed twice"));
            }
            if result["state"] == "completed" && result["text"] != expected_output(id, ITEM_EVENTS)
            {
                self.report(format!("job {job}: item {id} has another output: {}", result["text"]));
            }
        }
    }

    /// Returns all findings, after the last request has ended.
    pub fn finish(&self, fleet: &NodeFleet) -> Vec<String> {
        let mut state = self.lock();
        state.once.sort_unstable();
        state.not_run.sort_unstable();
        let mut ran: Vec<String> =
            fleet.target_log.runs().into_iter().map(|run| run.request_id).collect();
        ran.sort_unstable();
        let mut findings = std::mem::take(&mut state.findings);
        for pair in ran.windows(2) {
            if pair[0] == pair[1] && state.once.binary_search(&pair[0]).is_ok() {
                findings.push(format!("request {} ran twice", pair[0]));
            }
        }
        for id in &state.not_run {
            if ran.binary_search(id).is_ok() {
                findings.push(format!("request {id} ran and was said not to have run"));
            }
        }
        if state.whole == 0 {
            findings.push("no request was answered".to_owned());
        }
        if !findings.is_empty() {
            let folder = std::env::temp_dir().join(format!("cv-soak-{}", std::process::id()));
            let written = fleet.copy_logs(&folder);
            findings.push(format!(
                "logs: {}",
                written.map_or_else(|error| error.to_string(), |()| folder.display().to_string())
            ));
        }
        findings
    }

    /// Takes the state; a panic elsewhere leaves it usable.
    fn lock(&self) -> std::sync::MutexGuard<'_, CheckState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
