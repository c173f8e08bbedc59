//! Relays calls about jobs to the keepers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_http::ClientRequest;
use cv_http::ClientResponse;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

use crate::FleetView;
use crate::internal_headers::strip_hop_by_hop;

/// Longest time to connect to a keeper.
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);

/// Longest wait for a keeper's answer; reads may be held for a second.
const ANSWER_PATIENCE: Duration = Duration::from_millis(1_800);

/// Longest answer of a keeper, in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Relays calls to the job's owner, or to another keeper if that one cannot answer.
pub(crate) struct JobRelay {
    /// Kept connections to keepers.
    pub pool: ConnectionPool,
    /// Where the keepers are.
    pub view: Rc<FleetView>,
}

impl JobRelay {
    /// Relays one call; `body` has been read from the exchange already.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    pub async fn relay(
        &self,
        exchange: &mut ServerExchange<'_>,
        job: &str,
        body: Bytes,
        is_submission: bool,
    ) -> Result<(), HttpFault> {
        let request = request_of(exchange, body);
        let ring = self.view.keepers();
        let mut may_have_happened = false;
        for keeper in ring.order_for(job) {
            let answer = monoio::select! {
                answer = self.ask(keeper.address, &request, &mut may_have_happened) => answer,
                () = exchange.closed() => return Err(HttpFault::Closed),
            };
            let Some(mut answer) = answer else {
                continue;
            };
            match answer.status {
                StatusCode::SERVICE_UNAVAILABLE => {}
                StatusCode::INTERNAL_SERVER_ERROR => may_have_happened = true,
                _ => {
                    strip_hop_by_hop(&mut answer.headers);
                    return exchange.respond(answer.status, &answer.headers, &answer.body).await;
                }
            }
        }
        // A submission that may have been accepted must not be called refused.
        let is_unknown = is_submission && may_have_happened;
        self.view.log.record(LineWeight::Essential, EventKind::JobRefused, job, || {
            let keepers = ring.keepers().len();
            format!("keepers={keepers} submission={is_submission} unknown={is_unknown}")
        });
        let status = if is_unknown {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
    }

    /// Asks one keeper; `None` if it gives no answer.
    async fn ask(
        &self,
        address: std::net::SocketAddr,
        request: &ClientRequest,
        may_have_happened: &mut bool,
    ) -> Option<ClientResponse> {
        let mut connection = self.pool.connect(address, CONNECT_PATIENCE).await.ok()?;
        let answered = connection.exchange(request, ANSWER_PATIENCE, ANSWER_BYTES).await;
        let Ok(answer) = answered else {
            *may_have_happened = true;
            return None;
        };
        self.pool.put(address, connection);
        Some(answer)
    }
}

/// Makes the keeper's request from that of the caller.
fn request_of(exchange: &ServerExchange<'_>, body: Bytes) -> ClientRequest {
    let head = exchange.head();
    let mut headers = head.headers.clone();
    strip_hop_by_hop(&mut headers);
    let method: Method = head.method.clone();
    ClientRequest { body, headers, method, path: head.uri.to_string() }
}
