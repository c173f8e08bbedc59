//! Tells a failure of the store for this process alone from one for all.
//!
//! After a failure of the store, registrations that are missing may belong to instances that could not
//! renew them, so their removal is deferred. If a peer had contact all the while, the instances had it
//! as well, and the removals count.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_http::ServerExchange;
use cv_timer::TimerService;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;

use crate::FleetView;
use crate::NodeIdentity;

/// Path at which a process says whether it has contact with the store.
pub(crate) const STORE_CONTACT_PATH: &str = "/cv/store";

/// Time for which the store has responded to each call of a process, in milliseconds.
const CONTACT_TIME: HeaderName = HeaderName::from_static("cv-store-contact-ms");

/// Time between two questions to peers after a failure of the store.
const QUESTION_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest body of a peer's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024;

/// Starts the task that asks random peers, after a failure of the store, whether it failed for them.
pub(crate) fn start_outage_check(
    view: &Rc<FleetView>,
    identity: &NodeIdentity,
    timers: &TimerService,
) {
    let (view, own_address) = (Rc::clone(view), identity.internal_address());
    let (seeds, ticks) = (identity.seeds.clone(), timers.subscribe(QUESTION_INTERVAL));
    monoio::spawn(async move {
        let pool = ConnectionPool::new(HttpLimits::default());
        loop {
            ticks.next().await;
            if !view.store_health.has_failed_recently() {
                continue;
            }
            let Some(peer) = view.random_peer(&seeds, own_address) else {
                continue;
            };
            if let Some(contact_time) = fetch_contact_time(&pool, peer).await {
                view.end_own_outage(peer, contact_time);
            }
        }
    });
}

/// Asks a peer for how long it has had contact with the store; `None` if it has none, or does not
/// respond.
async fn fetch_contact_time(pool: &ConnectionPool, peer: SocketAddr) -> Option<Duration> {
    let request = ClientRequest::new(Method::GET, STORE_CONTACT_PATH, "");
    let fetched = pool.exchange(peer, &request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await;
    let response = fetched
        .inspect_err(|fault| log::debug!("cannot ask {peer} for its contact: {fault}"))
        .ok()?;
    if response.status != StatusCode::OK {
        return None;
    }
    let time = response.headers.get(CONTACT_TIME)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(time))
}

/// Responds with status 200 if this process has contact with the store, and for how long it has had.
pub(crate) async fn respond_store_contact(
    exchange: &mut ServerExchange<'_>,
    view: &FleetView,
    has_contact: bool,
) -> Result<(), HttpFault> {
    let mut headers = HeaderMap::new();
    if let Some(time) = view.store_health.contact_time() {
        headers.insert(CONTACT_TIME, HeaderValue::from(time.as_millis() as u64));
    }
    let status = if has_contact { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    exchange.respond(status, &headers, &Bytes::new()).await
}
