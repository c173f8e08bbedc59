//! Messages of the etcd v3 protocol in JSON. 64-bit numbers are encoded as strings, keys and values
//! in base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use crate::KeyValueEntry;

/// The header of a response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct HeaderMessage {
    pub revision: String,
}

/// A key with its value.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValueMessage {
    pub create_revision: String,
    pub key: String,
    pub mod_revision: String,
    pub value: String,
}

/// The response to a read.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeMessage {
    pub header: HeaderMessage,
    pub kvs: Vec<KeyValueMessage>,
    pub more: bool,
}

/// The response to one operation of a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseMessage {
    pub response_range: Option<RangeMessage>,
}

/// The response to a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TransactionMessage {
    pub header: HeaderMessage,
    pub responses: Vec<ResponseMessage>,
    pub succeeded: bool,
}

/// The response to granting or renewing a lease.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseMessage {
    #[serde(rename = "ID")]
    pub id: String,
    pub result: Option<Box<LeaseMessage>>,
    #[serde(rename = "TTL")]
    pub time_to_live: String,
}

/// One change in a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct EventMessage {
    pub kv: KeyValueMessage,
    #[serde(rename = "type")]
    pub kind: String,
}

/// A batch of changes in a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchMessage {
    pub events: Vec<EventMessage>,
    pub header: HeaderMessage,
}

/// One line of a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchLine {
    pub result: WatchMessage,
}

impl KeyValueMessage {
    /// Decodes the key and its value.
    pub fn decode(&self) -> KeyValueEntry {
        KeyValueEntry {
            create_revision: parse_number(&self.create_revision),
            key: String::from_utf8_lossy(&decode(&self.key)).into_owned(),
            revision: parse_number(&self.mod_revision),
            value: decode(&self.value),
        }
    }
}

/// Encodes bytes for a message.
pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes bytes of a message; malformed base64 yields no bytes.
fn decode(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}

/// Parses a number that is encoded as a string; malformed text yields 0.
pub(crate) fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}
