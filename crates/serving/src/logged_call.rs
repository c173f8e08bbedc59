//! What log lines tell of a call.

use std::net::SocketAddr;

use cv_http::ConnectionUse;

/// A call to a server, as log lines name it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedCall<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// The connection that carries the call.
    pub connection: ConnectionUse,
    /// Id of the request, if it has one.
    pub request_id: Option<&'a str>,
}
