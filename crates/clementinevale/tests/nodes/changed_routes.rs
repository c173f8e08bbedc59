//! Jobs whose configuration changes after they have been accepted.

use std::time::Duration;

use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::FleetOptions;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::DEFAULT_BODY;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::request_stream;
use cv_tests::node_caller::submit_job;
use cv_tests::node_caller::submit_job_to_route;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results_with_events;

/// Time in which a running process learns of a change in the store.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Time in which the keepers learn of a change, and too short for entries that have lost the store.
const WATCH_TIME: Duration = Duration::from_millis(60);

/// Longest time until the owner of a job has recorded its route.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which the items of a removed route stay open.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a change of the configuration from which no request is handled by the one before.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Index of the batch route `plans` in the fleet's configuration.
const PLANS: usize = 2;

/// Index of the batch route `reports`, whose service has no target.
const REPORTS: usize = 3;

/// Items of a job that is not done when the configuration changes: the engines run eight at once.
const ITEMS: u64 = 32;

/// Number of events of each of those items.
const EVENTS: u64 = 100;

/// Starts a fleet of two engines, two entries and two keepers.
fn small_fleet() -> NodeFleet {
    small_fleet_with(FleetOptions::default())
}

/// Starts a small fleet with options.
fn small_fleet_with(options: FleetOptions) -> NodeFleet {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 2 };
    NodeFleet::start_with(env!("CARGO_BIN_EXE_clementinevale"), size, options)
}

/// Writes a configuration after a change to its routes.
fn write_routes(fleet: &NodeFleet, version: u64, change: impl FnOnce(&mut Vec<Value>)) {
    fleet.write_config_with(version, 2, |config| {
        change(config["routes"].as_array_mut().expect("the configuration has routes"));
    });
}

/// Adds a route with the given fields below `plans`, with all other fields of that route.
fn add_route_below(routes: &mut Vec<Value>, fields: &Value) {
    let mut below = routes[PLANS].clone();
    (below["name"], below["prefix"]) = (json!("season"), json!("/plans/season/"));
    for (field, value) in fields.as_object().expect("the fields are an object") {
        below[field] = value.clone();
    }
    routes.push(below);
}

/// Stops all keepers.
fn kill_keepers(fleet: &mut NodeFleet) {
    for node in fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper")) {
        node.kill();
    }
}

/// Starts all keepers.
fn start_keepers(fleet: &mut NodeFleet) {
    for node in fleet.nodes.iter_mut().filter(|node| node.name.starts_with("keeper")) {
        node.start();
    }
}

/// Submits a job to the first entry, which has to accept it.
fn submit(fleet: &NodeFleet, route: &str, job: &str, items: u64, events: u64) {
    let entry = fleet.entry_addresses()[0];
    let outcome = block_on(submit_job_to_route(entry, route, job, items, events, DEFAULT_BODY));
    assert_eq!(outcome.expect("the runtime starts"), CallerOutcome::Completed);
}

/// Reads all results of a job, whose items all have to be done.
fn check_done(fleet: &NodeFleet, job: &str, items: u64, events: u64) {
    let entries = fleet.entry_addresses();
    block_on(async { read_all_results_with_events(&entries, job, items, events).await })
        .expect("the runtime starts");
}

/// Returns whether all items of a job are listed as given up, apart from completed ones.
fn is_given_up(fleet: &NodeFleet, job: &str, items: u64) -> bool {
    let read = block_on(read_results(fleet.entry_addresses()[0], job, 0));
    let Ok(response) = read.expect("the runtime starts") else {
        return false;
    };
    let results = response["results"].as_array().expect("a list of results");
    let given_up = results.iter().filter(|result| result["state"] == "dead_letter").count();
    results.len() as u64 == items && given_up > 0
}

// Guards against accepted items that are given up, or run by another service, because a route that
// was added later has a longer prefix of the path to which their job was submitted.
#[rstest]
fn a_route_added_below_that_of_a_job_leaves_its_items_alone(
    #[values(json!({ "kind": "streaming" }), json!({ "maxQueueS": 1, "service": "nightly" }))]
    added: Value,
    #[values(false, true)] restarts: bool,
) {
    let mut fleet = small_fleet();
    submit(&fleet, "plans/season", "job", ITEMS, EVENTS);
    write_routes(&fleet, 2, |routes| add_route_below(routes, &added));
    std::thread::sleep(PROPAGATION_TIME);
    if restarts {
        kill_keepers(&mut fleet);
        start_keepers(&mut fleet);
    }
    check_done(&fleet, "job", ITEMS, EVENTS);
}

/// Splits a job's record into the job and what follows it: the route, if it is recorded.
fn split_record(fleet: &NodeFleet, job: &str) -> (Vec<u8>, Vec<u8>) {
    let value = fleet.store.read_bytes(&record_key(job)).expect("the job is stored");
    let (parts, route): ((Vec<u8>, usize), &[u8]) =
        postcard::take_from_bytes(&value).expect("the record begins with the job");
    (postcard::to_stdvec(&parts).expect("the job can be encoded"), route.to_vec())
}

/// Returns the key of a job's record.
fn record_key(job: &str) -> String {
    format!("cv/work/job/{job}")
}

// Guards against an upgrade after which items of stored jobs are given up, or run by another service.
#[rstest]
fn work_of_a_version_without_recorded_routes_keeps_its_route(
    #[values(json!({ "kind": "streaming" }), json!({ "maxQueueS": 1, "service": "nightly" }))]
    added: Value,
) {
    let mut fleet = small_fleet();
    submit(&fleet, "plans/season", "job", ITEMS, EVENTS);
    kill_keepers(&mut fleet);
    let (job, route) = split_record(&fleet, "job");
    assert_ne!(route, Vec::<u8>::new(), "the route is not recorded");
    fleet.store.write_bytes(&record_key("job"), &job);
    start_keepers(&mut fleet);
    let is_recorded = |fleet: &NodeFleet| !split_record(fleet, "job").1.is_empty();
    assert!(fleet.wait_for(RECORD_TIMEOUT, is_recorded), "the route is not recorded");
    write_routes(&fleet, 2, |routes| add_route_below(routes, &added));
    kill_keepers(&mut fleet);
    start_keepers(&mut fleet);
    check_done(&fleet, "job", ITEMS, EVENTS);
}

// Guards against a keeper that accepts a job by a route which is not the one for its path any more.
#[test]
fn a_job_on_a_path_that_a_newer_route_of_another_kind_has_taken_is_not_accepted_and_given_up() {
    let fleet = small_fleet();
    for node in fleet.nodes.iter().filter(|node| node.name.starts_with("entry")) {
        node.store_proxy.set_mode(FaultMode::Disconnect);
    }
    write_routes(&fleet, 2, |routes| add_route_below(routes, &json!({ "kind": "streaming" })));
    std::thread::sleep(WATCH_TIME);
    let entry = fleet.entry_addresses()[0];
    let submitted = submit_job_to_route(entry, "plans/season", "job", ITEMS, EVENTS, DEFAULT_BODY);
    let outcome = block_on(submitted).expect("the runtime starts");
    if outcome == CallerOutcome::Completed {
        check_done(&fleet, "job", ITEMS, EVENTS);
    }
}

// Guards against a keeper that takes what is submitted again, by a later configuration and at a later
// time, for the job that another keeper has accepted.
#[test]
fn a_repeated_submission_does_not_replace_the_accepted_job() {
    const JOBS: usize = 6;
    let jobs: Vec<String> = (0..JOBS).map(|job| format!("job{job}")).collect();
    let mut fleet = small_fleet();
    // After this job the keepers wait before they watch for others.
    submit(&fleet, "plans", "first", 1, EVENTS_PER_ITEM);
    std::thread::sleep(WATCH_TIME);
    for job in &jobs {
        submit(&fleet, "plans/season", job, 2, EVENTS);
    }
    let keeper = fleet.nodes.iter_mut().find(|node| node.name.starts_with("keeper"));
    keeper.expect("the fleet has a keeper").kill();
    let below = json!({ "maxQueueS": 1, "service": "nightly" });
    write_routes(&fleet, 2, |routes| add_route_below(routes, &below));
    std::thread::sleep(WATCH_TIME);
    for job in &jobs {
        submit(&fleet, "plans/season", job, 2, EVENTS);
    }
    for job in &jobs {
        check_done(&fleet, job, 2, EVENTS);
    }
}

/// A change after which the path of a job leads to no batch route.
#[derive(Clone, Copy, Debug)]
enum PathChange {
    /// The job's route is removed.
    Removed,
    /// A streaming route is added below.
    Streaming,
}

// Guards against a caller who repeats an accepted job and is told that there is no such route, or
// whose job is sent to an engine as a request.
#[rstest]
#[case(PathChange::Removed)]
#[case(PathChange::Streaming)]
fn an_accepted_job_is_confirmed_when_its_path_leads_elsewhere(#[case] change: PathChange) {
    let mut fleet = small_fleet();
    let entries = fleet.entry_addresses();
    submit(&fleet, "plans/season", "job", ITEMS, EVENTS);
    write_routes(&fleet, 2, |routes| match change {
        PathChange::Removed => drop(routes.remove(PLANS)),
        PathChange::Streaming => add_route_below(routes, &json!({ "kind": "streaming" })),
    });
    std::thread::sleep(PROPAGATION_TIME);
    let send = |job: &'static str| {
        let entry = entries[1];
        block_on(async move {
            submit_job_to_route(entry, "plans/season", job, ITEMS, EVENTS, DEFAULT_BODY).await
        })
        .expect("the runtime starts")
    };
    assert_eq!(send("job"), CallerOutcome::Completed);
    assert_ne!(send("other"), CallerOutcome::Completed, "a job is accepted without a route");
    let runs = fleet.target_log.runs();
    assert!(runs.iter().all(|run| run.request_id != "job"), "an engine got the job itself");
    if matches!(change, PathChange::Streaming) {
        let stream = block_on(request_stream(entries[0], "plans/season", "stream", 5));
        assert_eq!(stream.expect("the runtime starts"), CallerOutcome::Completed);
    }
    kill_keepers(&mut fleet);
    let outcome = send("job");
    let is_unknown = matches!(outcome, CallerOutcome::Unknown(_));
    assert!(is_unknown, "without keepers nobody knows whether the job runs: {outcome:?}");
}

// Guards against a job that does not follow its own route.
#[test]
fn items_run_at_the_service_to_which_their_route_is_moved() {
    let fleet = small_fleet();
    submit(&fleet, "reports", "job", 4, EVENTS_PER_ITEM);
    std::thread::sleep(PROPAGATION_TIME);
    write_routes(&fleet, 2, |routes| routes[REPORTS]["service"] = json!("llm"));
    check_done(&fleet, "job", 4, EVENTS_PER_ITEM);
}

// Guards against items that wait at an engine and start there after their route has left its service.
#[rstest]
#[case::removed(|routes: &mut Vec<Value>| drop(routes.remove(PLANS)))]
#[case::moved(|routes: &mut Vec<Value>| routes[PLANS]["service"] = json!("nightly"))]
fn items_that_wait_at_an_engine_do_not_start_after_a_change(#[case] change: fn(&mut Vec<Value>)) {
    /// Number of events of the streams that take all slots; they last for four and a half seconds.
    const STREAM_EVENTS: u64 = 560;
    let fleet = small_fleet();
    let entries = fleet.entry_addresses();
    let streams: Vec<_> = (0..8)
        .map(|number| {
            let entry = entries[number % entries.len()];
            std::thread::spawn(move || {
                let id = format!("stream{number}");
                block_on(async move { request_stream(entry, "hints", &id, STREAM_EVENTS).await })
            })
        })
        .collect();
    std::thread::sleep(PROPAGATION_TIME);
    submit(&fleet, "plans", "job", 4, EVENTS_PER_ITEM);
    std::thread::sleep(PROPAGATION_TIME);
    write_routes(&fleet, 2, change);
    std::thread::sleep(APPLY_TIME);
    let runs_before = fleet.target_log.runs().len();
    for stream in streams {
        // They only have to take the slots, on a slow machine until their deadline.
        let _ = stream.join();
    }
    std::thread::sleep(APPLY_TIME);
    let runs = fleet.target_log.runs().len() - runs_before;
    assert_eq!(runs, 0, "items start at a service that their route has left");
}

// Guards against items that are given up sooner than the configuration promised that accepted them.
#[test]
fn a_shortened_time_limit_of_a_route_does_not_apply_to_accepted_items() {
    let fleet = small_fleet();
    submit(&fleet, "plans", "job", ITEMS, EVENTS);
    write_routes(&fleet, 2, |routes| routes[PLANS]["maxQueueS"] = json!(0.5));
    check_done(&fleet, "job", ITEMS, EVENTS);
}

// Guards against items of a removed route that stay open, or run.
#[rstest]
#[case::watched(false)]
#[case::restarted(true)]
fn items_are_given_up_when_their_route_is_removed(#[case] restarts: bool) {
    let mut fleet = small_fleet();
    submit(&fleet, "reports", "job", 4, EVENTS_PER_ITEM);
    if restarts {
        kill_keepers(&mut fleet);
    }
    write_routes(&fleet, 2, |routes| drop(routes.remove(REPORTS)));
    if restarts {
        start_keepers(&mut fleet);
    }
    let is_listed = fleet.wait_for(REMOVAL_TIMEOUT, |fleet| is_given_up(fleet, "job", 4));
    assert!(is_listed, "items of a removed route are open");
    // The route's return does not change what callers have read.
    fleet.write_config(3, 2);
    std::thread::sleep(PROPAGATION_TIME);
    assert!(is_given_up(&fleet, "job", 4));
}

// Guards against a job that loses its route when the operator changes the route's prefix, or removes
// and adds the route, between two reads of the configuration.
#[test]
fn a_job_keeps_its_route_when_the_prefix_changes() {
    let mut fleet = small_fleet();
    submit(&fleet, "plans", "job", ITEMS, EVENTS);
    kill_keepers(&mut fleet);
    write_routes(&fleet, 2, |routes| drop(routes.remove(PLANS)));
    write_routes(&fleet, 3, |routes| routes[PLANS]["prefix"] = json!("/schemes/"));
    start_keepers(&mut fleet);
    check_done(&fleet, "job", ITEMS, EVENTS);
}

// Guards against tokens that count on a route which did not accept their job.
#[test]
fn tokens_wait_on_the_route_that_accepted_their_job() {
    let fleet = small_fleet_with(FleetOptions { queued_tokens: 100, ..FleetOptions::default() });
    let entry = fleet.entry_addresses()[0];
    // Each item has 20 tokens, and no target runs the items.
    let suspend = |routes: &mut Vec<Value>| routes[PLANS]["service"] = json!("nightly");
    write_routes(&fleet, 2, suspend);
    std::thread::sleep(PROPAGATION_TIME);
    submit(&fleet, "plans/season", "first", 4, EVENTS_PER_ITEM);
    write_routes(&fleet, 3, |routes| {
        suspend(routes);
        add_route_below(routes, &json!({}));
    });
    std::thread::sleep(PROPAGATION_TIME);
    block_on(async {
        assert_eq!(submit_job(entry, "second", 2, EVENTS_PER_ITEM).await, CallerOutcome::NotRun);
        let below =
            submit_job_to_route(entry, "plans/season", "third", 4, EVENTS_PER_ITEM, DEFAULT_BODY);
        assert_eq!(below.await, CallerOutcome::Completed);
    })
    .expect("the runtime starts");
}
