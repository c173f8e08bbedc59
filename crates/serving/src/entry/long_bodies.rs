//! Buffers responses until they are complete, a few long ones at a time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cv_http::ClientConnection;
use cv_http::HttpFault;
use cv_http::ResponseHold;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Longest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Length up to which a response is buffered without a permit, in bytes.
const SHORT_RESPONSE_BYTES: usize = 64 * 1024;

/// Long responses that are buffered at once.
const MAX_LONG_RESPONSES: usize = 2;

/// Limits the memory of all responses that targets send at once, some of which may never end. A long
/// response waits, unread, until another one has arrived or has been given up.
#[derive(Debug)]
pub(crate) struct LongBodies {
    /// When a target last sent a response that was too long, sorted by address.
    overlong: RefCell<Vec<(SocketAddr, Instant)>>,
    permits: Semaphore,
}

impl LongBodies {
    /// Reads the body of a response to its end; `hold` holds its memory.
    ///
    /// # Errors
    /// Fails if the connection does; `BodyTooLarge` for a response of more than 8 MB, and for one that
    /// had to wait while another response of the same target turned out to be so long.
    pub async fn read(
        &self,
        connection: &mut ClientConnection,
        hold: &ResponseHold,
    ) -> Result<Bytes, HttpFault> {
        if connection.declared_length().is_some_and(|length| length > MAX_RESPONSE_BYTES as u64) {
            return Err(HttpFault::BodyTooLarge);
        }
        let mut body = BytesMut::new();
        let mut permit = None;
        while let Some(piece) = connection.read_piece().await? {
            if body.len() + piece.len() > MAX_RESPONSE_BYTES {
                self.record_overlong(connection.address());
                return Err(HttpFault::BodyTooLarge);
            }
            body.extend_from_slice(&piece);
            if permit.is_none() && body.len() > SHORT_RESPONSE_BYTES {
                permit = Some(self.acquire(connection.address()).await?);
                let left = connection.declared_length().map(|left| left as usize + body.len());
                hold.hold(left.unwrap_or(MAX_RESPONSE_BYTES)).await?;
            }
        }
        Ok(body.freeze())
    }

    /// Waits for a permit to buffer a long response of the server at an address.
    ///
    /// Those that wait behind a response without end are probably none, either, and would use up the
    /// time of each other's requests one after the other.
    async fn acquire(&self, address: SocketAddr) -> Result<SemaphorePermit<'_>, HttpFault> {
        if let Ok(permit) = self.permits.try_acquire() {
            return Ok(permit);
        }
        let waiting_since = Instant::now();
        let permit = self.permits.acquire().await.map_err(|_| HttpFault::Closed)?;
        let overlong = self.overlong.borrow();
        let position = overlong.binary_search_by_key(&address, |(other, _)| *other);
        if position.is_ok_and(|position| overlong[position].1 >= waiting_since) {
            return Err(HttpFault::BodyTooLarge);
        }
        Ok(permit)
    }

    /// Records that the server at an address has sent a response that is too long.
    fn record_overlong(&self, address: SocketAddr) {
        let mut overlong = self.overlong.borrow_mut();
        match overlong.binary_search_by_key(&address, |(other, _)| *other) {
            Ok(position) => overlong[position].1 = Instant::now(),
            Err(position) => overlong.insert(position, (address, Instant::now())),
        }
    }
}

impl Default for LongBodies {
    fn default() -> Self {
        Self { overlong: RefCell::default(), permits: Semaphore::new(MAX_LONG_RESPONSES) }
    }
}
