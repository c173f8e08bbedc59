//! What this instance knows of unfinished jobs and of live instances, kept up by watches.

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

/// Pause before a watch that has ended is opened again.
const PAUSE: Duration = Duration::from_millis(300);

/// An unfinished job.
#[derive(Clone, Debug)]
pub(crate) struct OpenJob {
    /// The job.
    pub record: JobRecord,
    /// Revision of its key.
    pub revision: u64,
}

/// Unfinished jobs and live instances.
#[derive(Default)]
pub(crate) struct JobView {
    instances: RefCell<Vec<(String, u64)>>,
    instances_current: Cell<bool>,
    jobs: RefCell<Vec<OpenJob>>,
}

impl JobView {
    /// Returns the unfinished jobs, sorted by id.
    pub fn jobs(&self) -> Vec<OpenJob> {
        self.jobs.borrow().clone()
    }

    /// Finds an unfinished job.
    pub fn job(&self, id: &str) -> Option<OpenJob> {
        let jobs = self.jobs.borrow();
        let found = jobs.binary_search_by(|job| job.record.id.as_str().cmp(id));
        found.ok().map(|position| jobs[position].clone())
    }

    /// Tells whether the list of live instances can be relied on now.
    pub fn is_current(&self) -> bool {
        self.instances_current.get()
    }

    /// Returns the epoch of an instance that holds a lease.
    pub fn epoch_of(&self, instance: &str) -> Option<u64> {
        let instances = self.instances.borrow();
        let found = instances.binary_search_by(|row| row.0.as_str().cmp(instance));
        found.ok().map(|position| instances[position].1)
    }

    /// Takes a newer state of a job.
    pub fn put_job(&self, job: OpenJob) {
        let mut jobs = self.jobs.borrow_mut();
        match jobs.binary_search_by(|known| known.record.id.cmp(&job.record.id)) {
            Ok(position) if jobs[position].revision < job.revision => jobs[position] = job,
            Ok(_) => {}
            Err(position) => jobs.insert(position, job),
        }
    }

    /// Forgets a job that is finished.
    pub fn remove_job(&self, id: &str) {
        self.jobs.borrow_mut().retain(|job| job.record.id != id);
    }

    /// Follows the jobs; `changed` is told each change.
    pub async fn watch_jobs(
        self: Rc<Self>,
        client: &KeyValueClient,
        changed: impl Fn(&str, Option<&OpenJob>),
    ) {
        loop {
            let fault = self.follow_jobs(client, &changed).await;
            log::debug!("watch of jobs: {fault}");
            monoio::time::sleep(client.with_jitter(PAUSE)).await;
        }
    }

    /// Follows the live instances.
    pub async fn watch_instances(self: Rc<Self>, client: &KeyValueClient) {
        loop {
            let fault = self.follow_instances(client).await;
            self.instances_current.set(false);
            log::debug!("watch of instances: {fault}");
            monoio::time::sleep(client.with_jitter(PAUSE)).await;
        }
    }

    /// Lists the jobs and takes each change until the watch ends.
    async fn follow_jobs(
        &self,
        client: &KeyValueClient,
        changed: &impl Fn(&str, Option<&OpenJob>),
    ) -> KeyValueFault {
        let range = KeyRange::Prefix(JobRecord::prefix().to_owned());
        let page = match client.range(CallPurpose::Job, &range, 0).await {
            Ok(page) => page,
            Err(fault) => return fault,
        };
        let listed: Vec<OpenJob> = page.entries.iter().filter_map(job_of).collect();
        let gone = self
            .jobs()
            .into_iter()
            .filter(|known| !listed.iter().any(|job| job.record.id == known.record.id));
        for job in gone.collect::<Vec<_>>() {
            self.remove_job(&job.record.id);
            changed(&job.record.id, None);
        }
        for job in listed {
            self.put_job(job.clone());
            changed(&job.record.id, Some(&job));
        }
        let mut watch = match client.watch(&range, page.revision + 1).await {
            Ok(watch) => watch,
            Err(fault) => return fault,
        };
        loop {
            match watch.next().await {
                Ok(WatchEvent::Put(entry)) => {
                    if let Some(job) = job_of(&entry) {
                        self.put_job(job.clone());
                        changed(&job.record.id, Some(&job));
                    }
                }
                Ok(WatchEvent::Deleted(key, _)) => {
                    let id = key.strip_prefix(JobRecord::prefix()).unwrap_or_default();
                    self.remove_job(id);
                    changed(id, None);
                }
                Err(fault) => return fault,
            }
        }
    }

    /// Lists the live instances and takes each change until the watch ends.
    async fn follow_instances(&self, client: &KeyValueClient) -> KeyValueFault {
        let range = KeyRange::Prefix(INSTANCE_PREFIX.to_owned());
        let page = match client.range(CallPurpose::Job, &range, 0).await {
            Ok(page) => page,
            Err(fault) => return fault,
        };
        let rows = page.entries.iter().map(|entry| (instance_of(&entry.key), entry.revision));
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
                    self.put_instance(&instance_of(&entry.key), Some(entry.revision));
                }
                Ok(WatchEvent::Deleted(key, _)) => self.put_instance(&instance_of(&key), None),
                Err(fault) => return fault,
            }
        }
    }

    /// Takes an instance's new epoch, or its end.
    fn put_instance(&self, name: &str, epoch: Option<u64>) {
        let mut instances = self.instances.borrow_mut();
        instances.retain(|row| row.0 != name);
        if let Some(epoch) = epoch {
            let position = instances.partition_point(|row| row.0.as_str() < name);
            instances.insert(position, (name.to_owned(), epoch));
        }
    }
}

/// Decodes a job; `None` for a value that is none.
pub(crate) fn job_of(entry: &KeyValueEntry) -> Option<OpenJob> {
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some(OpenJob { record, revision: entry.revision })
}

/// Returns the name in the key of an instance.
fn instance_of(key: &str) -> String {
    key.strip_prefix(INSTANCE_PREFIX).unwrap_or_default().to_owned()
}
