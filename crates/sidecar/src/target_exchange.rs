//! One request and its answer between the sidecar and its target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use http::HeaderMap;
use http::Method;
use http::header::CONNECTION;
use http::header::HOST;
use http::response::Parts as ResponseHead;

/// Longest time to connect to the target, which is on the same machine or near.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);

/// Opens exchanges with one target.
pub(crate) struct TargetLink {
    address: SocketAddr,
    pool: RefCell<ConnectionPool>,
}

impl TargetLink {
    /// Creates a link without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: RefCell::new(ConnectionPool::new(HttpLimits::default())) }
    }

    /// Connects to the target without sending anything.
    ///
    /// A request that must not be repeated gets a connection of its own: the target may close an
    /// idle one in the moment in which it is used, and then nobody knows whether it ran.
    pub async fn open(&self, repeatable: bool) -> Result<TargetExchange, HttpFault> {
        let idle = if repeatable { self.pool.borrow().take_idle(self.address) } else { None };
        let connection = if let Some(connection) = idle {
            connection
        } else {
            let limits = HttpLimits::default();
            ClientConnection::connect(self.address, CONNECT_PATIENCE, limits).await?
        };
        Ok(TargetExchange { connection, method: Method::GET })
    }

    /// Keeps the exchange's connection for another request, if it is sound.
    pub fn close(&self, exchange: TargetExchange) {
        self.pool.borrow().release(self.address, exchange.connection);
    }
}

/// A connection to the target in use; dropping it cancels what the target does.
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

    /// Reads the head of the answer, which begins within `patience`.
    pub async fn read_head(&mut self, patience: Duration) -> Result<ResponseHead, HttpFault> {
        self.connection.read_head(&self.method, patience).await
    }

    /// Reads the next piece of the answer.
    pub async fn read_piece(&mut self) -> Result<Option<Bytes>, HttpFault> {
        self.connection.read_piece().await
    }
}

/// Copies the headers that concern both ends, and not just this connection or this system.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let hop = matches!(text, "keep-alive" | "te" | "trailer" | "upgrade" | "expect")
            || name == CONNECTION
            || name == HOST
            || text.starts_with("proxy-");
        if !hop && !text.starts_with(cv_policy::headers::INTERNAL_PREFIX) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
