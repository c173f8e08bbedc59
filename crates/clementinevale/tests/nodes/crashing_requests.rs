//! Requests that end each target that runs them, and that come again with the same content.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_runtime::block_on;
use cv_tests::FleetOptions;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::NodeProcess;
use cv_tests::RepeatedCall;
use cv_tests::Signal;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::expected_output;
use cv_tests::node_caller::item_id;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::submit_job;
use cv_tests::node_caller::submit_prompts;
use rstest::rstest;

/// Number of losses after which a request may hardly run.
const MAX_LOSSES: usize = 3;

/// Time after the last of these losses from which runs count.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Most runs that may begin after [`CONTACT_TIME`].
const MAX_LATE_RUNS: usize = 3;

/// Time for which a request comes again and again.
const LOAD_TIME: Duration = Duration::from_secs(15);

/// Time between two attempts of a request that ends targets.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

/// Number of targets of the plain service.
const PLAIN_TARGETS: u8 = 3;

/// A request to the plain service that ends its targets.
const PLAIN_CALL: RepeatedCall =
    RepeatedCall { body: "deadly", caller_key: "", events: 0, prefix: "", route: "status" };

/// A stream that ends engines, of whose prompt all parts are shared with sound streams.
const SHARED_CALL: RepeatedCall = RepeatedCall {
    body: "deadly",
    caller_key: "",
    events: 20,
    prefix: "a1:100,b1:50,c1:250",
    route: "advice",
};

/// A stream that ends engines and names no prompt parts.
const BARE_CALL: RepeatedCall = RepeatedCall { prefix: "", ..SHARED_CALL };

/// A call and what became of it.
struct CallRecord {
    outcome: CallerOutcome,
    started_at: Instant,
}

/// Starts a fleet whose targets end at a call.
fn crashing_fleet(call: &RepeatedCall) -> NodeFleet {
    let size = NodeFleetSize { engines: 4, entries: 2, keepers: 1 };
    let options = FleetOptions {
        has_engine_proxies: false,
        plain_targets: PLAIN_TARGETS,
        ..FleetOptions::default()
    };
    let fleet = NodeFleet::start_with(env!("CARGO_BIN_EXE_clementinevale"), size, options);
    fleet.crash_rule.set_requests(&[call.crashing_request()]);
    // Waits until the sidecars have sent their first load reports.
    std::thread::sleep(Duration::from_millis(1_200));
    fleet
}

/// Makes a call to the entries in turn, each time under a new id that begins with a name.
fn repeat_call(
    entries: &[SocketAddr],
    call: RepeatedCall,
    name: &str,
    interval: Duration,
    duration: Duration,
) -> Vec<CallRecord> {
    let started_at = Instant::now();
    let outcomes = block_on(async {
        let mut calls = Vec::new();
        while started_at.elapsed() < duration {
            let number = calls.len();
            let (entry, id) = (entries[number % entries.len()], format!("{name}-{number}"));
            calls.push(monoio::spawn(async move {
                let started_at = Instant::now();
                CallRecord { outcome: call.send(entry, id).await, started_at }
            }));
            monoio::time::sleep(interval).await;
        }
        futures::future::join_all(calls).await
    });
    outcomes.expect("the runtime starts")
}

/// Makes a call that ends targets for a time.
fn repeat_crashing(
    entries: &[SocketAddr],
    call: RepeatedCall,
    duration: Duration,
) -> Vec<CallRecord> {
    repeat_call(entries, call, "crashing", CRASHING_INTERVAL, duration)
}

/// Returns how many runs of calls with a name began.
fn count_runs(fleet: &NodeFleet, name: &str) -> usize {
    let runs = fleet.target_log.runs();
    runs.iter().filter(|run| run.request_id.starts_with(name)).count()
}

/// Checks that hardly any run of the crashing call began later than [`CONTACT_TIME`] after it had
/// ended [`MAX_LOSSES`] targets.
fn check_late_runs(fleet: &NodeFleet) {
    let losses = fleet.target_log.losses();
    let last = *losses.get(MAX_LOSSES - 1).expect("the call ends targets");
    let runs = fleet.target_log.runs();
    let crashing = runs.iter().filter(|run| run.request_id.starts_with("crashing"));
    let late = crashing.filter(|run| run.started_at > last + CONTACT_TIME).count();
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} runs began after {MAX_LOSSES} targets had ended; {} ended in all",
        losses.len()
    );
}

/// Checks that nearly all calls that began in the last seconds were served.
fn check_served(calls: &[CallRecord]) {
    let end = calls.last().expect("calls were made").started_at;
    let is_last = |call: &&CallRecord| end - call.started_at < Duration::from_secs(4);
    let last: Vec<&CallRecord> = calls.iter().filter(is_last).collect();
    let served = last.iter().filter(|call| call.outcome == CallerOutcome::Completed).count();
    assert!(served * 10 >= last.len() * 9, "{served} of {} sound calls served", last.len());
}

/// Makes the crashing call until it has been found out, and checks that it is refused.
fn find_out_call(fleet: &NodeFleet, entries: &[SocketAddr], call: RepeatedCall) {
    repeat_crashing(entries, call, Duration::from_secs(8));
    let calls = repeat_crashing(entries, call, Duration::from_secs(1));
    check_late_runs(fleet);
    let refused = calls.iter().filter(|call| call.outcome == CallerOutcome::NotRun).count();
    assert!(refused + 1 >= calls.len(), "{refused} of {} calls refused", calls.len());
}

/// Checks that the crashing call runs no more, but for the retries that are left.
fn check_refused(fleet: &NodeFleet, entries: &[SocketAddr], call: RepeatedCall) {
    repeat_crashing(entries, call, Duration::from_secs(6));
    check_late_runs(fleet);
}

/// Waits until both entries are ready.
fn wait_for_entries(fleet: &NodeFleet) {
    let is_ready = |fleet: &NodeFleet| fleet.is_ready(0) && fleet.is_ready(1);
    assert!(fleet.wait_for(Duration::from_secs(10), is_ready), "the entries are not ready");
}

#[rstest]
fn a_request_without_parts_does_not_end_targets_for_ever(
    #[values(PLAIN_CALL, RepeatedCall { route: "orders", ..PLAIN_CALL }, BARE_CALL)]
    call: RepeatedCall,
    #[values(false, true)] ends_before_response: bool,
) {
    let fleet = crashing_fleet(&call);
    fleet.crash_rule.ends_before_response.store(ends_before_response, Ordering::Relaxed);
    let entries = fleet.entry_addresses();
    repeat_crashing(&entries, call, LOAD_TIME);
    check_late_runs(&fleet);
}

#[rstest]
#[case::one_service(PLAIN_CALL)]
#[case::shared_parts(SHARED_CALL)]
#[case::no_parts(BARE_CALL)]
fn sound_requests_are_served_beside_one_that_ends_targets(#[case] call: RepeatedCall) {
    let fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    let sound_entries = entries.clone();
    let sound_call = RepeatedCall { body: "sound", ..call };
    let sound = std::thread::spawn(move || {
        repeat_call(&sound_entries, sound_call, "sound", SOUND_INTERVAL, LOAD_TIME)
    });
    repeat_crashing(&entries, call, LOAD_TIME);
    check_served(&sound.join().expect("the callers' thread finishes"));
    check_late_runs(&fleet);
}

#[rstest]
#[case::plain(PLAIN_CALL)]
#[case::shared_parts(SHARED_CALL)]
fn a_sound_request_does_not_clear_one_that_ends_targets(#[case] call: RepeatedCall) {
    /// Time in which parts in quarantine are tried with a sound request.
    const SOUND_TIME: Duration = Duration::from_secs(8);
    let fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    repeat_crashing(&entries, call, Duration::from_secs(2));
    let sound = RepeatedCall { body: "sound", ..call };
    let calls = repeat_call(&entries, sound, "sound", SOUND_INTERVAL, SOUND_TIME);
    assert!(calls.iter().any(|call| call.outcome == CallerOutcome::Completed));
    repeat_crashing(&entries, call, Duration::from_secs(6));
    check_late_runs(&fleet);
}

#[rstest]
fn processes_that_were_all_killed_remember_a_request_that_ends_targets(
    #[values(PLAIN_CALL, SHARED_CALL)] call: RepeatedCall,
) {
    let mut fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    find_out_call(&fleet, &entries, call);
    fleet.nodes.iter_mut().for_each(NodeProcess::kill);
    fleet.nodes.iter_mut().for_each(NodeProcess::start);
    wait_for_entries(&fleet);
    check_refused(&fleet, &entries, call);
}

#[rstest]
fn an_entry_refuses_what_only_a_killed_entry_saw(
    #[values(PLAIN_CALL, SHARED_CALL)] call: RepeatedCall,
) {
    let mut fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    find_out_call(&fleet, &entries[..1], call);
    let seeing = fleet.nodes.iter_mut().find(|node| node.name == "entry-50");
    seeing.expect("the fleet has the entry").kill();
    check_refused(&fleet, &entries[1..], call);
}

#[rstest]
fn an_entry_that_was_stopped_meanwhile_refuses_a_request_that_ends_targets(
    #[values(PLAIN_CALL, SHARED_CALL)] call: RepeatedCall,
) {
    let fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    let stopped = fleet.nodes.iter().find(|node| node.name == "entry-51");
    let stopped = stopped.expect("the fleet has the entry");
    stopped.signal(Signal::STOP);
    find_out_call(&fleet, &entries[..1], call);
    stopped.signal(Signal::CONT);
    std::thread::sleep(CONTACT_TIME);
    check_refused(&fleet, &entries[1..], call);
}

#[test]
fn losses_that_two_entries_saw_count_together() {
    /// Time between two attempts; targets are back by then.
    const INTERVAL: Duration = Duration::from_millis(2_500);
    let call = RepeatedCall { route: "orders", ..PLAIN_CALL };
    let fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    repeat_call(&entries, call, "crashing", INTERVAL, INTERVAL * 9);
    check_late_runs(&fleet);
}

#[rstest]
#[case::plain(PLAIN_CALL)]
#[case::stream(SHARED_CALL)]
fn another_caller_with_the_same_body_is_not_refused(#[case] call: RepeatedCall) {
    let call = RepeatedCall { caller_key: "first", ..call };
    let fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    find_out_call(&fleet, &entries, call);
    // Targets that ended at a late retry are back.
    std::thread::sleep(Duration::from_secs(2));
    let other = RepeatedCall { caller_key: "second", ..call };
    let calls = repeat_call(&entries, other, "other", SOUND_INTERVAL, Duration::from_secs(3));
    let refused = calls.iter().filter(|call| call.outcome != CallerOutcome::Completed).count();
    assert_eq!(refused, 0, "{refused} of {} calls of the other caller failed", calls.len());
}

#[rstest]
fn an_item_under_which_engines_ended_completes(
    #[values("", "a1:9,b1:9,c1:9")] prefix: &'static str,
) {
    /// Number of events of each item, which outlast each end of an engine.
    const ITEM_EVENTS: u64 = 150;
    /// Most engines that end under the items; fewer if the items are held.
    const LOSSES: usize = 6;
    /// Time in which the items complete once engines survive them.
    const COMPLETION_TIMEOUT: Duration = Duration::from_secs(25);
    let item = RepeatedCall { prefix, route: "plans", ..SHARED_CALL };
    let fleet = crashing_fleet(&item);
    let mut request = item.crashing_request();
    request.path = "/plans/item".to_owned();
    // What DEFAULT_BODY encodes.
    request.body = vec![0xab, 0xcd, 0xef].into();
    fleet.crash_rule.set_requests(&[request]);
    let entries = fleet.entry_addresses();
    let submitted = block_on(async {
        if prefix.is_empty() {
            submit_job(entries[0], "items", 2, ITEM_EVENTS).await
        } else {
            submit_prompts(entries[0], "items", &[prefix, prefix], ITEM_EVENTS).await
        }
    });
    assert_eq!(submitted.expect("the runtime starts"), CallerOutcome::Completed);
    let has_ended = |fleet: &NodeFleet| fleet.target_log.losses().len() >= LOSSES;
    fleet.wait_for(Duration::from_secs(20), has_ended);
    fleet.crash_rule.set_requests(&[]);
    assert!(fleet.target_log.losses().len() >= MAX_LOSSES, "hardly any engine ended");
    let mut read = None;
    let is_complete = |_: &NodeFleet| {
        read = block_on(read_results(entries[1], "items", 0)).expect("the runtime starts").ok();
        let results = read.as_ref().and_then(|read| read["results"].as_array());
        results.is_some_and(|results| results.len() == 2)
    };
    let is_done = fleet.wait_for(COMPLETION_TIMEOUT, is_complete);
    assert!(is_done, "after {} losses: {read:?}", fleet.target_log.losses().len());
    let read = read.expect("the results were read");
    for result in read["results"].as_array().expect("a list of results") {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed");
        assert_eq!(result["text"], expected_output(id, ITEM_EVENTS));
    }
}

#[test]
fn an_item_with_the_prompt_of_a_refused_request_completes_in_its_time() {
    /// The objective of the item's route.
    const OBJECTIVE: Duration = Duration::from_secs(20);
    let fleet = crashing_fleet(&SHARED_CALL);
    let entries = fleet.entry_addresses();
    find_out_call(&fleet, &entries, SHARED_CALL);
    let submitted = block_on(submit_prompts(entries[0], "items", &[SHARED_CALL.prefix], 20));
    assert_eq!(submitted.expect("the runtime starts"), CallerOutcome::Completed);
    let id = item_id("items", 0);
    let is_complete = |_: &NodeFleet| {
        let read = block_on(read_results(entries[1], "items", 0)).expect("the runtime starts");
        read.is_ok_and(|read| read["results"][0]["id"] == id.as_str())
    };
    assert!(fleet.wait_for(OBJECTIVE, is_complete), "the item is held");
}

#[rstest]
#[case::plain(PLAIN_CALL)]
#[case::stream(SHARED_CALL)]
fn losses_at_the_same_time_all_count(#[case] call: RepeatedCall) {
    /// Attempts that are made at the same time.
    const CALLERS: usize = 3;
    /// Time between two groups of attempts; targets are back by then.
    const GROUP_INTERVAL: Duration = Duration::from_millis(2_500);
    let fleet = crashing_fleet(&call);
    fleet.write_config(2, 1);
    std::thread::sleep(Duration::from_secs(1));
    let entries = fleet.entry_addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (entry, name) = (entries[caller % entries.len()], format!("crashing-{caller}"));
            let duration = GROUP_INTERVAL * 7;
            std::thread::spawn(move || repeat_call(&[entry], call, &name, GROUP_INTERVAL, duration))
        })
        .collect();
    for caller in callers {
        caller.join().expect("the callers' thread finishes");
    }
    check_late_runs(&fleet);
}

#[rstest]
#[case::plain(RepeatedCall { route: "orders", ..PLAIN_CALL })]
#[case::stream(SHARED_CALL)]
fn a_request_that_comes_seldom_does_not_end_targets_for_ever(#[case] call: RepeatedCall) {
    /// Time between two attempts.
    const INTERVAL: Duration = Duration::from_secs(6);
    let fleet = crashing_fleet(&call);
    fleet.write_config(2, 1);
    std::thread::sleep(Duration::from_secs(1));
    let entries = fleet.entry_addresses();
    repeat_call(&entries, call, "crashing", INTERVAL, INTERVAL * 9);
    check_late_runs(&fleet);
}

#[rstest]
#[case::plain(PLAIN_CALL)]
#[case::stream(BARE_CALL)]
fn a_request_that_ended_two_targets_is_served_when_targets_survive_it(#[case] call: RepeatedCall) {
    let fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    let millisecond = Duration::from_millis(1);
    repeat_call(&entries[..1], call, "crashing", Duration::from_secs(1), millisecond);
    fleet.crash_rule.set_requests(&[]);
    assert_eq!(fleet.target_log.losses().len(), 2);
    // All targets are back.
    std::thread::sleep(Duration::from_secs(3));
    let calls = repeat_call(&entries, call, "after", SOUND_INTERVAL, Duration::from_secs(2));
    assert_eq!(count_runs(&fleet, "after"), calls.len());
    let served = calls.iter().filter(|call| call.outcome == CallerOutcome::Completed).count();
    assert_eq!(served, calls.len());
}

#[rstest]
fn a_sound_request_is_served_again_after_targets_were_down(
    #[values(PLAIN_CALL, BARE_CALL)] call: RepeatedCall,
    #[values(false, true)] are_down_at_trial: bool,
) {
    /// Time from the third loss to the time at which targets are down for a second time.
    const SECOND_OUTAGE_DELAY: Duration = Duration::from_millis(4_300);
    let fleet = crashing_fleet(&call);
    let entries = fleet.entry_addresses();
    let has_ended_three = |fleet: &NodeFleet| fleet.target_log.losses().len() >= MAX_LOSSES;
    for _ in 0..4 {
        if !has_ended_three(&fleet) {
            repeat_crashing(&entries, call, Duration::from_millis(1));
        }
    }
    assert!(has_ended_three(&fleet), "{} targets ended", fleet.target_log.losses().len());
    // The targets ended for another reason: the request is sound.
    fleet.crash_rule.set_requests(&[]);
    let third = fleet.target_log.losses()[MAX_LOSSES - 1];
    let callers = std::thread::spawn(move || {
        repeat_call(&entries, call, "sound", SOUND_INTERVAL, Duration::from_secs(14))
    });
    if are_down_at_trial {
        let due = third + SECOND_OUTAGE_DELAY;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        (0..usize::from(fleet.engine_count() + PLAIN_TARGETS))
            .for_each(|index| fleet.restart_target(index));
    }
    check_served(&callers.join().expect("the callers' thread finishes"));
}
