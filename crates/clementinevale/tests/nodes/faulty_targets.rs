//! Targets that answer a resumed stream with an error, and odd entries among the targets.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpLimits;
use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::engine_id;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::request_stream;
use cv_tests::node_caller::submit_job;
use futures::future::join_all;
use http::Method;
use rstest::rstest;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;

/// Starts a fleet of engines, one entry and one keeper.
fn start_fleet(engines: u8) -> NodeFleet {
    let size = NodeFleetSize { engines, entries: 1, keepers: 1 };
    NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size)
}

/// Sets the fault of the connections between an engine and its sidecar.
fn set_engine_fault(fleet: &NodeFleet, engine: usize, mode: FaultMode) {
    fleet.nodes[engine].target_proxy.as_ref().expect("a sidecar's proxy").set_mode(mode);
}

// Guards against an error response in the middle of a stream that another target has begun.
#[rstest]
#[case::bad_request(400)]
#[case::not_found(404)]
#[case::unprocessable(422)]
#[case::internal_error(500)]
fn an_error_does_not_reach_the_caller_within_a_stream(#[case] status: u16) {
    let fleet = start_fleet(2);
    let entry = fleet.entry_addresses()[0];
    fleet.resume_status.store(status, Ordering::Relaxed);
    // Streams break off within the first events.
    for engine in 0..2 {
        set_engine_fault(&fleet, engine, FaultMode::TruncateResponse(700));
    }
    let outcome = block_on(async { request_stream(entry, "advice", "s1", 60).await });
    let outcome = outcome.expect("the runtime starts");
    assert!(matches!(outcome, CallerOutcome::Unknown(_)), "{outcome:?}");
    assert!(fleet.target_log.runs().iter().any(|run| run.after > 0), "no stream was resumed");
}

// Guards against entries of other writers that end a process or keep it from following the list.
#[test]
fn odd_entries_among_the_targets_are_passed_over() {
    let mut fleet = start_fleet(2);
    let entry = fleet.entry_addresses()[0];
    fleet.deregister(&engine_id(1));
    let nested = format!("{}1{}", "[".repeat(200_000), "]".repeat(200_000));
    let entry_with = |field: &str, value: &str| {
        let fields = [
            ("service", "\"llm\""),
            ("address", "\"127.0.0.1:9\""),
            ("zone", "\"zone-0\""),
            ("version", "\"v1\""),
            ("slots", "4"),
            ("state", "\"ready\""),
            ("coldLeftMs", "0"),
            ("callSeq", "1"),
        ];
        let rows = fields
            .map(|(name, text)| format!("\"{name}\":{}", if name == field { value } else { text }));
        format!("{{{}}}", rows.join(","))
    };
    let huge = "9".repeat(400);
    let values = [
        nested.clone(),
        entry_with("slots", &nested),
        entry_with("version", &nested),
        entry_with("coldLeftMs", &huge),
        entry_with("slots", &huge),
        entry_with("slots", "4294967295"),
        entry_with("slots", "-1"),
        entry_with("slots", "1e999"),
        entry_with("callSeq", "-1e-999"),
        entry_with("address", "\"127.0.0.1:70000\""),
        entry_with("address", "\"127.0.0.1:0\""),
        entry_with("address", "\"255.255.255.255:65535\""),
        entry_with("state", "null"),
        entry_with("service", &nested),
        String::new(),
    ];
    for (number, value) in values.iter().enumerate() {
        fleet.store.write_bytes(&format!("servers/odd-{number}"), value.as_bytes());
    }
    fleet.store.write_bytes("servers/odd-bytes", &[0xff, 0xfe, 0, 0x7b]);
    std::thread::sleep(Duration::from_millis(800));
    fleet.register(&engine_id(1), "ready");
    let started_at = Instant::now();
    let mut completed = 0;
    while count_runs_at(&fleet, &engine_id(1)) == 0 || completed < 20 {
        let id = format!("s{}", started_at.elapsed().as_micros());
        let outcome =
            block_on(request_stream(entry, "advice", &id, 3)).expect("the runtime starts");
        assert!(!matches!(outcome, CallerOutcome::Incorrect(_)), "{outcome:?}");
        completed += u32::from(outcome == CallerOutcome::Completed);
        assert!(
            started_at.elapsed() < Duration::from_secs(15),
            "{completed} completed, and the new target gets no request"
        );
    }
    block_on(async {
        let outcome = submit_job(entry, "job1", 8, EVENTS_PER_ITEM).await;
        assert_eq!(outcome, CallerOutcome::Completed);
        read_all_results(&[entry], "job1", 8).await;
    })
    .expect("the runtime starts");
    for node in &mut fleet.nodes {
        assert_eq!(node.unexpected_exit(), None, "{} has exited by itself", node.name);
    }
}

/// Returns how many requests have run at a target.
fn count_runs_at(fleet: &NodeFleet, target: &str) -> usize {
    fleet.target_log.runs().iter().filter(|run| run.target_id == target).count()
}

// Guards against responses without end that keep a process from handling anything else.
#[test]
fn a_process_responds_while_a_target_sends_interim_responses_without_end() {
    let fleet = start_fleet(1);
    let entry = fleet.entry_addresses()[0];
    set_engine_fault(&fleet, 0, FaultMode::SendInterimResponses);
    let metrics = std::thread::spawn({
        let address = fleet.internal_address(10);
        move || {
            std::thread::sleep(Duration::from_millis(400));
            let started_at = Instant::now();
            let request = ClientRequest::new(Method::GET, "/metrics", "");
            let response = block_on(async {
                let timeout = Duration::from_secs(1);
                let limits = HttpLimits::default();
                let mut connection = ClientConnection::connect(address, timeout, limits).await?;
                connection.exchange(&request, timeout, 1024 * 1024).await
            });
            (started_at.elapsed(), response.expect("the runtime starts").is_ok())
        }
    });
    let outcomes = block_on(join_all((0..4).map(|number| async move {
        request_stream(entry, "advice", &format!("s{number}"), 40).await
    })));
    let (took, has_responded) = metrics.join().expect("the thread finishes");
    assert!(has_responded, "the sidecar does not respond within {took:?}");
    for outcome in outcomes.expect("the runtime starts") {
        assert!(!matches!(outcome, CallerOutcome::Incorrect(_)), "{outcome:?}");
    }
}
