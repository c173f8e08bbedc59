//! Claims jobs without a live owner and recovers their progress from the journals.

use std::rc::Rc;
use std::time::Duration;

use cv_key_value::CallPurpose;
use cv_key_value::KeyRange;
use cv_key_value::KeyValueClient;
use cv_key_value::KeyValueFault;
use cv_key_value::Transaction;
use cv_key_value::WriteOutcome;
use cv_policy::batch::ChunkCommit;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JobOwner;
use cv_policy::batch::JobRecord;
use cv_policy::batch::JobRecovery;
use cv_policy::batch::JournalRecord;
use cv_policy::stable_hash;

use super::instance_lease::InstanceLease;
use super::job_view::JobView;
use super::job_view::StoredJob;
use super::journal_client::JournalClient;
use super::journal_client::decode_record;
use crate::entry_state::EntryState;

/// Timeout for the transaction that claims a job.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before unreadable journals are read again.
const RECOVERY_DELAY: Duration = Duration::from_millis(300);

/// Attempts to read enough journals before the recovery is abandoned.
const RECOVERY_ATTEMPTS: u32 = 20;

/// Progress of a claimed job, as recovered from its journals.
pub(crate) struct RecoveredJob {
    /// Chunk and position of the journal page that holds its input lines, sorted by chunk.
    pub chunk_pages: Vec<(u32, u64)>,
    /// Recovered attempts, results and chunk commits, for the job table.
    pub recovery: JobRecovery,
    /// Results of uncommitted chunks, sorted by item.
    pub results: Vec<ItemResult>,
}

/// Claims and recovers jobs on behalf of an instance.
pub(crate) struct JobClaimer {
    /// Lease whose epoch fences the claims.
    pub lease: Rc<InstanceLease>,
    /// Access to the journals on the local disk and at peers.
    pub journals: JournalClient,
    /// Shared state of the entry.
    pub state: Rc<EntryState>,
    /// Unfinished jobs and live instances, as reported by the watches.
    pub view: Rc<JobView>,
}

impl JobClaimer {
    /// Returns whether this instance should claim a job now.
    pub(super) fn should_claim(&self, job: &StoredJob) -> bool {
        let own = &self.state.settings.name;
        let Some(epoch) = self.lease.epoch() else {
            return false;
        };
        if !self.view.is_current() || !job.record.replicas.contains(own) {
            return false;
        }
        if let Some(owner) = &job.record.owner {
            let own_previous_epoch = owner.instance == *own && owner.epoch != epoch;
            let owner_gone = self.view.epoch_of(&owner.instance) != Some(owner.epoch);
            if !own_previous_epoch && !owner_gone {
                return false;
            }
        }
        // Rendezvous hashing picks one of the live replicas, so that the instances do not compete.
        let replicas = job.record.replicas.iter();
        let live = replicas.filter(|name| *name == own || self.view.epoch_of(name).is_some());
        let first = live.min_by_key(|name| stable_hash(&[&job.record.id, name]));
        first == Some(own)
    }

    /// Claims a job and returns it with its new revision; `None` if the job changed meanwhile or
    /// this instance lost its lease.
    pub(super) async fn claim(
        &self,
        client: &KeyValueClient,
        job: &StoredJob,
        epoch: u64,
    ) -> Result<Option<StoredJob>, KeyValueFault> {
        let mut record = job.record.clone();
        let instance = self.state.settings.name.clone();
        record.owner = Some(JobOwner { epoch, instance });
        record.write_id = self.state.new_id();
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let key = JobRecord::key_of(&record.id);
        let transaction = Transaction::for_key(&key)
            .if_revision(&key, job.revision)
            .if_revision(&self.lease.key(), epoch)
            .put(&key, &value);
        let outcome = client
            .transact_with_retry(CallPurpose::Commit, &transaction, &value, CLAIM_TIMEOUT)
            .await?;
        Ok(match outcome {
            WriteOutcome::Done(revision) => Some(StoredJob { record, revision }),
            WriteOutcome::Conflict(_) => None,
        })
    }

    /// Recovers the progress of a claimed job; `None` if too few journals can be read.
    pub(super) async fn recover(
        &self,
        client: &KeyValueClient,
        record: &JobRecord,
    ) -> Result<Option<RecoveredJob>, KeyValueFault> {
        let mut recovery = JobRecovery::new(record.chunk_items);
        let range = KeyRange::Prefix(ChunkCommit::prefix_of(&record.id));
        let page = client.range(CallPurpose::Job, &range, 0).await?;
        for entry in &page.entries {
            let commit = serde_json::from_slice::<ChunkCommit>(&entry.value);
            if let (Some(chunk), Ok(commit)) = (ChunkCommit::chunk_of(&entry.key), commit) {
                recovery.add_commit(chunk, &commit);
            }
        }
        self.restore_local_journals(record).await;
        // A durable record is on at least `min_replicas` replicas, so any `needed` replicas include
        // one that has it.
        let needed =
            (record.replicas.len() + 1).saturating_sub(self.state.section.min_replicas).max(1);
        let mut read: Vec<&String> = Vec::new();
        for _ in 0..RECOVERY_ATTEMPTS {
            for replica in &record.replicas {
                if !read.contains(&replica)
                    && self.read_journal(replica, record, &mut recovery).await
                {
                    read.push(replica);
                }
            }
            if read.len() >= needed {
                let chunk_pages = self.find_chunk_pages(record).await;
                let results = recovered_results(record, &recovery);
                return Ok(Some(RecoveredJob { chunk_pages, recovery, results }));
            }
            monoio::time::sleep(RECOVERY_DELAY).await;
        }
        Ok(None)
    }

    /// Adds the records of a replica's journal to the recovery; returns whether the journal exists
    /// and was read to its end.
    async fn read_journal(
        &self,
        replica: &str,
        record: &JobRecord,
        recovery: &mut JobRecovery,
    ) -> bool {
        let mut position = 0;
        loop {
            let Some(page) = self.journals.read_from(replica, &record.id, position).await else {
                return false;
            };
            if page.records.is_empty() {
                return position > 0;
            }
            for bytes in &page.records {
                match decode_record(bytes) {
                    Some(record) => recovery.add_record(record),
                    None => log::error!(
                        "skipped a record of journal {} at {replica} that could not be decoded",
                        record.id,
                    ),
                }
            }
            position = page.next_position;
        }
    }

    /// Returns each chunk with the position of the page of the local journal that holds its input
    /// lines, sorted by chunk.
    async fn find_chunk_pages(&self, record: &JobRecord) -> Vec<(u32, u64)> {
        let own = &self.state.settings.name;
        let mut pages = Vec::new();
        let mut position = 0;
        while let Some(page) = self.journals.read_from(own, &record.file, position).await {
            if page.records.is_empty() {
                break;
            }
            for bytes in &page.records {
                if let Some(JournalRecord::Items { first, .. }) = decode_record(bytes) {
                    pages.push((first / record.chunk_items.max(1), position));
                }
            }
            position = page.next_position;
        }
        pages.sort_unstable();
        pages
    }

    /// Copies the journals that are missing on the local disk from another replica.
    async fn restore_local_journals(&self, record: &JobRecord) {
        let own = &self.state.settings.name;
        for journal in [&record.file, &record.id] {
            if self
                .journals
                .read_from(own, journal, 0)
                .await
                .is_some_and(|page| page.next_position > 0)
            {
                continue;
            }
            for replica in record.replicas.iter().filter(|name| *name != own) {
                if self.journals.copy(replica, own, journal).await {
                    log::warn!(
                        "restored journal {journal}, missing on the local disk, from {replica}"
                    );
                    break;
                }
            }
        }
    }
}

/// Returns the recovered results, sorted by item.
fn recovered_results(record: &JobRecord, recovery: &JobRecovery) -> Vec<ItemResult> {
    let items = 0..record.items;
    items.filter_map(|item| recovery.result_of(item).cloned()).collect()
}
