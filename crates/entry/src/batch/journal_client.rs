//! Access to the journals on the local disk and at peers.

use std::rc::Rc;
use std::time::Duration;

use cv_control::AppendResponse;
use cv_control::JournalPage;
use cv_control::call_context;
use cv_key_value::InstanceRecord;
use cv_policy::batch::JournalRecord;
use cv_policy::stable_hash;
use cv_storage::JournalFault;
use cv_storage::JournalStore;
use futures::future::join_all;

use crate::entry_state::EntryState;

/// Timeout for a peer to append and sync records.
const APPEND_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout for a peer to read a page.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Reads and writes journals on the local disk and, over the control protocol, at peers.
#[derive(Clone)]
pub(crate) struct JournalClient {
    state: Rc<EntryState>,
    store: Option<JournalStore>,
}

impl JournalClient {
    /// Creates a client; `store` is `None` on an instance without a disk.
    pub fn new(state: Rc<EntryState>, store: Option<JournalStore>) -> Self {
        Self { state, store }
    }

    /// Returns the store on the local disk.
    pub fn local_store(&self) -> Option<&JournalStore> {
        self.store.as_ref()
    }

    /// Chooses the instances that replicate a journal besides the `current` ones, in different
    /// zones where possible.
    ///
    /// Returns at most as many as are missing from the configured number of replicas.
    pub fn choose_replicas(&self, journal: &str, current: &[String]) -> Vec<String> {
        let mut candidates = self.entries_with_disk();
        candidates.retain(|record| !current.contains(&record.name));
        candidates.sort_by_cached_key(|record| stable_hash(&[journal, &record.name]));
        let missing = self.state.section.replicas.saturating_sub(current.len());
        let mut chosen: Vec<InstanceRecord> = Vec::new();
        for other_zone in [true, false] {
            for candidate in &candidates {
                let is_chosen = chosen.iter().any(|row| row.name == candidate.name);
                let same_zone = chosen.iter().any(|row| row.zone == candidate.zone);
                if chosen.len() < missing && !is_chosen && !(other_zone && same_zone) {
                    chosen.push(candidate.clone());
                }
            }
        }
        chosen.into_iter().map(|record| record.name).collect()
    }

    /// Appends records to all replicas and returns the names of those that have synced them.
    pub async fn append(
        &self,
        replicas: &[String],
        journal: &str,
        records: &[JournalRecord],
    ) -> Vec<String> {
        let encoded: Vec<Vec<u8>> = records.iter().filter_map(encode_record).collect();
        if encoded.len() < records.len() {
            return Vec::new();
        }
        let appends = replicas.iter().map(|replica| {
            let encoded = encoded.clone();
            async move { self.append_to(replica, journal, encoded).await.then(|| replica.clone()) }
        });
        join_all(appends).await.into_iter().flatten().collect()
    }

    /// Appends encoded records to one replica; returns whether it has synced them.
    pub async fn append_to(&self, replica: &str, journal: &str, records: Vec<Vec<u8>>) -> bool {
        if replica == self.state.settings.name {
            return match &self.store {
                Some(store) => store.append(journal, records).await.is_ok(),
                None => false,
            };
        }
        let Some(address) = self.control_address(replica) else {
            return false;
        };
        let Ok(client) = self.state.peers.client(address).await else {
            return false;
        };
        let context = call_context(APPEND_TIMEOUT);
        let response =
            client.append(context, self.state.call_metadata(), journal.to_owned(), records).await;
        if response.is_err() {
            self.state.peers.forget(address);
        }
        matches!(response, Ok(AppendResponse::Synced))
    }

    /// Reads the page at `position` from one replica; `None` if the read fails.
    pub async fn read_from(
        &self,
        replica: &str,
        journal: &str,
        position: u64,
    ) -> Option<JournalPage> {
        if replica == self.state.settings.name {
            let store = self.store.as_ref()?;
            return read_local_page(store, journal, position).await.ok();
        }
        let address = self.control_address(replica)?;
        let client = self.state.peers.client(address).await.ok()?;
        let context = call_context(READ_TIMEOUT);
        let response =
            client.read(context, self.state.call_metadata(), journal.to_owned(), position).await;
        if response.is_err() {
            self.state.peers.forget(address);
        }
        response.ok()?
    }

    /// Removes a journal from one replica if that replica can be reached.
    pub async fn remove_from(&self, replica: &str, journal: &str) {
        if replica == self.state.settings.name {
            if let Some(store) = &self.store {
                store.remove(journal).await;
            }
            return;
        }
        let Some(address) = self.control_address(replica) else {
            return;
        };
        if let Ok(client) = self.state.peers.client(address).await {
            let context = call_context(APPEND_TIMEOUT);
            // The journal may remain on a replica that cannot be reached.
            let _ = client.remove(context, self.state.call_metadata(), journal.to_owned()).await;
        }
    }

    /// Returns the entries that have a disk and are not draining, including this one.
    fn entries_with_disk(&self) -> Vec<InstanceRecord> {
        let mut candidates = self.state.other_entries();
        candidates.retain(|record| record.disk && !record.draining);
        if self.store.is_some() {
            let settings = &self.state.settings;
            candidates.push(InstanceRecord {
                control: settings.control_listen,
                data: settings.listen,
                disk: true,
                draining: false,
                name: settings.name.clone(),
                role: "entry".to_owned(),
                service: String::new(),
                zone: settings.zone.clone(),
            });
        }
        candidates
    }

    /// Returns the control address of a peer.
    fn control_address(&self, name: &str) -> Option<std::net::SocketAddr> {
        let instances = self.state.instances.borrow();
        instances.iter().find(|record| record.name == name).map(|record| record.control)
    }

    /// Copies a journal from one replica to another; returns whether it was copied to its end.
    pub async fn copy(&self, from: &str, to: &str, journal: &str) -> bool {
        let mut position = 0;
        loop {
            let Some(page) = self.read_from(from, journal, position).await else {
                return false;
            };
            if page.records.is_empty() {
                return position > 0;
            }
            if !self.append_to(to, journal, page.records).await {
                return false;
            }
            position = page.next_position;
        }
    }
}

/// Reads a page of a journal from the local disk; damaged records are skipped and logged.
pub(crate) async fn read_local_page(
    store: &JournalStore,
    journal: &str,
    position: u64,
) -> Result<JournalPage, JournalFault> {
    let page = store.read(journal, position, MAX_PAGE_BYTES).await?;
    if page.corrupt_records > 0 {
        log::error!("skipped {} damaged record(s) of journal {journal}", page.corrupt_records);
    }
    Ok(JournalPage { next_position: page.next_position, records: page.records })
}

/// Encodes a record; `None` if the encoding fails.
fn encode_record(record: &JournalRecord) -> Option<Vec<u8>> {
    postcard::to_stdvec(record).ok()
}

/// Decodes a record; `None` if the bytes are not a valid record.
pub(crate) fn decode_record(bytes: &[u8]) -> Option<JournalRecord> {
    postcard::from_bytes(bytes).ok()
}
