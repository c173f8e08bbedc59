//! What callers get under heavy load.

use crate::load_simulation::LoadSimulation;
use crate::load_simulation::SimulationLoad;
use crate::load_simulation::central_queue_share;

#[test]
fn below_capacity_online_and_batch_are_served_in_time() {
    let load = SimulationLoad {
        engines: 12,
        entries: 5,
        items_per_s: 6.0,
        item_ms: 5_000,
        online_per_s: 56.0,
        online_ms: 800,
        slots: 8,
    };
    let outcome = LoadSimulation::new(load).run(60);
    let items_already_due = outcome.items - 6 * 18;
    assert!(f64::from(outcome.on_time) >= 0.97 * f64::from(outcome.online), "{outcome:?}");
    assert!(f64::from(outcome.items_in_time) >= 0.95 * f64::from(items_already_due), "{outcome:?}");
    assert_eq!(outcome.refused_below_capacity, 0, "{outcome:?}");
}

#[test]
fn entries_of_a_large_fleet_do_not_overload_a_target_together() {
    let load = SimulationLoad {
        engines: 46,
        entries: 21,
        items_per_s: 10.0,
        item_ms: 3_300,
        online_per_s: 250.0,
        online_ms: 600,
        slots: 7,
    };
    let outcome = LoadSimulation::new(load).run(30);
    assert!(f64::from(outcome.on_time) >= 0.95 * f64::from(outcome.online), "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

#[test]
fn at_peaks_over_capacity_most_refused_requests_are_served_on_their_retry() {
    let load = SimulationLoad {
        engines: 12,
        entries: 5,
        items_per_s: 4.0,
        item_ms: 5_000,
        online_per_s: 75.0,
        online_ms: 850,
        slots: 8,
    };
    let outcome = LoadSimulation::new(load).run(60);
    let served = outcome.on_time + outcome.late_after_retry + outcome.late;
    assert!(f64::from(served) >= 0.95 * f64::from(outcome.online), "{outcome:?}");
    assert!(f64::from(outcome.on_time) >= 0.7 * f64::from(outcome.online), "{outcome:?}");
    assert!(f64::from(outcome.refused) <= 0.02 * f64::from(outcome.online), "{outcome:?}");
}

#[test]
fn with_more_batch_work_than_slots_most_items_that_fit_are_in_time() {
    let load = SimulationLoad {
        engines: 12,
        entries: 5,
        items_per_s: 12.0,
        item_ms: 5_000,
        online_per_s: 56.0,
        online_ms: 850,
        slots: 8,
    };
    let outcome = LoadSimulation::new(load).run(90);
    // On average about 48 slots are free, and the items need 60.
    let fitting = 0.8 * f64::from(outcome.items - 12 * 18);
    assert!(f64::from(outcome.items_in_time) >= 0.75 * fitting, "{outcome:?}");
    assert!(f64::from(outcome.on_time) >= 0.95 * f64::from(outcome.online), "{outcome:?}");
}

#[test]
fn near_capacity_first_attempts_start_as_in_one_queue_for_the_whole_fleet() {
    for (engines, entries, online_per_s) in [(18, 4, 84.0), (18, 4, 94.0), (46, 21, 250.0)] {
        let load = SimulationLoad {
            engines,
            entries,
            items_per_s: 0.0,
            item_ms: 4_000,
            online_per_s,
            online_ms: 800,
            slots: 8,
        };
        let bound = central_queue_share(&load, 60);
        let outcome = LoadSimulation::new(load).run(60);
        let on_time = f64::from(outcome.on_time) / f64::from(outcome.online);
        assert!(on_time >= bound - 0.02, "{on_time} of at most {bound}: {outcome:?}");
        assert_eq!(outcome.refused, 0, "{outcome:?}");
    }
}

#[test]
fn at_peaks_far_over_capacity_most_requests_still_start_in_time() {
    let load = SimulationLoad {
        engines: 38,
        entries: 17,
        items_per_s: 0.0,
        item_ms: 4_000,
        online_per_s: 290.0,
        online_ms: 750,
        slots: 7,
    };
    // The peaks bring twice as many requests as there are slots for. In order of arrival nearly all
    // of them start late; one queue for the whole fleet would start the share below in time.
    let bound = central_queue_share(&load, 60);
    let outcome = LoadSimulation::new(load).run(60);
    let on_time = f64::from(outcome.on_time) / f64::from(outcome.online);
    assert!(on_time >= 0.9 * bound, "{on_time} of at most {bound}: {outcome:?}");
    let refused = f64::from(outcome.refused) / f64::from(outcome.online);
    assert!(refused <= 0.01, "{outcome:?}");
}
