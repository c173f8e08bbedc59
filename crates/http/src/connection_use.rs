//! Identifies the requests of a connection.

use std::fmt;

/// A connection of this process, and how many requests have been recorded on it.
///
/// Displays as `connection.request`, for example `17.3` for the third request of connection 17.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionUse {
    connection: u64,
    requests: u64,
}

impl ConnectionUse {
    /// Creates the use of a connection that has carried no request.
    pub(crate) fn new(connection: u64) -> Self {
        Self { connection, requests: 0 }
    }

    /// Counts a request that is about to be sent.
    pub(crate) fn begin_request(&mut self) {
        self.requests += 1;
    }

    /// Returns whether the connection has carried no earlier request.
    #[must_use]
    pub fn is_first_request(self) -> bool {
        self.requests <= 1
    }
}

impl fmt::Display for ConnectionUse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.connection, self.requests)
    }
}
