//! Sound items under which engines end for other reasons.

use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::RunRecord;
use cv_runtime::block_on;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::item_id;
use cv_tests::node_caller::request_prompt;
use cv_tests::node_caller::submit_prompts;
use rstest::rstest;

use crate::job_checks::read_all_results_with_events;

/// Number of engines.
const ENGINES: u8 = 4;

/// Number of events of each item; more than the engines produce before the last of them ends.
const EVENTS: u64 = 400;

/// Time in which each waiting item has to reach an engine while engines are up and have room.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Time in which all items have to be done after that.
const FINISH_TIME: Duration = Duration::from_secs(18);

/// Longest time until an item reaches an engine while the test ends engines.
const RUN_TIMEOUT: Duration = Duration::from_secs(9);

/// Time from the begin of a run to the end of its engine; so short that the run may be the cause, and
/// so long that two losses have no common cause.
const BEGIN_TIME: Duration = Duration::from_millis(100);

/// Starts a fleet whose engines can end.
fn ending_fleet() -> NodeFleet {
    let size = NodeFleetSize { engines: ENGINES, entries: 2, keepers: 1 };
    let binary = env!("CARGO_BIN_EXE_clementinevale");
    let fleet = NodeFleet::start_without_engine_proxies(binary, size);
    // Waits until the sidecars have sent their first load reports.
    std::thread::sleep(Duration::from_millis(1_200));
    fleet
}

/// Returns the runs of requests whose ids begin with a name.
fn runs_of(fleet: &NodeFleet, name: &str) -> Vec<RunRecord> {
    let mut runs = fleet.target_log.runs();
    runs.retain(|run| run.request_id.starts_with(name));
    runs
}

/// Ends the engine of each run of an item soon after it has begun, a number of times; returns when the
/// last one ended.
fn end_engines(fleet: &NodeFleet, item: &str, times: usize) -> Instant {
    for ended in 0..times {
        let has_begun = |fleet: &NodeFleet| runs_of(fleet, item).len() > ended;
        assert!(fleet.wait_for(RUN_TIMEOUT, has_begun), "run {ended} of {item} does not begin");
        std::thread::sleep(BEGIN_TIME);
        let run = &runs_of(fleet, item)[ended];
        let index = run.target_id.strip_prefix("engine-").and_then(|index| index.parse().ok());
        fleet.restart_target(index.expect("items run at engines"));
    }
    Instant::now()
}

// Guards against a sound item that is not placed again in calm, since engines ended under it during a
// burst of crashes and at its next trials.
#[rstest]
#[case::in_a_burst(5)]
#[case::and_at_two_trials(7)]
fn a_sound_item_is_placed_again_in_calm(#[case] losses: usize) {
    let fleet = ending_fleet();
    let entries = fleet.entry_addresses();
    let prompts = ["a1:9,b1:9,c1:9"];
    let submitted = block_on(submit_prompts(entries[0], "unlucky", &prompts, EVENTS));
    assert_eq!(submitted.expect("the runtime starts"), CallerOutcome::Completed);
    let item = item_id("unlucky", 0);
    let ended_at = end_engines(&fleet, &item, losses);
    let has_begun = |fleet: &NodeFleet| runs_of(fleet, &item).len() > losses;
    assert!(fleet.wait_for(CALM_TIME, has_begun), "the item waits {CALM_TIME:?} in calm");
    block_on(read_all_results_with_events(&entries, "unlucky", 1, EVENTS))
        .expect("the runtime starts");
    assert!(ended_at.elapsed() < FINISH_TIME, "done after {:?}", ended_at.elapsed());
}

// Guards against items that wait for the whole run of the one that is tried.
#[test]
fn all_items_are_placed_again_once_an_engine_survives_one() {
    /// Number of events of each item, for which a run lasts longer than [`CALM_TIME`].
    const LONG_EVENTS: u64 = 1_000;
    let fleet = ending_fleet();
    let entries = fleet.entry_addresses();
    let submit = |job: &'static str, prompts: &'static [&'static str]| {
        let submitted = block_on(submit_prompts(entries[0], job, prompts, LONG_EVENTS));
        assert_eq!(submitted.expect("the runtime starts"), CallerOutcome::Completed);
    };
    submit("first", &["a1:9,b1:9,c1:9"]);
    end_engines(&fleet, &item_id("first", 0), 5);
    submit("second", &["a1:9,b1:9,c1:9"; 2]);
    let waiting = [item_id("second", 0), item_id("second", 1)];
    let have_begun =
        |fleet: &NodeFleet| waiting.iter().all(|item| !runs_of(fleet, item).is_empty());
    assert!(fleet.wait_for(CALM_TIME, have_begun), "items wait {CALM_TIME:?} in calm");
}

// Guards against online requests that are refused because engines ended under sound items with a part
// of their prompts.
#[test]
fn engines_that_end_under_items_accuse_no_part_of_online_requests() {
    let fleet = ending_fleet();
    let entries = fleet.entry_addresses();
    let submitted = block_on(submit_prompts(entries[0], "unlucky", &["a1:9,b1:9,c1:9"], EVENTS));
    assert_eq!(submitted.expect("the runtime starts"), CallerOutcome::Completed);
    end_engines(&fleet, &item_id("unlucky", 0), 5);
    // The engine that ended last is given up as a target.
    std::thread::sleep(Duration::from_secs(1));
    let served = block_on(async {
        request_prompt(entries[1], "advice", "online", 20, "a1:9,b1:9,d1:9").await
    });
    assert_eq!(served.expect("the runtime starts"), CallerOutcome::Completed);
}
