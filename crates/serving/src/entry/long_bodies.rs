//! Buffers responses until they are complete, a few long ones at a time.

use bytes::Bytes;
use bytes::BytesMut;
use cv_http::ClientConnection;
use cv_http::HttpFault;
use tokio::sync::Semaphore;

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
    permits: Semaphore,
}

impl LongBodies {
    /// Reads the body of a response to its end.
    ///
    /// # Errors
    /// Fails if the connection does; `BodyTooLarge` for a response of more than 8 MB.
    pub async fn read(&self, connection: &mut ClientConnection) -> Result<Bytes, HttpFault> {
        if connection.declared_length().is_some_and(|length| length > MAX_RESPONSE_BYTES as u64) {
            return Err(HttpFault::BodyTooLarge);
        }
        let mut body = BytesMut::new();
        let mut permit = None;
        while let Some(piece) = connection.read_piece().await? {
            if body.len() + piece.len() > MAX_RESPONSE_BYTES {
                return Err(HttpFault::BodyTooLarge);
            }
            body.extend_from_slice(&piece);
            if permit.is_none() && body.len() > SHORT_RESPONSE_BYTES {
                permit = self.permits.acquire().await.ok();
            }
        }
        Ok(body.freeze())
    }
}

impl Default for LongBodies {
    fn default() -> Self {
        Self { permits: Semaphore::new(MAX_LONG_RESPONSES) }
    }
}
