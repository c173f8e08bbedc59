//! One run of a request at the engine.

use std::time::Duration;

use bytes::Bytes;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use http::response::Parts as ResponseHead;

use crate::SidecarVerdict;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;

/// Longest time to connect to the engine, which is on the same machine.
const CONNECT_PATIENCE: Duration = Duration::from_millis(300);

/// A run whose answer has begun.
pub(crate) struct EngineRun {
    connection: ClientConnection,
    /// Head of the engine's answer.
    pub head: ResponseHead,
}

impl EngineRun {
    /// Hands a request to the engine and waits for the head of its answer.
    ///
    /// # Errors
    /// The verdict on a request that got no answer.
    pub async fn start(
        call: &TargetCall<'_>,
        request: &ClientRequest,
        request_id: Option<&str>,
        patience: Duration,
    ) -> Result<Self, SidecarVerdict> {
        match call.open(request, request_id, CONNECT_PATIENCE, patience).await {
            Ok((connection, head)) => Ok(Self { connection, head }),
            Err(TargetFault::NotSent(_)) => Err(SidecarVerdict::NotRun),
            Err(TargetFault::Unknown(_)) => Err(SidecarVerdict::Unknown),
        }
    }

    /// Reads the next piece of the answer, or `None` at its end.
    ///
    /// # Errors
    /// Fails if the answer breaks off.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, cv_http::HttpFault> {
        self.connection.read_piece().await
    }

    /// Gives the connection back after the whole answer.
    pub fn give_back(self, call: &TargetCall<'_>) {
        call.release(self.connection);
    }
}
