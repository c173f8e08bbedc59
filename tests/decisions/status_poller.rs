//! Status polls: few targets are polled per round, but a configuration change reaches all in time.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::TargetId;
use cv_policy::routing::StatusPoller;
use cv_policy::routing::TargetTable;
use cv_policy::routing::status_polls_per_second;

use crate::sample_targets::listings;

/// Time between two rounds.
const PERIOD: Duration = Duration::from_millis(300);

/// Number of targets of an entry in a deployment of the specified size.
const TARGETS: usize = 216;

/// Maximum time for a configuration change to become active at all targets.
const MAX_ACTIVATION: Duration = Duration::from_secs(2);

/// Returns a table of ready targets.
fn table() -> TargetTable {
    let mut table = TargetTable::default();
    table.apply(MonotonicTime::default(), &listings(TARGETS));
    for row in table.rows_mut() {
        row.ready = true;
    }
    table
}

/// Runs one round in which all targets except `silent` respond with the revision. Returns the number
/// of polls.
fn run_round(
    poller: &mut StatusPoller,
    table: &TargetTable,
    revision: u64,
    silent: &[TargetId],
) -> usize {
    let due = poller.begin_round(table.rows(), PERIOD, revision);
    for target in &due {
        if silent.contains(target) {
            poller.record_failure(*target);
        } else {
            poller.record_response(*target, revision);
        }
    }
    due.len()
}

#[test]
fn a_change_reaches_all_targets_in_time() {
    let table = table();
    let mut poller = StatusPoller::default();
    for revision in 1..4 {
        let mut outdated: Vec<TargetId> = table.rows().iter().map(|row| row.id).collect();
        let mut elapsed = Duration::ZERO;
        while !outdated.is_empty() {
            assert!(
                elapsed < MAX_ACTIVATION,
                "{} targets have revision {}",
                outdated.len(),
                revision - 1
            );
            for target in poller.begin_round(table.rows(), PERIOD, revision) {
                poller.record_response(target, revision);
                outdated.retain(|id| *id != target);
            }
            elapsed += PERIOD;
        }
    }
}

#[test]
fn without_a_change_few_targets_are_polled() {
    let table = table();
    let mut poller = StatusPoller::default();
    let silent: Vec<TargetId> = table.rows().iter().take(8).map(|row| row.id).collect();
    for _ in 0..20 {
        run_round(&mut poller, &table, 1, &silent);
    }
    let rounds = 100;
    let polls: usize = (0..rounds).map(|_| run_round(&mut poller, &table, 1, &silent)).sum();
    let allowed = status_polls_per_second(TARGETS) * PERIOD.as_secs_f64() * f64::from(rounds);
    // Rounding adds at most one poll per round.
    assert!(polls as f64 <= allowed + f64::from(rounds), "{polls} polls, {allowed} allowed");
}

#[test]
fn a_target_is_lost_after_two_failed_polls_and_recovers_with_a_response() {
    let mut poller = StatusPoller::default();
    let target = TargetId(7);
    assert!(!poller.record_failure(target));
    assert!(poller.record_failure(target));
    poller.record_response(target, 1);
    assert!(!poller.record_failure(target));
}
