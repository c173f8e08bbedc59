//! Registers a keeper under a lease, and detects when the store responds only to other keepers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::KeeperRecord;
use cv_dispatch::KeeperSet;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_policy::lease::LeaseClock;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use futures::future::join_all;
use http::Method;
use http::StatusCode;
use monoio::time::timeout;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::fleet_view::KEEPERS_PREFIX;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::progress_replication::push_updates;
use crate::store_contact::STORE_CONTACT_PATH;

/// Time to live of the lease; a crashed keeper is noticed after this time.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_100);

/// Path at which a keeper lists the names of the keepers that it knows.
pub(crate) const KNOWN_KEEPERS_PATH: &str = "/cv/ring";

/// Time between two checks of whether the store responds only to other keepers.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Number of consecutive checks after which a keeper counts as isolated. At the beginning of an
/// outage of the store, keepers lose contact up to a second apart.
const CHECKS_UNTIL_ISOLATED: u32 = 4;

/// Time between two rounds of queries to the other keepers.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum time for a query to another keeper.
pub(crate) const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of the response to a query, in bytes.
pub(crate) const MAX_PEER_RESPONSE_BYTES: usize = 64 * 1024;

/// Number of consecutive checks that do not find the registration before it is made again.
const MAX_MISSED_CHECKS: u32 = 2;

/// Time to read the work after which a log line says that the keeper is not registered yet.
const WORK_LOAD_TIME: Duration = Duration::from_secs(3);

/// Delay after a failed registration.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Registers the keeper, and again whenever its registration is lost, until it drains.
///
/// From the registration on, the other processes leave this keeper's share of the jobs to it, so it
/// has to know the work before.
pub(crate) async fn maintain_registration<P: PlatformAdapter>(state: Rc<KeeperState<P>>) {
    if timeout(WORK_LOAD_TIME, state.work_loaded.wait()).await.is_err() {
        log::warn!("the work is not read after {WORK_LOAD_TIME:?}; not registered until it is");
        state.work_loaded.wait().await;
    }
    while !state.is_draining.get() {
        match register(&state).await {
            Some(lease) => {
                monoio::select! {
                    () = renew_lease_until_lost(&state, lease) => {}
                    () = watch_registration(&state) => {}
                }
                state.lease.set(None);
                state.is_known_to_peers.set(false);
                state.release_ownership();
                // Other keepers accept this one's share of the jobs until it is registered again.
                state.view.store_health.record_missed_changes();
                state.view.log.record(
                    LinePriority::Essential,
                    EventKind::LeaseLost,
                    "keeper",
                    || format!("lease={lease} leaving={}", state.is_draining.get()),
                );
            }
            None => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Registers the keeper under a new lease; returns the lease's id, or `None` on failure.
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
                LinePriority::Essential,
                EventKind::LeaseAcquired,
                "keeper",
                || format!("lease={lease} ttl_ms={}", LEASE_TTL.as_millis()),
            );
            Some(lease)
        }
        Ok(_) | Err(_) => None,
    }
}

/// Waits until the other keepers know of this one, and then returns when the registration is gone.
///
/// A former owner of a job that does not know of the new owner would answer reads from results that
/// are out of date. A keeper that cannot be queried has lost its lease once [`LEASE_TTL`] is over,
/// so the wait ends then.
async fn watch_registration<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let started = state.view.clock.now();
    let mut known_by = Vec::new();
    while state.view.clock.now().since(started) < LEASE_TTL {
        monoio::time::sleep(PEER_QUERY_INTERVAL).await;
        let keeper_set = state.view.keepers();
        let name = &state.identity.name;
        if !keeper_set.keepers().iter().any(|keeper| keeper.name == *name) {
            continue;
        }
        for keeper in keeper_set.keepers() {
            if keeper.name != *name
                && !known_by.contains(&keeper.name)
                && peer_knows_this_keeper(state, keeper.address).await
            {
                known_by.push(keeper.name.clone());
            }
        }
        if known_by.len() + 1 >= keeper_set.keepers().len() {
            break;
        }
    }
    // Jobs may have been closed since the work was loaded, and the watch may report that late.
    state.forget_closed_jobs();
    state.is_known_to_peers.set(true);
    state.work_available.notify_one();
    let mut missed_checks = 0;
    while missed_checks < MAX_MISSED_CHECKS {
        monoio::time::sleep(RENEWAL_INTERVAL).await;
        let keeper_set = state.view.keepers();
        let is_registered =
            keeper_set.keepers().iter().any(|keeper| keeper.name == state.identity.name);
        missed_checks = if is_registered { 0 } else { missed_checks + 1 };
    }
}

/// Checks, for as long as the process runs, whether the store responds to other keepers but not to
/// this one.
///
/// Other keepers may then take over and close this keeper's jobs without its knowledge.
pub(crate) async fn watch_isolation<P: PlatformAdapter>(state: Rc<KeeperState<P>>) {
    let mut checks = 0;
    loop {
        monoio::time::sleep(ISOLATION_CHECK_INTERVAL).await;
        let peers = if state.has_store_contact() {
            PeerContact::Unknown
        } else {
            query_store_contact(&state).await
        };
        let is_outage = peers == PeerContact::Lost && !state.has_store_contact();
        state.is_outage_confirmed.set(is_outage);
        checks = if peers == PeerContact::Held { checks + 1 } else { 0 };
        let is_isolated = checks >= CHECKS_UNTIL_ISOLATED;
        if state.is_isolated.replace(is_isolated) != is_isolated {
            state.view.log.record(LinePriority::Essential, EventKind::LeaseLost, "keeper", || {
                format!(
                    "isolated={is_isolated} silence={:?}",
                    state.view.store_health.time_since_success()
                )
            });
        }
    }
}

/// Whether other keepers have contact with the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerContact {
    /// At least one has.
    Held,
    /// None has, and each has said so or has ended.
    Lost,
    /// At least one cannot be queried, and no other has contact.
    Unknown,
}

/// Queries all other keepers for whether they have contact with the store.
async fn query_store_contact<P: PlatformAdapter>(state: &KeeperState<P>) -> PeerContact {
    let keeper_set = state.view.keepers();
    let own_name = &state.identity.name;
    let others = keeper_set.keepers().iter().filter(|keeper| keeper.name != *own_name);
    let contacts = join_all(others.map(|keeper| peer_contact(state, keeper.address))).await;
    if contacts.contains(&PeerContact::Held) {
        PeerContact::Held
    } else if contacts.contains(&PeerContact::Unknown) {
        PeerContact::Unknown
    } else {
        PeerContact::Lost
    }
}

/// Queries another keeper for whether it has contact with the store.
async fn peer_contact<P: PlatformAdapter>(
    state: &KeeperState<P>,
    address: SocketAddr,
) -> PeerContact {
    let request = ClientRequest::new(Method::GET, STORE_CONTACT_PATH, "");
    let result =
        state.pool.exchange(address, &request, PEER_QUERY_TIMEOUT, MAX_PEER_RESPONSE_BYTES).await;
    match result {
        Ok(response) if response.status == StatusCode::OK => PeerContact::Held,
        Ok(_) => PeerContact::Lost,
        // Nothing listens there, so that keeper has ended.
        Err(HttpFault::Io(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            PeerContact::Lost
        }
        Err(_) => PeerContact::Unknown,
    }
}

/// Queries another keeper for whether it knows of this one.
async fn peer_knows_this_keeper<P: PlatformAdapter>(
    state: &KeeperState<P>,
    address: SocketAddr,
) -> bool {
    let request = ClientRequest::new(Method::GET, KNOWN_KEEPERS_PATH, "");
    let result =
        state.pool.exchange(address, &request, PEER_QUERY_TIMEOUT, MAX_PEER_RESPONSE_BYTES).await;
    result.is_ok_and(|response| KeeperSet::contains_name(&response.body, &state.identity.name))
}

/// Renews the lease until the store reports it as ended or the keeper drains.
async fn renew_lease_until_lost<P: PlatformAdapter>(state: &KeeperState<P>, lease: u64) {
    while !state.is_draining.get() {
        monoio::time::sleep(RENEWAL_INTERVAL).await;
        if state.is_draining.get() {
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
            // The lease may still be valid; the lease clock tells when it has expired.
            Err(_) => {}
        }
    }
}

/// Replicates progress and revokes the lease, so that other keepers take the jobs over at once.
pub(crate) async fn deregister<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    state.is_draining.set(true);
    push_updates(state).await;
    let held = state.lease.take();
    state.release_ownership();
    if let Some(lease) = held
        && let Err(fault) =
            state.view.store_health.observe(state.store.revoke_lease(lease.epoch()).await)
    {
        state.view.log.record(LinePriority::Essential, EventKind::LeaseLost, "keeper", || {
            format!("lease={} ends by itself: {fault}", lease.epoch())
        });
    }
}
