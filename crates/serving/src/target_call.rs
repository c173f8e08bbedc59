//! One HTTP request to a target or sidecar, over a pooled or new connection.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::SendFault;
use cv_timeline::LinePriority;
use http::HeaderMap;
use http::response::Parts as ResponseHead;
use monoio::time::timeout;

use crate::call_log::CallLog;
use crate::logged_call::LoggedCall;

/// Most responses that are read for one request, including those to other requests.
const MAX_RESPONSES_READ: usize = 3;

/// Longest wait for a sidecar's `100 Continue`, which it sends before anything else. A frozen
/// sidecar sends none, and cannot run the request later because it never gets the body.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest stray response that is skipped, in bytes.
const MAX_STRAY_BYTES: usize = 256 * 1024;

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum TargetFault {
    /// Nothing was sent, or only the head without its body; the request cannot run.
    NotSent(HttpFault),
    /// The request was sent, or part of it, and may run.
    Unknown(HttpFault),
}

impl fmt::Display for TargetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(fault) => write!(formatter, "not sent: {fault}"),
            Self::Unknown(fault) => write!(formatter, "sent, no response: {fault}"),
        }
    }
}

/// Returns whether a fault on a connection to a target is a failure of the target: it broke the
/// response off. A timeout may come from the request's deadline, and wrong bytes from the way.
pub(crate) fn breaks_off(fault: &HttpFault) -> bool {
    matches!(fault, HttpFault::Closed | HttpFault::Io(_) | HttpFault::Truncated)
}

/// How long a call waits for the head of its response.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HeadWait {
    /// Until this time after the first byte of the request was sent.
    Total(Duration),
    /// Until this time after the last interim response, by which a sidecar shows that an item still
    /// waits.
    Silence(Duration),
}

/// Sends requests to one address.
pub(crate) struct TargetCall<'a> {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Whether the server is a sidecar, which sends `100 Continue` for each request at once.
    pub is_sidecar: bool,
    /// Log and metrics of the process's calls.
    pub log: &'a CallLog,
    /// Pool of idle connections.
    pub pool: &'a ConnectionPool,
    /// Reads the id of the request that a response belongs to.
    pub request_id_of: fn(&HeaderMap) -> Option<String>,
}

impl TargetCall<'_> {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// The fault says whether the request may have been received.
    pub async fn open(
        &self,
        request: &ClientRequest,
        request_id: Option<&str>,
        connect_timeout: Duration,
        wait: HeadWait,
    ) -> Result<(ClientConnection, ResponseHead), TargetFault> {
        let connected = self.pool.connect_for(self.address, request_id, connect_timeout).await;
        let connection = connected.map_err(TargetFault::NotSent)?;
        match wait {
            HeadWait::Silence(limit) => self.send(connection, request, request_id, limit).await,
            // Each interim response, and each response to another request, begins a new wait for a
            // head, and a server that does not read holds the request itself.
            HeadWait::Total(limit) => {
                let sent = timeout(limit, self.send(connection, request, request_id, limit)).await;
                sent.unwrap_or(Err(TargetFault::Unknown(HttpFault::TimedOut("response head"))))
            }
        }
    }

    /// Sends a request over a connection and waits for the head of its response, for up to
    /// `head_timeout` to send it and between two heads.
    async fn send(
        &self,
        mut connection: ClientConnection,
        request: &ClientRequest,
        request_id: Option<&str>,
        head_timeout: Duration,
    ) -> Result<(ClientConnection, ResponseHead), TargetFault> {
        let call = LoggedCall {
            address: self.address,
            connection: connection.connection_use(),
            request_id,
        };
        let pending = self.log.begin(call);
        let sent = timeout(head_timeout, self.send_request(&mut connection, request)).await;
        let sent = sent.unwrap_or(Err(TargetFault::Unknown(HttpFault::TimedOut("request"))));
        if let Err(fault) = sent {
            pending.fail(&fault.to_string());
            return Err(fault);
        }
        match self.read_own_head(&mut connection, request, &call, head_timeout).await {
            Ok(head) => {
                pending.finish();
                Ok((connection, head))
            }
            Err(fault) => {
                pending.fail(&fault.to_string());
                Err(TargetFault::Unknown(fault))
            }
        }
    }

    /// Reads the head of the response to a request that has been sent, and skips responses to other
    /// requests before it.
    ///
    /// A target's response without a request id is believed only on a connection that has carried no
    /// other request. A sidecar leaves the id out of its refusals, but sends no response twice.
    async fn read_own_head(
        &self,
        connection: &mut ClientConnection,
        request: &ClientRequest,
        call: &LoggedCall<'_>,
        head_timeout: Duration,
    ) -> Result<ResponseHead, HttpFault> {
        for _ in 0..MAX_RESPONSES_READ {
            let head = connection.read_head(&request.method, head_timeout).await?;
            let named_id = (self.request_id_of)(&head.headers);
            // A target may repeat its response to an earlier request on the same connection.
            match (call.request_id, named_id.as_deref()) {
                (Some(id), Some(named_id)) if id != named_id => {
                    self.log.record_stray(call, head.status, named_id);
                }
                (Some(_), None) if !self.is_sidecar && !call.connection.is_first_request() => {
                    return Err(HttpFault::Malformed("response without a request id"));
                }
                (_, named_id) => {
                    let is_refusal = !self.is_sidecar && !head.status.is_success();
                    let priority =
                        if is_refusal { LinePriority::Essential } else { LinePriority::Routine };
                    self.log.record_response(priority, call, head.status, named_id);
                    if named_id.is_none() && !self.is_sidecar {
                        connection.retire();
                    }
                    return Ok(head);
                }
            }
            connection.skip_response(MAX_STRAY_BYTES).await?;
        }
        Err(HttpFault::Malformed("responses to other requests"))
    }

    /// Sends a request, to a sidecar only once it asks for the body.
    async fn send_request(
        &self,
        connection: &mut ClientConnection,
        request: &ClientRequest,
    ) -> Result<(), TargetFault> {
        if self.is_sidecar && !request.body.is_empty() {
            let sent = connection.send_expecting_continue(request, CONTINUE_TIMEOUT).await;
            return sent.map_err(|fault| match fault {
                SendFault::BeforeBody(fault) => TargetFault::NotSent(fault),
                SendFault::BodyStarted(fault) => TargetFault::Unknown(fault),
            });
        }
        connection.send(request).await.map_err(TargetFault::Unknown)
    }

    /// Returns a connection to the pool after its last response has been read to the end.
    pub fn release(&self, connection: ClientConnection) {
        self.pool.release(self.address, connection);
    }
}
