//! Takes over jobs that nobody owns and finds out how far they had got.

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
use super::job_view::OpenJob;
use super::journal_client::JournalClient;
use super::journal_client::decode_record;
use crate::entry_state::EntryState;

/// Longest time to settle a claim.
const CLAIM_PATIENCE: Duration = Duration::from_secs(3);

/// Pause before journals that could not be read are tried again.
const RECOVERY_PAUSE: Duration = Duration::from_millis(300);

/// Tries to read enough journals before the claim is given up.
const RECOVERY_TRIES: u32 = 20;

/// What is read of a job before it runs.
pub(crate) struct RecoveredJob {
    /// Position of the page that holds each chunk's lines, sorted by chunk.
    pub chunk_pages: Vec<(u32, u64)>,
    /// How far the job had got.
    pub recovery: JobRecovery,
    /// Results of chunks that are not committed, sorted by item.
    pub results: Vec<ItemResult>,
}

/// Claims jobs for an instance.
pub(crate) struct JobClaims {
    /// The lease under which jobs are owned.
    pub lease: Rc<InstanceLease>,
    /// Journals here and at peers.
    pub link: JournalClient,
    /// The entry.
    pub state: Rc<EntryState>,
    /// Unfinished jobs and live instances.
    pub view: Rc<JobView>,
}

impl JobClaims {
    /// Tells whether this instance should take a job over now.
    pub(super) fn should_claim(&self, job: &OpenJob) -> bool {
        let own = &self.state.settings.name;
        let Some(epoch) = self.lease.epoch() else {
            return false;
        };
        if !self.view.is_current() || !job.record.replicas.contains(own) {
            return false;
        }
        if let Some(owner) = &job.record.owner {
            let own_earlier_life = owner.instance == *own && owner.epoch != epoch;
            let gone = self.view.epoch_of(&owner.instance) != Some(owner.epoch);
            if !own_earlier_life && !gone {
                return false;
            }
        }
        // Of the replicas that live, the first in the job's own order takes it.
        let replicas = job.record.replicas.iter();
        let live = replicas.filter(|name| *name == own || self.view.epoch_of(name).is_some());
        let first = live.min_by_key(|name| stable_hash(&[&job.record.id, name]));
        first == Some(own)
    }

    /// Takes a job over; returns it with its new revision, or `None` if somebody was faster.
    pub(super) async fn claim(
        &self,
        client: &KeyValueClient,
        job: &OpenJob,
        epoch: u64,
    ) -> Result<Option<OpenJob>, KeyValueFault> {
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
        let answer = client
            .transact_with_retry(CallPurpose::Commit, &transaction, &value, CLAIM_PATIENCE)
            .await?;
        Ok(match answer {
            WriteOutcome::Done(revision) => Some(OpenJob { record, revision }),
            WriteOutcome::Conflict(_) => None,
        })
    }

    /// Reads how far a claimed job had got; `None` if too few journals can be read.
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
        self.restore_own_journals(record).await;
        // A record counts as kept on `min_replicas` disks, so one of this many must have it.
        let needed =
            (record.replicas.len() + 1).saturating_sub(self.state.section.min_replicas).max(1);
        let mut read: Vec<&String> = Vec::new();
        for _ in 0..RECOVERY_TRIES {
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
            monoio::time::sleep(RECOVERY_PAUSE).await;
        }
        Ok(None)
    }

    /// Reads a whole journal of a job into the recovery; tells whether that succeeded.
    async fn read_journal(
        &self,
        replica: &str,
        record: &JobRecord,
        recovery: &mut JobRecovery,
    ) -> bool {
        let mut position = 0;
        loop {
            let Some(page) = self.link.read_at(replica, &record.id, position).await else {
                return false;
            };
            if page.records.is_empty() {
                return position > 0;
            }
            for bytes in &page.records {
                match decode_record(bytes) {
                    Some(record) => recovery.add_record(record),
                    None => log::error!("journal {}: a record cannot be decoded", record.id),
                }
            }
            position = page.next_position;
        }
    }

    /// Finds the pages of this instance's own journal that hold the lines of each chunk.
    async fn find_chunk_pages(&self, record: &JobRecord) -> Vec<(u32, u64)> {
        let own = &self.state.settings.name;
        let mut pages = Vec::new();
        let mut position = 0;
        while let Some(page) = self.link.read_at(own, &record.file, position).await {
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

    /// Copies the journals from a peer where this instance has lost its own.
    async fn restore_own_journals(&self, record: &JobRecord) {
        let own = &self.state.settings.name;
        for journal in [&record.file, &record.id] {
            if self.link.read_at(own, journal, 0).await.is_some_and(|page| page.next_position > 0) {
                continue;
            }
            for replica in record.replicas.iter().filter(|name| *name != own) {
                if self.link.copy(replica, own, journal).await {
                    log::warn!("journal {journal} restored from {replica}");
                    break;
                }
            }
        }
    }
}

/// Lists the recovered results in the order of their items.
fn recovered_results(record: &JobRecord, recovery: &JobRecovery) -> Vec<ItemResult> {
    let items = 0..record.items;
    items.filter_map(|item| recovery.result_of(item).cloned()).collect()
}
