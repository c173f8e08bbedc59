//! The book of one job.

use cv_dispatch::ItemOutcome;
use cv_dispatch::ItemResult;
use cv_dispatch::ItemState;
use cv_dispatch::JobTracker;

use crate::sample_job::book_of;

/// A job of items `a`, `b` and `c`, of ten tokens each.
fn job_of_three() -> JobTracker {
    book_of(&["a", "b", "c"])
}

/// Runs an item to its end with the given output.
fn complete(book: &mut JobTracker, item: usize, output: &[u8]) {
    book.start(item);
    book.record_output(item, output, 1);
    book.complete(item);
}

/// A completed result.
fn completed(id: &str, text: &[u8]) -> ItemResult {
    ItemResult { outcome: ItemOutcome::Completed(text.to_vec()), id: id.to_owned() }
}

#[test]
fn output_of_runs_that_broke_off_is_continued() {
    let mut book = job_of_three();
    book.start(0);
    book.record_output(0, b"one", 1);
    book.record_output(0, b"two", 2);
    book.release(0);
    assert_eq!(book.progress(0).last_event, Some(2));
    book.start(0);
    book.record_output(0, b"three", 3);
    book.complete(0);
    let segment = book.next_segment(1_000).expect("a result waits");
    assert_eq!(segment.results, [completed("a", b"one\ntwo\nthree")]);
}

#[test]
fn results_are_listed_in_the_order_of_their_segments() {
    let mut book = job_of_three();
    complete(&mut book, 2, b"c");
    assert_eq!(book.next_segment(1_000).map(|segment| segment.position), Some(0));
    complete(&mut book, 0, b"a");
    assert!(book.next_segment(1_000).is_none(), "one segment is under way at a time");
    book.confirm_segment();
    assert_eq!(book.next_segment(1_000).map(|segment| segment.position), Some(1));
    book.confirm_segment();
    assert_eq!(book.listed(), [completed("c", b"c"), completed("a", b"a")]);
}

#[test]
fn results_of_another_owner_keep_their_position() {
    let mut book = job_of_three();
    complete(&mut book, 0, b"a");
    complete(&mut book, 1, b"b");
    assert!(book.next_segment(1_000).is_some());
    // The other owner has listed `b`, with the same output, at position 0.
    book.adopt_segment(0, vec![completed("b", b"b")]);
    assert_eq!(book.listed(), [completed("b", b"b")]);
    let segment = book.next_segment(1_000).expect("`a` is still to be listed").clone();
    assert_eq!((segment.position, segment.results), (1, vec![completed("a", b"a")]));
}

#[test]
fn an_abandoned_segment_is_listed_later() {
    let mut book = job_of_three();
    complete(&mut book, 0, b"a");
    assert!(book.next_segment(1_000).is_some());
    book.abort_segment();
    assert!(book.has_unlisted());
    assert!(book.next_segment(1_000).is_some());
}

#[test]
fn an_item_ends_once() {
    let mut book = job_of_three();
    complete(&mut book, 0, b"a");
    book.dead_letter(0);
    book.next_segment(1_000);
    book.confirm_segment();
    assert_eq!(book.listed(), [completed("a", b"a")]);
    assert!(!book.has_unlisted());
    assert_eq!(book.progress(0).state, ItemState::Listed);
}

#[test]
fn an_ended_job_has_nothing_to_run_and_holds_no_tokens() {
    let mut book = job_of_three();
    assert_eq!(book.unfinished_tokens(), 30);
    complete(&mut book, 0, b"a");
    assert_eq!(book.unfinished_tokens(), 20);
    book.close();
    assert_eq!(book.unfinished_tokens(), 0);
    assert_eq!(book.waiting_items().count(), 0);
}

#[test]
fn a_segment_is_bounded_but_never_empty() {
    let mut book = job_of_three();
    complete(&mut book, 0, &[b'x'; 100]);
    complete(&mut book, 1, &[b'y'; 100]);
    let lengths = book.next_segment(50).map(|segment| segment.results.len());
    assert_eq!(lengths, Some(1));
}
