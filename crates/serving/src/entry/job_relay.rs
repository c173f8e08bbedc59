//! Relays requests about jobs to the keepers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::RequestCaller;
use cv_http::ClientRequest;
use cv_http::ClientResponse;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::SendFault;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

use crate::FleetView;
use crate::PlatformAdapter;
use crate::internal_headers::strip_hop_by_hop;
use crate::internal_headers::strip_internal_headers;
use crate::internal_headers::write_caller;
use crate::internal_headers::write_config_version;
use crate::internal_headers::write_confirmation;

/// Longest time to connect to a keeper.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for a keeper's `100 Continue`, which it sends before anything else.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for a keeper's response; a keeper may delay the response to a read by a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Longest response of a keeper, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Relays requests to the job's owner, or to other keepers if the owner cannot handle them.
pub(crate) struct JobRelay {
    /// Pool of connections to keepers.
    pub pool: ConnectionPool,
    /// The entry's view, which lists the keepers.
    pub view: Rc<FleetView>,
}

/// A call about a job that is relayed to the keepers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobCall<'a> {
    /// Who sends it.
    pub caller: &'a RequestCaller,
    /// Whether it submits the job.
    pub is_submission: bool,
    /// Id of the job.
    pub job: &'a str,
}

impl JobRelay {
    /// Relays one call; `body` has been read from the exchange already.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    pub async fn relay<P: PlatformAdapter>(
        &self,
        exchange: &mut ServerExchange<'_>,
        call: JobCall<'_>,
        body: Bytes,
    ) -> Result<(), HttpFault> {
        let JobCall { caller, is_submission, job } = call;
        let mut request = keeper_request::<P>(exchange, caller, body);
        if let Some(routes) = self.view.routes().filter(|_| is_submission) {
            write_config_version(&mut request.headers, routes.version);
        }
        let mut is_ambiguous = false;
        let response = self.ask_keepers(exchange, job, &request, &mut is_ambiguous).await?;
        if let Some(mut response) = response {
            strip_hop_by_hop(&mut response.headers);
            return exchange.respond(response.status, &response.headers, &response.body).await;
        }
        // Status 503 would say that the job was refused, which is wrong for a submission that a
        // keeper may have accepted.
        let is_unknown = is_submission && is_ambiguous;
        self.view.log.record(LinePriority::Essential, EventKind::JobRefused, job, || {
            let keeper_count = self.view.keepers().keepers().len();
            format!("keepers={keeper_count} submission={is_submission} unknown={is_unknown}")
        });
        let status = if is_unknown {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
    }

    /// Asks the keepers to confirm a submission of an accepted job; `None` if none can say whether it
    /// has been accepted.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    pub async fn confirm<P: PlatformAdapter>(
        &self,
        exchange: &mut ServerExchange<'_>,
        caller: &RequestCaller,
        job: &str,
    ) -> Result<Option<StatusCode>, HttpFault> {
        let mut request = keeper_request::<P>(exchange, caller, Bytes::new());
        write_confirmation(&mut request.headers);
        let response = self.ask_keepers(exchange, job, &request, &mut false).await?;
        Ok(response.map(|response| response.status))
    }

    /// Sends a request to the job's owner, then to other keepers until one handles it; `None` if none
    /// does. Sets `is_ambiguous` if the request may have taken effect all the same.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    async fn ask_keepers(
        &self,
        exchange: &mut ServerExchange<'_>,
        job: &str,
        request: &ClientRequest,
        is_ambiguous: &mut bool,
    ) -> Result<Option<ClientResponse>, HttpFault> {
        for keeper in self.view.keepers().ranking_for(job) {
            let response = monoio::select! {
                response = self.send_to(keeper.address, request, is_ambiguous) => response,
                () = exchange.closed() => return Err(HttpFault::Closed),
            };
            let Some(response) = response else {
                continue;
            };
            match response.status {
                StatusCode::SERVICE_UNAVAILABLE => {}
                StatusCode::INTERNAL_SERVER_ERROR => *is_ambiguous = true,
                // A refusal by one keeper says nothing about what another one has received.
                StatusCode::TOO_MANY_REQUESTS if *is_ambiguous => {}
                _ => return Ok(Some(response)),
            }
        }
        Ok(None)
    }

    /// Sends a request to one keeper; `None` if there is no response. Sets `is_ambiguous` if the
    /// request may have taken effect all the same.
    async fn send_to(
        &self,
        address: std::net::SocketAddr,
        request: &ClientRequest,
        is_ambiguous: &mut bool,
    ) -> Option<ClientResponse> {
        let mut connection = self.pool.connect(address, CONNECT_TIMEOUT).await.ok()?;
        let response = if request.body.is_empty() {
            connection.exchange(request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await
        } else {
            // A frozen keeper does not get the body, so it cannot accept the job when it continues.
            match connection.send_expecting_continue(request, CONTINUE_TIMEOUT).await {
                Err(SendFault::BeforeBody(_)) => {
                    self.pool.close_idle(address);
                    return None;
                }
                Err(SendFault::BodyStarted(fault)) => Err(fault),
                Ok(()) => {
                    let method = &request.method;
                    connection.read_response(method, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await
                }
            }
        };
        let Ok(response) = response else {
            // The idle connections may have gone silent together with this one.
            self.pool.close_idle(address);
            *is_ambiguous = true;
            return None;
        };
        self.pool.release(address, connection);
        Some(response)
    }
}

/// Builds the request to a keeper from that of an identified caller, without the caller's key.
fn keeper_request<P: PlatformAdapter>(
    exchange: &ServerExchange<'_>,
    caller: &RequestCaller,
    body: Bytes,
) -> ClientRequest {
    let head = exchange.head();
    let mut headers = head.headers.clone();
    strip_hop_by_hop(&mut headers);
    strip_internal_headers(&mut headers);
    P::strip_caller(&mut headers);
    write_caller(&mut headers, caller);
    let method: Method = head.method.clone();
    ClientRequest { body, headers, method, path: head.uri.to_string() }
}
