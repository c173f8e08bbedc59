//! What processes tell sidecars about their targets.

use std::net::SocketAddr;

use cv_dispatch::SidecarSubscriptions;
use cv_dispatch::TargetState;
use cv_policy::MonotonicTime;

/// A time in milliseconds.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// The address of a sidecar.
fn sidecar(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_700))
}

#[test]
fn an_empty_directory_says_of_no_target_that_it_drains() {
    let mut subscriptions = SidecarSubscriptions::default();
    subscriptions.update(at(0), (1..=9).map(|last| (sidecar(last), TargetState::Ready)));
    assert_eq!(subscriptions.notices().count(), 9);
    // The store is back after an outage and the targets have not registered again yet.
    for time in [500, 1_000, 4_000] {
        subscriptions.update(at(time), []);
        let draining = subscriptions.notices().any(|(_, state)| state == TargetState::Draining);
        assert!(!draining, "at {time} ms");
    }
}

#[test]
fn a_target_that_was_listed_as_draining_is_still_reported_after_it_is_gone() {
    let mut subscriptions = SidecarSubscriptions::default();
    subscriptions.update(at(0), [(sidecar(1), TargetState::Draining)]);
    subscriptions.update(at(5_000), []);
    let notices: Vec<_> = subscriptions.notices().collect();
    assert_eq!(notices, [(sidecar(1), TargetState::Draining)]);
    subscriptions.update(at(12_000), []);
    assert_eq!(subscriptions.notices().count(), 0);
}

#[test]
fn a_new_target_at_the_address_of_a_draining_one_is_ready_at_once() {
    let mut subscriptions = SidecarSubscriptions::default();
    subscriptions.update(at(0), [(sidecar(1), TargetState::Draining)]);
    let both = [(sidecar(1), TargetState::Ready), (sidecar(1), TargetState::Draining)];
    subscriptions.update(at(500), both);
    assert_eq!(subscriptions.notices().next(), Some((sidecar(1), TargetState::Ready)));
}
