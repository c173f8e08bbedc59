//! Messages of the etcd v3 JSON API, which encodes 64-bit numbers as strings, and keys and values
//! in base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// A read of one key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    pub key: String,
    pub limit: Option<String>,
    pub range_end: String,
}

/// A write of one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub key: String,
    pub lease: Option<String>,
    pub value: String,
}

/// A deletion of one key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct DeleteRequest {
    pub key: String,
    pub range_end: String,
}

/// One condition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub create_revision: Option<String>,
    pub key: String,
    pub mod_revision: Option<String>,
    pub target: String,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Operation {
    #[serde(rename = "request_delete_range")]
    pub delete: Option<DeleteRequest>,
    #[serde(rename = "request_put")]
    pub put: Option<PutRequest>,
    #[serde(rename = "request_range")]
    pub range: Option<RangeRequest>,
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TransactionRequest {
    pub compare: Vec<Compare>,
    pub failure: Vec<Operation>,
    pub success: Vec<Operation>,
}

/// A request to grant, renew or revoke a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub id: Option<String>,
    #[serde(rename = "TTL")]
    pub time_to_live: Option<String>,
}

/// A request to open a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchRequest {
    pub create_request: WatchCreate,
}

/// The key or range that a watch reports, and the revision that it starts from.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    pub key: String,
    pub range_end: String,
    pub start_revision: Option<String>,
}

/// One key with its value.
#[derive(Clone, Debug, Serialize)]
pub(super) struct KeyValueMessage {
    pub create_revision: String,
    pub key: String,
    pub lease: String,
    pub mod_revision: String,
    pub value: String,
}

/// Encodes bytes in base64.
pub(super) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64; malformed text yields no bytes, which match no key.
pub(super) fn decode(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}

/// Parses a number that is encoded as a string; an absent or malformed one yields 0.
pub(super) fn parse_number(text: Option<&String>) -> i64 {
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
