//! The state of the key-value service: keys, leases and the history of changes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::key_value_messages::Compare;
use super::key_value_messages::DeleteRequest;
use super::key_value_messages::KeyValueMessage;
use super::key_value_messages::Operation;
use super::key_value_messages::PutRequest;
use super::key_value_messages::RangeRequest;
use super::key_value_messages::TransactionRequest;
use super::key_value_messages::decode;
use super::key_value_messages::encode;
use super::key_value_messages::parse_number;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// One stored key.
#[derive(Clone, Debug)]
pub(super) struct StoredValue {
    pub create_revision: i64,
    pub lease: i64,
    pub mod_revision: i64,
    pub value: Vec<u8>,
}

/// One change, as watches report it.
#[derive(Clone, Debug)]
pub(super) struct ChangeRecord {
    pub key: Vec<u8>,
    pub revision: i64,
    /// The new value, or `None` if the key was deleted.
    pub stored: Option<StoredValue>,
}

/// Keys, leases and the history of changes.
#[derive(Debug, Default)]
pub(super) struct KeyValueStore {
    pub history: Vec<ChangeRecord>,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: BTreeMap<i64, (Instant, Duration)>,
    next_lease: i64,
    pub revision: i64,
}

impl KeyValueStore {
    /// Reads one key or a range of keys.
    pub fn range(&self, request: &RangeRequest) -> Value {
        let limit = match parse_number(request.limit.as_ref()) {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let found = self.select(&decode(&request.key), &decode(&request.range_end));
        let count = found.len();
        let kvs: Vec<KeyValueMessage> = found
            .into_iter()
            .take(limit)
            .map(|(key, stored)| encode_key_value(key, stored))
            .collect();
        json!({
            "header": self.header(),
            "kvs": kvs,
            "count": count.to_string(),
            "more": count > limit,
        })
    }

    /// Executes a transaction.
    ///
    /// # Errors
    /// Returns the reason if the transaction is invalid.
    pub fn transact(&mut self, request: &TransactionRequest) -> Result<Value, &'static str> {
        let succeeded = request.compare.iter().all(|compare| self.is_met(compare));
        let operations = if succeeded { &request.success } else { &request.failure };
        let puts = operations.iter().filter_map(|operation| operation.put.as_ref());
        for put in puts {
            let lease = parse_number(put.lease.as_ref());
            if decode(&put.value).len() > MAX_VALUE_BYTES {
                return Err("value too large");
            }
            if lease != 0 && !self.leases.contains_key(&lease) {
                return Err("requested lease not found");
            }
        }
        let has_writes = operations.iter().any(|operation| operation.range.is_none());
        if has_writes {
            self.revision += 1;
        }
        let responses: Vec<Value> =
            operations.iter().map(|operation| self.execute_operation(operation)).collect();
        Ok(json!({
            "header": self.header(),
            "succeeded": succeeded,
            "responses": responses,
        }))
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, time_to_live: Duration) -> Value {
        self.next_lease += 1;
        let id = 7_000_000 + self.next_lease;
        self.leases.insert(id, (Instant::now(), time_to_live));
        json!({
            "header": self.header(),
            "ID": id.to_string(),
            "TTL": time_to_live.as_secs().to_string(),
        })
    }

    /// Renews a lease; an expired lease has a time to live of 0 in the response.
    pub fn renew_lease(&mut self, id: i64) -> Value {
        let seconds = match self.leases.get_mut(&id) {
            Some((renewed, time_to_live)) => {
                *renewed = Instant::now();
                time_to_live.as_secs()
            }
            None => 0,
        };
        let result = json!({"ID": id.to_string(), "TTL": seconds.to_string()});
        json!({"result": result})
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke_lease(&mut self, id: i64) -> Value {
        if self.leases.remove(&id).is_some() {
            self.delete_leased_keys(id);
        }
        json!({"header": self.header()})
    }

    /// Revokes the leases that have expired; returns whether there were any.
    pub fn expire_leases(&mut self) -> bool {
        let leases = self.leases.iter();
        let expired: Vec<i64> = leases
            .filter(|(_, (renewed, time_to_live))| renewed.elapsed() >= *time_to_live)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.leases.remove(id);
            self.delete_leased_keys(*id);
        }
        !expired.is_empty()
    }

    /// Returns the changes of a range, starting with the revision `from`.
    pub fn changes(&self, key: &[u8], range_end: &[u8], from: i64) -> Vec<&ChangeRecord> {
        let changes = self.history.iter();
        changes
            .filter(|change| change.revision >= from && in_range(&change.key, key, range_end))
            .collect()
    }

    /// Returns the header of a response.
    pub fn header(&self) -> Value {
        json!({"cluster_id": "1", "member_id": "1", "revision": self.revision.to_string(), "raft_term": "1"})
    }

    /// Returns whether a condition of a transaction holds.
    fn is_met(&self, compare: &Compare) -> bool {
        let stored = self.keys.get(&decode(&compare.key));
        if compare.target == "CREATE" {
            let created = stored.map_or(0, |stored| stored.create_revision);
            created == parse_number(compare.create_revision.as_ref())
        } else {
            let modified = stored.map_or(0, |stored| stored.mod_revision);
            modified == parse_number(compare.mod_revision.as_ref())
        }
    }

    /// Executes one operation of a transaction at the current revision.
    fn execute_operation(&mut self, operation: &Operation) -> Value {
        if let Some(put) = &operation.put {
            self.put(put);
            return json!({"response_put": {}});
        }
        if let Some(delete) = &operation.delete {
            let deleted = self.delete_keys(delete);
            return json!({"response_delete_range": {"deleted": deleted.to_string()}});
        }
        let range = operation.range.clone().unwrap_or_default();
        json!({"response_range": self.range(&range)})
    }

    /// Writes a key at the current revision.
    fn put(&mut self, put: &PutRequest) {
        let key = decode(&put.key);
        let create_revision =
            self.keys.get(&key).map_or(self.revision, |stored| stored.create_revision);
        let stored = StoredValue {
            create_revision,
            lease: parse_number(put.lease.as_ref()),
            mod_revision: self.revision,
            value: decode(&put.value),
        };
        self.keys.insert(key.clone(), stored.clone());
        self.history.push(ChangeRecord { key, revision: self.revision, stored: Some(stored) });
    }

    /// Deletes keys at the current revision and returns their number.
    fn delete_keys(&mut self, delete: &DeleteRequest) -> usize {
        let found = self.select(&decode(&delete.key), &decode(&delete.range_end));
        let keys: Vec<Vec<u8>> = found.into_iter().map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.delete_key(key);
        }
        keys.len()
    }

    /// Deletes the keys of a lease at a new revision, if there are any.
    fn delete_leased_keys(&mut self, id: i64) {
        let keys = self.keys.iter().filter(|(_, stored)| stored.lease == id);
        let keys: Vec<Vec<u8>> = keys.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in &keys {
            self.delete_key(key);
        }
    }

    /// Deletes a key at the current revision.
    fn delete_key(&mut self, key: &[u8]) {
        self.keys.remove(key);
        let (key, revision) = (key.to_vec(), self.revision);
        self.history.push(ChangeRecord { key, revision, stored: None });
    }

    /// Selects the key `key` if `range_end` is empty, or all keys in `key..range_end`.
    fn select(&self, key: &[u8], range_end: &[u8]) -> Vec<(&Vec<u8>, &StoredValue)> {
        if range_end.is_empty() {
            return self.keys.get_key_value(key).into_iter().collect();
        }
        self.keys
            .range(key.to_vec()..)
            .take_while(|(found, _)| found.as_slice() < range_end)
            .collect()
    }
}

/// Encodes a stored key with its value.
pub(super) fn encode_key_value(key: &[u8], stored: &StoredValue) -> KeyValueMessage {
    KeyValueMessage {
        create_revision: stored.create_revision.to_string(),
        key: encode(key),
        lease: stored.lease.to_string(),
        mod_revision: stored.mod_revision.to_string(),
        value: encode(&stored.value),
    }
}

/// Returns whether a key equals `key` if `range_end` is empty, or is in `key..range_end`.
fn in_range(found: &[u8], key: &[u8], range_end: &[u8]) -> bool {
    if range_end.is_empty() { found == key } else { found >= key && found < range_end }
}
