//! Targets that send responses to other requests in front of a request's own.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cv_adapter_standin::PlatformTarget;
use cv_runtime::block_on;
use cv_standin::RawRequest;
use cv_standin::RawResponse;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::RawTarget;
use cv_tests::RawTargetKind;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::request_plain;
use cv_tests::node_caller::request_stream;
use rstest::rstest;

/// Events of a stream.
const EVENTS: u64 = 4;

/// Requests within which one goes out on a connection that has carried others.
const MAX_REQUESTS: u64 = 60;

/// Encodes a response to the request with the given id.
fn encode_response(id: &str, kind: RawTargetKind) -> String {
    let (content_type, body) = match kind {
        RawTargetKind::Plain => ("text/plain", PlatformTarget::event_data(id, 0)),
        _ => ("text/event-stream", PlatformTarget::expected_stream(id, EVENTS)),
    };
    format!(
        "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nRequest-Id: {id}\r\nContent-Type: {content_type}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

// Guards against a call that gives up among responses to other requests and is taken for not run, and
// against one of these responses that is taken for the request's own.
#[rstest]
#[case::few_at_a_plain_target(RawTargetKind::Plain, 2)]
#[case::many_at_a_plain_target(RawTargetKind::Plain, 3)]
#[case::few_behind_a_sidecar(RawTargetKind::EngineWithSidecar, 2)]
#[case::many_behind_a_sidecar(RawTargetKind::EngineWithSidecar, 3)]
fn a_request_behind_responses_to_others_runs_once(
    #[case] kind: RawTargetKind,
    #[case] strays: usize,
) {
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    fleet.deregister("plain-0");
    fleet.deregister("engine-0");
    // The ids that have come, with the earlier requests on their connection.
    let requests: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let log = Arc::clone(&requests);
    let _target = RawTarget::add(&mut fleet, kind, move |request: &RawRequest| {
        log.lock().expect("no test thread panics").push((request.id.clone(), request.position));
        let strays = if request.position == 0 { 0 } else { strays };
        let mut bytes = encode_response("earlier", kind).repeat(strays);
        bytes.push_str(&encode_response(&request.id, kind));
        RawResponse { bytes: bytes.into_bytes(), ..RawResponse::default() }
    });
    let entry = fleet.entry_addresses()[0];
    let mut outcome = None;
    for number in 0..MAX_REQUESTS {
        let id = format!("s{number}");
        let sent = block_on(async {
            match kind {
                RawTargetKind::Plain => request_plain(entry, "orders", &id).await,
                _ => request_stream(entry, "hints", &id, EVENTS).await,
            }
        });
        let sent = sent.expect("the runtime starts");
        let seen = requests.lock().expect("no target thread panics").clone();
        if seen.iter().any(|(other, position)| *other == id && *position > 0) {
            assert_eq!(seen.iter().filter(|(other, _)| *other == id).count(), 1, "{seen:?}");
            outcome = Some(sent);
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let expected = match strays {
        0..=2 => CallerOutcome::Completed,
        _ => CallerOutcome::Unknown("502 Bad Gateway".to_owned()),
    };
    assert_eq!(outcome, Some(expected));
}
