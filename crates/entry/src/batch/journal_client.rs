//! Journals on this instance's disk and on those of its peers.

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

/// Longest time that a peer has to sync records.
const APPEND_PATIENCE: Duration = Duration::from_secs(4);

/// Longest time that a peer has to read a page.
const READ_PATIENCE: Duration = Duration::from_secs(4);

/// Bytes of one page.
const PAGE_BYTES: usize = 1024 * 1024;

/// Reads and writes journals wherever they are.
#[derive(Clone)]
pub(crate) struct JournalClient {
    state: Rc<EntryState>,
    store: Option<JournalStore>,
}

impl JournalClient {
    /// Creates a link; an instance without a disk has no store.
    pub fn new(state: Rc<EntryState>, store: Option<JournalStore>) -> Self {
        Self { state, store }
    }

    /// Returns this instance's own journals.
    pub fn local_store(&self) -> Option<&JournalStore> {
        self.store.as_ref()
    }

    /// Picks the instances that shall hold a new journal, in different zones where possible.
    pub fn pick_replicas(&self, journal: &str, without: &[String]) -> Vec<String> {
        let mut disks = self.disks();
        disks.retain(|record| !without.contains(&record.name));
        disks.sort_by_cached_key(|record| stable_hash(&[journal, &record.name]));
        let wanted = self.state.section.replicas.saturating_sub(without.len());
        let mut picked: Vec<InstanceRecord> = Vec::new();
        for other_zone in [true, false] {
            for disk in &disks {
                let known = picked.iter().any(|row| row.name == disk.name);
                let same = picked.iter().any(|row| row.zone == disk.zone);
                if picked.len() < wanted && !known && !(other_zone && same) {
                    picked.push(disk.clone());
                }
            }
        }
        picked.into_iter().map(|record| record.name).collect()
    }

    /// Appends records on all replicas and returns the names of those that have synced them.
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
        let writes = replicas.iter().map(|replica| {
            let encoded = encoded.clone();
            async move { self.append_at(replica, journal, encoded).await.then(|| replica.clone()) }
        });
        join_all(writes).await.into_iter().flatten().collect()
    }

    /// Appends encoded records on one replica; tells whether it has synced them.
    pub async fn append_at(&self, replica: &str, journal: &str, records: Vec<Vec<u8>>) -> bool {
        if replica == self.state.settings.name {
            return match &self.store {
                Some(store) => store.append(journal, records).await.is_ok(),
                None => false,
            };
        }
        let Some(address) = self.control_of(replica) else {
            return false;
        };
        let Ok(client) = self.state.peers.client(address).await else {
            return false;
        };
        let context = call_context(APPEND_PATIENCE);
        let answer =
            client.append(context, self.state.call_metadata(), journal.to_owned(), records).await;
        if answer.is_err() {
            self.state.peers.forget(address);
        }
        matches!(answer, Ok(AppendResponse::Synced))
    }

    /// Reads a page of a journal on one replica; `None` if the replica does not have it.
    pub async fn read_at(
        &self,
        replica: &str,
        journal: &str,
        position: u64,
    ) -> Option<JournalPage> {
        if replica == self.state.settings.name {
            let store = self.store.as_ref()?;
            return read_local_page(store, journal, position).await.ok();
        }
        let address = self.control_of(replica)?;
        let client = self.state.peers.client(address).await.ok()?;
        let context = call_context(READ_PATIENCE);
        let answer =
            client.read(context, self.state.call_metadata(), journal.to_owned(), position).await;
        if answer.is_err() {
            self.state.peers.forget(address);
        }
        answer.ok()?
    }

    /// Removes a journal on one replica.
    pub async fn remove_at(&self, replica: &str, journal: &str) {
        if replica == self.state.settings.name {
            if let Some(store) = &self.store {
                store.remove(journal).await;
            }
            return;
        }
        let Some(address) = self.control_of(replica) else {
            return;
        };
        if let Ok(client) = self.state.peers.client(address).await {
            let context = call_context(APPEND_PATIENCE);
            // What stays is removed by the replica's own sweep.
            let _ = client.remove(context, self.state.call_metadata(), journal.to_owned()).await;
        }
    }

    /// Returns the entries that have a disk, this one among them.
    fn disks(&self) -> Vec<InstanceRecord> {
        let mut disks = self.state.other_entries();
        disks.retain(|record| record.disk && !record.draining);
        if self.store.is_some() {
            let settings = &self.state.settings;
            disks.push(InstanceRecord {
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
        disks
    }

    /// Returns where a peer takes control calls.
    fn control_of(&self, name: &str) -> Option<std::net::SocketAddr> {
        let instances = self.state.instances.borrow();
        instances.iter().find(|record| record.name == name).map(|record| record.control)
    }

    /// Copies a journal from one replica to another; tells whether it is whole.
    pub async fn copy(&self, from: &str, to: &str, journal: &str) -> bool {
        let mut position = 0;
        loop {
            let Some(page) = self.read_at(from, journal, position).await else {
                return false;
            };
            if page.records.is_empty() {
                return position > 0;
            }
            if !self.append_at(to, journal, page.records).await {
                return false;
            }
            position = page.next_position;
        }
    }
}

/// Reads a page of a journal on this instance's disk.
pub(crate) async fn read_local_page(
    store: &JournalStore,
    journal: &str,
    position: u64,
) -> Result<JournalPage, JournalFault> {
    let page = store.read(journal, position, PAGE_BYTES).await?;
    if page.corrupt_records > 0 {
        log::error!("journal {journal}: {} damaged record(s) skipped", page.corrupt_records);
    }
    Ok(JournalPage { next_position: page.next_position, records: page.records })
}

/// Encodes a record.
fn encode_record(record: &JournalRecord) -> Option<Vec<u8>> {
    postcard::to_stdvec(record).ok()
}

/// Decodes a record; `None` for bytes that are none.
pub(crate) fn decode_record(bytes: &[u8]) -> Option<JournalRecord> {
    postcard::from_bytes(bytes).ok()
}
