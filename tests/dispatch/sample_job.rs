//! A small job for tests of books.

use cv_dispatch::ItemSpec;
use cv_dispatch::JobSpec;
use cv_dispatch::JobTracker;

/// Opens the book of a job with the named items, of ten tokens each.
pub(crate) fn book_of(ids: &[&str]) -> JobTracker {
    let items = ids.iter().map(|id| ItemSpec {
        body: Vec::new(),
        headers: Vec::new(),
        id: (*id).to_owned(),
        path: "/items".to_owned(),
        tokens: 10,
    });
    JobTracker::new(JobSpec {
        host: "example".to_owned(),
        id: "job".to_owned(),
        items: items.collect(),
        path: "/batch/".to_owned(),
        submitted_ms: 0,
    })
}
