//! The table of all jobs that a keeper knows.

use std::cell::RefCell;
use std::rc::Rc;

use crate::keeper::accepted_job::AcceptedJob;
use crate::keeper::tracked_job::TrackedJob;

/// Known jobs, whether owned or not, and jobs known to be closed.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    /// Ids of closed jobs, sorted; a job may be known to be closed before its record is.
    closed: RefCell<Vec<String>>,
    /// Jobs with their ids, sorted by id.
    rows: RefCell<Vec<(String, Rc<TrackedJob>)>>,
    /// Ids of jobs in the store whose records are being read, sorted.
    unread: RefCell<Vec<String>>,
}

impl JobTable {
    /// Returns a job by its id.
    pub fn get(&self, job_id: &str) -> Option<Rc<TrackedJob>> {
        let rows = self.rows.borrow();
        let position = rows.binary_search_by(|(id, _)| id.as_str().cmp(job_id)).ok()?;
        Some(Rc::clone(&rows[position].1))
    }

    /// Adds a job unless it is known, and returns it. A job already known to be closed is added
    /// as closed.
    pub fn add(&self, job: AcceptedJob) -> Rc<TrackedJob> {
        self.unread.borrow_mut().retain(|id| *id != job.spec.id);
        let mut rows = self.rows.borrow_mut();
        match rows.binary_search_by(|(id, _)| id.as_str().cmp(&job.spec.id)) {
            Ok(position) => Rc::clone(&rows[position].1),
            Err(position) => {
                let id = job.spec.id.clone();
                let job = Rc::new(TrackedJob::new(job));
                if self.closed.borrow().binary_search(&id).is_ok() {
                    job.tracker.borrow_mut().close();
                }
                rows.insert(position, (id, Rc::clone(&job)));
                job
            }
        }
    }

    /// Records that a job's record has to be read; returns whether a read of it has to begin, because
    /// the job is neither known nor being read.
    pub fn begin_read(&self, job_id: &str) -> bool {
        let mut unread = self.unread.borrow_mut();
        match unread.binary_search_by(|id| id.as_str().cmp(job_id)) {
            Err(position) if self.get(job_id).is_none() => {
                unread.insert(position, job_id.to_owned());
                true
            }
            _ => false,
        }
    }

    /// Returns whether a job's record is still to be read: the job is neither known nor removed.
    pub fn is_unread(&self, job_id: &str) -> bool {
        self.unread.borrow().binary_search_by(|id| id.as_str().cmp(job_id)).is_ok()
    }

    /// Records that a job is closed, whether it is known or not, and returns it if it is known.
    pub fn mark_closed(&self, job_id: &str) -> Option<Rc<TrackedJob>> {
        let mut closed = self.closed.borrow_mut();
        if let Err(position) = closed.binary_search_by(|id| id.as_str().cmp(job_id)) {
            closed.insert(position, job_id.to_owned());
        }
        drop(closed);
        self.get(job_id)
    }

    /// Removes a job and the mark that it is closed; the tasks working on it are notified and stop.
    pub fn remove(&self, job_id: &str) {
        self.closed.borrow_mut().retain(|id| id != job_id);
        self.unread.borrow_mut().retain(|id| id != job_id);
        let mut rows = self.rows.borrow_mut();
        if let Ok(position) = rows.binary_search_by(|(id, _)| id.as_str().cmp(job_id)) {
            let (_, job) = rows.remove(position);
            job.is_owned.set(false);
            job.changed.notify_waiters();
        }
    }

    /// Returns all jobs, sorted by id.
    pub fn all(&self) -> Vec<Rc<TrackedJob>> {
        self.rows.borrow().iter().map(|(_, job)| Rc::clone(job)).collect()
    }
}
