//! Every fault of keepers and of their store at every stage of jobs: nothing is lost or doubled, and
//! results come again soon.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::StoreMode;
use cv_dispatch::KeeperRecord;
use cv_dispatch::KeeperSet;
use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::Signal;
use cv_tests::node_caller::read_results;
use rstest::rstest;

use crate::job_checks::read_all_results_with_events;
use crate::job_checks::submit_until_accepted;

/// Jobs of each case.
const JOBS: u64 = 3;

/// Items of each job.
const ITEMS: u64 = 8;

/// Events of each item, of 8 ms each.
const LONG_EVENTS: u64 = 60;

/// Time for which a fault lasts; longer than it takes to find out.
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Time within which results come again after a fault, by the platform's bound.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// What happens to a keeper, or to its store.
#[derive(Clone, Copy, Debug)]
enum KeeperFault {
    /// All keepers are killed at once and started again.
    AllKilled,
    /// The store ends the owner's connections and takes none.
    Disconnected,
    /// The owner stands still for a while.
    Frozen,
    /// The store drops its history and cuts all watches.
    HistoryLost,
    /// The owner is killed and not started again.
    Killed,
    /// The owner is asked to leave.
    Drained,
    /// The store does what it is asked and does not say so.
    LosesResponses,
    /// The store refuses all calls.
    StoreRefusing,
    /// The owner is killed and started again at once.
    Restarted,
    /// The store gives the owner no answer.
    Unresponsive,
    /// The store gives nobody an answer.
    StoreUnresponsive,
}

/// When it happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobStage {
    /// While jobs are being accepted.
    Accepting,
    /// While results are being listed.
    Listing,
    /// While items run for the first time.
    Running,
}

/// Returns the position of the keeper that owns a job.
fn owner_of(fleet: &NodeFleet, job: &str) -> usize {
    let mut ring = KeeperSet::default();
    for node in fleet.nodes.iter().filter(|node| node.name.starts_with("keeper")) {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        ring.upsert(KeeperRecord { address, name: node.name.clone(), zone: String::new() });
    }
    let owner = ring.ranking_for(job).first().map(|keeper| keeper.name.clone());
    let position = fleet.nodes.iter().position(|node| Some(&node.name) == owner.as_ref());
    position.expect("a keeper owns the job")
}

/// Brings a fault about, and its end unless it has none.
fn play(fault: KeeperFault, fleet: &mut NodeFleet) {
    let owner = owner_of(fleet, "job0");
    match fault {
        KeeperFault::AllKilled => {
            let keepers = fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper"));
            let mut keepers: Vec<_> = keepers.collect();
            for keeper in &mut keepers {
                keeper.kill();
            }
            for keeper in keepers {
                keeper.start();
            }
        }
        KeeperFault::Disconnected | KeeperFault::Unresponsive => {
            let is_disconnected = matches!(fault, KeeperFault::Disconnected);
            let mode = if is_disconnected { FaultMode::Disconnect } else { FaultMode::HalfOpen };
            fleet.nodes[owner].store_proxy.set_mode(mode);
            std::thread::sleep(FAULT_DURATION);
            fleet.nodes[owner].store_proxy.set_mode(FaultMode::Pass);
        }
        KeeperFault::Frozen => {
            fleet.nodes[owner].signal(Signal::STOP);
            std::thread::sleep(FAULT_DURATION);
            fleet.nodes[owner].signal(Signal::CONT);
        }
        KeeperFault::HistoryLost => fleet.store.lose_history(),
        KeeperFault::Killed => fleet.nodes[owner].kill(),
        KeeperFault::Drained => {
            let left = fleet.nodes[owner].terminate(FAULT_DURATION * 2);
            assert_eq!(left, Ok(()));
        }
        KeeperFault::LosesResponses
        | KeeperFault::StoreRefusing
        | KeeperFault::StoreUnresponsive => {
            fleet.store.set_mode(match fault {
                KeeperFault::LosesResponses => StoreMode::LosesResponses,
                KeeperFault::StoreRefusing => StoreMode::Busy,
                _ => StoreMode::Silent,
            });
            std::thread::sleep(FAULT_DURATION);
            fleet.store.set_mode(StoreMode::Up);
        }
        KeeperFault::Restarted => {
            fleet.nodes[owner].kill();
            fleet.nodes[owner].start();
        }
    }
}

/// Waits until any result of the first job is listed.
async fn wait_for_listing(entries: &[SocketAddr]) {
    for entry in entries.iter().cycle() {
        let read = read_results(*entry, "job0", 0).await;
        if read.is_ok_and(|answer| answer["next"].as_u64().unwrap_or(0) > 0) {
            return;
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[rstest]
fn no_item_is_lost_or_listed_twice(
    #[values(
        KeeperFault::AllKilled,
        KeeperFault::Disconnected,
        KeeperFault::Frozen,
        KeeperFault::HistoryLost,
        KeeperFault::Killed,
        KeeperFault::Drained,
        KeeperFault::LosesResponses,
        KeeperFault::StoreRefusing,
        KeeperFault::Restarted,
        KeeperFault::Unresponsive,
        KeeperFault::StoreUnresponsive
    )]
    fault: KeeperFault,
    #[values(JobStage::Accepting, JobStage::Listing, JobStage::Running)] stage: JobStage,
) {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 3 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let entries = fleet.entry_addresses();
    let callers = entries.clone();
    let submitting = std::thread::spawn(move || {
        block_on(async {
            for job in 0..JOBS {
                submit_until_accepted(&callers, &format!("job{job}"), ITEMS, LONG_EVENTS).await;
            }
            if stage == JobStage::Listing {
                wait_for_listing(&callers).await;
            }
        })
        .expect("a runtime");
    });
    let submitting = if stage == JobStage::Accepting {
        Some(submitting)
    } else {
        submitting.join().expect("all jobs are accepted");
        std::thread::sleep(Duration::from_millis(150));
        None
    };
    play(fault, &mut fleet);
    let over = Instant::now();
    if let Some(submitting) = submitting {
        submitting.join().expect("all jobs are accepted");
    }
    block_on(async {
        for job in 0..JOBS {
            read_all_results_with_events(&entries, &format!("job{job}"), ITEMS, LONG_EVENTS).await;
        }
    })
    .expect("a runtime");
    // All items together run for less than two seconds.
    let taken = over.elapsed();
    assert!(taken < RECOVERY_TIMEOUT, "{fault:?} while {stage:?}: {taken:?}");
    println!("{fault:?} while {stage:?}: all results after {} ms", taken.as_millis());
    block_on(async {
        for job in 0..JOBS {
            let job = format!("job{job}");
            let before = read_results(entries[0], &job, 0).await;
            // A job that comes again is the same job, and none of its results changes.
            submit_until_accepted(&entries, &job, ITEMS, LONG_EVENTS).await;
            assert_eq!(read_results(entries[0], &job, 0).await, before);
        }
    })
    .expect("a runtime");
}
