//! All jobs that a keeper knows.

use std::cell::RefCell;
use std::rc::Rc;

use cv_dispatch::JobSpec;

use crate::keeper::tracked_job::ResultsState;
use crate::keeper::tracked_job::TrackedJob;

/// The known jobs, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    /// Ids of ended jobs, sorted; an end may become known before its job.
    ended: RefCell<Vec<String>>,
    rows: RefCell<Vec<(String, Rc<TrackedJob>)>>,
}

impl JobTable {
    /// Returns a job.
    pub fn get(&self, job: &str) -> Option<Rc<TrackedJob>> {
        let rows = self.rows.borrow();
        let position = rows.binary_search_by(|(id, _)| id.as_str().cmp(job)).ok()?;
        Some(Rc::clone(&rows[position].1))
    }

    /// Adds a job unless it is known; returns its cell.
    pub fn add(&self, spec: JobSpec, state: ResultsState) -> Rc<TrackedJob> {
        let mut rows = self.rows.borrow_mut();
        match rows.binary_search_by(|(id, _)| id.as_str().cmp(&spec.id)) {
            Ok(position) => Rc::clone(&rows[position].1),
            Err(position) => {
                let id = spec.id.clone();
                let cell = Rc::new(TrackedJob::new(spec, state));
                if self.ended.borrow().binary_search(&id).is_ok() {
                    cell.book.borrow_mut().close();
                }
                rows.insert(position, (id, Rc::clone(&cell)));
                cell
            }
        }
    }

    /// Notes that a job is ended, whether it is known or not; returns its cell if it is.
    pub fn end(&self, job: &str) -> Option<Rc<TrackedJob>> {
        let mut ended = self.ended.borrow_mut();
        if let Err(position) = ended.binary_search_by(|id| id.as_str().cmp(job)) {
            ended.insert(position, job.to_owned());
        }
        drop(ended);
        self.get(job)
    }

    /// Forgets a job.
    pub fn remove(&self, job: &str) {
        self.ended.borrow_mut().retain(|id| id != job);
        let mut rows = self.rows.borrow_mut();
        if let Ok(position) = rows.binary_search_by(|(id, _)| id.as_str().cmp(job)) {
            let (_, cell) = rows.remove(position);
            cell.is_owned.set(false);
            cell.changed.notify_waiters();
        }
    }

    /// Returns all jobs.
    pub fn all(&self) -> Vec<Rc<TrackedJob>> {
        self.rows.borrow().iter().map(|(_, cell)| Rc::clone(cell)).collect()
    }
}
