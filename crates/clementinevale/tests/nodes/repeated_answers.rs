//! Targets that send an answer once more, on the whole way from an entry.

use cv_runtime::block_on;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::NodeCaller;
use cv_tests::node_caller::item_id;
use cv_tests::node_caller::submit_job;
use http::StatusCode;
use rstest::rstest;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;

/// Refusals of a test.
const REFUSALS: usize = 3;

/// Requests after each refused one, which go out on the connection of the refusal.
const LATER_REQUESTS: usize = 2;

/// Events of a stream, which lasts long enough for another run to start meanwhile.
const EVENTS: u64 = 20;

// Guards against a request that must run once and runs twice, or is reported as not run though it
// runs, after a copy of a refusal has arrived in front of the next answer on the connection.
#[rstest]
fn a_repeated_refusal_proves_nothing_of_a_request(
    #[values("hints", "orders")] route: &str,
    #[values(421, 429, 503)] status: u16,
    #[values(true, false)] has_request_id: bool,
    #[values(1, 2)] engines: u8,
) {
    let size = NodeFleetSize { engines, entries: 1, keepers: 0 };
    let binary = env!("CARGO_BIN_EXE_clementinevale");
    let fleet = NodeFleet::start_without_engine_proxies(binary, size);
    let status = StatusCode::from_u16(status).expect("a valid status");
    let mut failures = Vec::new();
    for round in 0..REFUSALS {
        fleet.repeat_rule.refuse_next(status, has_request_id);
        for number in 0..=LATER_REQUESTS {
            let id = format!("{route}{round}x{number}");
            let outcome = block_on(async {
                let mut caller = NodeCaller::new(fleet.entry_addresses()[0]);
                match route {
                    "hints" => caller.request_stream(route, &id, EVENTS).await,
                    _ => caller.request_plain(route, &id).await,
                }
            });
            let outcome = outcome.expect("the runtime starts");
            let runs = fleet.target_log.runs();
            let runs = runs.iter().filter(|run| run.request_id == id).count();
            let is_true = match outcome {
                CallerOutcome::Completed => runs == 1,
                CallerOutcome::NotRun => runs == 0,
                // A refusal that names no request may leave open whether a request has run.
                CallerOutcome::Unknown(_) => runs <= 1 && !has_request_id,
                CallerOutcome::Incorrect(_) => false,
            };
            if !is_true {
                failures.push(format!("{id}: {runs} runs, {outcome:?}"));
            }
        }
    }
    assert!(fleet.repeat_rule.has_drawn_next(), "no request was refused");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// Guards against a copy of an item's error that is taken for the answer to its next run.
#[test]
fn a_repeated_error_is_not_taken_for_that_of_the_next_run() {
    let size = NodeFleetSize { engines: 1, entries: 1, keepers: 1 };
    let binary = env!("CARGO_BIN_EXE_clementinevale");
    let fleet = NodeFleet::start_without_engine_proxies(binary, size);
    let entry = fleet.entry_addresses()[0];
    fleet.repeat_rule.fail_next();
    block_on(async {
        let outcome = submit_job(entry, "job1", 1, EVENTS_PER_ITEM).await;
        assert_eq!(outcome, CallerOutcome::Completed);
        read_all_results(&[entry], "job1", 1).await;
    })
    .expect("the runtime starts");
    let id = item_id("job1", 0);
    let runs = fleet.target_log.runs();
    let runs = runs.iter().filter(|run| run.request_id == id).count();
    assert_eq!(runs, 2, "one that fails and one more");
}
