//! The service's HTTP API.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use cv_http::DrainGate;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_http::HttpServer;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::StatusCode;
use monoio::net::TcpListener;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use super::KeyValueFaults;
use super::key_value_faults::RateLimiter;
use super::key_value_messages::LeaseRequest;
use super::key_value_messages::RangeRequest;
use super::key_value_messages::TransactionRequest;
use super::key_value_messages::WatchRequest;
use super::key_value_messages::decode;
use super::key_value_messages::parse_number;
use super::key_value_store::ChangeRecord;
use super::key_value_store::KeyValueStore;
use super::key_value_store::encode_key_value;
use crate::json_response::json_headers;
use crate::json_response::respond_json;

/// Maximum size of a request body, in bytes; leaves room for a value of maximum size in base64.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Interval at which expired leases are revoked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The stand-in and a handle of it; clones share the faults and the call counts.
#[derive(Clone, Debug, Default)]
pub struct KeyValueStandin {
    calls: Arc<Mutex<BTreeMap<String, u64>>>,
    faults: Arc<Mutex<KeyValueFaults>>,
}

impl KeyValueStandin {
    /// Creates a service with the given faults and rate limits.
    #[must_use]
    pub fn new(faults: KeyValueFaults) -> Self {
        Self { calls: Arc::default(), faults: Arc::new(Mutex::new(faults)) }
    }

    /// Changes the faults and rate limits with `change`.
    ///
    /// # Panics
    /// Panics if a holder of the faults has panicked.
    pub fn update_faults(&self, change: impl FnOnce(&mut KeyValueFaults)) {
        change(&mut self.faults.lock().expect("no holder panics"));
    }

    /// Returns the number of calls by path; a watch counts once, whatever the number of its events.
    ///
    /// # Panics
    /// Panics if a holder of the counts has panicked.
    #[must_use]
    pub fn call_counts(&self) -> BTreeMap<String, u64> {
        self.calls.lock().expect("no holder panics").clone()
    }

    /// Serves until the gate drains.
    pub async fn serve(self, listener: TcpListener, gate: DrainGate) {
        let handler = Rc::new(KeyValueHandler {
            changed: Notify::new(),
            read_limiter: RefCell::new(RateLimiter::new(2_000)),
            shared: self,
            store: RefCell::default(),
            write_limiter: RefCell::new(RateLimiter::new(400)),
        });
        monoio::spawn(expire_leases(Rc::clone(&handler)));
        HttpServer::new(listener, handler, gate, HttpLimits::default()).run().await;
    }

    /// Returns the current faults.
    fn faults(&self) -> KeyValueFaults {
        self.faults.lock().expect("no holder panics").clone()
    }

    /// Counts a call.
    fn count_call(&self, path: &str) {
        *self.calls.lock().expect("no holder panics").entry(path.to_owned()).or_insert(0) += 1;
    }

    /// Returns whether to lose the response of this write, and counts it.
    fn take_lost_response(&self) -> bool {
        let mut faults = self.faults.lock().expect("no holder panics");
        let is_lost = faults.lost_write_responses > 0;
        faults.lost_write_responses = faults.lost_write_responses.saturating_sub(1);
        is_lost
    }
}

/// Handles the service's requests.
#[derive(Debug)]
struct KeyValueHandler {
    changed: Notify,
    read_limiter: RefCell<RateLimiter>,
    shared: KeyValueStandin,
    store: RefCell<KeyValueStore>,
    write_limiter: RefCell<RateLimiter>,
}

impl RequestHandler for KeyValueHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let body = exchange.read_body(MAX_BODY_BYTES).await?;
        let path = exchange.head().uri.path().to_owned();
        let faults = self.shared.faults();
        if faults.down {
            return Err(HttpFault::Closed);
        }
        self.shared.count_call(&path);
        if !self.acquire_call(&path, &faults) {
            let response = json!({"code": 8, "message": "too many requests"});
            return respond_json(exchange, StatusCode::TOO_MANY_REQUESTS, &response).await;
        }
        monoio::time::sleep(faults.delay).await;
        if path == "/v3/watch" {
            return self.watch(exchange, &body).await;
        }
        let result = self.execute(&path, &body);
        if is_write(&path) {
            self.changed.notify_waiters();
            if self.shared.take_lost_response() {
                return Err(HttpFault::Closed);
            }
        }
        match result {
            Ok(value) => respond_json(exchange, StatusCode::OK, &value).await,
            Err(message) => {
                let response = json!({"code": 3, "message": message});
                respond_json(exchange, StatusCode::BAD_REQUEST, &response).await
            }
        }
    }
}

impl KeyValueHandler {
    /// Executes a call that is not a watch.
    fn execute(&self, path: &str, body: &[u8]) -> Result<Value, &'static str> {
        let mut store = self.store.borrow_mut();
        match path {
            "/v3/kv/range" => Ok(store.range(&parse::<RangeRequest>(body)?)),
            "/v3/kv/txn" => store.transact(&parse::<TransactionRequest>(body)?),
            "/v3/lease/grant" => {
                let request = parse::<LeaseRequest>(body)?;
                let seconds = parse_number(request.time_to_live.as_ref()).max(1) as u64;
                Ok(store.grant_lease(Duration::from_secs(seconds)))
            }
            "/v3/lease/keepalive" => {
                Ok(store.renew_lease(parse_number(parse::<LeaseRequest>(body)?.id.as_ref())))
            }
            "/v3/lease/revoke" => {
                Ok(store.revoke_lease(parse_number(parse::<LeaseRequest>(body)?.id.as_ref())))
            }
            _ => Err("no such call"),
        }
    }

    /// Streams the changes of a range until the watcher disconnects.
    async fn watch(&self, exchange: &mut ServerExchange<'_>, body: &[u8]) -> Result<(), HttpFault> {
        let create = parse::<WatchRequest>(body).unwrap_or_default().create_request;
        let (key, range_end) = (decode(&create.key), decode(&create.range_end));
        let mut from = match parse_number(create.start_revision.as_ref()) {
            0 => self.store.borrow().revision + 1,
            revision => revision,
        };
        exchange.start_stream(StatusCode::OK, &json_headers()).await?;
        let created = json!({"result": {"header": self.store.borrow().header(), "created": true}});
        exchange.send_piece(&encode_line(&created)).await?;
        loop {
            let changed = self.changed.notified();
            if self.shared.faults().down {
                return Err(HttpFault::Closed);
            }
            let message = self.encode_changes(&key, &range_end, from);
            if let Some((message, next)) = message {
                from = next;
                exchange.send_piece(&message).await?;
                continue;
            }
            monoio::select! {
                () = exchange.closed() => return Err(HttpFault::Closed),
                () = changed => {}
                () = monoio::time::sleep(LEASE_CHECK_INTERVAL * 5) => {}
            }
        }
    }

    /// Encodes the changes that start with the revision `from`, and returns the revision to
    /// continue from; `None` if there are no changes.
    fn encode_changes(&self, key: &[u8], range_end: &[u8], from: i64) -> Option<(Bytes, i64)> {
        let store = self.store.borrow();
        let changes = store.changes(key, range_end, from);
        let last = changes.last()?.revision;
        let events: Vec<Value> = changes.into_iter().map(encode_event).collect();
        let result = json!({"header": store.header(), "events": events});
        Some((encode_line(&json!({"result": result})), last + 1))
    }

    /// Counts a call against its rate limit; returns whether it is within the limit.
    fn acquire_call(&self, path: &str, faults: &KeyValueFaults) -> bool {
        if is_write(path) {
            self.write_limiter.borrow_mut().try_acquire(faults.writes_per_second)
        } else {
            self.read_limiter.borrow_mut().try_acquire(faults.reads_per_second)
        }
    }
}

/// Revokes expired leases periodically.
async fn expire_leases(handler: Rc<KeyValueHandler>) {
    loop {
        monoio::time::sleep(LEASE_CHECK_INTERVAL).await;
        if handler.store.borrow_mut().expire_leases() {
            handler.changed.notify_waiters();
        }
    }
}

/// Returns whether a call counts as a write; lease calls do.
fn is_write(path: &str) -> bool {
    path == "/v3/kv/txn" || path.starts_with("/v3/lease/")
}

/// Parses a request's body.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, &'static str> {
    serde_json::from_slice(body).map_err(|_| "malformed request")
}

/// Encodes a message of a stream: one JSON value on a line.
fn encode_line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

/// Encodes a change as an event of a watch.
fn encode_event(change: &ChangeRecord) -> Value {
    if let Some(stored) = &change.stored {
        return json!({"type": "PUT", "kv": encode_key_value(&change.key, stored)});
    }
    let key = super::key_value_messages::encode(&change.key);
    let revision = change.revision.to_string();
    json!({"type": "DELETE", "kv": {"key": key, "mod_revision": revision}})
}
