//! Local view of the unfinished jobs and live instances, kept up to date by watches.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cv_key_value::CallPurpose;
use cv_key_value::KeyRange;
use cv_key_value::KeyValueClient;
use cv_key_value::KeyValueEntry;
use cv_key_value::KeyValueFault;
use cv_key_value::WatchEvent;
use cv_policy::batch::JobRecord;

use super::instance_lease::INSTANCE_PREFIX;

/// Delay before a failed watch is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(300);

/// A job as it is stored in the key-value store.
#[derive(Clone, Debug)]
pub(crate) struct StoredJob {
    /// The stored record.
    pub record: JobRecord,
    /// Revision of the job's key.
    pub revision: u64,
}

/// Unfinished jobs and live instances, as reported by the watches.
#[derive(Default)]
pub(crate) struct JobView {
    /// Name and epoch of each live instance, sorted by name.
    instances: RefCell<Vec<(String, u64)>>,
    /// Whether the watch of the instances is open.
    instances_current: Cell<bool>,
    /// Unfinished jobs, sorted by id.
    jobs: RefCell<Vec<StoredJob>>,
}

impl JobView {
    /// Returns the unfinished jobs, sorted by id.
    pub fn jobs(&self) -> Vec<StoredJob> {
        self.jobs.borrow().clone()
    }

    /// Returns an unfinished job by its id.
    pub fn job(&self, id: &str) -> Option<StoredJob> {
        let jobs = self.jobs.borrow();
        let found = jobs.binary_search_by(|job| job.record.id.as_str().cmp(id));
        found.ok().map(|position| jobs[position].clone())
    }

    /// Returns whether the list of live instances is up to date, that is, its watch is open.
    pub fn is_current(&self) -> bool {
        self.instances_current.get()
    }

    /// Returns the epoch of an instance; `None` if it does not hold a lease.
    pub fn epoch_of(&self, instance: &str) -> Option<u64> {
        let instances = self.instances.borrow();
        let found = instances.binary_search_by(|row| row.0.as_str().cmp(instance));
        found.ok().map(|position| instances[position].1)
    }

    /// Stores a job, unless the same or a newer revision is known.
    pub fn put_job(&self, job: StoredJob) {
        let mut jobs = self.jobs.borrow_mut();
        match jobs.binary_search_by(|known| known.record.id.cmp(&job.record.id)) {
            Ok(position) if jobs[position].revision < job.revision => jobs[position] = job,
            Ok(_) => {}
            Err(position) => jobs.insert(position, job),
        }
    }

    /// Removes a finished job.
    pub fn remove_job(&self, id: &str) {
        self.jobs.borrow_mut().retain(|job| job.record.id != id);
    }

    /// Watches the unfinished jobs and reopens the watch when it fails.
    ///
    /// `on_change` is called with the id and the new state of each changed job; `None` means that
    /// the job was removed.
    pub async fn watch_jobs(
        self: Rc<Self>,
        client: &KeyValueClient,
        on_change: impl Fn(&str, Option<&StoredJob>),
    ) {
        loop {
            let fault = self.list_and_watch_jobs(client, &on_change).await;
            log::debug!("the watch of jobs failed and will be reopened: {fault}");
            monoio::time::sleep(client.with_jitter(REOPEN_DELAY)).await;
        }
    }

    /// Watches the live instances and reopens the watch when it fails.
    pub async fn watch_instances(self: Rc<Self>, client: &KeyValueClient) {
        loop {
            let fault = self.list_and_watch_instances(client).await;
            self.instances_current.set(false);
            log::debug!("the watch of instances failed and will be reopened: {fault}");
            monoio::time::sleep(client.with_jitter(REOPEN_DELAY)).await;
        }
    }

    /// Lists the jobs, then applies each change until the watch fails; returns the fault.
    async fn list_and_watch_jobs(
        &self,
        client: &KeyValueClient,
        on_change: &impl Fn(&str, Option<&StoredJob>),
    ) -> KeyValueFault {
        let range = KeyRange::Prefix(JobRecord::prefix().to_owned());
        let page = match client.range(CallPurpose::Job, &range, 0).await {
            Ok(page) => page,
            Err(fault) => return fault,
        };
        let listed: Vec<StoredJob> = page.entries.iter().filter_map(decode_job).collect();
        let removed = self
            .jobs()
            .into_iter()
            .filter(|known| !listed.iter().any(|job| job.record.id == known.record.id));
        for job in removed.collect::<Vec<_>>() {
            self.remove_job(&job.record.id);
            on_change(&job.record.id, None);
        }
        for job in listed {
            self.put_job(job.clone());
            on_change(&job.record.id, Some(&job));
        }
        let mut watch = match client.watch(&range, page.revision + 1).await {
            Ok(watch) => watch,
            Err(fault) => return fault,
        };
        loop {
            match watch.next().await {
                Ok(WatchEvent::Put(entry)) => {
                    if let Some(job) = decode_job(&entry) {
                        self.put_job(job.clone());
                        on_change(&job.record.id, Some(&job));
                    }
                }
                Ok(WatchEvent::Deleted(key, _)) => {
                    let id = key.strip_prefix(JobRecord::prefix()).unwrap_or_default();
                    self.remove_job(id);
                    on_change(id, None);
                }
                Err(fault) => return fault,
            }
        }
    }

    /// Lists the live instances, then applies each change until the watch fails; returns the fault.
    async fn list_and_watch_instances(&self, client: &KeyValueClient) -> KeyValueFault {
        let range = KeyRange::Prefix(INSTANCE_PREFIX.to_owned());
        let page = match client.range(CallPurpose::Job, &range, 0).await {
            Ok(page) => page,
            Err(fault) => return fault,
        };
        let rows = page.entries.iter().map(|entry| (instance_name(&entry.key), entry.revision));
        let mut listed: Vec<(String, u64)> = rows.collect();
        listed.sort();
        *self.instances.borrow_mut() = listed;
        let mut watch = match client.watch(&range, page.revision + 1).await {
            Ok(watch) => watch,
            Err(fault) => return fault,
        };
        self.instances_current.set(true);
        loop {
            match watch.next().await {
                Ok(WatchEvent::Put(entry)) => {
                    self.set_instance_epoch(&instance_name(&entry.key), Some(entry.revision));
                }
                Ok(WatchEvent::Deleted(key, _)) => {
                    self.set_instance_epoch(&instance_name(&key), None);
                }
                Err(fault) => return fault,
            }
        }
    }

    /// Sets the epoch of an instance; `None` removes the instance.
    fn set_instance_epoch(&self, name: &str, epoch: Option<u64>) {
        let mut instances = self.instances.borrow_mut();
        instances.retain(|row| row.0 != name);
        if let Some(epoch) = epoch {
            let position = instances.partition_point(|row| row.0.as_str() < name);
            instances.insert(position, (name.to_owned(), epoch));
        }
    }
}

/// Decodes a stored job; `None` if the value is not a job record.
pub(crate) fn decode_job(entry: &KeyValueEntry) -> Option<StoredJob> {
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some(StoredJob { record, revision: entry.revision })
}

/// Returns the instance name that an instance key contains.
fn instance_name(key: &str) -> String {
    key.strip_prefix(INSTANCE_PREFIX).unwrap_or_default().to_owned()
}
