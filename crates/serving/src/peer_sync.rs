//! Copies the view from a peer while the store does not respond to this process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::KeeperRecord;
use cv_dispatch::TargetRecord;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_http::ServerExchange;
use cv_timer::TimerService;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::FleetView;
use crate::NodeIdentity;
use crate::PlatformAdapter;

/// Path at which a process serves its view.
pub(crate) const VIEW_PATH: &str = "/cv/view";

/// Time between two requests to a peer, well within the time in which a new configuration has to
/// be active.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a response from the store after which a process asks its peers and no longer
/// serves its own view.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_500);

/// Longest wait for a peer's response.
const VIEW_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest encoded view, in bytes.
const MAX_VIEW_BYTES: usize = 8 * 1024 * 1024;

/// The part of a view that peers share, encoded with postcard.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct ViewSnapshot {
    /// The active configuration, as the operator wrote it.
    pub config: Option<Vec<u8>>,
    /// All known keepers.
    pub keepers: Vec<KeeperRecord>,
    /// All known targets.
    pub targets: Vec<TargetRecord>,
    /// For how long the store has responded to the process, or `None` if it does not.
    pub contact_time: Option<Duration>,
}

/// Starts the task that asks random peers for their view while the store does not respond to this
/// process.
pub(crate) fn start_peer_sync<P: PlatformAdapter>(
    view: &Rc<FleetView>,
    identity: &NodeIdentity,
    timers: &TimerService,
) {
    let (view, own_address) = (Rc::clone(view), identity.internal_address());
    let seeds = identity.seeds.clone();
    let ticks = timers.subscribe(SYNC_INTERVAL);
    monoio::spawn(async move {
        let pool = ConnectionPool::new(HttpLimits::default());
        loop {
            ticks.next().await;
            if is_fresh(&view) {
                continue;
            }
            let Some(peer) = view.random_peer(&seeds, own_address) else {
                continue;
            };
            if let Some(snapshot) = fetch_view(&pool, peer).await
                && !is_fresh(&view)
            {
                view.apply_snapshot::<P>(snapshot, peer);
            }
        }
    });
}

/// Fetches a peer's view; `None` if the peer does not respond, or the store does not respond to
/// the peer either.
async fn fetch_view(pool: &ConnectionPool, peer: SocketAddr) -> Option<ViewSnapshot> {
    let request = ClientRequest::new(Method::GET, VIEW_PATH, "");
    let fetched = pool.exchange(peer, &request, VIEW_TIMEOUT, MAX_VIEW_BYTES).await;
    let response = fetched
        .inspect_err(|fault| log::debug!("cannot fetch the view of {peer}: {fault}"))
        .ok()?;
    if response.status != StatusCode::OK {
        return None;
    }
    match postcard::from_bytes(&response.body) {
        Ok(snapshot) => Some(snapshot),
        Err(fault) => {
            log::error!("cannot decode the view of {peer}, ignoring it: {fault}");
            None
        }
    }
}

/// Sends this process's view to a peer, unless the store does not respond to this process either
/// or the view is not loaded yet: an incomplete view would remove the peer's targets and keepers.
pub(crate) async fn respond_view(
    exchange: &mut ServerExchange<'_>,
    view: &FleetView,
) -> Result<(), HttpFault> {
    let is_complete = is_fresh(view) && view.is_loaded();
    let encoded = is_complete.then(|| postcard::to_stdvec(&view.snapshot()));
    let (status, body) = match encoded {
        Some(Ok(body)) => (StatusCode::OK, Bytes::from(body)),
        Some(Err(fault)) => {
            log::error!("cannot encode the view, responding with status 500: {fault}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
        None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
    exchange.respond(status, &HeaderMap::new(), &body).await
}

/// Returns whether the store has responded to this process recently.
fn is_fresh(view: &FleetView) -> bool {
    view.store_health.has_answered_within(MAX_STORE_SILENCE)
}
