//! Subsets cover every target and change little; leases end in time; configurations never go back.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::config::ActiveConfig;
use cv_policy::config::ConfigDocument;
use cv_policy::lease::LeaseClock;
use cv_policy::routing::pick_subset;
use cv_policy::routing::subset_size;

use crate::sample_targets::listings;

/// Entries and targets of one model at the size of the users' letter.
const ENTRIES: usize = 510;
const TARGETS: usize = 1_725;

#[test]
fn subsets_reach_every_target_and_stay_small() {
    let listings = listings(TARGETS);
    let mut reached = vec![0_u32; TARGETS];
    for entry in 0..ENTRIES {
        let zone = format!("zone-{}", entry % 13);
        let subset = pick_subset(&format!("entry-{entry}"), &zone, ENTRIES, &listings);
        assert_eq!(subset.len(), subset_size(TARGETS, ENTRIES));
        for listing in subset {
            let index: usize = listing.name["replica-".len()..].parse().expect("an index");
            reached[index] += 1;
        }
    }
    assert!(reached.iter().all(|count| *count > 0), "a target is left out");
    assert!(reached.iter().all(|count| *count < 16 * 4), "a target is crowded");
}

#[test]
fn few_entries_reach_every_target_too() {
    let listings = listings(200);
    assert_eq!(pick_subset("entry-0", "zone-0", 6, &listings).len(), 200);
}

#[test]
fn a_target_that_leaves_changes_the_subset_by_one() {
    let before = listings(TARGETS);
    let chosen = pick_subset("entry-7", "zone-3", ENTRIES, &before);
    let mut after = before.clone();
    after.retain(|listing| listing.name != chosen[0].name);
    let next = pick_subset("entry-7", "zone-3", ENTRIES, &after);
    let kept = next.iter().filter(|listing| chosen.contains(listing)).count();
    assert!(kept >= chosen.len() - 2, "{kept} of {} kept", chosen.len());
}

#[test]
fn a_holder_counts_its_lease_from_when_it_asked() {
    let asked = MonotonicTime::from_millis(1_000);
    let mut clock = LeaseClock::new(7, asked, Duration::from_secs(8));
    assert!(clock.holds(MonotonicTime::from_millis(6_900)));
    // A holder that was paused finds its lease over when it looks again.
    assert!(!clock.holds(MonotonicTime::from_millis(7_000)));
    clock.renew(MonotonicTime::from_millis(500));
    assert!(!clock.holds(MonotonicTime::from_millis(7_000)), "an old renewal changes nothing");
}

#[test]
fn a_configuration_never_goes_back() {
    let document = |revision: u64, deadline: u64| ConfigDocument {
        body: format!("{{\"defaults\":{{\"deadline_ms\":{deadline}}}}}"),
        revision,
    };
    let mut register = ActiveConfig::default();
    assert!(register.apply_if_newer(document(5, 100)));
    assert!(!register.apply_if_newer(document(4, 200)), "an older revision");
    assert!(!register.apply_if_newer(document(5, 300)), "the same revision");
    let torn = ConfigDocument { body: "{".to_owned(), revision: 6 };
    assert!(!register.apply_if_newer(torn), "a damaged document");
    assert_eq!(register.config().defaults.deadline_ms, 100);
    assert_eq!(register.revision(), 5);
}
