//! The service's HTTP interface.

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
use super::key_value_faults::CallMeter;
use super::key_value_messages::LeaseRequest;
use super::key_value_messages::RangeRequest;
use super::key_value_messages::TransactionRequest;
use super::key_value_messages::WatchRequest;
use super::key_value_messages::decode;
use super::key_value_messages::number;
use super::key_value_store::ChangeRecord;
use super::key_value_store::KeyValueStore;
use super::key_value_store::message_of;
use crate::json_response::json_headers;
use crate::json_response::respond_json;

/// Longest body that the service takes, in bytes: a value in base64 with room to spare.
const BODY_BYTES: usize = 2 * 1024 * 1024;

/// Time between two looks at the leases.
const LEASE_CHECK: Duration = Duration::from_millis(20);

/// The stand-in's handle; clones share the faults and the counts.
#[derive(Clone, Debug, Default)]
pub struct KeyValueStandin {
    calls: Arc<Mutex<BTreeMap<String, u64>>>,
    faults: Arc<Mutex<KeyValueFaults>>,
}

impl KeyValueStandin {
    /// Creates a service with the given faults and limits.
    #[must_use]
    pub fn new(faults: KeyValueFaults) -> Self {
        Self { calls: Arc::default(), faults: Arc::new(Mutex::new(faults)) }
    }

    /// Changes the faults.
    ///
    /// # Panics
    /// Panics if a holder of the faults has panicked.
    pub fn update_faults(&self, change: impl FnOnce(&mut KeyValueFaults)) {
        change(&mut self.faults.lock().expect("no holder panics"));
    }

    /// Returns the number of calls by path, watches with their events counted as one each.
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
            reads: RefCell::new(CallMeter::new(2_000)),
            shared: self,
            store: RefCell::default(),
            writes: RefCell::new(CallMeter::new(400)),
        });
        monoio::spawn(expire_leases(Rc::clone(&handler)));
        HttpServer::new(listener, handler, gate, HttpLimits::default()).run().await;
    }

    /// Returns the faults as they are now.
    fn faults(&self) -> KeyValueFaults {
        self.faults.lock().expect("no holder panics").clone()
    }

    /// Counts a call.
    fn count(&self, path: &str) {
        *self.calls.lock().expect("no holder panics").entry(path.to_owned()).or_insert(0) += 1;
    }

    /// Tells whether the answer of a write is to be lost.
    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock().expect("no holder panics");
        let loses = faults.lost_write_responses > 0;
        faults.lost_write_responses = faults.lost_write_responses.saturating_sub(1);
        loses
    }
}

/// Answers the service's requests.
#[derive(Debug)]
struct KeyValueHandler {
    changed: Notify,
    reads: RefCell<CallMeter>,
    shared: KeyValueStandin,
    store: RefCell<KeyValueStore>,
    writes: RefCell<CallMeter>,
}

impl RequestHandler for KeyValueHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let body = exchange.read_body(BODY_BYTES).await?;
        let path = exchange.head().uri.path().to_owned();
        let faults = self.shared.faults();
        if faults.down {
            return Err(HttpFault::Closed);
        }
        self.shared.count(&path);
        if !self.is_within_rate(&path, &faults) {
            let answer = json!({"code": 8, "message": "too many requests"});
            return respond_json(exchange, StatusCode::TOO_MANY_REQUESTS, &answer).await;
        }
        monoio::time::sleep(faults.delay).await;
        if path == "/v3/watch" {
            return self.watch(exchange, &body).await;
        }
        let result = self.answer(&path, &body);
        if is_write(&path) {
            self.changed.notify_waiters();
            if self.shared.loses_answer() {
                return Err(HttpFault::Closed);
            }
        }
        match result {
            Ok(value) => respond_json(exchange, StatusCode::OK, &value).await,
            Err(message) => {
                let answer = json!({"code": 3, "message": message});
                respond_json(exchange, StatusCode::BAD_REQUEST, &answer).await
            }
        }
    }
}

impl KeyValueHandler {
    /// Answers a call that is not a watch.
    fn answer(&self, path: &str, body: &[u8]) -> Result<Value, &'static str> {
        let mut store = self.store.borrow_mut();
        match path {
            "/v3/kv/range" => Ok(store.range(&parse::<RangeRequest>(body)?)),
            "/v3/kv/txn" => store.transact(&parse::<TransactionRequest>(body)?),
            "/v3/lease/grant" => {
                let request = parse::<LeaseRequest>(body)?;
                let seconds = number(request.time_to_live.as_ref()).max(1) as u64;
                Ok(store.grant(Duration::from_secs(seconds)))
            }
            "/v3/lease/keepalive" => {
                Ok(store.keep_alive(number(parse::<LeaseRequest>(body)?.id.as_ref())))
            }
            "/v3/lease/revoke" => {
                Ok(store.revoke(number(parse::<LeaseRequest>(body)?.id.as_ref())))
            }
            _ => Err("no such call"),
        }
    }

    /// Sends the changes of a range until the watcher goes away.
    async fn watch(&self, exchange: &mut ServerExchange<'_>, body: &[u8]) -> Result<(), HttpFault> {
        let create = parse::<WatchRequest>(body).unwrap_or_default().create_request;
        let (key, range_end) = (decode(&create.key), decode(&create.range_end));
        let mut from = match number(create.start_revision.as_ref()) {
            0 => self.store.borrow().revision + 1,
            revision => revision,
        };
        exchange.start_stream(StatusCode::OK, &json_headers()).await?;
        let created = json!({"result": {"header": self.store.borrow().header(), "created": true}});
        exchange.send_piece(&line_of(&created)).await?;
        loop {
            let changed = self.changed.notified();
            if self.shared.faults().down {
                return Err(HttpFault::Closed);
            }
            let message = self.changes_message(&key, &range_end, from);
            if let Some((message, next)) = message {
                from = next;
                exchange.send_piece(&message).await?;
                continue;
            }
            monoio::select! {
                () = exchange.closed() => return Err(HttpFault::Closed),
                () = changed => {}
                () = monoio::time::sleep(LEASE_CHECK * 5) => {}
            }
        }
    }

    /// Returns the message with the changes from a revision on, and where to go on after it.
    fn changes_message(&self, key: &[u8], range_end: &[u8], from: i64) -> Option<(Bytes, i64)> {
        let store = self.store.borrow();
        let changes = store.changes(key, range_end, from);
        let last = changes.last()?.revision;
        let events: Vec<Value> = changes.into_iter().map(event_of).collect();
        let result = json!({"header": store.header(), "events": events});
        Some((line_of(&json!({"result": result})), last + 1))
    }

    /// Tells whether a call is within its rate.
    fn is_within_rate(&self, path: &str, faults: &KeyValueFaults) -> bool {
        if is_write(path) {
            self.writes.borrow_mut().take(faults.writes_per_second)
        } else {
            self.reads.borrow_mut().take(faults.reads_per_second)
        }
    }
}

/// Ends leases whose time is over.
async fn expire_leases(handler: Rc<KeyValueHandler>) {
    loop {
        monoio::time::sleep(LEASE_CHECK).await;
        if handler.store.borrow_mut().expire_leases() {
            handler.changed.notify_waiters();
        }
    }
}

/// Tells whether a call counts as a write.
fn is_write(path: &str) -> bool {
    path == "/v3/kv/txn" || path.starts_with("/v3/lease/")
}

/// Parses a request's body.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, &'static str> {
    serde_json::from_slice(body).map_err(|_| "malformed request")
}

/// Returns a message of a stream: one JSON value on a line.
fn line_of(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

/// Returns a change as a watch tells it.
fn event_of(change: &ChangeRecord) -> Value {
    if let Some(stored) = &change.stored {
        return json!({"type": "PUT", "kv": message_of(&change.key, stored)});
    }
    let key = super::key_value_messages::encode(&change.key);
    let revision = change.revision.to_string();
    json!({"type": "DELETE", "kv": {"key": key, "mod_revision": revision}})
}
