//! Keepers that know an older configuration, or fewer closed jobs, than the rest of the fleet.

use std::time::Duration;
use std::time::Instant;

use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::Signal;
use cv_tests::engine_id;
use cv_tests::node_caller::close_job;
use futures::future::join_all;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;
use crate::job_checks::submit_until_accepted;

/// Time in which a running process learns of a change in the store.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Time after the acknowledged close of a job from which none of its items may start.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which connections break off; too short for a process to take the store for down.
const DISCONNECTION_TIME: Duration = Duration::from_millis(15);

/// Starts a fleet of two engines, two entries and two keepers.
fn small_fleet() -> NodeFleet {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 2 };
    NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size)
}

/// Sets how the store's connections to the processes behave whose names start with `prefix`.
fn set_connection(fleet: &NodeFleet, prefix: &str, mode: FaultMode) {
    for node in fleet.nodes.iter().filter(|node| node.name.starts_with(prefix)) {
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
    set_connection(&fleet, "keeper", FaultMode::Disconnect);
    std::thread::sleep(DISCONNECTION_TIME);
    set_connection(&fleet, "keeper", FaultMode::Pass);
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

// Guards against a keeper that runs items as soon as any call to the store succeeds again, before it
// knows which jobs other keepers have closed meanwhile.
#[test]
fn a_keeper_that_regains_the_store_runs_no_item_of_a_closed_job() {
    /// Time without the store, in which the keeper stays the owner of its jobs.
    const LOSS_TIME: Duration = Duration::from_millis(3_100);
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let jobs: Vec<String> = (0..4).map(|job| format!("job{job}")).collect();
    block_on(async {
        for job in &jobs {
            submit_until_accepted(&entries, job, 150, EVENTS_PER_ITEM).await;
        }
    })
    .expect("the runtime starts");
    // Both keepers renew their leases at about the same time, so the lease outlasts the loss.
    let renewals = fleet.store.call_count("/kv-keep/");
    let has_renewed = |fleet: &NodeFleet| fleet.store.call_count("/kv-keep/") >= renewals + 2;
    assert!(fleet.wait_for(Duration::from_secs(3), has_renewed));
    let lost_at = Instant::now();
    set_connection(&fleet, "keeper-70", FaultMode::TurnAway);
    let closed = block_on(join_all(jobs.iter().map(|job| close_job(entries[0], job))));
    assert!(closed.expect("the runtime starts").into_iter().all(|closed| closed));
    let closed_at = Instant::now();
    fleet.store.set_read_delay("cv/work/", Duration::from_secs(3));
    std::thread::sleep(LOSS_TIME.saturating_sub(lost_at.elapsed()));
    set_connection(&fleet, "keeper-70", FaultMode::Pass);
    std::thread::sleep(Duration::from_secs(5));
    let runs = fleet.target_log.runs();
    let late = runs.iter().filter(|run| run.started_at > closed_at + CANCEL_TIMEOUT);
    assert_eq!(late.count(), 0, "items of closed jobs run");
}

// Guards against a keeper that the store alone had turned away and that takes its own failures for
// those of all, so that it sends items to a target which left more than two seconds ago.
#[test]
fn a_keeper_that_was_turned_away_learns_at_once_that_a_target_has_left() {
    /// Time in which a process stops to send new work to a target after the store has said that the
    /// target is gone, less the time that an item is under way.
    const REMOVAL_TIMEOUT: Duration = Duration::from_millis(1_500);
    let fleet = small_fleet();
    let keeper = fleet.nodes.iter().find(|node| node.name == "keeper-70").expect("a keeper");
    keeper.store_proxy.set_mode(FaultMode::TurnAway);
    std::thread::sleep(Duration::from_millis(2_500));
    keeper.store_proxy.set_mode(FaultMode::Pass);
    let has_regained = |_: &NodeFleet| keeper.output().contains("dependency_regained");
    assert!(fleet.wait_for(Duration::from_secs(2), has_regained), "{}", keeper.output());
    fleet.deregister(&engine_id(1));
    let has_removed = |_: &NodeFleet| {
        let output = keeper.output();
        output.lines().any(|line| line.contains("engine-1") && line.contains("state=gone"))
    };
    assert!(fleet.wait_for(REMOVAL_TIMEOUT, has_removed), "{}", keeper.output());
}

// Guards against the removal of targets whose registrations have lapsed while the store responded to
// nobody.
#[test]
fn a_target_is_kept_after_the_store_was_away_for_all() {
    let fleet = small_fleet();
    set_connection(&fleet, "", FaultMode::TurnAway);
    std::thread::sleep(Duration::from_millis(2_500));
    fleet.deregister(&engine_id(1));
    set_connection(&fleet, "", FaultMode::Pass);
    std::thread::sleep(Duration::from_millis(1_800));
    for node in fleet.nodes.iter().filter(|node| !node.name.starts_with("sidecar")) {
        assert!(!node.output().contains("state=gone"), "{}: {}", node.name, node.output());
    }
    fleet.register(&engine_id(1), "ready");
    std::thread::sleep(Duration::from_millis(1_500));
    for node in fleet.nodes.iter().filter(|node| !node.name.starts_with("sidecar")) {
        assert!(!node.output().contains("state=gone"), "{}: {}", node.name, node.output());
    }
}

// Guards against the word of a process that was stopped during an outage of the store, and takes the
// time for which it made no calls for contact.
#[test]
fn a_process_that_was_stopped_does_not_vouch_for_the_store() {
    let fleet = small_fleet();
    let (stopped, others): (Vec<_>, Vec<_>) =
        fleet.nodes.iter().partition(|node| node.name == "keeper-71");
    stopped[0].signal(Signal::STOP);
    for node in &others {
        node.store_proxy.set_mode(FaultMode::TurnAway);
    }
    std::thread::sleep(Duration::from_millis(3_500));
    fleet.deregister(&engine_id(1));
    for node in &others {
        node.store_proxy.set_mode(FaultMode::Pass);
    }
    stopped[0].signal(Signal::CONT);
    std::thread::sleep(Duration::from_millis(1_800));
    for node in others.iter().filter(|node| !node.name.starts_with("sidecar")) {
        assert!(!node.output().contains("state=gone"), "{}: {}", node.name, node.output());
    }
}

// Guards against a removal that a process applied at once after it had been stopped, and that those
// without contact copied from it.
#[test]
fn a_removal_by_a_process_that_was_stopped_is_not_copied() {
    let fleet = small_fleet();
    let (stopped, others): (Vec<_>, Vec<_>) =
        fleet.nodes.iter().partition(|node| node.name == "keeper-71");
    stopped[0].signal(Signal::STOP);
    for node in &others {
        node.store_proxy.set_mode(FaultMode::TurnAway);
    }
    std::thread::sleep(Duration::from_millis(3_500));
    fleet.deregister(&engine_id(1));
    stopped[0].signal(Signal::CONT);
    std::thread::sleep(Duration::from_secs(2));
    fleet.register(&engine_id(1), "ready");
    for node in &others {
        node.store_proxy.set_mode(FaultMode::Pass);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    for node in fleet.nodes.iter().filter(|node| !node.name.starts_with("sidecar")) {
        assert!(!node.output().contains("state=gone"), "{}: {}", node.name, node.output());
    }
    assert!(others.iter().any(|node| node.output().contains("peer=")), "no view was copied");
}

// Guards against a deferral that outlasts its reason: the keeper alone was stopped, which its peers
// can tell, so that it has to stop sending to a target that has left.
#[test]
fn a_keeper_that_alone_was_stopped_drops_a_target_that_has_left() {
    let fleet = small_fleet();
    let keeper = fleet.nodes.iter().find(|node| node.name == "keeper-71").expect("a keeper");
    keeper.signal(Signal::STOP);
    std::thread::sleep(Duration::from_millis(3_500));
    fleet.deregister(&engine_id(1));
    keeper.signal(Signal::CONT);
    let has_removed = |_: &NodeFleet| {
        let output = keeper.output();
        output.lines().any(|line| line.contains("engine-1") && line.contains("state=gone"))
    };
    assert!(fleet.wait_for(Duration::from_millis(1_500), has_removed), "{}", keeper.output());
}

// Guards against a view whose process has lost its watch of the targets: those that copy it have seen
// already that the target drains.
#[test]
fn a_copied_view_does_not_make_a_draining_target_ready_again() {
    let fleet = small_fleet();
    fleet.store.set_read_delay("servers/", Duration::from_secs(3));
    set_connection(&fleet, "keeper-71", FaultMode::Disconnect);
    std::thread::sleep(DISCONNECTION_TIME);
    set_connection(&fleet, "keeper-71", FaultMode::Pass);
    std::thread::sleep(Duration::from_millis(200));
    fleet.register(&engine_id(1), "draining");
    std::thread::sleep(PROPAGATION_TIME);
    let others: Vec<_> = fleet.nodes.iter().filter(|node| node.name != "keeper-71").collect();
    for node in &others {
        node.store_proxy.set_mode(FaultMode::TurnAway);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let copying: Vec<_> =
        others.iter().filter(|node| node.output().contains("contact_ms=")).collect();
    assert!(!copying.is_empty(), "no view was copied");
    for node in copying {
        let output = node.output();
        let states = output.lines().filter(|line| line.contains("engine-1\"")).collect::<Vec<_>>();
        let last = states.last().expect("the target is known");
        assert!(last.contains("state=draining"), "{}: {states:#?}", node.name);
    }
}
