//! Response timeouts of calls to a store.

use std::time::Duration;

use cv_dispatch::CallTimeouts;

/// Time that a slow read takes, longer than the first timeout.
const SLOW_READ: Duration = Duration::from_millis(900);

/// Time that a quick read takes.
const QUICK_READ: Duration = Duration::from_millis(5);

/// Sends a read that takes a given time, beside another call that responds; returns whether the
/// read is in time.
fn read(timeouts: &mut CallTimeouts, kind: &str, time: Duration) -> bool {
    let pending = timeouts.begin_read(kind);
    timeouts.record_response();
    let is_in_time = time < pending.timeout;
    if is_in_time {
        timeouts.record_response();
        timeouts.record_read(kind, time);
    } else {
        timeouts.record_failure();
        timeouts.record_timeout(kind, pending);
    }
    timeouts.record_response();
    is_in_time
}

#[test]
fn reads_that_are_slow_beside_quick_calls_go_on_succeeding() {
    let mut timeouts = CallTimeouts::default();
    assert!(!read(&mut timeouts, "work", SLOW_READ));
    for _ in 0..5 {
        assert!(read(&mut timeouts, "work", SLOW_READ));
        assert!(read(&mut timeouts, "keepers", QUICK_READ));
    }
    assert_eq!(timeouts.begin_read("keepers").timeout, timeouts.timeout());
}

#[test]
fn reads_that_are_quick_again_time_out_as_early_as_other_calls() {
    let mut timeouts = CallTimeouts::default();
    read(&mut timeouts, "work", SLOW_READ);
    assert!(timeouts.begin_read("work").timeout > timeouts.timeout());
    assert!(read(&mut timeouts, "work", QUICK_READ));
    assert_eq!(timeouts.begin_read("work").timeout, timeouts.timeout());
}

#[test]
fn an_outage_lengthens_no_timeout_beyond_those_of_all_calls() {
    let mut timeouts = CallTimeouts::default();
    let mut sent = Vec::new();
    for _ in 0..7 {
        let pending = timeouts.begin_read("work");
        assert_eq!(pending.timeout, timeouts.timeout());
        sent.push(pending.timeout);
        timeouts.record_failure();
        timeouts.record_timeout("work", pending);
    }
    assert!(sent[0] < sent[1] && sent[1] < sent[2]);
    assert_eq!(sent[..3], sent[3..6]);
    timeouts.record_response();
    assert_eq!(timeouts.begin_read("work").timeout, sent[0]);
}

#[test]
fn reads_that_no_timeout_suffices_for_begin_anew_with_the_shortest() {
    let mut timeouts = CallTimeouts::default();
    let shortest = timeouts.timeout();
    for _ in 0..3 {
        assert!(!read(&mut timeouts, "work", Duration::from_secs(10)));
    }
    assert_eq!(timeouts.begin_read("work").timeout, shortest);
}
