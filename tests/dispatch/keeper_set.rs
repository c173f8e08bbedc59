//! Ownership of batch jobs.

use cv_dispatch::KeeperRecord;
use cv_dispatch::KeeperSet;

/// A set of keepers with the given names.
fn keepers_of(names: &[&str]) -> KeeperSet {
    let mut keepers = KeeperSet::default();
    for name in names {
        keepers.upsert(KeeperRecord {
            address: "10.0.0.1:1".parse().expect("an address"),
            name: (*name).to_owned(),
            zone: "zone".to_owned(),
        });
    }
    keepers
}

#[test]
fn each_job_has_one_owner_regardless_of_insertion_order() {
    let (keepers, other) = (keepers_of(&["a", "b", "c"]), keepers_of(&["c", "a", "b"]));
    for job in 0..100 {
        let job = format!("job-{job}");
        let owners = ["a", "b", "c"].iter().filter(|name| keepers.is_owner(name, &job)).count();
        assert_eq!(owners, 1);
        assert_eq!(keepers.ranking_for(&job), other.ranking_for(&job));
    }
}

#[test]
fn removing_a_keeper_moves_only_its_own_jobs() {
    let full = keepers_of(&["a", "b", "c"]);
    let mut reduced = full.clone();
    reduced.remove("b");
    for job in 0..100 {
        let job = format!("job-{job}");
        let owner = full.ranking_for(&job)[0].name.clone();
        if owner != "b" {
            assert_eq!(reduced.ranking_for(&job)[0].name, owner);
        }
    }
}

#[test]
fn a_registration_decodes_to_the_same_keeper() {
    let set = keepers_of(&["a"]);
    let keeper = &set.keepers()[0];
    assert_eq!(KeeperRecord::decode("a", &keeper.encode()).as_ref(), Some(keeper));
    assert_eq!(KeeperRecord::decode("a", b"nonsense"), None);
    assert_eq!(KeeperRecord::decode("a", &[0xff, 0xfe]), None);
}

#[test]
fn only_complete_names_are_found() {
    let encoded = keepers_of(&["store-1", "store-12"]).encode_names();
    assert!(KeeperSet::contains_name(encoded.as_bytes(), "store-12"));
    assert!(!KeeperSet::contains_name(encoded.as_bytes(), "store"));
}
