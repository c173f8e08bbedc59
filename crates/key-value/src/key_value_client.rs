//! Calls to the key-value service.

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
use crate::key_value_messages::number;

/// Longest time that one call waits for its answer.
const CALL_PATIENCE: Duration = Duration::from_secs(2);

/// Longest time to connect.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// Longest answer, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// First pause between two tries of an ambiguous write; doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A stored key.
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
    /// All keys that begin so.
    Prefix(String),
    /// The keys from the first up to, but not including, the second.
    Between(String, String),
}

/// One page of a range.
#[derive(Clone, Debug, Default)]
pub struct RangePage {
    /// The entries, sorted by key.
    pub entries: Vec<KeyValueEntry>,
    /// Whether the range goes on after them.
    pub has_more: bool,
    /// The service's revision at the time of the read.
    pub revision: u64,
}

/// A set of writes that happen together if all conditions hold.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    compares: Vec<Value>,
    first_key: String,
    puts: Vec<Value>,
}

/// What became of a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// A condition did not hold; the first key's value as it is now, if there is one.
    Conflict(Option<KeyValueEntry>),
}

impl Transaction {
    /// Creates a transaction; a conflict shows the value of `key`.
    #[must_use]
    pub fn for_key(key: &str) -> Self {
        Self { first_key: key.to_owned(), ..Self::default() }
    }

    /// Demands that a key is at a revision; 0 demands that it does not exist.
    #[must_use]
    pub fn if_revision(mut self, key: &str, revision: u64) -> Self {
        self.compares.push(json!({
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

    /// Writes a key that goes when the lease does.
    #[must_use]
    pub fn put_with_lease(mut self, key: &str, value: &[u8], lease: u64) -> Self {
        self.puts.push(json!({"request_put": {
            "key": encode(key.as_bytes()),
            "value": encode(value),
            "lease": lease.to_string(),
        }}));
        self
    }

    /// Removes a range of keys.
    #[must_use]
    pub fn delete(mut self, range: &KeyRange) -> Self {
        self.puts.push(json!({"request_delete_range": range_fields(range)}));
        self
    }

    /// Returns the message.
    fn message(&self) -> Value {
        let read = json!({"request_range": {"key": encode(self.first_key.as_bytes())}});
        json!({"compare": self.compares, "success": self.puts, "failure": [read]})
    }
}

/// Calls the key-value service, any of its addresses.
pub struct KeyValueClient {
    addresses: Vec<SocketAddr>,
    budget: CallBudget,
    pool: ConnectionPool,
    random: std::cell::RefCell<SeededRandom>,
}

impl KeyValueClient {
    /// Creates a client that makes at most so many calls a second.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, calls_per_second: u32, seed: u64) -> Self {
        Self {
            addresses,
            budget: CallBudget::new(calls_per_second),
            pool: ConnectionPool::new(HttpLimits::default()),
            random: std::cell::RefCell::new(SeededRandom::new(seed)),
        }
    }

    /// Reads a range, at most `limit` entries; 0 reads all.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    pub async fn range(
        &self,
        purpose: CallPurpose,
        range: &KeyRange,
        limit: usize,
    ) -> Result<RangePage, KeyValueFault> {
        let mut message = range_fields(range);
        message["limit"] = json!(limit.to_string());
        let answer: RangeMessage = self.call(purpose, "/v3/kv/range", &message).await?;
        Ok(page_of(&answer))
    }

    /// Reads one key.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    pub async fn get(
        &self,
        purpose: CallPurpose,
        key: &str,
    ) -> Result<Option<KeyValueEntry>, KeyValueFault> {
        let page = self.range(purpose, &KeyRange::Single(key.to_owned()), 1).await?;
        Ok(page.entries.into_iter().next())
    }

    /// Makes a transaction once.
    ///
    /// # Errors
    /// `Ambiguous` if the transaction may have taken effect.
    pub async fn transact(
        &self,
        purpose: CallPurpose,
        transaction: &Transaction,
    ) -> Result<WriteOutcome, KeyValueFault> {
        let answer: TransactionMessage =
            self.call(purpose, "/v3/kv/txn", &transaction.message()).await?;
        if answer.succeeded {
            return Ok(WriteOutcome::Done(number(&answer.header.revision)));
        }
        let range = answer.responses.first().and_then(|part| part.response_range.as_ref());
        let current = range.and_then(|range| range.kvs.first()).map(KeyValueMessage::decode);
        Ok(WriteOutcome::Conflict(current))
    }

    /// Writes a key if it is at a revision, and finds out what became of a write without an
    /// answer.
    ///
    /// The value has to be unlike any other that was ever written to the key, which a write id in
    /// it ensures. A write without an answer is made again: it either takes effect now, or meets a
    /// conflict whose value shows whether the first one did.
    ///
    /// # Errors
    /// `Ambiguous` if the service gave no answer until the patience was over.
    pub async fn transact_with_retry(
        &self,
        purpose: CallPurpose,
        transaction: &Transaction,
        value: &[u8],
        patience: Duration,
    ) -> Result<WriteOutcome, KeyValueFault> {
        let begin = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut ambiguous = false;
        loop {
            let fault = match self.transact(purpose, transaction).await {
                Ok(WriteOutcome::Conflict(Some(entry))) if ambiguous && entry.value == value => {
                    return Ok(WriteOutcome::Done(entry.revision));
                }
                Ok(answer) => return Ok(answer),
                Err(KeyValueFault::Invalid(detail)) => return Err(KeyValueFault::Invalid(detail)),
                Err(fault) => fault,
            };
            ambiguous |= matches!(fault, KeyValueFault::Ambiguous(_));
            if begin.elapsed() + pause > patience {
                let detail = fault.to_string();
                return Err(if ambiguous { KeyValueFault::Ambiguous(detail) } else { fault });
            }
            monoio::time::sleep(self.with_jitter(pause)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Grants a lease and returns its id.
    ///
    /// # Errors
    /// Fails if the service does not answer; a lease granted all the same ends by itself.
    pub async fn grant_lease(&self, time_to_live: Duration) -> Result<u64, KeyValueFault> {
        let message = json!({"TTL": time_to_live.as_secs().max(1).to_string(), "ID": "0"});
        let answer: LeaseMessage =
            self.call(CallPurpose::Lease, "/v3/lease/grant", &message).await?;
        Ok(number(&answer.id))
    }

    /// Renews a lease; tells whether it still held.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, KeyValueFault> {
        let message = json!({"ID": lease.to_string()});
        let answer: LeaseMessage =
            self.call(CallPurpose::Lease, "/v3/lease/keepalive", &message).await?;
        Ok(answer.result.is_some_and(|result| number(&result.time_to_live) > 0))
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), KeyValueFault> {
        let message = json!({"ID": lease.to_string()});
        let _: Value = self.call(CallPurpose::Lease, "/v3/lease/revoke", &message).await?;
        Ok(())
    }

    /// Opens a watch on a range from a revision on, on a connection of its own.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    pub async fn watch(
        &self,
        range: &KeyRange,
        from_revision: u64,
    ) -> Result<KeyValueWatch, KeyValueFault> {
        let mut create = range_fields(range);
        create["start_revision"] = json!(from_revision.to_string());
        let body = json!({"create_request": create}).to_string();
        let request = ClientRequest::new(Method::POST, "/v3/watch", body);
        KeyValueWatch::open(self.address(), &request, CONNECT_PATIENCE).await
    }

    /// Returns a pause with jitter, so that many processes do not try at once.
    #[must_use]
    pub fn with_jitter(&self, pause: Duration) -> Duration {
        pause.mul_f64(0.5 + self.random.borrow_mut().fraction())
    }

    /// Makes one call.
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
        let connected = self.pool.connect(address, CONNECT_PATIENCE).await;
        let mut connection = connected.map_err(|fault| not_done(&fault))?;
        let request = ClientRequest::new(Method::POST, path, message.to_string());
        let result = connection.exchange(&request, CALL_PATIENCE, ANSWER_BYTES).await;
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

    /// Returns one of the service's addresses.
    fn address(&self) -> SocketAddr {
        let index = self.random.borrow_mut().below(self.addresses.len());
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        self.addresses.get(index).copied().unwrap_or(unset)
    }
}

/// Returns the fault of a call that was never sent.
fn not_done(fault: &HttpFault) -> KeyValueFault {
    KeyValueFault::NotApplied(fault.to_string())
}

/// Returns the fields that name a range.
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
        // Keys are ASCII, so the last byte can be raised.
        *last += 1;
    }
    end
}

/// Decodes a page.
fn page_of(message: &RangeMessage) -> RangePage {
    RangePage {
        entries: message.kvs.iter().map(KeyValueMessage::decode).collect(),
        has_more: message.more,
        revision: number(&message.header.revision),
    }
}
