//! Connection reuse.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use monoio::time::timeout;

use crate::ClientConnection;
use crate::ClientRequest;
use crate::ClientResponse;
use crate::HttpFault;
use crate::HttpLimits;

/// Maximum number of idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Maximum time for which a connection is kept idle; below the server's own limit.
const MAX_IDLE_TIME: Duration = Duration::from_secs(45);

/// Time before the server's announced idle timeout from which a connection is no longer used, so
/// that a request does not cross the server's close.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// Keeps idle connections for reuse, by address.
#[derive(Default)]
pub struct ConnectionPool {
    limits: HttpLimits,
    /// Sorted by address.
    rows: RefCell<Vec<PoolRow>>,
}

/// The idle connections to one address, the most recently used last.
struct PoolRow {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
}

/// A connection and the time at which it became idle.
struct IdleConnection {
    connection: ClientConnection,
    idle_since: Instant,
}

impl IdleConnection {
    /// Returns the idle time up to which the server should not have closed the connection.
    fn max_idle_time(&self) -> Duration {
        let announced = self.connection.keep_alive_timeout();
        announced
            .map_or(MAX_IDLE_TIME, |limit| limit.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME))
    }
}

impl ConnectionPool {
    /// Creates an empty pool whose connections have the given limits.
    #[must_use]
    pub fn new(limits: HttpLimits) -> Self {
        Self { limits, rows: RefCell::default() }
    }

    /// Takes an idle connection that can still be used and meets a condition, if there is one.
    fn take_idle_where(
        &self,
        address: SocketAddr,
        is_suitable: impl Fn(&ClientConnection) -> bool,
    ) -> Option<ClientConnection> {
        let mut rows = self.rows.borrow_mut();
        let position = rows.binary_search_by_key(&address, |row| row.address).ok()?;
        let idle = &mut rows[position].idle;
        let mut index = idle.len();
        while index > 0 {
            index -= 1;
            if !is_suitable(&idle[index].connection) {
                continue;
            }
            let mut candidate = idle.remove(index);
            if candidate.idle_since.elapsed() < candidate.max_idle_time()
                && candidate.connection.is_idle()
            {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Takes an idle connection or opens a new one within `connect_timeout`, for servers that never
    /// send a response twice.
    ///
    /// # Errors
    /// Fails if no connection can be opened; no byte of a request has been sent then.
    pub async fn connect(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<ClientConnection, HttpFault> {
        match self.take_idle_where(address, |_| true) {
            Some(connection) => Ok(connection),
            None => ClientConnection::connect(address, connect_timeout, self.limits).await,
        }
    }

    /// Takes an idle connection that has never carried the request, or opens a new one within
    /// `connect_timeout`. A request without an id gets a connection of its own.
    ///
    /// # Errors
    /// Fails if no connection can be opened; no byte of a request has been sent then.
    pub async fn connect_for(
        &self,
        address: SocketAddr,
        request_id: Option<&str>,
        connect_timeout: Duration,
    ) -> Result<ClientConnection, HttpFault> {
        let idle = request_id
            .and_then(|id| self.take_idle_where(address, |connection| !connection.has_carried(id)));
        let mut connection = match idle {
            Some(connection) => connection,
            None => ClientConnection::connect(address, connect_timeout, self.limits).await?,
        };
        connection.record_request(request_id);
        Ok(connection)
    }

    /// Returns a connection to the pool; one that cannot be reused is closed.
    pub fn release(&self, address: SocketAddr, connection: ClientConnection) {
        if !connection.is_reusable() {
            return;
        }
        let mut rows = self.rows.borrow_mut();
        let position = match rows.binary_search_by_key(&address, |row| row.address) {
            Ok(position) => position,
            Err(position) => {
                rows.insert(position, PoolRow { address, idle: Vec::new() });
                position
            }
        };
        let idle = &mut rows[position].idle;
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut rows = self.rows.borrow_mut();
        if let Ok(position) = rows.binary_search_by_key(&address, |row| row.address) {
            rows.remove(position);
        }
    }

    /// Sends a request over a pooled connection and reads the whole response, whose body has at
    /// most `limit` bytes. Connecting and the exchange each have `max_time`, however often the server
    /// sends a few bytes.
    ///
    /// # Errors
    /// Fails if the connection does; `BodyTooLarge` over `limit` bytes.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &ClientRequest,
        max_time: Duration,
        limit: usize,
    ) -> Result<ClientResponse, HttpFault> {
        let mut connection = self.connect(address, max_time).await?;
        let exchange = timeout(max_time, connection.exchange(request, max_time, limit)).await;
        let result = exchange.unwrap_or(Err(HttpFault::TimedOut("response")));
        match &result {
            Ok(_) => self.release(address, connection),
            // The idle connections may have gone silent together with this one.
            Err(_) => self.close_idle(address),
        }
        result
    }
}
