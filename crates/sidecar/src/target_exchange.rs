//! HTTP exchanges between the sidecar and its target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use http::HeaderMap;
use http::Method;
use http::header::CONNECTION;
use http::header::HOST;
use http::response::Parts as ResponseHead;

/// Timeout for connecting to the target, which is on the same machine or nearby.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens exchanges with one target, each over a connection of its own.
///
/// Nothing in a response of a target has to name its request, so one that the target sends twice would
/// be taken for that to the next request on the connection.
pub(crate) struct TargetConnector {
    address: SocketAddr,
}

impl TargetConnector {
    /// Creates a connector.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Connects to the target without sending anything.
    pub async fn open(&self) -> Result<TargetExchange, HttpFault> {
        let limits = HttpLimits::default();
        let connection = ClientConnection::connect(self.address, CONNECT_TIMEOUT, limits).await?;
        Ok(TargetExchange { connection, method: Method::GET })
    }
}

/// An exchange in progress; dropping it closes the connection, which cancels the request.
pub(crate) struct TargetExchange {
    connection: ClientConnection,
    method: Method,
}

impl TargetExchange {
    /// Sends a request.
    pub async fn send(&mut self, request: &ClientRequest) -> Result<(), HttpFault> {
        self.method = request.method.clone();
        self.connection.send(request).await
    }

    /// Reads the head of the response; fails if it does not begin within `timeout`.
    pub async fn read_head(&mut self, timeout: Duration) -> Result<ResponseHead, HttpFault> {
        self.connection.read_head(&self.method, timeout).await
    }

    /// Reads the next piece of the response's body; `None` at its end.
    pub async fn read_piece(&mut self) -> Result<Option<Bytes>, HttpFault> {
        self.connection.read_piece().await
    }
}

/// Copies the headers without those of the connection (hop-by-hop) and the internal ones.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_hop_by_hop = matches!(text, "keep-alive" | "te" | "trailer" | "upgrade" | "expect")
            || name == CONNECTION
            || name == HOST
            || text.starts_with("proxy-");
        if !is_hop_by_hop && !text.starts_with(cv_policy::headers::INTERNAL_PREFIX) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
