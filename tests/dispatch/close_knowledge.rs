//! Reads of the closed jobs while a keeper loses contact with the store or is frozen.

use cv_dispatch::CloseKnowledge;

#[test]
fn closed_jobs_are_known_after_a_complete_read() {
    let mut closes = CloseKnowledge::default();
    let read = closes.begin_read().expect("nothing is known");
    assert!(closes.begin_read().is_none(), "a read is in progress");
    assert!(!closes.finish_read(read, false));
    let read = closes.begin_read().expect("the read has failed");
    assert!(closes.finish_read(read, true));
    assert!(closes.begin_read().is_none(), "the closed jobs are known");
}

// Guards against a keeper that runs items of jobs closed during a freeze, because a response of
// before the freeze is read after it.
#[test]
fn a_read_that_began_before_the_keeper_forgot_does_not_count() {
    let mut closes = CloseKnowledge::default();
    let old = closes.begin_read().expect("nothing is known");
    let also_old = closes.mark();
    closes.forget();
    closes.confirm(also_old);
    assert!(!closes.finish_read(old, true));
    let new = closes.begin_read().expect("the old read does not count");
    assert!(!closes.finish_read(old, true));
    assert!(closes.begin_read().is_none(), "the new read is in progress");
    assert!(closes.finish_read(new, true));
}

// Guards against a read that hangs and keeps all items of a keeper waiting.
#[test]
fn a_read_that_does_not_end_holds_up_no_later_one() {
    let mut closes = CloseKnowledge::default();
    assert!(closes.begin_read().is_some());
    closes.forget();
    assert!(closes.begin_read().is_some());
}

// Guards against a store whose responses take longer than a silence, so that no read ever counts.
#[test]
fn a_read_that_ends_a_silence_counts() {
    let mut closes = CloseKnowledge::default();
    let read = closes.begin_read().expect("nothing is known");
    closes.lapse();
    assert!(closes.finish_read(read, true));
    closes.lapse();
    assert!(!closes.is_known());
    assert!(closes.begin_read().is_some());
}
