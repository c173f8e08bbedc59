//! When a process counts the store as down.

use std::time::Duration;

use cv_serving::StoreFault;
use cv_serving::StoreHealth;
use cv_timeline::LineLog;
use cv_timer::ProcessClock;

/// A call that the store has not responded to.
fn failed_call() -> Result<(), StoreFault> {
    Err(StoreFault::Unavailable("connection reset".to_owned()))
}

#[test]
fn watches_that_are_reset_together_are_one_failure() {
    let health = StoreHealth::new(ProcessClock::new(), LineLog::disabled());
    for _ in 0..4 {
        let _ = health.observe(failed_call());
    }
    assert!(health.is_up());
    std::thread::sleep(Duration::from_millis(60));
    let _ = health.observe(failed_call());
    assert!(!health.is_up(), "the next call failed, too");
    let _ = health.observe(Ok(()));
    assert!(health.is_up());
}
