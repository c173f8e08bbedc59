//! A stream of changes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpLimits;
use http::Method;
use http::StatusCode;

use crate::KeyValueEntry;
use crate::KeyValueFault;
use crate::key_value_messages::WatchLine;

/// Longest time for which a watch may be silent; the client then opens it anew and resumes.
const SILENCE: Duration = Duration::from_mins(1);

/// Longest time that the opening of a watch may take.
const OPEN_PATIENCE: Duration = Duration::from_secs(2);

/// Longest line, in bytes.
const LINE_BYTES: usize = 64 * 1024 * 1024;

/// One change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The key has this value now.
    Put(KeyValueEntry),
    /// The key was removed at this revision.
    Deleted(String, u64),
}

impl WatchEvent {
    /// Returns the revision of the change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Deleted(_, revision) => *revision,
        }
    }
}

/// An open watch.
pub struct KeyValueWatch {
    buffer: BytesMut,
    connection: ClientConnection,
    events: VecDeque<WatchEvent>,
}

impl KeyValueWatch {
    /// Opens a watch.
    pub(crate) async fn open(
        address: SocketAddr,
        request: &ClientRequest,
        patience: Duration,
    ) -> Result<Self, KeyValueFault> {
        let fault = |detail: String| KeyValueFault::NotApplied(detail);
        let limits = HttpLimits { body_timeout: SILENCE, ..HttpLimits::default() };
        let mut connection = ClientConnection::connect(address, patience, limits)
            .await
            .map_err(|error| fault(error.to_string()))?;
        connection.send(request).await.map_err(|error| fault(error.to_string()))?;
        let head = connection.read_head(&Method::POST, OPEN_PATIENCE).await;
        let head = head.map_err(|error| fault(error.to_string()))?;
        if head.status != StatusCode::OK {
            return Err(fault(format!("watch refused with {}", head.status)));
        }
        Ok(Self { buffer: BytesMut::new(), connection, events: VecDeque::new() })
    }

    /// Waits for the next change.
    ///
    /// # Errors
    /// Fails when the watch has ended; open another one from the last revision on.
    pub async fn next(&mut self) -> Result<WatchEvent, KeyValueFault> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let ended = |detail: &str| KeyValueFault::NotApplied(format!("watch ended: {detail}"));
            match self.connection.read_piece().await {
                Ok(Some(piece)) => self.buffer.extend_from_slice(&piece),
                Ok(None) => return Err(ended("closed")),
                Err(fault) => return Err(ended(fault.reason())),
            }
            self.take_lines()?;
        }
    }

    /// Decodes the whole lines of the buffer.
    fn take_lines(&mut self) -> Result<(), KeyValueFault> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end + 1);
            let parsed: WatchLine = serde_json::from_slice(&line)
                .map_err(|error| KeyValueFault::NotApplied(error.to_string()))?;
            for event in &parsed.result.events {
                let entry = event.kv.decode();
                self.events.push_back(match event.kind.as_str() {
                    "DELETE" => WatchEvent::Deleted(entry.key, entry.revision),
                    _ => WatchEvent::Put(entry),
                });
            }
        }
        if self.buffer.len() > LINE_BYTES {
            return Err(KeyValueFault::NotApplied("watch line too long".to_owned()));
        }
        Ok(())
    }
}
