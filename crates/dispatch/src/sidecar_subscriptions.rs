//! What a process tells the sidecars whose load reports it subscribes to.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::TargetState;

/// Time for which the sidecar of a draining target that is no longer listed is still notified.
const DEPARTURE_NOTICE_TIME: Duration = Duration::from_secs(12);

/// A subscription to the load reports of one sidecar.
#[derive(Clone, Copy, Debug)]
struct SidecarSubscription {
    address: SocketAddr,
    /// Last time at which its target was listed.
    listed_at: MonotonicTime,
    state: TargetState,
}

/// The subscriptions of one process, with the state in which each target was last listed.
///
/// A target that is missing from the directory says nothing: after an outage of the store a
/// directory may be empty although all targets serve. Only a target that was listed as draining is
/// reported as such.
#[derive(Clone, Debug, Default)]
pub struct SidecarSubscriptions {
    /// Sorted by address.
    rows: Vec<SidecarSubscription>,
}

impl SidecarSubscriptions {
    /// Updates the subscriptions from the directory: the sidecar's address and the state of each
    /// target. Where targets share an address, a ready one counts.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        listed: impl IntoIterator<Item = (SocketAddr, TargetState)>,
    ) {
        for (address, state) in listed {
            let row = SidecarSubscription { address, listed_at: now, state };
            match self.rows.binary_search_by_key(&address, |row| row.address) {
                Ok(position) => {
                    let known = self.rows[position];
                    if known.listed_at < now || state == TargetState::Ready {
                        self.rows[position] = row;
                    }
                }
                Err(position) => self.rows.insert(position, row),
            }
        }
        self.rows.retain(|row| match row.state {
            TargetState::Ready => row.listed_at == now,
            TargetState::Draining => now.since(row.listed_at) < DEPARTURE_NOTICE_TIME,
        });
    }

    /// Returns whether a sidecar is among those to notify.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.rows.binary_search_by_key(&address, |row| row.address).is_ok()
    }

    /// Returns the sidecars to notify, each with the state of its target.
    pub fn notices(&self) -> impl Iterator<Item = (SocketAddr, TargetState)> + '_ {
        self.rows.iter().map(|row| (row.address, row.state))
    }
}
