//! Tells an engine that has ended from one that only broke off a response.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::HttpFault;
use cv_http::HttpLimits;

/// Longest wait for the connection. An engine that does not respond at all is not known to have
/// ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether nothing listens at an engine's address.
pub(crate) async fn has_ended(engine: SocketAddr) -> bool {
    match ClientConnection::connect(engine, PROBE_TIMEOUT, HttpLimits::default()).await {
        Err(HttpFault::Io(error)) => {
            matches!(
                error.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
            )
        }
        _ => false,
    }
}
