//! One run of a request on the engine.

use std::time::Duration;

use bytes::Bytes;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use http::response::Parts as ResponseHead;

use crate::SidecarVerdict;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;

/// Longest time to connect to the engine, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A run whose response has begun.
pub(crate) struct EngineRun {
    connection: ClientConnection,
    /// Head of the engine's response.
    pub head: ResponseHead,
}

impl EngineRun {
    /// Sends a request to the engine and waits up to `timeout` for the head of the response.
    ///
    /// # Errors
    /// The verdict on a request that got no response.
    pub async fn start(
        call: &TargetCall<'_>,
        request: &ClientRequest,
        request_id: Option<&str>,
        timeout: Duration,
    ) -> Result<Self, SidecarVerdict> {
        match call.open(request, request_id, CONNECT_TIMEOUT, timeout).await {
            Ok((connection, head)) => Ok(Self { connection, head }),
            Err(TargetFault::NotSent(_)) => Err(SidecarVerdict::NotRun),
            Err(TargetFault::Unknown(_)) => Err(SidecarVerdict::Unknown),
        }
    }

    /// Reads the next piece of the response, or `None` at its end.
    ///
    /// # Errors
    /// Fails if the connection breaks within the response.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, cv_http::HttpFault> {
        self.connection.read_piece().await
    }

    /// Returns the connection to the pool after the whole response has been read.
    pub fn release(self, call: &TargetCall<'_>) {
        call.release(self.connection);
    }
}
