//! Keepers that know an older configuration, or fewer closed jobs, than the rest of the fleet.

use std::time::Duration;

use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;
use crate::job_checks::submit_until_accepted;

/// Time in which a running process learns of a change in the store.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Time for which connections break off; too short for a process to take the store for down.
const DISCONNECTION_TIME: Duration = Duration::from_millis(15);

/// Starts a fleet of two engines, two entries and two keepers.
fn small_fleet() -> NodeFleet {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 2 };
    NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size)
}

/// Sets how the store's connections to the keepers behave.
fn set_keeper_connections(fleet: &NodeFleet, mode: FaultMode) {
    for node in fleet.nodes.iter().filter(|node| node.name.starts_with("keeper")) {
        node.store_proxy.set_mode(mode);
    }
}

// Guards against keepers that take a route which they do not know yet for one that was removed, and
// give up the accepted items of its jobs.
#[test]
fn items_on_a_route_that_a_keeper_does_not_know_yet_are_not_given_up() {
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    // The active configuration has no batch route.
    fleet.write_added_route(2);
    std::thread::sleep(PROPAGATION_TIME);
    // The keepers' watches break off, and their next reads of the configuration take long.
    fleet.store.set_read_delay("op/config", Duration::from_secs(5));
    set_keeper_connections(&fleet, FaultMode::Disconnect);
    std::thread::sleep(DISCONNECTION_TIME);
    set_keeper_connections(&fleet, FaultMode::Pass);
    std::thread::sleep(PROPAGATION_TIME);
    fleet.write_config(3, 2);
    std::thread::sleep(PROPAGATION_TIME);
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 8, EVENTS_PER_ITEM).await;
        }
        for job in 0..4 {
            read_all_results(&entries, &format!("job{job}"), 8).await;
        }
    })
    .expect("the runtime starts");
}
