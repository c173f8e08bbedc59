//! Target subsets, lease expiry and configuration revisions.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::config::ActiveConfig;
use cv_policy::config::ConfigDocument;
use cv_policy::lease::LeaseClock;
use cv_policy::routing::pick_subset;
use cv_policy::routing::subset_size;

use crate::sample_targets::listings;

/// Numbers of entries and of targets of one model in a deployment of the specified size.
const ENTRIES: usize = 510;
const TARGETS: usize = 1_725;

#[test]
fn subsets_cover_every_target_and_stay_small() {
    let listings = listings(TARGETS);
    let mut entries_per_target = vec![0_u32; TARGETS];
    for entry in 0..ENTRIES {
        let zone = format!("zone-{}", entry % 13);
        let subset = pick_subset(&format!("entry-{entry}"), &zone, ENTRIES, &listings);
        assert_eq!(subset.len(), subset_size(TARGETS, ENTRIES));
        for listing in subset {
            let index: usize = listing.name["replica-".len()..].parse().expect("an index");
            entries_per_target[index] += 1;
        }
    }
    assert!(entries_per_target.iter().all(|count| *count > 0), "a target is in no subset");
    assert!(
        entries_per_target.iter().all(|count| *count < 16 * 4),
        "a target is in too many subsets"
    );
}

#[test]
fn with_few_entries_each_has_every_target() {
    let listings = listings(200);
    assert_eq!(pick_subset("entry-0", "zone-0", 6, &listings).len(), 200);
}

#[test]
fn a_removed_target_changes_few_others_in_the_subset() {
    let before = listings(TARGETS);
    let subset_before = pick_subset("entry-7", "zone-3", ENTRIES, &before);
    let mut after = before.clone();
    after.retain(|listing| listing.name != subset_before[0].name);
    let subset_after = pick_subset("entry-7", "zone-3", ENTRIES, &after);
    let kept = subset_after.iter().filter(|listing| subset_before.contains(listing)).count();
    assert!(kept >= subset_before.len() - 2, "{kept} of {} kept", subset_before.len());
}

#[test]
fn a_lease_is_counted_from_the_time_of_its_request() {
    let requested = MonotonicTime::from_millis(1_000);
    let mut clock = LeaseClock::new(7, requested, Duration::from_secs(8));
    assert!(clock.holds(MonotonicTime::from_millis(6_900)));
    // A paused holder finds its lease expired at the next check.
    assert!(!clock.holds(MonotonicTime::from_millis(7_000)));
    clock.renew(MonotonicTime::from_millis(500));
    assert!(
        !clock.holds(MonotonicTime::from_millis(7_000)),
        "an older renewal must have no effect"
    );
}

#[test]
fn the_active_revision_never_decreases() {
    let document = |revision: u64, deadline: u64| ConfigDocument {
        body: format!("{{\"defaults\":{{\"deadline_ms\":{deadline}}}}}"),
        revision,
    };
    let mut active = ActiveConfig::default();
    assert!(active.apply_if_newer(document(5, 100)));
    assert!(!active.apply_if_newer(document(4, 200)), "an older revision");
    assert!(!active.apply_if_newer(document(5, 300)), "the same revision");
    let invalid = ConfigDocument { body: "{".to_owned(), revision: 6 };
    assert!(!active.apply_if_newer(invalid), "an invalid document");
    assert_eq!(active.config().defaults.deadline_ms, 100);
    assert_eq!(active.revision(), 5);
}
