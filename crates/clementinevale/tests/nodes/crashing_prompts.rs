//! Prompts with a part that ends each engine that begins a response to them.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::RunRecord;
use cv_runtime::block_on;
use cv_standin::FaultMode;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::NodeProcess;
use cv_tests::Signal;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::item_id;
use cv_tests::node_caller::read_results;
use cv_tests::node_caller::request_prompt;
use cv_tests::node_caller::submit_prompts;

/// Id of the part that ends engines.
const CRASHING_PART: &str = "bad";

/// Time after the fifth lost engine from which hardly any request with the part may run.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Most requests with the part that may run after [`CONTACT_TIME`].
const MAX_LATE_RUNS: usize = 3;

/// Time between two requests with the part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two requests without it.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

/// Number of events of each stream.
const EVENTS: u64 = 20;

/// Longest time in which a request that is known to end engines is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// A caller's request and what became of it.
struct CallRecord {
    outcome: CallerOutcome,
    started_at: Instant,
    took: Duration,
}

/// Starts a fleet of four engines that end at prompts with [`CRASHING_PART`].
fn crashing_fleet() -> NodeFleet {
    let size = NodeFleetSize { engines: 4, entries: 2, keepers: 1 };
    let binary = env!("CARGO_BIN_EXE_clementinevale");
    let fleet = NodeFleet::start_without_engine_proxies(binary, size);
    fleet.crash_rule.set_parts(&[CRASHING_PART]);
    // Waits until the sidecars have sent their first load reports.
    std::thread::sleep(Duration::from_millis(1_200));
    fleet
}

/// Sends streams at an interval, each with a prefix of its own, to the entries in turn.
fn send_streams(
    entries: &[SocketAddr],
    name: &str,
    interval: Duration,
    duration: Duration,
    prefix: impl Fn(usize) -> String,
) -> Vec<CallRecord> {
    let started_at = Instant::now();
    let outcomes = block_on(async {
        let mut calls = Vec::new();
        while started_at.elapsed() < duration {
            let number = calls.len();
            let (entry, prefix) = (entries[number % entries.len()], prefix(number));
            let id = format!("{name}-{number}");
            calls.push(monoio::spawn(async move {
                let started_at = Instant::now();
                let outcome = request_prompt(entry, "advice", &id, EVENTS, &prefix).await;
                CallRecord { outcome, started_at, took: started_at.elapsed() }
            }));
            monoio::time::sleep(interval).await;
        }
        futures::future::join_all(calls).await
    });
    outcomes.expect("the runtime starts")
}

/// Sends requests with the crashing part for a time; no two are alike.
fn send_crashing(entries: &[SocketAddr], duration: Duration) -> Vec<CallRecord> {
    send_streams(entries, "crashing", CRASHING_INTERVAL, duration, |number| {
        format!("a1:100,{CRASHING_PART}:50,c{number:x}:250")
    })
}

/// Sends sound requests for a time, whose first part the crashing requests have, too.
fn send_sound(entries: &[SocketAddr], duration: Duration) -> Vec<CallRecord> {
    send_streams(entries, "sound", SOUND_INTERVAL, duration, |number| {
        format!("a1:100,b{number:x}:50,d{number:x}:250")
    })
}

/// Returns the runs of requests with the crashing part.
fn crashing_runs(fleet: &NodeFleet) -> Vec<RunRecord> {
    let mut runs = fleet.target_log.runs();
    runs.retain(|run| run.request_id.starts_with("crashing"));
    runs
}

/// Checks that hardly any request with the part ran later than [`CONTACT_TIME`] after the fifth
/// lost engine.
fn check_late_runs(fleet: &NodeFleet) {
    let runs = crashing_runs(fleet);
    let losses = fleet.target_log.losses();
    let Some(fifth) = losses.get(4) else {
        return;
    };
    let late = runs.iter().filter(|run| run.started_at > *fifth + CONTACT_TIME).count();
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} requests ran after five engines had ended; {} ended in all",
        losses.len()
    );
}

#[test]
fn requests_with_one_part_do_not_end_engine_after_engine() {
    /// Time for which the requests come.
    const LOAD_TIME: Duration = Duration::from_secs(9);
    let fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    let sound_entries = entries.clone();
    let sound = std::thread::spawn(move || send_sound(&sound_entries, LOAD_TIME));
    let crashing = send_crashing(&entries, LOAD_TIME);
    let sound = sound.join().expect("the callers' thread finishes");
    check_late_runs(&fleet);
    let last_second = crashing.iter().rev().take(5);
    for call in last_second {
        assert_eq!(call.outcome, CallerOutcome::NotRun);
        assert!(call.took < REFUSAL_TIMEOUT, "refused after {:?}", call.took);
    }
    let end = sound.last().expect("sound requests were sent").started_at;
    let last: Vec<&CallRecord> =
        sound.iter().filter(|call| end - call.started_at < Duration::from_secs(2)).collect();
    let served = last.iter().filter(|call| call.outcome == CallerOutcome::Completed).count();
    assert!(served * 10 >= last.len() * 9, "{served} of {} sound requests served", last.len());
}

/// Sends requests with the crashing part until it has been found out.
fn find_out_crashing_part(entries: &[SocketAddr]) {
    let calls = send_crashing(entries, Duration::from_millis(3_500));
    let last = calls.last().expect("requests were sent");
    assert_eq!(last.outcome, CallerOutcome::NotRun, "the part has not been found out");
}

/// Checks that requests with the crashing part run no more, but for one trial.
fn check_refused(fleet: &NodeFleet, entries: &[SocketAddr]) {
    let before = crashing_runs(fleet).len();
    send_crashing(entries, Duration::from_secs(3));
    let runs = crashing_runs(fleet).len() - before;
    assert!(runs <= 1, "{runs} more requests with the part ran");
}

/// Returns the nodes with a role.
fn nodes_with_role<'a>(
    fleet: &'a mut NodeFleet,
    role: &'a str,
) -> impl Iterator<Item = &'a mut NodeProcess> {
    fleet.nodes.iter_mut().filter(move |node| node.name.starts_with(role))
}

#[test]
fn without_sidecars_requests_with_one_part_do_not_end_engine_after_engine() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    nodes_with_role(&mut fleet, "sidecar").for_each(NodeProcess::kill);
    // Missing load reports are detected in less than a second.
    std::thread::sleep(Duration::from_millis(1_500));
    send_crashing(&entries, Duration::from_secs(9));
    check_late_runs(&fleet);
}

#[test]
fn engines_that_end_before_they_respond_do_not_end_again_and_again() {
    let size = NodeFleetSize { engines: 2, entries: 2, keepers: 1 };
    let binary = env!("CARGO_BIN_EXE_clementinevale");
    let fleet = NodeFleet::start_without_engine_proxies(binary, size);
    fleet.crash_rule.set_parts(&[CRASHING_PART]);
    fleet.crash_rule.ends_before_response.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(1_200));
    // After each start, the first request to an engine is one that ends it.
    send_crashing(&fleet.entry_addresses(), Duration::from_secs(14));
    check_late_runs(&fleet);
}

#[test]
fn with_unframed_streams_requests_with_one_part_do_not_end_engine_after_engine() {
    let fleet = crashing_fleet();
    fleet.has_unframed_streams.store(true, Ordering::Relaxed);
    let entries = fleet.entry_addresses();
    send_crashing(&entries, Duration::from_secs(9));
    check_late_runs(&fleet);
}

#[test]
fn without_the_store_requests_with_one_part_do_not_end_engine_after_engine() {
    let fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    for node in &fleet.nodes {
        node.store_proxy.set_mode(FaultMode::Disconnect);
    }
    send_crashing(&entries, Duration::from_secs(9));
    check_late_runs(&fleet);
}

#[test]
fn an_item_does_not_end_engine_after_engine() {
    /// Number of events of each item; many, since each run adds a few before its engine ends.
    const ITEM_EVENTS: u64 = 200;
    let fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    let prefixes = [
        "a1:9,b1:9,c1:9",
        "a1:9,b2:9,c2:9",
        "a1:9,b3:9,c3:9",
        "a1:9,bad:9,c4:9",
        "a1:9,bad:9,c5:9",
        "a1:9,bad:9,c6:9",
        "a1:9,bad:9,c7:9",
    ];
    let results = block_on(async {
        let submitted = submit_prompts(entries[0], "crashing", &prefixes, ITEM_EVENTS).await;
        assert_eq!(submitted, CallerOutcome::Completed);
        monoio::time::sleep(Duration::from_secs(12)).await;
        read_results(entries[1], "crashing", 0).await
    });
    let results = results.expect("the runtime starts").expect("the results are readable");
    let results = results["results"].as_array().expect("a list of results");
    let mut listed: Vec<&str> =
        results.iter().map(|result| result["id"].as_str().expect("an id")).collect();
    listed.sort_unstable();
    let sound: Vec<String> = (0..3).map(|item| item_id("crashing", item)).collect();
    assert_eq!(listed, sound, "the sound items, and only those, are done");
    let fifth = fleet.target_log.losses().get(4).copied();
    let runs = crashing_runs(&fleet);
    let is_late = |run: &&RunRecord| {
        !sound.contains(&run.request_id)
            && fifth.is_some_and(|fifth| run.started_at > fifth + CONTACT_TIME)
    };
    let late = runs.iter().filter(is_late).count();
    assert!(late <= MAX_LATE_RUNS, "{late} runs after five engines had ended: {runs:?}");
}

#[test]
fn a_restarted_entry_does_not_end_more_engines() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    for node in nodes_with_role(&mut fleet, "entry") {
        node.kill();
        node.start();
    }
    assert!(
        fleet.wait_for(Duration::from_secs(10), |fleet| fleet.is_ready(0) && fleet.is_ready(1))
    );
    check_refused(&fleet, &entries);
}

#[test]
fn a_restarted_sidecar_does_not_lose_its_engine_again() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    for node in nodes_with_role(&mut fleet, "sidecar") {
        node.kill();
        node.start();
    }
    check_refused(&fleet, &entries);
}

#[test]
fn an_entry_that_was_frozen_does_not_end_more_engines() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    nodes_with_role(&mut fleet, "entry-51").for_each(|node| node.signal(Signal::STOP));
    find_out_crashing_part(&entries[..1]);
    nodes_with_role(&mut fleet, "entry-51").for_each(|node| node.signal(Signal::CONT));
    check_refused(&fleet, &entries[1..]);
}

#[test]
fn processes_that_were_all_killed_do_not_end_more_engines() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    fleet.nodes.iter_mut().for_each(NodeProcess::kill);
    fleet.nodes.iter_mut().for_each(NodeProcess::start);
    assert!(
        fleet.wait_for(Duration::from_secs(10), |fleet| fleet.is_ready(0) && fleet.is_ready(1))
    );
    check_refused(&fleet, &entries);
}

#[test]
fn a_part_is_served_again_when_engines_survive_it() {
    /// Longest time for which a part is refused after engines survive it, if it has only just been
    /// found out.
    const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
    let fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    fleet.crash_rule.set_parts(&[]);
    let calls = send_crashing(&entries, RECOVERY_TIMEOUT);
    let last = calls.iter().rev().take(5);
    assert!(last.into_iter().all(|call| call.outcome == CallerOutcome::Completed));
}

// Guards against an item that waits because the keeper died that ran the trial.
#[test]
fn a_trial_that_ends_with_its_keeper_does_not_prolong_the_quarantine() {
    /// Number of events of the item; enough to kill its keeper meanwhile.
    const ITEM_EVENTS: u64 = 300;
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    fleet.crash_rule.set_parts(&[]);
    let prompt = format!("a1:9,{CRASHING_PART}:9,c4:9");
    let submitted = block_on(submit_prompts(entries[0], "held", &[&prompt], ITEM_EVENTS));
    assert_eq!(submitted.expect("the runtime starts"), CallerOutcome::Completed);
    let id = item_id("held", 0);
    let is_tried =
        |fleet: &NodeFleet| fleet.target_log.runs().iter().any(|run| run.request_id == id);
    assert!(fleet.wait_for(Duration::from_secs(12), is_tried), "no trial began");
    for node in nodes_with_role(&mut fleet, "keeper") {
        node.kill();
        node.start();
    }
    let is_listed = |_: &NodeFleet| {
        let read = block_on(read_results(entries[1], "held", 0)).expect("the runtime starts");
        read.is_ok_and(|read| read["results"].as_array().is_some_and(|list| list.len() == 1))
    };
    assert!(fleet.wait_for(Duration::from_secs(14), is_listed), "the item is still held");
}

#[test]
fn a_trial_that_gets_no_slot_does_not_prolong_the_quarantine() {
    let fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    fleet.crash_rule.set_parts(&[]);
    // Long streams take all slots when the first trial is due, and end three seconds later.
    let occupied: Vec<_> = (0..32)
        .map(|number| {
            let entry = entries[number % entries.len()];
            std::thread::spawn(move || {
                let id = format!("long-{number}");
                block_on(async move { request_prompt(entry, "hints", &id, 500, "e1:1,f1:1").await })
            })
        })
        .collect();
    let calls = send_crashing(&entries, Duration::from_secs(11));
    for caller in occupied {
        let _ = caller.join();
    }
    let last = calls.iter().rev().take(5);
    assert!(last.into_iter().all(|call| call.outcome == CallerOutcome::Completed));
}

#[test]
fn entries_that_start_before_any_keeper_do_not_end_more_engines() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    fleet.nodes.iter_mut().for_each(NodeProcess::kill);
    for role in ["sidecar", "entry"] {
        nodes_with_role(&mut fleet, role).for_each(NodeProcess::start);
    }
    assert!(
        fleet.wait_for(Duration::from_secs(10), |fleet| fleet.is_ready(0) && fleet.is_ready(1))
    );
    check_refused(&fleet, &entries);
}

#[test]
fn a_thawed_process_does_not_count_one_loss_several_times() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    nodes_with_role(&mut fleet, "entry-51").for_each(|node| node.signal(Signal::STOP));
    // One request ends two engines, of which the frozen entry hears again and again.
    send_streams(
        &entries[..1],
        "crashing",
        Duration::from_secs(1),
        Duration::from_millis(1),
        |_| format!("a1:100,{CRASHING_PART}:50,c1:250"),
    );
    fleet.crash_rule.set_parts(&[]);
    std::thread::sleep(Duration::from_secs(5));
    nodes_with_role(&mut fleet, "entry-51").for_each(|node| node.signal(Signal::CONT));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(fleet.target_log.losses().len(), 2);
    let calls = send_crashing(&entries, Duration::from_secs(2));
    let refused = calls.iter().filter(|call| call.outcome != CallerOutcome::Completed).count();
    assert_eq!(
        refused,
        0,
        "{refused} of {} requests with a part that two engines ended of",
        calls.len()
    );
}

#[test]
fn an_entry_that_starts_without_the_store_does_not_end_more_engines() {
    let mut fleet = crashing_fleet();
    let entries = fleet.entry_addresses();
    find_out_crashing_part(&entries);
    for node in nodes_with_role(&mut fleet, "entry-51") {
        node.store_proxy.set_mode(FaultMode::Disconnect);
        node.kill();
        node.start();
    }
    // Its view comes from another entry.
    assert!(fleet.wait_for(Duration::from_secs(10), |fleet| fleet.is_ready(1)));
    check_refused(&fleet, &entries[1..]);
}
