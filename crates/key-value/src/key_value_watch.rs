//! A watch: a stream of changes to a range of keys.

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

/// Maximum time without data on a watch; the client then opens another one and resumes.
const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum time until the service responds to the opening of a watch.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a line, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024 * 1024;

/// One change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The key has this value now.
    Put(KeyValueEntry),
    /// The key was deleted at this revision.
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

/// An open watch, which yields changes in the order of their revisions.
pub struct KeyValueWatch {
    buffer: BytesMut,
    connection: ClientConnection,
    events: VecDeque<WatchEvent>,
}

impl KeyValueWatch {
    /// Connects within `connect_timeout` and opens a watch.
    pub(crate) async fn open(
        address: SocketAddr,
        request: &ClientRequest,
        connect_timeout: Duration,
    ) -> Result<Self, KeyValueFault> {
        let fault = |detail: String| KeyValueFault::NotApplied(detail);
        let limits = HttpLimits { body_timeout: SILENCE_TIMEOUT, ..HttpLimits::default() };
        let mut connection = ClientConnection::connect(address, connect_timeout, limits)
            .await
            .map_err(|error| fault(error.to_string()))?;
        connection.send(request).await.map_err(|error| fault(error.to_string()))?;
        let head = connection.read_head(&Method::POST, OPEN_TIMEOUT).await;
        let head = head.map_err(|error| fault(error.to_string()))?;
        if head.status != StatusCode::OK {
            return Err(fault(format!("watch refused with {}", head.status)));
        }
        Ok(Self { buffer: BytesMut::new(), connection, events: VecDeque::new() })
    }

    /// Waits for the next change.
    ///
    /// # Errors
    /// Fails when the watch has ended; the caller should open another one after the last revision.
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
            self.decode_lines()?;
        }
    }

    /// Decodes the complete lines in the buffer.
    fn decode_lines(&mut self) -> Result<(), KeyValueFault> {
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
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(KeyValueFault::NotApplied("watch line too long".to_owned()));
        }
        Ok(())
    }
}
