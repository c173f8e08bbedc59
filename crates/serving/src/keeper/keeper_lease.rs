//! Registers a keeper for as long as it lives.

use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::KeeperRecord;
use cv_policy::lease::LeaseClock;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::PlatformBorder;
use crate::StoreCommit;
use crate::fleet_view::KEEPERS_PREFIX;
use crate::keeper::keeper_state::KeeperState;

/// Time to live of the lease; a keeper that dies is missed for so long.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// Time between two renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(1_100);

/// Pause after a failed registration.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the registration alive until the keeper leaves.
pub(crate) async fn run_lease<P: PlatformBorder>(state: Rc<KeeperState<P>>) {
    while !state.is_leaving.get() {
        match register(&state).await {
            Some(lease) => {
                renew_while_held(&state, lease).await;
                state.lease.set(None);
                state.view.log.record(
                    LineWeight::Essential,
                    EventKind::LeaseLost,
                    "keeper",
                    || format!("lease={lease} leaving={}", state.is_leaving.get()),
                );
            }
            None => monoio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Registers the keeper under a new lease.
async fn register<P: PlatformBorder>(state: &KeeperState<P>) -> Option<u64> {
    let sent = state.view.clock.now();
    let granted = state.view.link.observe(state.store.grant_lease(LEASE_TTL).await);
    let lease = granted.ok()?;
    let identity = &state.identity;
    let record = KeeperRecord {
        address: identity.inner_address(),
        name: identity.name.clone(),
        zone: identity.zone.clone(),
    };
    let key = format!("{KEEPERS_PREFIX}{}", record.name);
    let commit =
        StoreCommit { puts: vec![(key, record.encode(), lease)], ..StoreCommit::default() };
    match state.commit_resolved(&commit, LEASE_TTL / 2).await {
        Ok(CommitOutcome::Done) => {
            state.lease.set(Some(LeaseClock::new(lease, sent, LEASE_TTL)));
            state.view.log.record(
                LineWeight::Essential,
                EventKind::LeaseAcquired,
                "keeper",
                || format!("lease={lease} ttl_ms={}", LEASE_TTL.as_millis()),
            );
            Some(lease)
        }
        Ok(_) | Err(_) => None,
    }
}

/// Renews the lease until it has ended or the keeper leaves.
async fn renew_while_held<P: PlatformBorder>(state: &KeeperState<P>, lease: u64) {
    while !state.is_leaving.get() {
        monoio::time::sleep(RENEW_PERIOD).await;
        if state.is_leaving.get() {
            return;
        }
        let sent = state.view.clock.now();
        match state.view.link.observe(state.store.renew_lease(lease).await) {
            Ok(true) => {
                if let Some(mut clock) = state.lease.get() {
                    clock.renew(sent);
                    state.lease.set(Some(clock));
                }
            }
            Ok(false) => return,
            // The lease may still hold; the clock tells when it surely does not.
            Err(_) => {}
        }
    }
}

/// Gives the registration back, so that others take the jobs over at once.
pub(crate) async fn leave<P: PlatformBorder>(state: &KeeperState<P>) {
    state.is_leaving.set(true);
    let held = state.lease.take();
    for cell in state.shelf.all() {
        cell.is_owned.set(false);
        cell.changed.notify_waiters();
    }
    if let Some(lease) = held
        && let Err(fault) = state.view.link.observe(state.store.end_lease(lease.epoch()).await)
    {
        state.view.log.record(LineWeight::Essential, EventKind::LeaseLost, "keeper", || {
            format!("lease={} ends by itself: {fault}", lease.epoch())
        });
    }
}
