//! Ownership of jobs.

use cv_dispatch::KeeperRecord;
use cv_dispatch::KeeperSet;

/// A ring of keepers with the given names.
fn ring_of(names: &[&str]) -> KeeperSet {
    let mut ring = KeeperSet::default();
    for name in names {
        ring.upsert(KeeperRecord {
            address: "10.0.0.1:1".parse().expect("an address"),
            name: (*name).to_owned(),
            zone: "zone".to_owned(),
        });
    }
    ring
}

#[test]
fn each_job_has_one_owner_whatever_the_order_of_arrival() {
    let (ring, other) = (ring_of(&["a", "b", "c"]), ring_of(&["c", "a", "b"]));
    for job in 0..100 {
        let job = format!("job-{job}");
        let owners = ["a", "b", "c"].iter().filter(|name| ring.is_owner(name, &job)).count();
        assert_eq!(owners, 1);
        assert_eq!(ring.ranking_for(&job), other.ranking_for(&job));
    }
}

#[test]
fn a_keeper_that_goes_moves_only_its_own_jobs() {
    let full = ring_of(&["a", "b", "c"]);
    let mut fewer = full.clone();
    fewer.remove("b");
    for job in 0..100 {
        let job = format!("job-{job}");
        let before = full.ranking_for(&job)[0].name.clone();
        if before != "b" {
            assert_eq!(fewer.ranking_for(&job)[0].name, before);
        }
    }
}

#[test]
fn a_registration_survives_its_encoding() {
    let ring = ring_of(&["a"]);
    let keeper = &ring.keepers()[0];
    assert_eq!(KeeperRecord::decode("a", &keeper.encode()).as_ref(), Some(keeper));
    assert_eq!(KeeperRecord::decode("a", b"nonsense"), None);
    assert_eq!(KeeperRecord::decode("a", &[0xff, 0xfe]), None);
}

#[test]
fn names_are_found_whole() {
    let encoded = ring_of(&["store-1", "store-12"]).encode_names();
    assert!(KeeperSet::contains_name(encoded.as_bytes(), "store-12"));
    assert!(!KeeperSet::contains_name(encoded.as_bytes(), "store"));
}
