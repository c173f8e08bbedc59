//! What a process logs when its timers ran late.

use std::time::Duration;

use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::Signal;

// Guards against a process that was held up for long and says nothing of it.
#[test]
fn a_process_that_was_stopped_logs_for_how_long() {
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    for node in &fleet.nodes {
        node.signal(Signal::STOP);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    for node in &fleet.nodes {
        node.signal(Signal::CONT);
    }
    for node in &fleet.nodes {
        let has_line = |_: &NodeFleet| node.output().contains("\"timers_late\"");
        assert!(fleet.wait_for(Duration::from_secs(3), has_line), "{}", node.output());
    }
}
