//! Connections between processes that stay open and carry nothing any more.

use std::time::Duration;

use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_standin::RawResponse;
use cv_tests::FleetOptions;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::RawTarget;
use cv_tests::RawTargetKind;
use rstest::rstest;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;
use crate::job_checks::read_all_results_with_events;
use crate::job_checks::submit_until_accepted;

// Guards against an item that waits for a connection to its sidecar which has gone silent for good,
// while the sidecar's load reports arrive.
#[rstest]
#[case::while_items_run(4, 250)]
#[case::while_items_wait(24, 150)]
fn items_go_on_after_their_connections_have_gone_silent(#[case] items: u64, #[case] events: u64) {
    let size = NodeFleetSize { engines: 2, entries: 1, keepers: 1 };
    let options = FleetOptions { has_node_proxies: true, ..FleetOptions::default() };
    let fleet = NodeFleet::start_with(env!("CARGO_BIN_EXE_clementinevale"), size, options);
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job1", items, events)).expect("the runtime starts");
    std::thread::sleep(Duration::from_millis(500));
    let sidecars = fleet.nodes.iter().filter(|node| node.name.starts_with("sidecar"));
    let proxies: Vec<_> = sidecars.filter_map(|node| node.node_proxy.as_ref()).collect();
    for proxy in &proxies {
        proxy.set_mode(FaultMode::HalfOpen);
    }
    // Every run sends output in this time.
    std::thread::sleep(Duration::from_millis(700));
    for proxy in &proxies {
        proxy.set_mode(FaultMode::Pass);
    }
    block_on(read_all_results_with_events(&entries, "job1", items, events))
        .expect("the runtime starts");
}

// Guards against an item that waits at a target which never responds, because the target's sidecar
// has started since and reports.
#[test]
fn items_go_on_after_a_target_without_a_sidecar_has_gone_silent() {
    const ITEMS: u64 = 8;
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let target = RawTarget::add(&mut fleet, RawTargetKind::Engine, |_| RawResponse::default());
    // The target counts as one without a sidecar after this time.
    std::thread::sleep(Duration::from_secs(3));
    let entries = fleet.entry_addresses();
    block_on(submit_until_accepted(&entries, "job1", ITEMS, EVENTS_PER_ITEM))
        .expect("the runtime starts");
    assert!(fleet.wait_for(Duration::from_secs(5), |_| target.server.requests() > 0));
    fleet.start_sidecar(target.host, fleet.target_address(target.host));
    block_on(read_all_results(&entries, "job1", ITEMS)).expect("the runtime starts");
}
