//! Requests that come to an entry while it shuts down.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::PlatformTarget;
use cv_runtime::block_on;
use cv_standin::RawEnding;
use cv_standin::RawResponse;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::RawTarget;
use cv_tests::RawTargetKind;
use cv_tests::Signal;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::request_plain;
use rstest::rstest;

/// Time from the signal at which the platform kills the processes of a test's fleet.
const GRACE: Duration = Duration::from_secs(4);

/// Time within which a refusal has to come.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Starts a fleet whose only plain target responds after a delay.
fn start_fleet(delay: Duration) -> (NodeFleet, RawTarget) {
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let target = RawTarget::add(&mut fleet, RawTargetKind::Plain, move |request| {
        let body = PlatformTarget::event_data(&request.id, 0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nRequest-Id: {}\r\nContent-Length: {}\r\n\r\n",
            request.id,
            body.len()
        );
        RawResponse { bytes: (head + &body).into_bytes(), delay, ending: RawEnding::KeepOpen }
    });
    fleet.deregister("plain-0");
    std::thread::sleep(Duration::from_secs(1));
    (fleet, target)
}

/// Sends the termination signal to the entry.
fn stop_entry(fleet: &NodeFleet) {
    let entry = fleet.nodes.iter().find(|node| node.name.starts_with("entry"));
    entry.expect("the fleet has an entry").signal(Signal::TERM);
}

/// Waits until the entry has exited and checks that it has cut off no request.
fn check_stopped(fleet: &mut NodeFleet) {
    let entry = fleet.nodes.iter_mut().find(|node| node.name.starts_with("entry"));
    let entry = entry.expect("the fleet has an entry");
    assert_eq!(entry.terminate(GRACE), Ok(()));
    let output = entry.output();
    assert!(output.contains("cut_off=0"), "{output}");
}

/// Sends a request whose body follows after a pause; returns all that comes back, and when after the
/// end of the request.
fn request_slowly(fleet: &NodeFleet, id: &str, pause: Duration) -> (String, Duration) {
    let mut stream = TcpStream::connect(fleet.entry_addresses()[0]).expect("the entry accepts");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a timeout can be set");
    write!(
        stream,
        "POST /orders/x HTTP/1.1\r\nHost: growers.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\n"
    )
    .expect("the head is sent");
    std::thread::sleep(pause);
    stream.write_all(b"order").expect("the body is sent");
    let sent_at = Instant::now();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    (response, sent_at.elapsed())
}

// Guards against requests that are taken in the grace, though they may last longer than it, and cut
// off at its end without a response.
#[test]
fn a_request_that_may_outlast_the_grace_is_refused_at_once() {
    let (mut fleet, target) = start_fleet(Duration::from_millis(2_800));
    let entry = fleet.entry_addresses()[0];
    stop_entry(&fleet);
    std::thread::sleep(Duration::from_millis(1_500));
    let started_at = Instant::now();
    let outcome = block_on(request_plain(entry, "orders", "p1")).expect("the runtime starts");
    assert_eq!(outcome, CallerOutcome::NotRun);
    assert!(started_at.elapsed() < REFUSAL_TIME, "refused after {:?}", started_at.elapsed());
    check_stopped(&mut fleet);
    assert_eq!(target.server.requests(), 0, "the refused request has reached the target");
}

// Guards against a request that counts as arrived with its first byte, though the rest of it comes
// when nothing is left of the grace.
#[rstest]
#[case::in_the_drain_delay(Duration::from_millis(1_700))]
#[case::after_the_drain_delay(Duration::from_millis(2_800))]
fn a_request_whose_body_comes_late_in_the_grace_is_refused(#[case] pause: Duration) {
    let (mut fleet, target) = start_fleet(Duration::from_millis(2_500));
    let (response, took) = std::thread::scope(|scope| {
        let caller = scope.spawn(|| request_slowly(&fleet, "p1", pause));
        std::thread::sleep(Duration::from_millis(100));
        stop_entry(&fleet);
        caller.join().expect("the caller's thread finishes")
    });
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.to_ascii_lowercase().contains("retry-after"), "{response}");
    assert!(took < REFUSAL_TIME, "refused after {took:?}");
    check_stopped(&mut fleet);
    assert_eq!(target.server.requests(), 0, "the refused request has reached the target");
}

// Guards against a request without any response at the end of the grace, which its caller can't tell
// from a lost connection.
#[test]
fn a_request_that_outlasts_the_grace_gets_a_response() {
    let (mut fleet, target) = start_fleet(Duration::from_secs(8));
    let entry = fleet.entry_addresses()[0];
    let outcome = std::thread::scope(|scope| {
        let caller = scope
            .spawn(|| block_on(request_plain(entry, "orders", "p1")).expect("the runtime starts"));
        assert!(fleet.wait_for(Duration::from_secs(2), |_| target.server.requests() > 0));
        stop_entry(&fleet);
        caller.join().expect("the caller's thread finishes")
    });
    assert_eq!(outcome, CallerOutcome::Unknown("504 Gateway Timeout".to_owned()));
    check_stopped(&mut fleet);
}

// Guards against refusals of requests that end long before the grace does.
#[test]
fn a_request_of_a_route_with_short_runs_is_served_in_the_grace() {
    let (mut fleet, target) = start_fleet(Duration::from_millis(50));
    let entry = fleet.entry_addresses()[0];
    let request = |id: &'static str| {
        block_on(request_plain(entry, "orders", id)).expect("the runtime starts")
    };
    assert_eq!(request("p1"), CallerOutcome::Completed);
    stop_entry(&fleet);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(request("p2"), CallerOutcome::Completed);
    check_stopped(&mut fleet);
    assert_eq!(target.server.requests(), 2);
}
