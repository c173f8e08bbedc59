//! A job's record in the store, over as many keys as it needs.

use cv_dispatch::JobSpec;
use serde::Deserialize;
use serde::Serialize;

use crate::CoordinationStore;
use crate::ExpectedKey;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::StorePut;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::stored_keys::job_key;
use crate::keeper::stored_keys::overflow_key;
use crate::keeper::stored_keys::overflow_prefix;

/// Most bytes of a job under one key: a page of the store's answers holds a megabyte, in base64.
const MAX_PART_BYTES: usize = 700_000;

/// What the job's own key holds: the first part, and how many there are besides.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct JobRecord {
    first: Vec<u8>,
    others: usize,
}

impl JobRecord {
    /// Makes the write that accepts a job, unless it has been accepted before.
    ///
    /// # Errors
    /// The job cannot be encoded.
    pub fn create(spec: &JobSpec) -> Result<StoreCommit, postcard::Error> {
        let bytes = postcard::to_stdvec(spec)?;
        let (first, rest) = bytes.split_at(bytes.len().min(MAX_PART_BYTES));
        let rest: Vec<&[u8]> = rest.chunks(MAX_PART_BYTES).collect();
        let record = Self { first: first.to_vec(), others: rest.len() };
        let put = |key: String, value: Vec<u8>| StorePut { key, lease: 0, value };
        let mut puts = vec![put(job_key(&spec.id), postcard::to_stdvec(&record)?)];
        let numbered = rest.iter().enumerate();
        puts.extend(
            numbered.map(|(part, value)| put(overflow_key(&spec.id, part), value.to_vec())),
        );
        let expected = vec![ExpectedKey { key: job_key(&spec.id), revision: 0 }];
        Ok(StoreCommit { expected, puts, removals: Vec::new() })
    }

    /// Decodes what the job's own key holds.
    ///
    /// # Errors
    /// The value is damaged.
    pub fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(value)
    }

    /// Tells whether the other parts are needed to read the job.
    pub fn is_split(&self) -> bool {
        self.others > 0
    }

    /// Returns the job of a record that is not split.
    ///
    /// # Errors
    /// The record is damaged.
    pub fn spec(&self) -> Result<JobSpec, postcard::Error> {
        postcard::from_bytes(&self.first)
    }

    /// Returns the job, with its other parts from the store if it is split.
    ///
    /// # Errors
    /// Faults of the store; `Invalid` if parts are missing or damaged.
    pub async fn read<P: PlatformAdapter>(
        &self,
        state: &KeeperState<P>,
        job: &str,
    ) -> Result<JobSpec, StoreFault> {
        let mut bytes = self.first.clone();
        if self.is_split() {
            let read =
                state.view.store_health.observe(state.store.range(&overflow_prefix(job)).await)?;
            if read.items.len() != self.others {
                let found = read.items.len();
                let detail = format!("{found} of {} other parts of job {job}", self.others);
                return Err(StoreFault::Invalid(detail));
            }
            bytes.extend(read.items.into_iter().flat_map(|item| item.value));
        }
        postcard::from_bytes(&bytes).map_err(|fault| StoreFault::Invalid(fault.to_string()))
    }
}
