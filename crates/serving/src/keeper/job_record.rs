//! A job's record in the store, split over several keys if it is large.

use cv_dispatch::AcceptedRoute;
use cv_dispatch::JobSpec;
use serde::Deserialize;
use serde::Serialize;

use crate::CoordinationStore;
use crate::ExpectedKey;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::StorePut;
use crate::keeper::accepted_job::AcceptedJob;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::stored_keys::job_key;
use crate::keeper::stored_keys::overflow_key;
use crate::keeper::stored_keys::overflow_prefix;
use crate::keeper::stored_keys::with_work_marker;

/// Maximum size of the part of a job under one key, in bytes. A page of the store's responses holds
/// a megabyte, in base64.
const MAX_PART_BYTES: usize = 700_000;

/// Value of a job's own key.
///
/// The route follows the job parts: versions that record no routes write only the parts, and ignore
/// what follows them.
#[derive(Debug)]
pub(crate) struct JobRecord {
    parts: JobParts,
    /// The route that accepted the job, if it is recorded.
    pub route: Option<AcceptedRoute>,
}

/// What a job's own key holds of the encoded job.
#[derive(Debug, Deserialize, Serialize)]
struct JobParts {
    /// First part of the encoded job.
    first: Vec<u8>,
    /// Number of overflow parts.
    others: usize,
}

impl JobRecord {
    /// Returns the write that accepts a job; it conflicts if the job has been accepted before.
    ///
    /// # Errors
    /// The job cannot be encoded.
    pub fn create_commit(job: &AcceptedJob) -> Result<StoreCommit, postcard::Error> {
        let AcceptedJob { route, spec } = job;
        let bytes = postcard::to_stdvec(spec)?;
        let (first, overflow) = bytes.split_at(bytes.len().min(MAX_PART_BYTES));
        let overflow: Vec<&[u8]> = overflow.chunks(MAX_PART_BYTES).collect();
        let parts = JobParts { first: first.to_vec(), others: overflow.len() };
        let record = Self { parts, route: route.clone() };
        let put = |key: String, value: Vec<u8>| StorePut { key, lease: 0, value };
        let mut puts = vec![put(job_key(&spec.id), record.encode()?)];
        let numbered = overflow.iter().enumerate();
        puts.extend(
            numbered.map(|(part, value)| put(overflow_key(&spec.id, part), value.to_vec())),
        );
        let expected = vec![ExpectedKey { key: job_key(&spec.id), revision: 0 }];
        Ok(with_work_marker(StoreCommit { expected, puts, removals: Vec::new() }))
    }

    /// Decodes the value of a job's own key.
    ///
    /// # Errors
    /// The value is not a job record.
    pub fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        let (parts, rest) = postcard::take_from_bytes(value)?;
        let route = if rest.is_empty() { None } else { Some(postcard::from_bytes(rest)?) };
        Ok(Self { parts, route })
    }

    /// Encodes the value of a job's own key.
    ///
    /// # Errors
    /// The record cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut value = postcard::to_stdvec(&self.parts)?;
        if let Some(route) = &self.route {
            value.extend(postcard::to_stdvec(route)?);
        }
        Ok(value)
    }

    /// Reads a job's record from the store; `None` if the job does not exist.
    ///
    /// # Errors
    /// Faults of the store; `Invalid` if the value is not a job record.
    pub async fn fetch<P: PlatformAdapter>(
        state: &KeeperState<P>,
        job_id: &str,
    ) -> Result<Option<Self>, StoreFault> {
        let read = state.store.get(&job_key(job_id)).await;
        let item = state.view.store_health.observe(read)?;
        let record = item.map(|item| Self::decode(&item.value)).transpose();
        record.map_err(|fault| StoreFault::Invalid(fault.to_string()))
    }

    /// Returns whether the job has overflow parts under other keys.
    pub fn is_split(&self) -> bool {
        self.parts.others > 0
    }

    /// Decodes the job of a record that is not split.
    ///
    /// # Errors
    /// The bytes are not a job.
    pub fn decode_job(&self) -> Result<AcceptedJob, postcard::Error> {
        let spec: JobSpec = postcard::from_bytes(&self.parts.first)?;
        Ok(AcceptedJob { route: self.route.clone(), spec })
    }

    /// Decodes the job, after reading its overflow parts from the store if it is split.
    ///
    /// # Errors
    /// Faults of the store; `Invalid` if parts are missing or the bytes are not a job.
    pub async fn read_job<P: PlatformAdapter>(
        &self,
        state: &KeeperState<P>,
        job_id: &str,
    ) -> Result<AcceptedJob, StoreFault> {
        let mut bytes = self.parts.first.clone();
        if self.is_split() {
            let snapshot = state
                .view
                .store_health
                .observe(state.store.range(&overflow_prefix(job_id)).await)?;
            if snapshot.items.len() != self.parts.others {
                let found = snapshot.items.len();
                let detail = format!(
                    "found {found} of {} overflow parts of job {job_id}",
                    self.parts.others
                );
                return Err(StoreFault::Invalid(detail));
            }
            bytes.extend(snapshot.items.into_iter().flat_map(|item| item.value));
        }
        let spec: JobSpec =
            postcard::from_bytes(&bytes).map_err(|fault| StoreFault::Invalid(fault.to_string()))?;
        Ok(AcceptedJob { route: self.route.clone(), spec })
    }
}
