//! Every fault of keepers and of their store at every stage of a job: no item is lost or listed
//! twice, and results are returned again within a bounded time.

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

/// Number of jobs of a case.
const JOBS: u64 = 3;

/// Number of items of a job.
const ITEMS: u64 = 8;

/// Number of events of an item; the engine takes 8 ms for each.
const EVENTS_PER_ITEM: u64 = 60;

/// Duration of a fault, longer than the time to detect it.
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Maximum time from the end of a fault until all results are listed, as the platform requires.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Fault of a keeper or of the store.
#[derive(Clone, Copy, Debug)]
enum KeeperFault {
    /// All keepers are killed at once and restarted.
    AllKilled,
    /// The owner's connections to the store are closed and new ones are rejected.
    Disconnected,
    /// The owner is stopped with SIGSTOP and later continued.
    Frozen,
    /// The store loses its history and ends all watches.
    HistoryLost,
    /// The owner is killed and not restarted.
    Killed,
    /// The owner receives SIGTERM and drains.
    Drained,
    /// The store executes calls and loses the responses.
    LosesResponses,
    /// The store refuses all calls.
    StoreRefusing,
    /// The owner is killed and restarted at once.
    Restarted,
    /// The owner gets no response from the store.
    Unresponsive,
    /// No process gets a response from the store.
    StoreUnresponsive,
}

/// Stage of the jobs at which the fault is injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobStage {
    /// While jobs are being accepted.
    Accepting,
    /// While results are being listed.
    Listing,
    /// While items run for the first time.
    Running,
}

/// Returns the index in `fleet.nodes` of the keeper that owns a job.
fn owner_of(fleet: &NodeFleet, job: &str) -> usize {
    let mut keepers = KeeperSet::default();
    for node in fleet.nodes.iter().filter(|node| node.name.starts_with("keeper")) {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        keepers.upsert(KeeperRecord { address, name: node.name.clone(), zone: String::new() });
    }
    let owner = keepers.ranking_for(job).first().map(|keeper| keeper.name.clone());
    let index = fleet.nodes.iter().position(|node| Some(&node.name) == owner.as_ref());
    index.expect("a keeper owns the job")
}

/// Injects a fault and, unless it is permanent, ends it after its duration.
fn inject(fault: KeeperFault, fleet: &mut NodeFleet) {
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
            let result = fleet.nodes[owner].terminate(FAULT_DURATION * 2);
            assert_eq!(result, Ok(()));
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

/// Waits until an entry lists a result of the first job.
async fn wait_for_listing(entries: &[SocketAddr]) {
    for entry in entries.iter().cycle() {
        let read = read_results(*entry, "job0", 0).await;
        if read.is_ok_and(|response| response["next"].as_u64().unwrap_or(0) > 0) {
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
    let submitter = std::thread::spawn(move || {
        block_on(async {
            for job in 0..JOBS {
                submit_until_accepted(&callers, &format!("job{job}"), ITEMS, EVENTS_PER_ITEM).await;
            }
            if stage == JobStage::Listing {
                wait_for_listing(&callers).await;
            }
        })
        .expect("the runtime starts");
    });
    let running_submitter = if stage == JobStage::Accepting {
        Some(submitter)
    } else {
        submitter.join().expect("all jobs are accepted");
        std::thread::sleep(Duration::from_millis(150));
        None
    };
    inject(fault, &mut fleet);
    let fault_ended_at = Instant::now();
    if let Some(submitter) = running_submitter {
        submitter.join().expect("all jobs are accepted");
    }
    block_on(async {
        for job in 0..JOBS {
            read_all_results_with_events(&entries, &format!("job{job}"), ITEMS, EVENTS_PER_ITEM)
                .await;
        }
    })
    .expect("the runtime starts");
    // The runs of all items together take less than two seconds of that.
    let recovery_time = fault_ended_at.elapsed();
    assert!(
        recovery_time < RECOVERY_TIMEOUT,
        "{fault:?} while {stage:?}: all results after {recovery_time:?}, \
         expected less than {RECOVERY_TIMEOUT:?}"
    );
    println!("{fault:?} while {stage:?}: all results after {} ms", recovery_time.as_millis());
    block_on(async {
        for job in 0..JOBS {
            let job = format!("job{job}");
            let results_before = read_results(entries[0], &job, 0).await;
            // Submitting the job again must not create another one or change a result.
            submit_until_accepted(&entries, &job, ITEMS, EVENTS_PER_ITEM).await;
            assert_eq!(read_results(entries[0], &job, 0).await, results_before);
        }
    })
    .expect("the runtime starts");
}
