//! Gives processes that the store turns away the news of those that it answers.

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

/// Path at which a process tells what it knows.
pub(crate) const VIEW_PATH: &str = "/cv/view";

/// Time between two questions to a peer; well within the time that a configuration has to be in
/// force.
const ASK_PERIOD: Duration = Duration::from_millis(500);

/// Silence of the store after which a process asks its peers, and tells them nothing itself.
const FRESH_SILENCE: Duration = Duration::from_millis(1_500);

/// Longest wait for a peer's answer.
const ASK_PATIENCE: Duration = Duration::from_millis(400);

/// Longest view, in bytes.
const VIEW_BYTES: usize = 8 * 1024 * 1024;

/// What a process knows, as its peers are told.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct ViewNews {
    /// The configuration in force, as the operator wrote it.
    pub config: Option<Vec<u8>>,
    /// All keepers.
    pub keepers: Vec<KeeperRecord>,
    /// All targets.
    pub targets: Vec<TargetRecord>,
}

/// Starts the task that asks peers for as long as the store does not answer this process.
pub(crate) fn start_peer_sync<P: PlatformAdapter>(
    view: &Rc<FleetView>,
    identity: &NodeIdentity,
    timers: &TimerService,
) {
    let (view, own) = (Rc::clone(view), identity.internal_address());
    let seeds = identity.seeds.clone();
    let ticks = timers.subscribe(ASK_PERIOD);
    monoio::spawn(async move {
        let pool = ConnectionPool::new(HttpLimits::default());
        loop {
            ticks.next().await;
            if is_fresh(&view) {
                continue;
            }
            let ring = view.keepers();
            let keepers = ring.keepers().iter().map(|keeper| keeper.address);
            let mut peers: Vec<SocketAddr> = keepers.chain(seeds.iter().copied()).collect();
            peers.retain(|address| *address != own);
            if peers.is_empty() {
                continue;
            }
            let peer = peers[(view.random_fraction() * peers.len() as f64) as usize];
            if let Some(news) = ask(&pool, peer).await
                && !is_fresh(&view)
            {
                view.take_news::<P>(news, peer);
            }
        }
    });
}

/// Asks a peer; `None` if it gives no answer or knows no more than this process.
async fn ask(pool: &ConnectionPool, peer: SocketAddr) -> Option<ViewNews> {
    let request = ClientRequest::new(Method::GET, VIEW_PATH, "");
    let asked = pool.exchange(peer, &request, ASK_PATIENCE, VIEW_BYTES).await;
    let answer = asked.inspect_err(|fault| log::debug!("the view of {peer}: {fault}")).ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    match postcard::from_bytes(&answer.body) {
        Ok(news) => Some(news),
        Err(fault) => {
            log::error!("the view of {peer} cannot be read: {fault}");
            None
        }
    }
}

/// Tells a peer what this process knows, unless the store does not answer this one either.
pub(crate) async fn respond_view(
    exchange: &mut ServerExchange<'_>,
    view: &FleetView,
) -> Result<(), HttpFault> {
    let encoded = is_fresh(view).then(|| postcard::to_stdvec(&view.news()));
    let (status, body) = match encoded {
        Some(Ok(body)) => (StatusCode::OK, Bytes::from(body)),
        Some(Err(fault)) => {
            log::error!("the view cannot be encoded: {fault}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
        None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
    exchange.respond(status, &HeaderMap::new(), &body).await
}

/// Tells whether the store answers this process.
fn is_fresh(view: &FleetView) -> bool {
    view.store_health.has_answered_within(FRESH_SILENCE)
}
