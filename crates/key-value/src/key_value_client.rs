//! A client of the key-value service.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_policy::SeededRandom;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::CallBudget;
use crate::CallPurpose;
use crate::KeyValueFault;
use crate::KeyValueWatch;
use crate::key_value_messages::KeyValueMessage;
use crate::key_value_messages::LeaseMessage;
use crate::key_value_messages::RangeMessage;
use crate::key_value_messages::TransactionMessage;
use crate::key_value_messages::encode;
use crate::key_value_messages::parse_number;

/// Maximum time until the response to a call begins.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Backoff after the first attempt of a write; doubles with each further attempt.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A stored key with its value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyValueEntry {
    /// Revision at which the key was created.
    pub create_revision: u64,
    /// The key.
    pub key: String,
    /// Revision of the last change.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A range of keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyRange {
    /// One key.
    Single(String),
    /// All keys with this prefix.
    Prefix(String),
    /// The keys from the first up to, but not including, the second.
    Between(String, String),
}

/// One page of a range.
#[derive(Clone, Debug, Default)]
pub struct RangePage {
    /// The entries, sorted by key.
    pub entries: Vec<KeyValueEntry>,
    /// Whether the range has further entries.
    pub has_more: bool,
    /// The service's revision at the time of the read.
    pub revision: u64,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    conditions: Vec<Value>,
    key: String,
    writes: Vec<Value>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// A condition did not hold; holds the current entry of the transaction's key, if there is one.
    Conflict(Option<KeyValueEntry>),
}

impl Transaction {
    /// Creates a transaction that returns the entry of `key` on a conflict.
    #[must_use]
    pub fn for_key(key: &str) -> Self {
        Self { key: key.to_owned(), ..Self::default() }
    }

    /// Requires that the last change of a key has this revision; 0 requires that it does not exist.
    #[must_use]
    pub fn if_revision(mut self, key: &str, revision: u64) -> Self {
        self.conditions.push(json!({
            "key": encode(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }));
        self
    }

    /// Writes a key.
    #[must_use]
    pub fn put(self, key: &str, value: &[u8]) -> Self {
        self.put_with_lease(key, value, 0)
    }

    /// Writes a key that is deleted when the lease ends.
    #[must_use]
    pub fn put_with_lease(mut self, key: &str, value: &[u8], lease: u64) -> Self {
        self.writes.push(json!({"request_put": {
            "key": encode(key.as_bytes()),
            "value": encode(value),
            "lease": lease.to_string(),
        }}));
        self
    }

    /// Deletes a range of keys.
    #[must_use]
    pub fn delete(mut self, range: &KeyRange) -> Self {
        self.writes.push(json!({"request_delete_range": range_fields(range)}));
        self
    }

    /// Encodes the transaction as a message.
    fn message(&self) -> Value {
        let read = json!({"request_range": {"key": encode(self.key.as_bytes())}});
        json!({"compare": self.conditions, "success": self.writes, "failure": [read]})
    }
}

/// Calls the key-value service, each time at a random one of its addresses.
pub struct KeyValueClient {
    addresses: Vec<SocketAddr>,
    budget: CallBudget,
    pool: ConnectionPool,
    random: std::cell::RefCell<SeededRandom>,
}

impl KeyValueClient {
    /// Creates a client that makes at most `calls_per_second`; `seed` determines its jitter and its
    /// choice of addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, calls_per_second: u32, seed: u64) -> Self {
        Self {
            addresses,
            budget: CallBudget::new(calls_per_second),
            pool: ConnectionPool::new(HttpLimits::default()),
            random: std::cell::RefCell::new(SeededRandom::new(seed)),
        }
    }

    /// Reads at most `limit` entries of a range; 0 means no limit.
    ///
    /// # Errors
    /// Fails if the service does not respond or reports an error.
    pub async fn range(
        &self,
        purpose: CallPurpose,
        range: &KeyRange,
        limit: usize,
    ) -> Result<RangePage, KeyValueFault> {
        let mut message = range_fields(range);
        message["limit"] = json!(limit.to_string());
        let response: RangeMessage = self.call(purpose, "/v3/kv/range", &message).await?;
        Ok(decode_page(&response))
    }

    /// Reads one key.
    ///
    /// # Errors
    /// Fails if the service does not respond or reports an error.
    pub async fn get(
        &self,
        purpose: CallPurpose,
        key: &str,
    ) -> Result<Option<KeyValueEntry>, KeyValueFault> {
        let page = self.range(purpose, &KeyRange::Single(key.to_owned()), 1).await?;
        Ok(page.entries.into_iter().next())
    }

    /// Sends a transaction once.
    ///
    /// # Errors
    /// `Ambiguous` if the transaction may have taken effect.
    pub async fn transact(
        &self,
        purpose: CallPurpose,
        transaction: &Transaction,
    ) -> Result<WriteOutcome, KeyValueFault> {
        let response: TransactionMessage =
            self.call(purpose, "/v3/kv/txn", &transaction.message()).await?;
        if response.succeeded {
            return Ok(WriteOutcome::Done(parse_number(&response.header.revision)));
        }
        let range = response.responses.first().and_then(|part| part.response_range.as_ref());
        let current = range.and_then(|range| range.kvs.first()).map(KeyValueMessage::decode);
        Ok(WriteOutcome::Conflict(current))
    }

    /// Sends a transaction until its outcome is known, for at most `timeout`.
    ///
    /// The transaction must write `value` to the key that it was created for, on the condition of
    /// that key's revision, and the value must differ from all others ever written to the key,
    /// which a write id in it ensures. A transaction without a response is sent again: it either
    /// takes effect now or meets a conflict, whose entry shows whether an earlier attempt did.
    ///
    /// # Errors
    /// `Ambiguous` if the outcome of an attempt is still unknown after `timeout`; otherwise the
    /// error of the last attempt.
    pub async fn transact_with_retry(
        &self,
        purpose: CallPurpose,
        transaction: &Transaction,
        value: &[u8],
        timeout: Duration,
    ) -> Result<WriteOutcome, KeyValueFault> {
        let start = Instant::now();
        let mut backoff = FIRST_BACKOFF;
        let mut ambiguous = false;
        loop {
            let fault = match self.transact(purpose, transaction).await {
                Ok(WriteOutcome::Conflict(Some(entry))) if ambiguous && entry.value == value => {
                    return Ok(WriteOutcome::Done(entry.revision));
                }
                Ok(outcome) => return Ok(outcome),
                Err(KeyValueFault::Invalid(detail)) => return Err(KeyValueFault::Invalid(detail)),
                Err(fault) => fault,
            };
            ambiguous |= matches!(fault, KeyValueFault::Ambiguous(_));
            if start.elapsed() + backoff > timeout {
                let detail = fault.to_string();
                return Err(if ambiguous { KeyValueFault::Ambiguous(detail) } else { fault });
            }
            monoio::time::sleep(self.with_jitter(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Grants a lease and returns its id.
    ///
    /// # Errors
    /// Fails if the service does not respond; a lease that was granted nevertheless expires.
    pub async fn grant_lease(&self, time_to_live: Duration) -> Result<u64, KeyValueFault> {
        let message = json!({"TTL": time_to_live.as_secs().max(1).to_string(), "ID": "0"});
        let response: LeaseMessage =
            self.call(CallPurpose::Lease, "/v3/lease/grant", &message).await?;
        Ok(parse_number(&response.id))
    }

    /// Renews a lease; returns whether it was still valid.
    ///
    /// # Errors
    /// Fails if the service does not respond or reports an error.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, KeyValueFault> {
        let message = json!({"ID": lease.to_string()});
        let response: LeaseMessage =
            self.call(CallPurpose::Lease, "/v3/lease/keepalive", &message).await?;
        Ok(response.result.is_some_and(|result| parse_number(&result.time_to_live) > 0))
    }

    /// Revokes a lease, which deletes its keys.
    ///
    /// # Errors
    /// Fails if the service does not respond or reports an error.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), KeyValueFault> {
        let message = json!({"ID": lease.to_string()});
        let _: Value = self.call(CallPurpose::Lease, "/v3/lease/revoke", &message).await?;
        Ok(())
    }

    /// Opens a watch on a range, starting at a revision, on a separate connection.
    ///
    /// # Errors
    /// Fails if the service does not respond or reports an error.
    pub async fn watch(
        &self,
        range: &KeyRange,
        from_revision: u64,
    ) -> Result<KeyValueWatch, KeyValueFault> {
        let mut create = range_fields(range);
        create["start_revision"] = json!(from_revision.to_string());
        let body = json!({"create_request": create}).to_string();
        let request = ClientRequest::new(Method::POST, "/v3/watch", body);
        KeyValueWatch::open(self.address(), &request, CONNECT_TIMEOUT).await
    }

    /// Returns a delay of 0.5 to 1.5 times `delay`, so that processes do not retry in step.
    #[must_use]
    pub fn with_jitter(&self, delay: Duration) -> Duration {
        delay.mul_f64(0.5 + self.random.borrow_mut().fraction())
    }

    /// Makes one call within the budget of its purpose.
    async fn call<T: DeserializeOwned>(
        &self,
        purpose: CallPurpose,
        path: &str,
        message: &Value,
    ) -> Result<T, KeyValueFault> {
        if !self.budget.try_take(purpose) {
            return Err(KeyValueFault::NotApplied(
                "this process's call budget is spent".to_owned(),
            ));
        }
        let address = self.address();
        let connected = self.pool.connect(address, CONNECT_TIMEOUT).await;
        let mut connection = connected.map_err(|fault| not_applied(&fault))?;
        let request = ClientRequest::new(Method::POST, path, message.to_string());
        let result = connection.exchange(&request, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await;
        let response = result.map_err(|fault| KeyValueFault::Ambiguous(fault.to_string()))?;
        self.pool.release(address, connection);
        let text = || String::from_utf8_lossy(&response.body).into_owned();
        match response.status {
            StatusCode::OK => serde_json::from_slice(&response.body)
                .map_err(|error| KeyValueFault::Ambiguous(error.to_string())),
            StatusCode::TOO_MANY_REQUESTS => Err(KeyValueFault::NotApplied(text())),
            status if status.is_client_error() => Err(KeyValueFault::Invalid(text())),
            _ => Err(KeyValueFault::Ambiguous(text())),
        }
    }

    /// Returns a random one of the service's addresses.
    fn address(&self) -> SocketAddr {
        let index = self.random.borrow_mut().below(self.addresses.len());
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        self.addresses.get(index).copied().unwrap_or(unset)
    }
}

/// Returns the fault of a call that was never sent.
fn not_applied(fault: &HttpFault) -> KeyValueFault {
    KeyValueFault::NotApplied(fault.to_string())
}

/// Encodes a range as the fields of a message.
fn range_fields(range: &KeyRange) -> Value {
    let (key, end) = match range {
        KeyRange::Single(key) => (key.as_bytes(), Vec::new()),
        KeyRange::Prefix(prefix) => (prefix.as_bytes(), prefix_end(prefix)),
        KeyRange::Between(first, end) => (first.as_bytes(), end.as_bytes().to_vec()),
    };
    json!({"key": encode(key), "range_end": encode(&end)})
}

/// Returns the first key after all that begin with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        // Keys are ASCII, so the increment of the last byte does not overflow.
        *last += 1;
    }
    end
}

/// Decodes a page of a range.
fn decode_page(message: &RangeMessage) -> RangePage {
    RangePage {
        entries: message.kvs.iter().map(KeyValueMessage::decode).collect(),
        has_more: message.more,
        revision: parse_number(&message.header.revision),
    }
}
