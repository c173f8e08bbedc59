//! Which targets an entry asks for their status: few at a time, but a change soon reaches all.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::TargetId;
use cv_policy::routing::StatusPoller;
use cv_policy::routing::TargetTable;
use cv_policy::routing::status_polls_per_second;

use crate::sample_targets::listings;

/// Time between two rounds.
const PERIOD: Duration = Duration::from_millis(300);

/// Targets of an entry at the size of the users' letter.
const TARGETS: usize = 216;

/// Time within which a change has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Returns a table of ready targets.
fn table() -> TargetTable {
    let mut table = TargetTable::default();
    table.apply(MonotonicTime::default(), &listings(TARGETS));
    for row in table.rows_mut() {
        row.ready = true;
    }
    table
}

/// Plays one round in which all targets but `silent` answer and take the revision.
fn play(
    round: &mut StatusPoller,
    table: &TargetTable,
    revision: u64,
    silent: &[TargetId],
) -> usize {
    let due = round.begin_round(table.rows(), PERIOD, revision);
    for target in &due {
        if silent.contains(target) {
            round.record_failure(*target);
        } else {
            round.record_response(*target, revision);
        }
    }
    due.len()
}

#[test]
fn a_change_reaches_all_targets_in_time() {
    let table = table();
    let mut round = StatusPoller::default();
    for revision in 1..4 {
        let mut behind: Vec<TargetId> = table.rows().iter().map(|row| row.id).collect();
        let mut elapsed = Duration::ZERO;
        while !behind.is_empty() {
            assert!(elapsed < IN_FORCE, "{} targets have revision {}", behind.len(), revision - 1);
            for target in round.begin_round(table.rows(), PERIOD, revision) {
                round.record_response(target, revision);
                behind.retain(|id| *id != target);
            }
            elapsed += PERIOD;
        }
    }
}

#[test]
fn without_a_change_few_targets_are_asked() {
    let table = table();
    let mut round = StatusPoller::default();
    let silent: Vec<TargetId> = table.rows().iter().take(8).map(|row| row.id).collect();
    for _ in 0..20 {
        play(&mut round, &table, 1, &silent);
    }
    let rounds = 100;
    let calls: usize = (0..rounds).map(|_| play(&mut round, &table, 1, &silent)).sum();
    let allowed = status_polls_per_second(TARGETS) * PERIOD.as_secs_f64() * f64::from(rounds);
    // A round makes a whole number of calls.
    assert!(calls as f64 <= allowed + f64::from(rounds), "{calls} calls, {allowed} allowed");
}

#[test]
fn a_target_is_lost_after_two_silences_and_back_with_an_answer() {
    let mut round = StatusPoller::default();
    let target = TargetId(7);
    assert!(!round.record_failure(target));
    assert!(round.record_failure(target));
    round.record_response(target, 1);
    assert!(!round.record_failure(target));
}
