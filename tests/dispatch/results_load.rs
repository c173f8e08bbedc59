//! Loads of a job's results while its ownership changes.

use cv_dispatch::ResultsLoad;

#[test]
fn results_are_held_after_a_complete_load() {
    let mut results = ResultsLoad::default();
    let load = results.begin().expect("nothing is loaded");
    assert!(results.begin().is_none(), "a load is running");
    assert!(!results.is_loaded());
    assert!(results.finish(load, true));
    assert!(results.is_loaded());
}

#[test]
fn a_failed_load_can_be_repeated() {
    let mut results = ResultsLoad::default();
    let load = results.begin().expect("nothing is loaded");
    assert!(!results.finish(load, false));
    assert!(results.begin().is_some());
}

// Guards against a keeper that loses a job while it reads the results, and after it has become the
// owner again answers reads from the old list.
#[test]
fn a_load_that_began_before_the_job_was_lost_does_not_count() {
    let mut results = ResultsLoad::default();
    let old = results.begin().expect("nothing is loaded");
    results.invalidate();
    assert!(!results.is_current(old));
    assert!(!results.finish(old, true));
    assert!(!results.is_loaded());
    let new = results.begin().expect("the job was lost");
    assert!(!results.finish(old, true));
    assert!(!results.is_loaded());
    assert!(results.finish(new, true));
}
