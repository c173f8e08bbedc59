//! Registers a keeper for as long as it lives.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::KeeperRecord;
use cv_dispatch::KeeperSet;
use cv_http::ClientRequest;
use cv_policy::lease::LeaseClock;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;
use http::Method;
use http::StatusCode;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreUpdate;
use crate::fleet_view::KEEPERS_PREFIX;
use crate::keeper::job_dispatch::apply_work_update;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::progress_replication::push_updates;
use crate::keeper::stored_keys::WORK_PREFIX;

/// Time to live of the lease; a keeper that dies is missed for so long.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_100);

/// Path at which a keeper tells which keepers it knows.
pub(crate) const KNOWN_KEEPERS_PATH: &str = "/cv/ring";

/// Path at which a keeper tells whether the store answers it.
pub(crate) const STORE_CONTACT_PATH: &str = "/cv/store";

/// Time between two looks at whether the store answers only others.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Looks in a row that make a keeper isolated. At the beginning of an outage of the store, keepers
/// stop hearing it up to a second apart.
const ISOLATION_CHECKS: u32 = 4;

/// Pause before the other keepers are asked once more.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(60);

/// Longest wait for another keeper's answer.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest list of keepers, in bytes.
const MAX_PEER_RESPONSE_BYTES: usize = 64 * 1024;

/// Looks in a row that do not find the registration before it is made anew.
const MISSING_CHECKS: u32 = 2;

/// Pause after a failed registration.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps the registration alive until the keeper leaves.
pub(crate) async fn maintain_registration<P: PlatformAdapter>(state: Rc<KeeperState<P>>) {
    while !state.is_leaving.get() {
        match register(&state).await {
            Some(lease) => {
                monoio::select! {
                    () = renew_lease_until_lost(&state, lease) => {}
                    () = watch_registration(&state) => {}
                }
                state.lease.set(None);
                state.is_known_to_peers.set(false);
                state.release_ownership();
                state.view.log.record(
                    LineWeight::Essential,
                    EventKind::LeaseLost,
                    "keeper",
                    || format!("lease={lease} leaving={}", state.is_leaving.get()),
                );
            }
            None => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Registers the keeper under a new lease.
async fn register<P: PlatformAdapter>(state: &KeeperState<P>) -> Option<u64> {
    let sent = state.view.clock.now();
    let granted = state.view.store_health.observe(state.store.grant_lease(LEASE_TTL).await);
    let lease = granted.ok()?;
    let identity = &state.identity;
    let record = KeeperRecord {
        address: identity.internal_address(),
        name: identity.name.clone(),
        zone: identity.zone.clone(),
    };
    let key = format!("{KEEPERS_PREFIX}{}", record.name);
    let commit = StoreCommit::put(&key, record.encode(), lease);
    match state.commit_with_retry(&commit, LEASE_TTL / 2).await {
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

/// Waits until the other keepers know of this one, then watches that the registration stays.
///
/// Until a keeper that owned a job knows of a new owner, it would answer reads from a book that no
/// longer grows. One that cannot be asked has lost its lease after the lease's time.
async fn watch_registration<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let began = state.view.clock.now();
    let mut known_by = Vec::new();
    while state.view.clock.now().since(began) < LEASE_TTL {
        monoio::time::sleep(PEER_QUERY_INTERVAL).await;
        let ring = state.view.keepers();
        let name = &state.identity.name;
        if !ring.keepers().iter().any(|keeper| keeper.name == *name) {
            continue;
        }
        for keeper in ring.keepers() {
            if keeper.name != *name
                && !known_by.contains(&keeper.name)
                && peer_knows_this_keeper(state, keeper.address).await
            {
                known_by.push(keeper.name.clone());
            }
        }
        if known_by.len() + 1 >= ring.keepers().len() {
            break;
        }
    }
    load_work(state).await;
    state.is_known_to_peers.set(true);
    state.work_available.notify_one();
    let mut missing = 0;
    while missing < MISSING_CHECKS {
        monoio::time::sleep(RENEWAL_INTERVAL).await;
        let ring = state.view.keepers();
        let is_there = ring.keepers().iter().any(|keeper| keeper.name == state.identity.name);
        missing = if is_there { 0 } else { missing + 1 };
    }
}

/// Reads what there is to do, until that succeeds.
///
/// Jobs may have ended while the store turned this keeper away, and its watch may come back later
/// than its lease.
async fn load_work<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    loop {
        match state.view.store_health.observe(state.store.range(WORK_PREFIX).await) {
            Ok(snapshot) => return apply_work_update(state, StoreUpdate::Snapshot(snapshot.items)),
            Err(_) => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Finds out, for as long as the process runs, whether the store answers others and not this one.
///
/// Others may then own and end the jobs of this keeper, which would not hear of it.
pub(crate) async fn watch_isolation<P: PlatformAdapter>(state: Rc<KeeperState<P>>) {
    let mut looks = 0;
    loop {
        monoio::time::sleep(ISOLATION_CHECK_INTERVAL).await;
        let mut others_hear = false;
        if !state.has_store_contact() {
            for keeper in state.view.keepers().keepers() {
                others_hear |= keeper.name != state.identity.name
                    && peer_has_store_contact(&state, keeper.address).await;
            }
        }
        looks = if others_hear { looks + 1 } else { 0 };
        let is_isolated = looks >= ISOLATION_CHECKS;
        if state.is_isolated.replace(is_isolated) != is_isolated {
            state.view.log.record(LineWeight::Essential, EventKind::LeaseLost, "keeper", || {
                format!(
                    "isolated={is_isolated} silence={:?}",
                    state.view.store_health.time_since_success()
                )
            });
        }
    }
}

/// Asks another keeper whether the store answers it.
async fn peer_has_store_contact<P: PlatformAdapter>(
    state: &KeeperState<P>,
    address: SocketAddr,
) -> bool {
    let request = ClientRequest::new(Method::GET, STORE_CONTACT_PATH, "");
    let asked =
        state.pool.exchange(address, &request, PEER_QUERY_TIMEOUT, MAX_PEER_RESPONSE_BYTES).await;
    asked.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Asks another keeper whether it knows of this one.
async fn peer_knows_this_keeper<P: PlatformAdapter>(
    state: &KeeperState<P>,
    address: SocketAddr,
) -> bool {
    let request = ClientRequest::new(Method::GET, KNOWN_KEEPERS_PATH, "");
    let asked =
        state.pool.exchange(address, &request, PEER_QUERY_TIMEOUT, MAX_PEER_RESPONSE_BYTES).await;
    asked.is_ok_and(|answer| KeeperSet::contains_name(&answer.body, &state.identity.name))
}

/// Renews the lease until it has ended or the keeper leaves.
async fn renew_lease_until_lost<P: PlatformAdapter>(state: &KeeperState<P>, lease: u64) {
    while !state.is_leaving.get() {
        monoio::time::sleep(RENEWAL_INTERVAL).await;
        if state.is_leaving.get() {
            return;
        }
        let sent = state.view.clock.now();
        match state.view.store_health.observe(state.store.renew_lease(lease).await) {
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
pub(crate) async fn deregister<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    state.is_leaving.set(true);
    push_updates(state).await;
    let held = state.lease.take();
    state.release_ownership();
    if let Some(lease) = held
        && let Err(fault) =
            state.view.store_health.observe(state.store.revoke_lease(lease.epoch()).await)
    {
        state.view.log.record(LineWeight::Essential, EventKind::LeaseLost, "keeper", || {
            format!("lease={} ends by itself: {fault}", lease.epoch())
        });
    }
}
