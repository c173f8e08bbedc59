//! Choosing targets for online requests and batch items.

use std::time::Duration;

use cv_dispatch::LoadReport;
use cv_dispatch::PlacementPolicy;
use cv_dispatch::PlacementRequest;
use cv_dispatch::RunSchedule;
use cv_dispatch::TargetRecord;
use cv_dispatch::TargetState;
use cv_dispatch::TargetTable;
use cv_policy::MonotonicTime;

/// A target of service `llm` with eight slots.
fn record(id: &str, zone: &str, last: u8) -> TargetRecord {
    TargetRecord {
        address: format!("10.0.0.{last}:80").parse().expect("an address"),
        id: id.to_owned(),
        service: "llm".to_owned(),
        slots: 8,
        state: TargetState::Ready,
        zone: zone.to_owned(),
    }
}

/// A roster of one target in each of two zones.
fn roster_of_two() -> TargetTable {
    let mut roster = TargetTable::default();
    roster.upsert(record("near", "a", 1), MonotonicTime::ZERO);
    roster.upsert(record("far", "b", 2), MonotonicTime::ZERO);
    roster
}

/// A request from zone `a`.
fn request(tried: &[String]) -> PlacementRequest<'_> {
    PlacementRequest { seed: 7, service: "llm", tried, zone: "a" }
}

/// Chooses a target's id.
fn choose(roster: &TargetTable, now: MonotonicTime, tried: &[String]) -> Option<String> {
    PlacementPolicy.choose(roster, now, &request(tried)).map(|choice| choice.id)
}

/// A time.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn the_near_target_is_chosen_until_the_far_one_is_clearly_emptier() {
    let mut roster = roster_of_two();
    assert_eq!(choose(&roster, at(0), &[]).as_deref(), Some("near"));
    roster.begin_request("near");
    assert_eq!(choose(&roster, at(0), &[]).as_deref(), Some("far"));
}

#[test]
fn the_load_of_other_entries_counts() {
    let mut roster = roster_of_two();
    let reading = LoadReport { online_running: 6, slots: 8, ..LoadReport::default() };
    roster.record_report_from("10.0.0.1".parse().expect("an address"), &reading, at(0));
    assert_eq!(choose(&roster, at(100), &[]).as_deref(), Some("far"));
}

#[test]
fn batch_runs_do_not_count_against_online_requests() {
    let mut roster = roster_of_two();
    let reading = LoadReport { batch_running: 8, slots: 8, ..LoadReport::default() };
    roster.record_report_from("10.0.0.1".parse().expect("an address"), &reading, at(0));
    assert_eq!(choose(&roster, at(100), &[]).as_deref(), Some("near"));
}

#[test]
fn draining_tried_and_failing_targets_are_left_out() {
    let mut roster = roster_of_two();
    roster.upsert(
        TargetRecord { state: TargetState::Draining, ..record("near", "a", 1) },
        MonotonicTime::ZERO,
    );
    assert_eq!(choose(&roster, at(0), &[]).as_deref(), Some("far"));
    assert_eq!(choose(&roster, at(0), &["far".to_owned()]), None);
    let far = roster.get_mut("far").expect("it is known");
    for _ in 0..3 {
        far.record_failure(at(0));
    }
    assert_eq!(choose(&roster, at(1), &[]), None);
    assert_eq!(choose(&roster, at(10_000), &[]).as_deref(), Some("far"), "it gets another try");
}

#[test]
fn a_sidecar_that_falls_silent_is_passed_by() {
    let mut roster = roster_of_two();
    let ip = "10.0.0.1".parse().expect("an address");
    let near = |roster: &TargetTable, now| {
        PlacementPolicy.choose(roster, now, &request(&["far".to_owned()])).expect("it is usable")
    };
    assert!(near(&roster, at(0)).through_sidecar, "one that was never heard may just have started");
    assert!(!near(&roster, at(5_000)).through_sidecar, "one that is never heard is not there");
    roster.record_report_from(ip, &LoadReport::default(), at(0));
    assert!(near(&roster, at(500)).through_sidecar);
    assert!(!near(&roster, at(3_000)).through_sidecar);
    roster.record_report_from(ip, &LoadReport::default(), at(3_100));
    assert!(near(&roster, at(3_200)).through_sidecar);
}

#[test]
fn another_target_under_the_same_id_starts_afresh() {
    let mut roster = roster_of_two();
    roster.begin_request("near");
    roster.upsert(record("near", "a", 9), MonotonicTime::ZERO);
    assert_eq!(roster.get("near").map(|row| row.in_flight), Some(0));
}

#[test]
fn items_go_where_most_slots_are_free_and_no_more_than_the_slots() {
    let mut roster = roster_of_two();
    let reading = LoadReport { online_running: 7, slots: 8, ..LoadReport::default() };
    roster.record_report_from("10.0.0.1".parse().expect("an address"), &reading, at(0));
    let mut schedule = RunSchedule::default();
    let mut runs = Vec::new();
    for _ in 0..7 {
        let choice = schedule.choose_target(&roster, at(100), "llm", "a").expect("there is room");
        assert_eq!(choice.id, "far");
        runs.push(schedule.begin_run(&choice.id, 0, at(100)));
    }
    for _ in 0..9 {
        if let Some(choice) = schedule.choose_target(&roster, at(100), "llm", "a") {
            schedule.begin_run(&choice.id, 0, at(100));
        }
    }
    assert_eq!((schedule.run_count("far"), schedule.run_count("near")), (8, 8));
    assert!(schedule.choose_target(&roster, at(100), "llm", "a").is_none());
    schedule.end(runs[0]);
    assert!(schedule.choose_target(&roster, at(100), "llm", "a").is_some());
}

#[test]
fn waiting_runs_move_to_free_slots_those_due_first_before_others() {
    let mut roster = roster_of_two();
    let full =
        LoadReport { online_running: 8, batch_waiting: 3, slots: 8, ..LoadReport::default() };
    let nearly_full = LoadReport { online_running: 7, slots: 8, ..LoadReport::default() };
    let mut schedule = RunSchedule::default();
    let late = schedule.begin_run("near", 9_000, at(0));
    let early = schedule.begin_run("near", 3_000, at(0));
    let running = schedule.begin_run("near", 1_000, at(0));
    roster.record_report_from("10.0.0.1".parse().expect("an address"), &full, at(1_000));
    roster.record_report_from("10.0.0.2".parse().expect("an address"), &nearly_full, at(1_000));
    schedule.record_output(running, at(900));
    assert_eq!(schedule.plan_moves(&roster, at(1_000), 1), [early], "one slot is free");
    assert!(schedule.plan_moves(&roster, at(200), 1).is_empty(), "they have not waited for long");
    assert!(schedule.plan_moves(&roster, at(2_000), 1).is_empty(), "the readings are too old");
    let idle = LoadReport { slots: 8, ..LoadReport::default() };
    roster.record_report_from("10.0.0.2".parse().expect("an address"), &idle, at(1_000));
    assert_eq!(schedule.plan_moves(&roster, at(1_000), 1), [early, late]);
    assert_eq!(schedule.plan_moves(&roster, at(1_000), 8), [early], "others have their share");
}

#[test]
fn a_reading_that_is_old_is_forgotten() {
    let mut roster = roster_of_two();
    let reading = LoadReport { online_running: 8, slots: 8, ..LoadReport::default() };
    roster.record_report_from("10.0.0.1".parse().expect("an address"), &reading, at(0));
    let row = roster.get("near").expect("it is known");
    assert_eq!(row.online_load(at(100), Duration::from_secs(1)), 8);
    assert_eq!(row.online_load(at(5_000), Duration::from_secs(1)), 0);
}

/// A roster of six targets in one zone, of which the last has fallen silent and the others report
/// so many online requests at `now`.
fn roster_with_a_silent_one(online_running: u32, now: MonotonicTime) -> TargetTable {
    let mut roster = TargetTable::default();
    for target in 1..=6 {
        roster.upsert(record(&format!("t{target}"), "a", target), at(0));
        let taken = if target == 6 { at(0) } else { now };
        let reading = LoadReport { online_running, slots: 8, ..LoadReport::default() };
        let address = format!("10.0.0.{target}").parse().expect("an address");
        roster.record_report_from(address, &reading, taken);
    }
    roster
}

#[test]
fn a_target_without_a_sidecar_is_taken_to_be_as_loaded_as_the_others() {
    let now = at(3_000);
    let roster = roster_with_a_silent_one(5, now);
    let choices = (0..600).map(|draw| {
        let request = PlacementRequest { seed: draw, ..request(&[]) };
        PlacementPolicy.choose(&roster, now, &request).expect("a choice")
    });
    let direct = choices.filter(|choice| !choice.through_sidecar).count();
    // A sixth is its share; each of several entries would otherwise send it half of all.
    assert!((50..=200).contains(&direct), "{direct} of 600 requests");
    let full = roster_with_a_silent_one(8, now);
    let tried: Vec<String> = (1..=5).map(|target| format!("t{target}")).collect();
    let choice = PlacementPolicy.choose(&full, now, &request(&tried)).expect("a choice");
    assert!(choice.is_full, "all others are");
}

#[test]
fn items_wait_for_a_sidecar_that_may_come_back() {
    let schedule = RunSchedule::default();
    let mut roster = TargetTable::default();
    roster.upsert(record("only", "a", 1), at(0));
    let reading = LoadReport { slots: 8, ..LoadReport::default() };
    roster.record_report_from("10.0.0.1".parse().expect("an address"), &reading, at(0));
    assert!(schedule.choose_target(&roster, at(100), "llm", "a").is_some());
    assert_eq!(schedule.choose_target(&roster, at(2_000), "llm", "a"), None);
    // It does not come back: an item at a time goes to the target itself.
    let mut schedule = schedule;
    let choice = schedule.choose_target(&roster, at(6_000), "llm", "a").expect("a choice");
    assert!(!choice.through_sidecar);
    schedule.begin_run("only", 0, at(6_000));
    assert_eq!(schedule.choose_target(&roster, at(6_000), "llm", "a"), None);
}
