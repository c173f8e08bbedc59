//! Replication of unfinished outputs from a job's owner to another keeper.

use cv_dispatch::ItemUpdate;
use cv_dispatch::JobTracker;
use cv_dispatch::ReplicaProgress;

use crate::sample_job::job_with_items;

/// Name of the replica.
const REPLICA: &str = "keeper-2";

/// The tracker of a job of two items.
fn two_items() -> JobTracker {
    job_with_items(&["a", "b"])
}

/// Sends the updates since the last acknowledged ones to a replica, which applies them all.
fn replicate(
    owner: &JobTracker,
    replica_progress: &mut ReplicaProgress,
    replica: &mut JobTracker,
) -> Vec<ItemUpdate> {
    let updates = owner.updates_since(replica_progress.acknowledged_by(REPLICA));
    for update in &updates {
        assert!(replica.apply_update(update));
    }
    replica_progress.acknowledge(REPLICA, &updates);
    updates
}

#[test]
fn a_replica_resumes_where_the_owner_stopped() {
    let (mut owner, mut replica, mut replica_progress) =
        (two_items(), two_items(), ReplicaProgress::default());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    assert_eq!(replicate(&owner, &mut replica_progress, &mut replica).len(), 1);
    owner.record_output(0, b"two", 2);
    let updates = replicate(&owner, &mut replica_progress, &mut replica);
    assert_eq!(updates[0].data, b"\ntwo", "only new output is sent");
    assert_eq!(replicate(&owner, &mut replica_progress, &mut replica), []);
    assert_eq!(replica.progress(0).last_event, Some(2));
    replica.start(0);
    replica.record_output(0, b"three", 3);
    replica.complete(0);
    let segment = replica.next_segment(1_000).expect("an unlisted result");
    assert_eq!(segment.results[0].size(), "one\ntwo\nthree".len() + "a".len());
}

#[test]
fn the_count_of_failures_is_replicated() {
    let (mut owner, mut replica, mut replica_progress) =
        (two_items(), two_items(), ReplicaProgress::default());
    owner.start(1);
    owner.record_failure(1);
    owner.record_failure(1);
    owner.release(1);
    replicate(&owner, &mut replica_progress, &mut replica);
    assert_eq!(replica.record_failure(1), 3);
}

#[test]
fn an_update_that_does_not_continue_the_known_output_is_rejected() {
    let (mut owner, mut replica, mut replica_progress) =
        (two_items(), two_items(), ReplicaProgress::default());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    replicate(&owner, &mut replica_progress, &mut replica);
    owner.record_output(0, b"two", 2);
    // A replica that has restarted has lost the updates that it acknowledged.
    let mut restarted = two_items();
    let updates = owner.updates_since(replica_progress.acknowledged_by(REPLICA));
    assert!(!restarted.apply_update(&updates[0]));
    assert_eq!(restarted.progress(0).last_event, None);
    replica_progress.reset();
    replicate(&owner, &mut replica_progress, &mut restarted);
    assert_eq!(restarted.progress(0).output, b"one\ntwo");
}

#[test]
fn an_older_update_changes_nothing() {
    let (mut owner, mut replica) = (two_items(), two_items());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    let older = owner.updates_since(&[]);
    owner.record_output(0, b"two", 2);
    for update in owner.updates_since(&[]).iter().chain(&older) {
        assert!(replica.apply_update(update));
    }
    assert_eq!(replica.progress(0).last_event, Some(2));
    // An item that runs at the replica is ahead of any update.
    replica.start(0);
    replica.record_output(0, b"three", 3);
    assert!(replica.apply_update(&owner.updates_since(&[])[0]));
    assert_eq!(replica.progress(0).last_event, Some(3));
}

#[test]
fn replicated_output_is_dropped_when_the_result_is_listed() {
    let (mut owner, mut replica, mut replica_progress) =
        (two_items(), two_items(), ReplicaProgress::default());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    replicate(&owner, &mut replica_progress, &mut replica);
    owner.complete(0);
    assert_eq!(
        replicate(&owner, &mut replica_progress, &mut replica),
        [],
        "the result is not durable yet"
    );
    owner.next_segment(1_000).expect("an unlisted result");
    owner.confirm_segment();
    replicate(&owner, &mut replica_progress, &mut replica);
    assert_eq!(replica.progress(0).output, b"");
    assert_eq!(replicate(&owner, &mut replica_progress, &mut replica), []);
}
