//! Requests that must run once, while the processes that hand them over are stopped and continue.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::RunRecord;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_runtime::block_on;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::Signal;
use futures::future::join_all;
use http::Method;
use http::StatusCode;
use rstest::rstest;

/// Time for which processes are stopped again and again.
const STOP_TIME: Duration = Duration::from_secs(12);

/// Lengths of the stops in milliseconds; an entry waits 250 ms for the request for a body, and takes
/// one that it reads up to 500 ms later.
const STOPS_MS: [u64; 8] = [40, 230, 255, 400, 700, 770, 1_100, 1_700];

/// Times between two stops, in milliseconds.
const GAPS_MS: [u64; 3] = [30, 75, 160];

/// Body lengths; without a body a request is sent at once, and the longest one exceeds the buffers of
/// a connection.
const BODY_LENGTHS: [usize; 4] = [0, 6, 20_000, 3_000_000];

/// Routes of requests that must run once, and of one that may go on elsewhere.
const ROUTES: [&str; 4] = ["hints", "orders", "hints", "advice"];

/// Callers at each entry; more than the engines have slots.
const CALLERS: u64 = 10;

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(7);

/// Time for which two targets may work on the same request after it has moved.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// A request and the status of its response, if there was one.
#[derive(Debug)]
struct SeenRequest {
    id: String,
    route: &'static str,
    status: Option<StatusCode>,
}

/// Sends one request over a new connection.
async fn send(address: SocketAddr, number: u64) -> SeenRequest {
    let route = ROUTES[(number % 4) as usize];
    let length = BODY_LENGTHS[(number / 4 % 4) as usize];
    let id = format!("r{number}");
    let request = ClientRequest::new(Method::POST, format!("/{route}/x"), vec![b'x'; length])
        .with_header("host", "growers.example")
        .with_header("request-id", &id)
        .with_header("deadline-ms", "4000")
        .with_header("token-count", "10,12");
    let exchange = async {
        let limits = HttpLimits::default();
        let mut connection = ClientConnection::connect(address, RESPONSE_TIMEOUT, limits).await?;
        connection.exchange(&request, RESPONSE_TIMEOUT, 1024 * 1024).await
    };
    let result: Result<_, HttpFault> = exchange.await;
    SeenRequest { id, route, status: result.ok().map(|response| response.status) }
}

/// Sends requests to the entries until told to stop.
fn call_entries(entries: &[SocketAddr], is_over: &AtomicBool) -> Vec<SeenRequest> {
    let next = AtomicU64::new(0);
    let callers = (0..CALLERS * entries.len() as u64).map(|caller| {
        let entry = entries[caller as usize % entries.len()];
        let next = &next;
        async move {
            let mut seen = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                seen.push(send(entry, next.fetch_add(1, Ordering::Relaxed)).await);
            }
            seen
        }
    });
    let seen = block_on(async { join_all(callers).await }).expect("the runtime starts");
    seen.into_iter().flatten().collect()
}

/// Stops and continues the processes of a role, one after the other.
fn stop_processes(fleet: &NodeFleet, role: &str) {
    let nodes: Vec<_> = fleet.nodes.iter().filter(|node| node.name.starts_with(role)).collect();
    let started_at = Instant::now();
    let mut round = 0;
    while started_at.elapsed() < STOP_TIME {
        let node = nodes[round % nodes.len()];
        node.signal(Signal::STOP);
        std::thread::sleep(Duration::from_millis(STOPS_MS[round / 2 % STOPS_MS.len()]));
        node.signal(Signal::CONT);
        std::thread::sleep(Duration::from_millis(GAPS_MS[round % GAPS_MS.len()]));
        round += 1;
    }
}

/// Returns the runs of requests at one target that go on long after the same request has begun at
/// another.
fn overlaps(runs: &[RunRecord]) -> Vec<&RunRecord> {
    let goes_on = |run: &&RunRecord| {
        runs.iter().any(|next| {
            next.request_id == run.request_id
                && next.target_id != run.target_id
                && next.started_at > run.started_at
                && run.ended_at.is_none_or(|end| end > next.started_at + MAX_OVERLAP)
        })
    };
    runs.iter().filter(goes_on).collect()
}

// Guards against a process that was stopped around the hand-over of a request, and takes it for not
// sent although it runs.
#[rstest]
#[case::entries("entry")]
#[case::sidecars("sidecar")]
fn a_request_that_a_stopped_process_handed_over_runs_once(#[case] role: &str) {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 1 };
    let fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let entries = fleet.entry_addresses();
    let is_over = AtomicBool::new(false);
    let seen = std::thread::scope(|scope| {
        let callers = scope.spawn(|| call_entries(&entries, &is_over));
        stop_processes(&fleet, role);
        is_over.store(true, Ordering::Relaxed);
        callers.join().expect("the callers' thread finishes")
    });
    // A run that begins late begins once the last process continues.
    std::thread::sleep(Duration::from_secs(1));
    let runs = fleet.target_log.runs();
    let count = |id: &str| runs.iter().filter(|run| run.request_id == id).count();
    let refused = |request: &&SeenRequest| {
        request.status.is_some_and(|status| matches!(status.as_u16(), 408 | 421 | 429 | 503))
    };
    let once = || seen.iter().filter(|request| request.route != "advice");
    let statuses = |wanted: Option<u16>| {
        seen.iter().filter(|request| request.status.map(|status| status.as_u16()) == wanted).count()
    };
    println!(
        "requests={} ok={} refused={} bad_gateway={} late={} closed={} runs={}",
        seen.len(),
        statuses(Some(200)),
        seen.iter().filter(refused).count(),
        statuses(Some(502)),
        statuses(Some(504)),
        statuses(None),
        runs.len(),
    );
    assert!(statuses(Some(200)) > 0, "no request was served");
    let twice: Vec<_> = once().filter(|request| count(&request.id) > 1).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
    let denied: Vec<_> = once().filter(refused).filter(|seen| count(&seen.id) > 0).collect();
    assert!(denied.is_empty(), "ran, but the caller was told otherwise: {denied:?}");
    // A sidecar that is stopped keeps its run open.
    if role == "entry" {
        assert!(overlaps(&runs).is_empty(), "still at work: {:?}", overlaps(&runs));
    }
}
