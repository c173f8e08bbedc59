//! One attempt over a kept or new connection.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::SendFault;
use http::HeaderMap;
use http::response::Parts as ResponseHead;

/// Answers to other requests that are skipped before the connection is given up.
const STRAY_ANSWERS: usize = 3;

/// Longest wait for a sidecar's invitation, which it sends before anything else; one that is frozen
/// does not, and cannot run the request later without its body.
const INVITE_PATIENCE: Duration = Duration::from_millis(250);

/// Longest stray answer that is read to its end, in bytes.
const STRAY_BYTES: usize = 256 * 1024;

/// Why an attempt got no answer.
#[derive(Debug)]
pub(crate) enum TargetFault {
    /// No byte of the request was sent, or not its body.
    NotSent(HttpFault),
    /// The request was sent, or part of it, and may run.
    Unknown(HttpFault),
}

impl fmt::Display for TargetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(fault) => write!(formatter, "not sent: {fault}"),
            Self::Unknown(fault) => write!(formatter, "sent, no answer: {fault}"),
        }
    }
}

/// Sends requests to one address.
pub(crate) struct TargetCall<'a> {
    /// Where the server listens.
    pub address: SocketAddr,
    /// Whether the server is a sidecar, which invites the body of each request at once.
    pub is_sidecar: bool,
    /// Kept connections.
    pub pool: &'a ConnectionPool,
    /// Reads the request that an answer belongs to.
    pub request_id_of: fn(&HeaderMap) -> Option<String>,
}

impl TargetCall<'_> {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Tells whether the request may have been received.
    pub async fn open(
        &self,
        request: &ClientRequest,
        request_id: Option<&str>,
        connect_patience: Duration,
        head_patience: Duration,
    ) -> Result<(ClientConnection, ResponseHead), TargetFault> {
        let connected = self.pool.connect(self.address, connect_patience).await;
        let mut connection = connected.map_err(TargetFault::NotSent)?;
        if self.is_sidecar && !request.body.is_empty() {
            let invited = connection.send_invited(request, INVITE_PATIENCE).await;
            invited.map_err(|fault| match fault {
                SendFault::BeforeBody(fault) => TargetFault::NotSent(fault),
                SendFault::WithinBody(fault) => TargetFault::Unknown(fault),
            })?;
        } else {
            connection.send(request).await.map_err(TargetFault::Unknown)?;
        }
        for _ in 0..STRAY_ANSWERS {
            let head = connection.read_head(&request.method, head_patience).await;
            let head = head.map_err(TargetFault::Unknown)?;
            let answered = (self.request_id_of)(&head.headers);
            // A server may answer an earlier request once more on the same connection.
            if answered.is_none() || request_id.is_none() || answered.as_deref() == request_id {
                return Ok((connection, head));
            }
            connection.skip_response(STRAY_BYTES).await.map_err(TargetFault::Unknown)?;
        }
        Err(TargetFault::Unknown(HttpFault::Malformed("answers to other requests")))
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn release(&self, connection: ClientConnection) {
        self.pool.put(self.address, connection);
    }
}
