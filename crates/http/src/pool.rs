//! Idle connections kept for reuse.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ClientConnection;
use crate::ClientRequest;
use crate::ClientResponse;
use crate::HttpFault;
use crate::HttpLimits;

/// Idle connections kept for one address.
const IDLE_PER_ADDRESS: usize = 64;

/// Age at which an idle connection is dropped; below the server's own limit.
const IDLE_AGE: Duration = Duration::from_secs(45);

/// Time before the server's own limit at which a connection is no longer used, for requests that
/// would cross its close.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// Keeps idle connections by address, sorted for binary search.
#[derive(Default)]
pub struct ConnectionPool {
    limits: HttpLimits,
    rows: RefCell<Vec<PoolRow>>,
}

/// The idle connections to one address, the most recently used last.
struct PoolRow {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
}

/// A connection and the time at which it fell idle.
struct IdleConnection {
    connection: ClientConnection,
    since: Instant,
}

impl IdleConnection {
    /// Returns the age up to which the server has surely not closed the connection.
    fn age_limit(&self) -> Duration {
        let promised = self.connection.keep_alive_timeout();
        promised.map_or(IDLE_AGE, |limit| limit.saturating_sub(CLOSE_MARGIN).min(IDLE_AGE))
    }
}

impl ConnectionPool {
    /// Creates an empty pool whose connections keep the given limits.
    #[must_use]
    pub fn new(limits: HttpLimits) -> Self {
        Self { limits, rows: RefCell::default() }
    }

    /// Takes an idle connection, if there is one that is young enough.
    #[must_use]
    pub fn take_idle(&self, address: SocketAddr) -> Option<ClientConnection> {
        let mut rows = self.rows.borrow_mut();
        let position = rows.binary_search_by_key(&address, |row| row.address).ok()?;
        let idle = &mut rows[position].idle;
        while let Some(mut candidate) = idle.pop() {
            if candidate.since.elapsed() < candidate.age_limit() && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Takes an idle connection or makes a new one within `patience`.
    ///
    /// # Errors
    /// Fails if no connection can be made; no request byte has been sent then.
    pub async fn connect(
        &self,
        address: SocketAddr,
        patience: Duration,
    ) -> Result<ClientConnection, HttpFault> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => ClientConnection::connect(address, patience, self.limits).await,
        }
    }

    /// Gives a connection back; one that cannot be reused is closed.
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
        if idle.len() < IDLE_PER_ADDRESS {
            idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Drops all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut rows = self.rows.borrow_mut();
        if let Ok(position) = rows.binary_search_by_key(&address, |row| row.address) {
            rows.remove(position);
        }
    }

    /// Makes one exchange over a pooled connection.
    ///
    /// # Errors
    /// Faults of the connection; `BodyTooLarge` over `limit` bytes.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &ClientRequest,
        patience: Duration,
        limit: usize,
    ) -> Result<ClientResponse, HttpFault> {
        let mut connection = self.connect(address, patience).await?;
        let response = connection.exchange(request, patience, limit).await?;
        self.release(address, connection);
        Ok(response)
    }
}
