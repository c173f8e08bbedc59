//! Targets that stop within the head of a response and close the connection.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cv_adapter_standin::PlatformTarget;
use cv_runtime::block_on;
use cv_standin::RawEnding;
use cv_standin::RawRequest;
use cv_standin::RawResponse;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::RawTarget;
use cv_tests::RawTargetKind;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::NodeCaller;
use rstest::rstest;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;
use crate::job_checks::submit_until_accepted;

/// Requests that a target gets; a third of them is enough for each place in a head.
const REQUESTS: u64 = 480;

/// Events of each stream.
const EVENTS: u64 = 3;

/// How a target frames the bodies of its responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    UntilClose,
}

/// Encodes a whole response, and returns it with the length of its head.
fn encode(request: &RawRequest, framing: Framing, is_plain: bool, events: u64) -> (Vec<u8>, usize) {
    let body = if is_plain {
        PlatformTarget::event_data(&request.id, 0)
    } else {
        let whole = PlatformTarget::expected_stream(&request.id, events);
        let seen = PlatformTarget::expected_stream(&request.id, request.last_event);
        whole[seen.len()..].to_owned()
    };
    // The framing comes last, so that a part of the head looks complete without it.
    let content_type = if is_plain { "text/plain" } else { "text/event-stream" };
    let start = format!(
        "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nRequest-Id: {}\r\n\
         Content-Type: {content_type}\r\n",
        request.id
    );
    let (head, body) = match framing {
        Framing::Length => (format!("{start}Content-Length: {}\r\n\r\n", body.len()), body),
        Framing::Chunks => {
            let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            let chunks = if body.is_empty() { "0\r\n\r\n".to_owned() } else { chunks };
            (format!("{start}Transfer-Encoding: chunked\r\n\r\n"), chunks)
        }
        Framing::UntilClose => (format!("{start}\r\n"), body),
    };
    let head_length = head.len();
    ((head + &body).into_bytes(), head_length)
}

/// Cuts off the head of each third response of a target, at every place in turn. A target that only
/// fails would get few requests.
struct HeadCutter {
    framing: Framing,
    /// Whether whole responses keep their connection open.
    is_kept: bool,
    is_plain: bool,
    is_reset: bool,
    responses: AtomicUsize,
}

impl HeadCutter {
    /// Returns the response to a request.
    fn respond(&self, request: &RawRequest) -> RawResponse {
        let (mut bytes, head_length) = encode(request, self.framing, self.is_plain, EVENTS);
        let number = self.responses.fetch_add(1, Ordering::Relaxed);
        if number % 3 < 2 {
            let is_kept = self.is_kept && self.framing != Framing::UntilClose;
            let ending = if is_kept { RawEnding::KeepOpen } else { RawEnding::Close };
            return RawResponse { bytes, ending, ..RawResponse::default() };
        }
        bytes.truncate(number / 3 % head_length);
        let ending = if self.is_reset { RawEnding::Reset } else { RawEnding::Close };
        RawResponse { bytes, ending, ..RawResponse::default() }
    }
}

/// Starts a fleet whose only target of a kind cuts off the heads of its responses.
fn start_fleet(kind: RawTargetKind, cutter: HeadCutter) -> (NodeFleet, RawTarget) {
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let target = RawTarget::add(&mut fleet, kind, move |request| cutter.respond(request));
    fleet.deregister("plain-0");
    fleet.deregister("engine-0");
    std::thread::sleep(Duration::from_millis(1_200));
    (fleet, target)
}

// Guards against a response whose head breaks off and that reaches the caller as a whole one, with an
// empty or short body. There is no other target.
#[rstest]
fn a_head_that_breaks_off_is_no_response(
    #[values(RawTargetKind::Plain, RawTargetKind::Engine, RawTargetKind::EngineWithSidecar)]
    kind: RawTargetKind,
    #[values(Framing::Length, Framing::Chunks, Framing::UntilClose)] framing: Framing,
    #[values(false, true)] is_kept: bool,
    #[values(false, true)] is_reset: bool,
) {
    let is_plain = kind == RawTargetKind::Plain;
    let responses = AtomicUsize::new(0);
    let cutter = HeadCutter { framing, is_kept, is_plain, is_reset, responses };
    let (fleet, target) = start_fleet(kind, cutter);
    let entry = fleet.entry_addresses()[0];
    let (mut completed, mut number) = (0, 0_u64);
    block_on(async {
        let mut caller = NodeCaller::new(entry);
        // A target that fails gets no requests for a while, and callers are refused meanwhile.
        while target.server.requests() < REQUESTS && number < 4 * REQUESTS {
            number += 1;
            let id = format!("s{number}");
            let outcome = if is_plain {
                caller.request_plain("orders", &id).await
            } else {
                caller.request_stream("advice", &id, EVENTS).await
            };
            assert!(!matches!(outcome, CallerOutcome::Incorrect(_)), "{outcome:?}");
            completed += u32::from(outcome == CallerOutcome::Completed);
            if outcome == CallerOutcome::NotRun {
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    })
    .expect("the runtime starts");
    assert!(target.server.requests() >= REQUESTS, "{} requests", target.server.requests());
    assert!(completed > 0, "none of {number} completed");
}

// Guards against an item that is listed as completed without its output.
#[rstest]
fn an_item_whose_head_breaks_off_is_not_done(
    #[values(RawTargetKind::Engine, RawTargetKind::EngineWithSidecar)] kind: RawTargetKind,
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
    #[values(false, true)] is_reset: bool,
) {
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let cuts = AtomicUsize::new(0);
    let target = RawTarget::add(&mut fleet, kind, move |request| {
        let (mut bytes, head_length) = encode(request, framing, false, EVENTS_PER_ITEM);
        let cut = cuts.fetch_add(7, Ordering::Relaxed) % (head_length + 40);
        if cut >= head_length {
            return RawResponse { bytes, ..RawResponse::default() };
        }
        bytes.truncate(cut);
        let ending = if is_reset { RawEnding::Reset } else { RawEnding::Close };
        RawResponse { bytes, ending, ..RawResponse::default() }
    });
    if kind == RawTargetKind::Engine {
        fleet.nodes.remove(0).kill();
    }
    std::thread::sleep(Duration::from_millis(1_200));
    let entries = fleet.entry_addresses();
    block_on(async {
        submit_until_accepted(&entries, "job1", 24, EVENTS_PER_ITEM).await;
        read_all_results(&entries, "job1", 24).await;
    })
    .expect("the runtime starts");
    assert!(target.server.requests() > 3, "the target has got {}", target.server.requests());
}
