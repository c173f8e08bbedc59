//! Targets that send bytes without end, faster than a process reads them.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::PlatformTarget;
use cv_runtime::block_on;
use cv_standin::RawEnding;
use cv_standin::RawRequest;
use cv_standin::RawResponder;
use cv_standin::RawResponse;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::NodeProcess;
use cv_tests::RawTarget;
use cv_tests::RawTargetKind;
use cv_tests::RunClock;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::request_plain;
use cv_tests::node_caller::request_stream;
use futures::future::join_all;
use rstest::rstest;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;
use crate::job_checks::submit_until_accepted;

/// Memory that a process may use at most, in bytes. The smallest instances have 110 MB.
const MAX_PEAK_MEMORY: u64 = 48 * 1024 * 1024;

/// Maximum time of a response to a readiness check or a request for metrics, less the time for which
/// process and caller were ready to run without a processor.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Longest time for which a request of the test's routes may be kept waiting, and the time after it
/// within which its response has to come.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(5_500);

/// Size of the repeated block, in bytes.
const BLOCK_BYTES: usize = 512 * 1024;

/// Time between two units of bytes that come now and then.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(250);

/// Requests that are made at once.
const REQUESTS: usize = 24;

/// Tests that send without end at once; more would leave no processor to measure response times.
const FLOODS_AT_ONCE: usize = 2;

/// The tests that send without end at the moment.
static FLOODS: Mutex<usize> = Mutex::new(0);

/// Notified when one of them has ended.
static FLOOD_ENDED: Condvar = Condvar::new();

/// The turn of a test that sends without end.
struct FloodTurn;

impl FloodTurn {
    /// Waits until the test may send.
    fn wait() -> Self {
        let floods = FLOODS.lock().expect("no test panics within");
        let floods = FLOOD_ENDED.wait_while(floods, |floods| *floods >= FLOODS_AT_ONCE);
        *floods.expect("no test panics within") += 1;
        Self
    }
}

impl Drop for FloodTurn {
    fn drop(&mut self) {
        *FLOODS.lock().expect("no test panics within") -= 1;
        FLOOD_ENDED.notify_one();
    }
}

/// Bytes without end, and where in a response they are.
#[derive(Clone, Copy, Debug)]
enum Flood {
    Interim,
    HeaderLines,
    HeaderLine,
    /// A body that ends with its connection and repeats these bytes.
    UntilClose(&'static [u8]),
    /// A chunked body whose chunks repeat these bytes.
    Chunked(&'static [u8]),
    ChunkExtension,
    Trailers,
    DeclaredLength,
    /// The correct first event of a stream, again and again.
    FirstEvent,
    /// A correct response, and then more bytes.
    AfterWhole,
}

impl Flood {
    /// Returns a response that never stops sending.
    fn respond(self, request: &RawRequest) -> RawResponse {
        let (start, unit) = self.parts(request);
        let block = unit.repeat(BLOCK_BYTES.div_ceil(unit.len()));
        RawResponse {
            bytes: start,
            ending: RawEnding::Repeat(Arc::new(block), Duration::ZERO),
            ..RawResponse::default()
        }
    }

    /// Returns a response that sends a few bytes now and then.
    fn trickle(self, request: &RawRequest) -> RawResponse {
        let (start, unit) = self.parts(request);
        let ending = RawEnding::Repeat(Arc::new(unit), TRICKLE_INTERVAL);
        RawResponse { bytes: start, ending, ..RawResponse::default() }
    }

    /// Returns the start of the response to a request, and the bytes that repeat after it.
    fn parts(self, request: &RawRequest) -> (Vec<u8>, Vec<u8>) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nRequest-Id: {}\r\n\
             Content-Type: text/event-stream\r\n",
            request.id
        );
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let (start, unit) = match self {
            Self::Interim => (String::new(), b"HTTP/1.1 102 Processing\r\n\r\n".to_vec()),
            Self::HeaderLines => (head, b"x-filler: 0123456789\r\n".to_vec()),
            Self::HeaderLine => (format!("{head}x-filler: "), b"0123456789".to_vec()),
            Self::UntilClose(unit) => (format!("{head}\r\n"), unit.to_vec()),
            Self::Chunked(unit) => {
                let size = format!("{:x}\r\n", unit.len());
                (chunked, [size.as_bytes(), unit, b"\r\n"].concat())
            }
            Self::ChunkExtension => (format!("{chunked}1;x="), b"0123456789".to_vec()),
            Self::Trailers => (format!("{chunked}0\r\n"), b"x-filler: 0123456789\r\n".to_vec()),
            Self::DeclaredLength => {
                (format!("{head}Content-Length: 999999999999\r\n\r\n"), vec![0])
            }
            Self::FirstEvent => {
                let event = PlatformTarget::expected_stream(&request.id, 1);
                (format!("{head}\r\n"), event.into_bytes())
            }
            Self::AfterWhole => {
                (format!("{head}Content-Length: 0\r\n\r\n"), b"HTTP/1.1 200 OK\r\n".to_vec())
            }
        };
        (start.into_bytes(), unit)
    }
}

/// Measures how long processes take to respond to simple requests, until it is stopped.
struct ResponseTimes {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<(String, Duration)>>,
}

impl ResponseTimes {
    /// Starts to send requests to the readiness check of a fleet's entry and for the metrics of all
    /// processes.
    fn start(fleet: &NodeFleet) -> Self {
        let hosts = fleet.nodes.iter().map(|node| {
            let host = node.name.rsplit('-').next().and_then(|host| host.parse().ok());
            let address = fleet.internal_address(host.expect("the name ends in a host"));
            (node.name.clone(), node.id(), address, "/metrics")
        });
        let entry = fleet.nodes.iter().find(|node| node.name.starts_with("entry"));
        let entry_id = entry.and_then(NodeProcess::id);
        let ready = ("ready".to_owned(), entry_id, fleet.ready_address(0), "/ready");
        let is_stopped = Arc::new(AtomicBool::new(false));
        let threads = hosts.chain([ready]).map(|(name, id, address, path)| {
            let is_stopped = Arc::clone(&is_stopped);
            std::thread::spawn(move || {
                let mut longest = Duration::ZERO;
                while !is_stopped.load(Ordering::Relaxed) {
                    longest = longest.max(response_time(id, address, path));
                    std::thread::sleep(Duration::from_millis(20));
                }
                (name, longest)
            })
        });
        let threads = threads.collect();
        Self { is_stopped, threads }
    }

    /// Stops and returns the longest time, with the name of the process.
    fn finish(self) -> (String, Duration) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let times = self.threads.into_iter().map(|thread| thread.join().expect("no panic"));
        times.max_by_key(|(_, time)| *time).expect("some process")
    }
}

/// Returns how long a process takes to respond to a request, without the time for which it and the
/// caller waited for a processor of a busy machine.
fn response_time(id: Option<u32>, address: SocketAddr, path: &str) -> Duration {
    let clock = RunClock::start(id);
    let respond = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        stream.read_exact(&mut [0; 12])
    };
    respond().expect("the process responds");
    clock.elapsed()
}

/// Starts a fleet with one sound target of each kind and a raw one.
fn start_fleet(kind: RawTargetKind, respond: impl RawResponder) -> (NodeFleet, RawTarget) {
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let target = RawTarget::add(&mut fleet, kind, respond);
    if kind == RawTargetKind::Engine {
        // An engine without a sidecar gets requests only if no other one has a sidecar.
        fleet.nodes.remove(0).kill();
    }
    // The processes learn of the target, and that it has no sidecar, if so.
    std::thread::sleep(Duration::from_millis(1_500));
    (fleet, target)
}

/// Checks that no process has used more memory than it may, and that nobody reads the target's bytes
/// any more.
fn check_processes(fleet: &mut NodeFleet, target: &RawTarget) {
    for node in &mut fleet.nodes {
        assert_eq!(node.unexpected_exit(), None, "{} has exited by itself", node.name);
        let peak = node.peak_memory().expect("the process runs");
        assert!(peak <= MAX_PEAK_MEMORY, "{} has used {peak} bytes", node.name);
    }
    std::thread::sleep(Duration::from_millis(500));
    let sent = target.server.sent_bytes();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(target.server.sent_bytes(), sent, "somebody still reads the target's bytes");
}

// Guards against a target's bytes without end that keep a process from handling anything else, fill
// its memory, or hold their own request longer than its route allows.
#[rstest]
fn processes_respond_while_a_target_sends_without_end(
    #[values(RawTargetKind::Plain, RawTargetKind::Engine, RawTargetKind::EngineWithSidecar)]
    kind: RawTargetKind,
    #[values(
        Flood::Interim,
        Flood::HeaderLines,
        Flood::HeaderLine,
        Flood::UntilClose(b"\n"),
        Flood::UntilClose(b": comment\n\n"),
        Flood::UntilClose(b"data: x\n\n"),
        Flood::FirstEvent,
        Flood::UntilClose(b"data: x\n"),
        Flood::Chunked(b"\0"),
        Flood::Chunked(b"0123456789abcdef"),
        Flood::ChunkExtension,
        Flood::Trailers,
        Flood::DeclaredLength,
        Flood::AfterWhole
    )]
    flood: Flood,
) {
    let _turn = FloodTurn::wait();
    let (mut fleet, target) = start_fleet(kind, move |request| flood.respond(request));
    let entry = fleet.entry_addresses()[0];
    let times = ResponseTimes::start(&fleet);
    let outcomes = block_on(join_all((0..REQUESTS).map(|number| async move {
        let (id, started_at) = (format!("s{number}"), Instant::now());
        let outcome = match kind {
            RawTargetKind::Plain => request_plain(entry, "status", &id).await,
            _ => request_stream(entry, "advice", &id, 4).await,
        };
        (outcome, started_at.elapsed())
    })));
    std::thread::sleep(Duration::from_millis(300));
    let (slowest, longest) = times.finish();
    assert!(target.server.requests() > 0, "the target has got no request");
    assert!(longest < MAX_RESPONSE_TIME, "{slowest} has responded after {longest:?}");
    for (outcome, took) in outcomes.expect("the runtime starts") {
        assert!(took < MAX_REQUEST_TIME, "{outcome:?} after {took:?}");
        let is_whole = matches!(flood, Flood::AfterWhole);
        assert!(is_whole || !matches!(outcome, CallerOutcome::Incorrect(_)), "{outcome:?}");
        let is_endless = outcome == CallerOutcome::Unknown("body_too_large".to_owned());
        assert!(!is_endless, "the caller has got bytes without end");
        let is_late = outcome == CallerOutcome::Unknown("504 Gateway Timeout".to_owned());
        assert!(!is_late, "the request has waited for other responses until its timeout");
    }
    check_processes(&mut fleet, &target);
}

// Guards against an item's output without end that a keeper keeps in memory.
#[rstest]
fn items_are_done_elsewhere_while_a_target_sends_without_end(
    #[values(RawTargetKind::Engine, RawTargetKind::EngineWithSidecar)] kind: RawTargetKind,
    #[values(
        Flood::Interim,
        Flood::HeaderLine,
        Flood::UntilClose(b"\n"),
        Flood::UntilClose(b"data: x\n"),
        Flood::Chunked(b"\0"),
        Flood::DeclaredLength
    )]
    flood: Flood,
) {
    let _turn = FloodTurn::wait();
    let (mut fleet, target) = start_fleet(kind, move |request| flood.respond(request));
    let entries = fleet.entry_addresses();
    let times = ResponseTimes::start(&fleet);
    block_on(async {
        submit_until_accepted(&entries, "job1", 12, EVENTS_PER_ITEM).await;
        read_all_results(&entries, "job1", 12).await;
    })
    .expect("the runtime starts");
    let (slowest, longest) = times.finish();
    assert!(target.server.requests() > 0, "the target has got no request");
    assert!(longest < MAX_RESPONSE_TIME, "{slowest} has responded after {longest:?}");
    check_processes(&mut fleet, &target);
}

// Guards against a target that sends a few bytes now and then, each of which begins a new wait, so
// that a request is held longer than its route allows.
#[rstest]
fn bytes_now_and_then_do_not_hold_a_request(
    #[values(RawTargetKind::Plain, RawTargetKind::Engine, RawTargetKind::EngineWithSidecar)]
    kind: RawTargetKind,
    #[values(
        Flood::Interim,
        Flood::HeaderLines,
        Flood::HeaderLine,
        Flood::UntilClose(b": comment\n\n"),
        Flood::UntilClose(b"data: x\n"),
        Flood::Chunked(b"\0"),
        Flood::ChunkExtension,
        Flood::Trailers,
        Flood::DeclaredLength
    )]
    flood: Flood,
) {
    let (fleet, target) = start_fleet(kind, move |request| flood.trickle(request));
    let entry = fleet.entry_addresses()[0];
    let outcomes = block_on(join_all((0..8).map(|number| async move {
        let (id, started_at) = (format!("s{number}"), Instant::now());
        let outcome = match kind {
            RawTargetKind::Plain => request_plain(entry, "status", &id).await,
            _ => request_stream(entry, "advice", &id, 4).await,
        };
        (outcome, started_at.elapsed())
    })));
    assert!(target.server.requests() > 0, "the target has got no request");
    for (outcome, took) in outcomes.expect("the runtime starts") {
        assert!(took < MAX_REQUEST_TIME, "{outcome:?} after {took:?}");
        assert!(!matches!(outcome, CallerOutcome::Incorrect(_)), "{outcome:?}");
    }
}

/// Connects to an entry and sends a start and then a unit of bytes until the entry closes or the time is
/// over; reads the responses if `is_reading`.
fn flood_entry(entry: SocketAddr, start: &str, unit: &[u8], is_reading: bool) {
    let mut stream = TcpStream::connect(entry).expect("the entry accepts");
    stream.set_write_timeout(Some(Duration::from_millis(500))).expect("a timeout can be set");
    if is_reading {
        let mut responses = stream.try_clone().expect("the handle can be cloned");
        std::thread::spawn(move || std::io::copy(&mut responses, &mut std::io::sink()));
    }
    let block = unit.repeat(BLOCK_BYTES.div_ceil(unit.len()));
    let started_at = Instant::now();
    let mut is_sent = stream.write_all(start.as_bytes()).is_ok();
    while is_sent && started_at.elapsed() < Duration::from_secs(2) {
        is_sent = stream.write_all(&block).is_ok();
    }
}

// Guards against callers who send without end and keep an entry from handling anything else.
#[rstest]
#[case::requests("", b"GET /none/x HTTP/1.1\r\nHost: growers.example\r\n\r\n")]
#[case::blank_lines("", b"\r\n")]
#[case::header_lines("GET /none/x HTTP/1.1\r\n", b"x-filler: 0123456789\r\n")]
#[case::after_a_request("GET /none/x HTTP/1.1\r\nHost: growers.example\r\n\r\n", b"\0")]
#[case::chunks_of_one_byte(
    "POST /status/x HTTP/1.1\r\nHost: growers.example\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1\r\nx\r\n"
)]
#[case::chunk_extensions(
    "POST /status/x HTTP/1.1\r\nHost: growers.example\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
    b"x"
)]
fn an_entry_responds_while_callers_send_without_end(
    #[case] start: &'static str,
    #[case] unit: &'static [u8],
    #[values(false, true)] is_reading: bool,
) {
    let _turn = FloodTurn::wait();
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let entry = fleet.entry_addresses()[0];
    let times = ResponseTimes::start(&fleet);
    let callers: Vec<_> = (0..4)
        .map(|_| std::thread::spawn(move || flood_entry(entry, start, unit, is_reading)))
        .collect();
    let outcome = block_on(request_stream(entry, "advice", "s1", 4)).expect("the runtime starts");
    for caller in callers {
        caller.join().expect("the caller's thread finishes");
    }
    let (slowest, longest) = times.finish();
    assert_eq!(outcome, CallerOutcome::Completed);
    assert!(longest < MAX_RESPONSE_TIME, "{slowest} has responded after {longest:?}");
    for node in &mut fleet.nodes {
        assert_eq!(node.unexpected_exit(), None, "{} has exited by itself", node.name);
        let peak = node.peak_memory().expect("the process runs");
        assert!(peak <= MAX_PEAK_MEMORY, "{} has used {peak} bytes", node.name);
    }
}
