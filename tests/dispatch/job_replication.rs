//! Copies of unfinished outputs follow each other from one book to the next.

use cv_dispatch::ItemUpdate;
use cv_dispatch::JobTracker;
use cv_dispatch::ReplicaProgress;

use crate::sample_job::book_of;

/// Where the copies are held.
const HOLDER: &str = "keeper-2";

/// A job of two items.
fn book() -> JobTracker {
    book_of(&["a", "b"])
}

/// Copies what is new to a holder, which takes all of it.
fn copy(from: &JobTracker, ledger: &mut ReplicaProgress, to: &mut JobTracker) -> Vec<ItemUpdate> {
    let copies = from.updates_since(ledger.acknowledged_by(HOLDER));
    for copy in &copies {
        assert!(to.apply_update(copy));
    }
    ledger.acknowledge(HOLDER, &copies);
    copies
}

#[test]
fn a_holder_goes_on_where_the_owner_stopped() {
    let (mut owner, mut holder, mut ledger) = (book(), book(), ReplicaProgress::default());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    assert_eq!(copy(&owner, &mut ledger, &mut holder).len(), 1);
    owner.record_output(0, b"two", 2);
    let news = copy(&owner, &mut ledger, &mut holder);
    assert_eq!(news[0].data, b"\ntwo", "only what is new is copied");
    assert_eq!(copy(&owner, &mut ledger, &mut holder), []);
    assert_eq!(holder.progress(0).last_event, Some(2));
    holder.start(0);
    holder.record_output(0, b"three", 3);
    holder.complete(0);
    let segment = holder.next_segment(1_000).expect("a result waits");
    assert_eq!(segment.results[0].size(), "one\ntwo\nthree".len() + "a".len());
}

#[test]
fn failed_answers_survive_the_owner() {
    let (mut owner, mut holder, mut ledger) = (book(), book(), ReplicaProgress::default());
    owner.start(1);
    owner.record_failure(1);
    owner.record_failure(1);
    owner.release(1);
    copy(&owner, &mut ledger, &mut holder);
    assert_eq!(holder.record_failure(1), 3);
}

#[test]
fn a_copy_that_does_not_follow_is_not_taken() {
    let (mut owner, mut holder, mut ledger) = (book(), book(), ReplicaProgress::default());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    copy(&owner, &mut ledger, &mut holder);
    owner.record_output(0, b"two", 2);
    // A holder that was started anew has lost what it had.
    let mut empty = book();
    let news = owner.updates_since(ledger.acknowledged_by(HOLDER));
    assert!(!empty.apply_update(&news[0]));
    assert_eq!(empty.progress(0).last_event, None);
    ledger.reset();
    copy(&owner, &mut ledger, &mut empty);
    assert_eq!(empty.progress(0).partial, b"one\ntwo");
}

#[test]
fn an_older_copy_changes_nothing() {
    let (mut owner, mut holder) = (book(), book());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    let old = owner.updates_since(&[]);
    owner.record_output(0, b"two", 2);
    for copy in owner.updates_since(&[]).iter().chain(&old) {
        assert!(holder.apply_update(copy));
    }
    assert_eq!(holder.progress(0).last_event, Some(2));
    // What runs here is ahead of any copy.
    holder.start(0);
    holder.record_output(0, b"three", 3);
    assert!(holder.apply_update(&owner.updates_since(&[])[0]));
    assert_eq!(holder.progress(0).last_event, Some(3));
}

#[test]
fn a_copy_goes_when_the_result_is_listed() {
    let (mut owner, mut holder, mut ledger) = (book(), book(), ReplicaProgress::default());
    owner.start(0);
    owner.record_output(0, b"one", 1);
    copy(&owner, &mut ledger, &mut holder);
    owner.complete(0);
    assert_eq!(copy(&owner, &mut ledger, &mut holder), [], "the result may still be lost");
    owner.next_segment(1_000).expect("a result waits");
    owner.confirm_segment();
    copy(&owner, &mut ledger, &mut holder);
    assert_eq!(holder.progress(0).partial, b"");
    assert_eq!(copy(&owner, &mut ledger, &mut holder), []);
}
