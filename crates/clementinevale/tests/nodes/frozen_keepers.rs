//! Keepers that are stopped for longer than their lease, and then continue.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpLimits;
use cv_runtime::block_on;
use cv_tests::FleetOptions;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::Signal;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::close_job;
use cv_tests::node_caller::submit_job;
use futures::future::join_all;
use http::Method;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::JOB_TIMEOUT;
use crate::job_checks::submit_until_accepted;

/// Time after the acknowledged close of a job from which none of its items may start.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which two targets may work on the same item after it has moved.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Maximum time until the entries of a fleet that is ready know all keepers.
const VIEW_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a fleet of two engines, two entries and two keepers, and waits until both entries know both
/// keepers.
///
/// The fleet is ready when each entry knows one of them. An entry that knew only the one that is
/// stopped would not learn of the other while the store lags, and could not place any job.
fn start_fleet(queued_tokens: u64) -> NodeFleet {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 2 };
    let options = FleetOptions { queued_tokens, ..FleetOptions::default() };
    let fleet = NodeFleet::start_with(env!("CARGO_BIN_EXE_clementinevale"), size, options);
    let know_keepers = fleet.wait_for(VIEW_TIMEOUT, |fleet| {
        [50, 51].into_iter().all(|entry| knows_both_keepers(fleet.internal_address(entry)))
    });
    assert!(know_keepers, "an entry does not know both keepers within {VIEW_TIMEOUT:?}");
    fleet
}

/// Returns whether the view that a process shares with its peers lists both keepers.
fn knows_both_keepers(address: SocketAddr) -> bool {
    const TIMEOUT: Duration = Duration::from_secs(1);
    let request = ClientRequest::new(Method::GET, "/cv/view", "");
    let response = block_on(async {
        let limits = HttpLimits::default();
        let mut connection = ClientConnection::connect(address, TIMEOUT, limits).await?;
        connection.exchange(&request, TIMEOUT, 1024 * 1024).await
    });
    let Ok(response) = response.expect("the runtime starts") else {
        return false;
    };
    // The encoded view holds names as plain text.
    let lists = |name: &[u8]| response.body.windows(name.len()).any(|part| part == name);
    lists(b"keeper-70") && lists(b"keeper-71")
}

/// Sends a signal to the first keeper.
fn signal_keeper(fleet: &NodeFleet, signal: Signal) {
    let keeper = fleet.nodes.iter().find(|node| node.name == "keeper-70");
    keeper.expect("the fleet has the keeper").signal(signal);
}

// Guards against the refusal of a job by one keeper after another one has received it, and accepts it
// later.
#[test]
fn a_refused_job_does_not_run_when_a_frozen_keeper_continues() {
    const LONG_ITEM_EVENTS: u64 = 900;
    // One job of six items with 20 tokens each fits.
    let fleet = start_fleet(200);
    let entries = fleet.entry_addresses();
    signal_keeper(&fleet, Signal::STOP);
    // The keeper does not learn of the job that uses up the limit.
    fleet.store.set_lagging(true);
    let refused = block_on(async {
        submit_until_accepted(&entries, "first", 6, LONG_ITEM_EVENTS).await;
        let submissions = (0..12).map(|job| {
            let entry = entries[job % entries.len()];
            async move {
                let id = format!("job{job}");
                let outcome = submit_job(entry, &id, 6, LONG_ITEM_EVENTS).await;
                (id, outcome)
            }
        });
        let outcomes = join_all(submissions).await;
        outcomes.into_iter().filter(|(_, outcome)| *outcome == CallerOutcome::NotRun)
    })
    .expect("the runtime starts");
    let refused: Vec<String> = refused.map(|(id, _)| id).collect();
    signal_keeper(&fleet, Signal::CONT);
    std::thread::sleep(Duration::from_secs(5));
    assert!(!refused.is_empty(), "no job was refused");
    for run in fleet.target_log.runs() {
        let is_refused = refused.iter().any(|job| run.request_id.starts_with(&format!("{job}i")));
        assert!(!is_refused, "item {} of a refused job runs", run.request_id);
    }
}

// Guards against a keeper that, after a freeze, runs items of jobs that were closed meanwhile.
#[test]
fn a_thawed_keeper_runs_no_item_of_a_closed_job() {
    let fleet = start_fleet(100_000);
    let entries = fleet.entry_addresses();
    let jobs: Vec<String> = (0..4).map(|job| format!("job{job}")).collect();
    block_on(async {
        for job in &jobs {
            submit_until_accepted(&entries, job, 150, EVENTS_PER_ITEM).await;
        }
    })
    .expect("the runtime starts");
    signal_keeper(&fleet, Signal::STOP);
    // The keeper learns late that the jobs are closed.
    fleet.store.set_lagging(true);
    block_on(async {
        for job in &jobs {
            let started_at = Instant::now();
            while !close_job(entries[0], job).await {
                assert!(started_at.elapsed() < JOB_TIMEOUT, "the close of {job} takes too long");
            }
        }
    })
    .expect("the runtime starts");
    let closed_at = Instant::now();
    std::thread::sleep(CANCEL_TIMEOUT + Duration::from_millis(500));
    signal_keeper(&fleet, Signal::CONT);
    std::thread::sleep(Duration::from_secs(2));
    fleet.store.set_lagging(false);
    std::thread::sleep(Duration::from_secs(1));
    let runs = fleet.target_log.runs();
    let late = runs.iter().filter(|run| run.started_at > closed_at + CANCEL_TIMEOUT);
    assert_eq!(late.count(), 0, "items of closed jobs run");
}

// Guards against sidecars that work on for a frozen keeper while the next owner of its jobs lets
// their items go on at other targets.
#[test]
fn a_run_of_a_frozen_keeper_ends_before_its_item_goes_on() {
    const LONG_ITEM_EVENTS: u64 = 1_400;
    let fleet = start_fleet(100_000);
    let entries = fleet.entry_addresses();
    block_on(async {
        for job in 0..4 {
            submit_until_accepted(&entries, &format!("job{job}"), 1, LONG_ITEM_EVENTS).await;
        }
    })
    .expect("the runtime starts");
    // Output is replicated every second.
    std::thread::sleep(Duration::from_millis(2_500));
    signal_keeper(&fleet, Signal::STOP);
    std::thread::sleep(Duration::from_secs(7));
    signal_keeper(&fleet, Signal::CONT);
    std::thread::sleep(Duration::from_secs(2));
    let runs = fleet.target_log.runs();
    let resumed: Vec<_> = runs.iter().filter(|run| run.after > 0).collect();
    assert!(!resumed.is_empty(), "no item has gone on");
    for run in resumed {
        let overlap_end = run.started_at + MAX_OVERLAP;
        let overlapping = runs.iter().find(|other| {
            other.request_id == run.request_id
                && other.target_id != run.target_id
                && other.started_at < run.started_at
                && other.ended_at.is_none_or(|end| end > overlap_end)
        });
        assert!(overlapping.is_none(), "{run:?} overlaps {overlapping:?}");
    }
}
