//! The batch API: files and batches, compatible with clients of OpenAI-style completion servers.

use std::rc::Rc;
use std::time::Duration;

use cv_control::CancelResponse;
use cv_control::call_context;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_key_value::CallPurpose;
use cv_key_value::KeyRange;
use cv_key_value::KeyValueClient;
use cv_key_value::KeyValueFault;
use cv_key_value::Transaction;
use cv_key_value::WriteOutcome;
use cv_policy::RequestKey;
use cv_policy::batch::FileRecord;
use cv_policy::batch::JobCounts;
use cv_policy::batch::JobRecord;
use cv_policy::batch::JobState;
use cv_policy::batch::JournalRecord;
use cv_policy::headers;
use cv_timeline::EventKind;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::batch_coordinator::BatchCoordinator;
use super::batch_objects::file_object;
use super::batch_objects::job_object;
use super::batch_objects::parse_window_ms;
use super::file_upload::FileUpload;
use super::file_upload::UploadFault;
use super::job_view::StoredJob;
use super::job_view::decode_job;
use super::result_stream::ResultKind;
use super::result_stream::committed_chunks;
use super::result_stream::stream_results;
use crate::caller_identity::CallerIdentity;
use crate::caller_response::CallerError;
use crate::caller_response::respond_findings;
use crate::caller_response::respond_json;

/// Maximum body size of a request other than an upload, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Timeout for the transaction that stores a file or job.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout for a job's owner to stop the job.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts to cancel a job whose record changes concurrently.
const CANCEL_ATTEMPTS: u32 = 5;

/// Maximum number of unfinished jobs, and of finished jobs, in one listing.
const MAX_LISTED_JOBS: usize = 1_000;

/// Default time from the acceptance of a job to its due time, in milliseconds.
const DEFAULT_DUE_MS: u64 = 24 * 3_600_000;

/// Body of the request that creates a batch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CreateBatch {
    /// Time until the job is due, such as `24h`; ignored if `due_ms` is present.
    completion_window: Option<String>,
    /// When the job is due, in milliseconds since the Unix epoch.
    due_ms: Option<u64>,
    /// Id of the uploaded input file.
    input_file_id: String,
    /// Priority within the organisation; higher values run first.
    priority: u8,
}

/// Handles a request to the batch API.
pub(crate) async fn handle_batch_request(
    coordinator: &Rc<BatchCoordinator>,
    exchange: &mut ServerExchange<'_>,
    path: &str,
    caller: &CallerIdentity,
) -> Result<(), HttpFault> {
    let request = BatchRequest { caller, coordinator };
    let Some(client) = &coordinator.state.key_value else {
        exchange.read_body(MAX_BODY_BYTES).await?;
        return request.unavailable("no key-value service is configured").respond(exchange).await;
    };
    let method = exchange.head().method.clone();
    let parts: Vec<&str> = path.trim_start_matches("/v1/").split('/').collect();
    if (&method, parts.as_slice()) == (&Method::POST, &["files"]) {
        return request.upload(exchange, client).await;
    }
    let body = exchange.read_body(MAX_BODY_BYTES).await?;
    let result = match (method, parts.as_slice()) {
        (Method::POST, ["batches"]) => request.create(exchange, client, &body).await,
        (Method::GET, ["batches"]) => request.list(exchange, client).await,
        (Method::GET, ["batches", id]) => request.show(exchange, client, id).await,
        (Method::POST, ["batches", id, "cancel"]) => request.cancel(exchange, client, id).await,
        (Method::GET, ["files", id]) => request.show_file(exchange, client, id).await,
        (Method::GET, ["files", id, "content"]) => request.content(exchange, client, id).await,
        _ => Ok(Err(request.not_found("no_such_path", "There is no such path."))),
    };
    match result {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => error.respond(exchange).await,
        Err(BatchFault::Http(fault)) => Err(fault),
        Err(BatchFault::KeyValue(fault)) => request.platform_error(&fault).respond(exchange).await,
    }
}

/// Fault that prevents a regular response.
enum BatchFault {
    /// The connection to the caller failed.
    Http(HttpFault),
    /// The key-value store failed.
    KeyValue(KeyValueFault),
}

impl From<HttpFault> for BatchFault {
    fn from(fault: HttpFault) -> Self {
        Self::Http(fault)
    }
}

impl From<KeyValueFault> for BatchFault {
    fn from(fault: KeyValueFault) -> Self {
        Self::KeyValue(fault)
    }
}

/// Outcome of a request: `Ok(Ok(()))` once the response is sent, or an error response to send.
type RequestResult = Result<Result<(), CallerError>, BatchFault>;

/// One API request and the caller that sent it.
struct BatchRequest<'a> {
    caller: &'a CallerIdentity,
    coordinator: &'a Rc<BatchCoordinator>,
}

impl BatchRequest<'_> {
    /// Stores an uploaded file.
    async fn upload(
        &self,
        exchange: &mut ServerExchange<'_>,
        client: &KeyValueClient,
    ) -> Result<(), HttpFault> {
        let state = &self.coordinator.state;
        let id = format!("file-{}", state.new_id());
        let config = state.config.borrow().config().clone();
        let section = &state.section;
        let (chunk_items, min_replicas) = (section.chunk_items, section.min_replicas);
        let journals = &self.coordinator.journals;
        let upload = FileUpload::new(journals, &config, &id, chunk_items, min_replicas);
        let mut record = match upload.receive(exchange).await {
            Ok(record) => record,
            Err(UploadFault::Http(fault)) => return Err(fault),
            Err(UploadFault::Findings(findings)) => {
                return respond_findings(exchange, "invalid_file", &findings).await;
            }
            Err(UploadFault::TooFewReplicas) => {
                exchange.close_afterwards();
                let error = self.unavailable("too few disks can keep the file now");
                return error.respond(exchange).await;
            }
        };
        record.created_ms = state.clock.wall_millis();
        record.organisation.clone_from(&self.caller.organisation);
        record.write_id = state.new_id();
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let key = FileRecord::key_of(&id);
        let transaction = Transaction::for_key(&key).if_revision(&key, 0).put(&key, &value);
        let purpose = CallPurpose::Job;
        let outcome =
            client.transact_with_retry(purpose, &transaction, &value, WRITE_TIMEOUT).await;
        match outcome {
            Ok(_) => respond_json(exchange, StatusCode::OK, &file_object(&record)).await,
            Err(fault) => self.platform_error(&fault).respond(exchange).await,
        }
    }

    /// Creates a job, or returns the one that an earlier request with the same key created.
    async fn create(
        &self,
        exchange: &mut ServerExchange<'_>,
        client: &KeyValueClient,
        body: &[u8],
    ) -> RequestResult {
        let create: CreateBatch = match serde_json::from_slice(body) {
            Ok(create) => create,
            Err(error) => {
                let message = format!("The body is not a batch: {error}");
                let status = StatusCode::BAD_REQUEST;
                return Ok(Err(CallerError::not_run(status, "invalid_body", message)));
            }
        };
        let Some(file) = self.find_file(client, &create.input_file_id).await? else {
            return Ok(Err(self.not_found("no_such_file", "There is no such file.")));
        };
        let mut record = self.new_job_record(exchange, &create, &file);
        let opened = JournalRecord::Opened { job: record.id.clone() };
        let journals = &self.coordinator.journals;
        let synced = journals.append(&file.replicas, &record.id, &[opened]).await;
        if synced.len() < self.coordinator.state.section.min_replicas {
            return Ok(Err(self.unavailable("too few disks can keep the job now")));
        }
        record.replicas = synced;
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let (key, done_key) = (JobRecord::key_of(&record.id), JobRecord::done_key_of(&record.id));
        let transaction = Transaction::for_key(&key)
            .if_revision(&key, 0)
            .if_revision(&done_key, 0)
            .put(&key, &value);
        let purpose = CallPurpose::Job;
        let outcome =
            client.transact_with_retry(purpose, &transaction, &value, WRITE_TIMEOUT).await?;
        let accepted = match outcome {
            WriteOutcome::Done(_) => {
                let events = &self.coordinator.state.events;
                let detail = format!("items={}", record.items);
                events.record(EventKind::JobAccepted, &record.id, detail);
                record
            }
            WriteOutcome::Conflict(_) => match self.find_job(client, &record.id).await? {
                Some(known) if known.record.digest == record.digest => known.record,
                Some(_) => return Ok(Err(key_conflict())),
                None => return Ok(Err(self.unavailable("the job was removed just now"))),
            },
        };
        let counts = self.current_counts(&accepted).await?;
        respond_json(exchange, StatusCode::OK, &job_object(&accepted, counts)).await?;
        Ok(Ok(()))
    }

    /// Lists the jobs of the caller's organisation, unfinished ones first.
    async fn list(
        &self,
        exchange: &mut ServerExchange<'_>,
        client: &KeyValueClient,
    ) -> RequestResult {
        let mut data = Vec::new();
        for prefix in [JobRecord::prefix(), JobRecord::done_prefix()] {
            let range = KeyRange::Prefix(prefix.to_owned());
            let page = client.range(CallPurpose::Job, &range, MAX_LISTED_JOBS).await?;
            let jobs = page.entries.iter().filter_map(decode_job);
            let visible = jobs.filter(|job| job.record.organisation == self.caller.organisation);
            data.extend(visible.map(|job| job_object(&job.record, job.record.counts)));
        }
        respond_json(exchange, StatusCode::OK, &json!({"data": data, "object": "list"})).await?;
        Ok(Ok(()))
    }

    /// Returns a job to the caller.
    async fn show(
        &self,
        exchange: &mut ServerExchange<'_>,
        client: &KeyValueClient,
        id: &str,
    ) -> RequestResult {
        let Some(job) = self.find_own_job(client, id).await? else {
            return Ok(Err(self.not_found("no_such_batch", "There is no such batch.")));
        };
        let counts = self.current_counts(&job.record).await?;
        respond_json(exchange, StatusCode::OK, &job_object(&job.record, counts)).await?;
        Ok(Ok(()))
    }

    /// Cancels a job; the status in the response tells whether it has stopped already.
    async fn cancel(
        &self,
        exchange: &mut ServerExchange<'_>,
        client: &KeyValueClient,
        id: &str,
    ) -> RequestResult {
        for _ in 0..CANCEL_ATTEMPTS {
            let Some(job) = self.find_own_job(client, id).await? else {
                return Ok(Err(self.not_found("no_such_batch", "There is no such batch.")));
            };
            if job.record.is_ended() {
                let counts = job.record.counts;
                respond_json(exchange, StatusCode::OK, &job_object(&job.record, counts)).await?;
                return Ok(Ok(()));
            }
            if let Some(cancelling) = self.mark_cancelling(client, &job).await? {
                let record = self.stop_cancelled(client, cancelling).await?;
                let counts = self.current_counts(&record).await?;
                respond_json(exchange, StatusCode::OK, &job_object(&record, counts)).await?;
                return Ok(Ok(()));
            }
        }
        Ok(Err(self.unavailable("the job changes too often to be cancelled now")))
    }

    /// Stores the state `Cancelling`; `None` if the job has changed meanwhile.
    async fn mark_cancelling(
        &self,
        client: &KeyValueClient,
        job: &StoredJob,
    ) -> Result<Option<StoredJob>, KeyValueFault> {
        if job.record.state == JobState::Cancelling {
            return Ok(Some(job.clone()));
        }
        let mut record = job.record.clone();
        record.state = JobState::Cancelling;
        record.write_id = self.coordinator.state.new_id();
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let key = JobRecord::key_of(&record.id);
        let transaction =
            Transaction::for_key(&key).if_revision(&key, job.revision).put(&key, &value);
        let purpose = CallPurpose::Job;
        let outcome =
            client.transact_with_retry(purpose, &transaction, &value, WRITE_TIMEOUT).await?;
        Ok(match outcome {
            WriteOutcome::Done(revision) => Some(StoredJob { record, revision }),
            WriteOutcome::Conflict(_) => None,
        })
    }

    /// Stops a job at its owner, and moves it to its final state once the owner has confirmed.
    ///
    /// Returns the stored record, whose state stays `Cancelling` if the owner did not confirm.
    async fn stop_cancelled(
        &self,
        client: &KeyValueClient,
        job: StoredJob,
    ) -> Result<JobRecord, KeyValueFault> {
        let stopped = match &job.record.owner {
            None => true,
            Some(owner) if owner.instance == self.coordinator.state.settings.name => {
                self.coordinator.stop_cancelled(&job.record.id);
                true
            }
            Some(owner) => self.stop_at_owner(&owner.instance, &job.record.id).await,
        };
        if stopped {
            let (record, revision) = (&job.record, job.revision);
            self.coordinator.end_job(record, revision, JobState::Cancelled, None).await?;
        }
        // Another instance may have ended the job; the caller gets the stored state.
        let found = self.find_job(client, &job.record.id).await?;
        Ok(found.map_or(job.record, |found| found.record))
    }

    /// Asks the owner of a job to stop it; returns whether the owner has confirmed.
    async fn stop_at_owner(&self, owner: &str, id: &str) -> bool {
        let state = &self.coordinator.state;
        let peers = state.other_entries();
        let Some(peer) = peers.iter().find(|record| record.name == owner) else {
            return false;
        };
        let Ok(client) = state.peers.client(peer.control).await else {
            return false;
        };
        let context = call_context(STOP_TIMEOUT);
        let response = client.cancel(context, state.call_metadata(), id.to_owned()).await;
        matches!(response, Ok(CancelResponse::Stopped))
    }

    /// Returns the description of a file to the caller.
    async fn show_file(
        &self,
        exchange: &mut ServerExchange<'_>,
        client: &KeyValueClient,
        id: &str,
    ) -> RequestResult {
        let Some(file) = self.find_file(client, id).await? else {
            return Ok(Err(self.not_found("no_such_file", "There is no such file.")));
        };
        respond_json(exchange, StatusCode::OK, &file_object(&file)).await?;
        Ok(Ok(()))
    }

    /// Streams the output or error file of a job.
    async fn content(
        &self,
        exchange: &mut ServerExchange<'_>,
        client: &KeyValueClient,
        id: &str,
    ) -> RequestResult {
        let (job, kind) = match (id.strip_suffix("-output"), id.strip_suffix("-errors")) {
            (Some(job), _) => (job, ResultKind::Output),
            (None, Some(job)) => (job, ResultKind::Errors),
            (None, None) => {
                return Ok(Err(self.not_found("no_such_file", "Only results can be read.")));
            }
        };
        let Some(job) = self.find_own_job(client, job).await? else {
            return Ok(Err(self.not_found("no_such_file", "There is no such file.")));
        };
        let chunks = committed_chunks(self.coordinator, &job.record.id).await?;
        stream_results(self.coordinator, exchange, &job.record, kind, chunks).await?;
        Ok(Ok(()))
    }

    /// Returns a file of the caller's organisation.
    async fn find_file(
        &self,
        client: &KeyValueClient,
        id: &str,
    ) -> Result<Option<FileRecord>, KeyValueFault> {
        let entry = client.get(CallPurpose::Job, &FileRecord::key_of(id)).await?;
        let file = entry.and_then(|entry| serde_json::from_slice::<FileRecord>(&entry.value).ok());
        Ok(file.filter(|file| file.organisation == self.caller.organisation))
    }

    /// Returns a job of the caller's organisation.
    async fn find_own_job(
        &self,
        client: &KeyValueClient,
        id: &str,
    ) -> Result<Option<StoredJob>, KeyValueFault> {
        let job = self.find_job(client, id).await?;
        Ok(job.filter(|job| job.record.organisation == self.caller.organisation))
    }

    /// Returns a job of any organisation, finished or not.
    async fn find_job(
        &self,
        client: &KeyValueClient,
        id: &str,
    ) -> Result<Option<StoredJob>, KeyValueFault> {
        // A finished job moves from the first key to the second; reading them in this order cannot
        // miss it.
        for key in [JobRecord::key_of(id), JobRecord::done_key_of(id)] {
            if let Some(entry) = client.get(CallPurpose::Job, &key).await? {
                return Ok(decode_job(&entry));
            }
        }
        Ok(None)
    }

    /// Returns the counts of the items that have a result, of a finished job or from its committed
    /// chunks.
    async fn current_counts(&self, record: &JobRecord) -> Result<JobCounts, KeyValueFault> {
        if record.is_ended() {
            return Ok(record.counts);
        }
        self.coordinator.committed_counts(&record.id).await
    }

    /// Builds the record of a new job.
    fn new_job_record(
        &self,
        exchange: &ServerExchange<'_>,
        create: &CreateBatch,
        file: &FileRecord,
    ) -> JobRecord {
        let state = &self.coordinator.state;
        let organisation = &self.caller.organisation;
        let id = match exchange.header(headers::IDEMPOTENCY_KEY) {
            Some(key) => format!("batch_{:032x}", RequestKey::derive(organisation, key).0),
            None => format!("batch_{}", state.new_id()),
        };
        let now = state.clock.wall_millis();
        let window = create.completion_window.as_deref().and_then(parse_window_ms);
        let due_ms = create.due_ms.unwrap_or(now + window.unwrap_or(DEFAULT_DUE_MS));
        JobRecord {
            chunk_items: file.chunk_items,
            counts: JobCounts::default(),
            created_ms: now,
            digest: file.digest.clone(),
            due_ms,
            ended_ms: 0,
            file: file.id.clone(),
            id,
            items: file.items,
            organisation: organisation.clone(),
            owner: None,
            priority: create.priority,
            repeatable: file.repeatable,
            replicas: file.replicas.clone(),
            state: JobState::InProgress,
            write_id: state.new_id(),
        }
    }

    /// Returns the error for a resource that does not exist or belongs to another organisation.
    fn not_found(&self, reason: &'static str, message: &str) -> CallerError {
        let _ = self;
        CallerError::not_run(StatusCode::NOT_FOUND, reason, message)
    }

    /// Returns the error for a request that had no effect and can be repeated.
    fn unavailable(&self, message: &str) -> CallerError {
        let _ = self;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut error = CallerError::not_run(status, "not_accepted_now", message);
        error.retry_after = Some(Duration::from_secs(1));
        error
    }

    /// Returns the error for a failed call to the key-value store; it says that the outcome is
    /// unknown where the write may have taken effect.
    fn platform_error(&self, fault: &KeyValueFault) -> CallerError {
        let mut error = self.unavailable(&fault.to_string());
        if matches!(fault, KeyValueFault::Ambiguous(_)) {
            error.reason = "outcome_unknown";
            error.run = "unknown";
            "It is not known whether this took effect; send it again with the same key."
                .clone_into(&mut error.message);
        }
        error
    }
}

/// Returns the error for an idempotency key that was used with different content.
fn key_conflict() -> CallerError {
    let message = "A batch with this idempotency key and other content was accepted before.";
    CallerError::not_run(StatusCode::CONFLICT, "key_conflict", message)
}
