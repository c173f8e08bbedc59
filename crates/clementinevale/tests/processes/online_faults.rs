//! Guarantees for online requests under kills, freezes and outages of server processes.

use std::time::Duration;

use cv_bench::load::CallOutcome;
use cv_tests::ProcessFleet;
use cv_tests::Signal;
use cv_tests::SmallFleet;

use crate::BINARY;

/// Time after which an order has reached the service, which takes 100 ms to process it.
const IN_PROGRESS_DELAY: Duration = Duration::from_millis(50);

#[test]
fn an_order_whose_sidecar_is_killed_runs_at_most_once_and_is_reported_truthfully() {
    let mut fleet = ProcessFleet::start(BINARY);
    let address = fleet.entry_address();
    let order = std::thread::spawn(move || {
        SmallFleet::send_order(address, SmallFleet::order_call("order-killed"))
    });
    std::thread::sleep(IN_PROGRESS_DELAY);
    let service_sidecar = fleet.sidecars.len() - 1;
    fleet.sidecars[service_sidecar] = None;
    let record = order.join().expect("the caller's thread finishes");
    let executions = fleet.executions.executions("order-killed");
    assert!(executions <= 1, "the order ran {executions} times, expected at most once");
    assert!(record.outcome != CallOutcome::NotRun || executions == 0, "{record:?}");
}

#[test]
fn an_order_whose_entry_is_killed_does_not_run_again_at_another_entry() {
    let mut fleet = ProcessFleet::start(BINARY);
    let address = fleet.entry_address();
    let order = std::thread::spawn(move || {
        SmallFleet::send_order(address, SmallFleet::order_call("order-resent"))
    });
    std::thread::sleep(IN_PROGRESS_DELAY);
    fleet.entries[0] = None;
    let _ = order.join().expect("the caller's thread finishes");
    let record =
        SmallFleet::send_order(fleet.entry_address(), SmallFleet::order_call("order-resent"));
    assert!(fleet.executions.executions("order-resent") <= 1, "{record:?}");
}

#[test]
fn all_requests_complete_while_a_sidecar_is_frozen() {
    let fleet = ProcessFleet::start(BINARY);
    let frozen = fleet.sidecars[0].as_ref().expect("the sidecar is running");
    frozen.signal(Signal::STOP);
    for index in 0..4 {
        let call = SmallFleet::completion_call(&format!("question {index} about netting"), 8);
        let record = cv_tests::call_once(fleet.entry_address(), move |pool, address| async move {
            call.run(&pool, address).await
        });
        assert_eq!(record.outcome, CallOutcome::Completed);
    }
    frozen.signal(Signal::CONT);
}

#[test]
fn a_terminated_entry_cuts_off_no_response() {
    let mut fleet = ProcessFleet::start(BINARY);
    let address = fleet.entry_address();
    let call = SmallFleet::completion_call("a long answer please", 250);
    let caller = std::thread::spawn(move || {
        cv_tests::call_once(
            address,
            move |pool, address| async move { call.run(&pool, address).await },
        )
    });
    std::thread::sleep(IN_PROGRESS_DELAY);
    let entry = fleet.entries[0].as_mut().expect("the entry is running");
    entry.signal(Signal::TERM);
    entry.signal(Signal::TERM);
    assert!(entry.wait(), "the entry exits with a failure status");
    assert_eq!(
        caller.join().expect("the caller's thread finishes").outcome,
        CallOutcome::Completed
    );
}

#[test]
fn online_requests_complete_without_the_key_value_store() {
    let fleet = ProcessFleet::start(BINARY);
    fleet.key_value.update_faults(|faults| faults.down = true);
    std::thread::sleep(Duration::from_secs(3));
    let call = SmallFleet::completion_call("does the quote include grommets", 8);
    let record = cv_tests::call_once(fleet.entry_address(), move |pool, address| async move {
        call.run(&pool, address).await
    });
    assert_eq!(record.outcome, CallOutcome::Completed);
}

#[test]
fn no_process_uses_io_uring() {
    let fleet = ProcessFleet::start(BINARY);
    let processes = fleet.entries.iter().chain(&fleet.sidecars).flatten();
    for process in processes {
        let descriptors = process.descriptors();
        assert!(descriptors.iter().any(|link| link.contains("eventpoll")), "{descriptors:?}");
        assert!(!descriptors.iter().any(|link| link.contains("uring")), "{descriptors:?}");
    }
}
