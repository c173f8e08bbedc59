//! Silence of peers.

use std::net::SocketAddr;
use std::time::Duration;

use cv_dispatch::PeerPresence;
use cv_policy::MonotonicTime;

/// Returns the address of a peer.
fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn silence_counts_from_the_last_message() {
    let at = MonotonicTime::from_millis;
    let mut presence = PeerPresence::default();
    presence.record(peer(2), at(1_000));
    presence.record(peer(1), at(1_500));
    presence.record(peer(2), at(2_000));
    assert_eq!(presence.silence(peer(2), at(0), at(2_300)), Duration::from_millis(300));
    assert_eq!(presence.silence(peer(1), at(0), at(2_300)), Duration::from_millis(800));
}

#[test]
fn silence_of_an_unknown_peer_counts_from_the_given_time() {
    let at = MonotonicTime::from_millis;
    let mut presence = PeerPresence::default();
    presence.record(peer(1), at(1_000));
    assert_eq!(presence.silence(peer(3), at(2_000), at(2_100)), Duration::from_millis(100));
    assert_eq!(presence.silence(peer(1), at(2_000), at(2_100)), Duration::from_millis(100));
}

#[test]
fn peers_that_have_been_silent_for_long_are_forgotten() {
    let at = MonotonicTime::from_millis;
    let mut presence = PeerPresence::default();
    presence.record(peer(9), at(0));
    presence.record(peer(1), at(60_000));
    assert_eq!(presence.silence(peer(9), at(59_000), at(60_000)), Duration::from_secs(1));
    assert_eq!(presence.silence(peer(1), at(0), at(60_000)), Duration::ZERO);
}
