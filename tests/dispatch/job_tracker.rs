//! Progress and results of one batch job.

use cv_dispatch::ItemOutcome;
use cv_dispatch::ItemResult;
use cv_dispatch::ItemState;
use cv_dispatch::JobTracker;

use crate::sample_job::job_with_items;

/// A job of items `a`, `b` and `c`, of ten tokens each.
fn job_of_three_items() -> JobTracker {
    job_with_items(&["a", "b", "c"])
}

/// Completes an item with the given output.
fn complete(tracker: &mut JobTracker, item: usize, output: &[u8]) {
    tracker.start(item);
    tracker.record_output(item, output, 1);
    tracker.complete(item);
}

/// The result of an item that completed with the given output.
fn completed(id: &str, output: &[u8]) -> ItemResult {
    ItemResult { outcome: ItemOutcome::Completed(output.to_vec()), id: id.to_owned() }
}

#[test]
fn output_of_interrupted_runs_is_continued() {
    let mut tracker = job_of_three_items();
    tracker.start(0);
    tracker.record_output(0, b"one", 1);
    tracker.record_output(0, b"two", 2);
    tracker.release(0);
    assert_eq!(tracker.progress(0).last_event, Some(2));
    tracker.start(0);
    tracker.record_output(0, b"three", 3);
    tracker.complete(0);
    let segment = tracker.next_segment(1_000).expect("an unlisted result");
    assert_eq!(segment.results, [completed("a", b"one\ntwo\nthree")]);
}

#[test]
fn results_are_listed_in_segment_order() {
    let mut tracker = job_of_three_items();
    complete(&mut tracker, 2, b"c");
    assert_eq!(tracker.next_segment(1_000).map(|segment| segment.position), Some(0));
    complete(&mut tracker, 0, b"a");
    assert!(tracker.next_segment(1_000).is_none(), "one segment is pending at a time");
    tracker.confirm_segment();
    assert_eq!(tracker.next_segment(1_000).map(|segment| segment.position), Some(1));
    tracker.confirm_segment();
    assert_eq!(tracker.listed(), [completed("c", b"c"), completed("a", b"a")]);
}

#[test]
fn results_listed_by_another_owner_keep_their_position() {
    let mut tracker = job_of_three_items();
    complete(&mut tracker, 0, b"a");
    complete(&mut tracker, 1, b"b");
    assert!(tracker.next_segment(1_000).is_some());
    // Another owner has already listed `b`, with the same output, at position 0.
    tracker.adopt_segment(0, vec![completed("b", b"b")]);
    assert_eq!(tracker.listed(), [completed("b", b"b")]);
    let segment = tracker.next_segment(1_000).expect("`a` is unlisted").clone();
    assert_eq!((segment.position, segment.results), (1, vec![completed("a", b"a")]));
}

#[test]
fn an_aborted_segment_is_listed_later() {
    let mut tracker = job_of_three_items();
    complete(&mut tracker, 0, b"a");
    assert!(tracker.next_segment(1_000).is_some());
    tracker.abort_segment();
    assert!(tracker.has_unlisted());
    assert!(tracker.next_segment(1_000).is_some());
}

#[test]
fn an_item_ends_only_once() {
    let mut tracker = job_of_three_items();
    complete(&mut tracker, 0, b"a");
    tracker.dead_letter(0);
    tracker.next_segment(1_000);
    tracker.confirm_segment();
    assert_eq!(tracker.listed(), [completed("a", b"a")]);
    assert!(!tracker.has_unlisted());
    assert_eq!(tracker.progress(0).state, ItemState::Listed);
}

#[test]
fn a_closed_job_has_no_waiting_items_or_unfinished_tokens() {
    let mut tracker = job_of_three_items();
    assert_eq!(tracker.unfinished_tokens(), 30);
    complete(&mut tracker, 0, b"a");
    assert_eq!(tracker.unfinished_tokens(), 20);
    tracker.close();
    assert_eq!(tracker.unfinished_tokens(), 0);
    assert_eq!(tracker.waiting_items().count(), 0);
}

#[test]
fn a_segment_is_limited_in_size_but_never_empty() {
    let mut tracker = job_of_three_items();
    complete(&mut tracker, 0, &[b'x'; 100]);
    complete(&mut tracker, 1, &[b'y'; 100]);
    let lengths = tracker.next_segment(50).map(|segment| segment.results.len());
    assert_eq!(lengths, Some(1));
}
