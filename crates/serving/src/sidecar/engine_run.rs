//! One run of a request on the engine.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use http::response::Parts as ResponseHead;

use crate::SidecarVerdict;
use crate::sidecar::engine_watch::EngineRunGuard;
use crate::target_call::HeadWait;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;
use crate::target_call::breaks_off;

/// Longest time to connect to the engine, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A run whose response has begun.
pub(crate) struct EngineRun {
    connection: ClientConnection,
    /// Watches the run until the engine breaks it off.
    guard: Option<EngineRunGuard>,
    /// Head of the engine's response.
    pub head: ResponseHead,
    /// When the request was sent.
    pub started_at: Instant,
}

impl EngineRun {
    /// Sends a request, which `guard` watches, to the engine and waits up to `timeout` for the head
    /// of the response.
    ///
    /// # Errors
    /// The verdict on a request that got no response.
    pub async fn start(
        call: &TargetCall<'_>,
        request: &ClientRequest,
        request_id: Option<&str>,
        guard: EngineRunGuard,
        timeout: Duration,
    ) -> Result<Self, SidecarVerdict> {
        let started_at = Instant::now();
        match call.open(request, request_id, CONNECT_TIMEOUT, HeadWait::Total(timeout)).await {
            Ok((connection, head)) => {
                guard.answered();
                Ok(Self { connection, guard: Some(guard), head, started_at })
            }
            Err(TargetFault::NotSent(_)) => {
                guard.not_sent();
                Err(SidecarVerdict::NotRun)
            }
            Err(TargetFault::Unknown(fault)) => {
                if breaks_off(&fault) {
                    guard.record_response(true);
                }
                guard.interrupted();
                Err(SidecarVerdict::Unknown)
            }
        }
    }

    /// Records a response whose status says that the engine has failed. A response that says that
    /// the request has not been run is no failure.
    pub fn record_status(&self) {
        if self.head.status.is_server_error()
            && let Some(guard) = &self.guard
        {
            guard.record_response(true);
        }
    }

    /// Reads the next piece of the response, or `None` at its end.
    ///
    /// # Errors
    /// Fails if the connection breaks within the response.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, HttpFault> {
        let piece = self.connection.read_piece().await;
        if let Err(fault) = &piece
            && let Some(guard) = self.guard.take()
        {
            if breaks_off(fault) && !self.head.status.is_server_error() {
                guard.record_response(true);
            }
            guard.interrupted();
        }
        piece
    }

    /// Ends the run after its whole response has been read, and returns the connection to the pool.
    pub fn complete(self, call: &TargetCall<'_>) {
        let status = self.head.status;
        if let Some(guard) = self.guard
            && !status.is_server_error()
        {
            guard.record_response(false);
            if status.is_success() {
                guard.complete();
            }
        }
        call.release(self.connection);
    }

    /// Ends a run that the engine has refused, and returns the connection to the pool.
    pub fn reject(self, call: &TargetCall<'_>) {
        if let Some(guard) = self.guard {
            guard.cancel();
        }
        call.release(self.connection);
    }
}
