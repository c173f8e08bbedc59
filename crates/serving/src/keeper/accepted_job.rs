//! A job as the store keeps it.

use cv_dispatch::AcceptedRoute;
use cv_dispatch::JobSpec;

/// A job that has been accepted, or is about to be.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedJob {
    /// The route that accepted it; `None` if a version that did not record it has stored the job.
    pub route: Option<AcceptedRoute>,
    /// The job as it was submitted.
    pub spec: JobSpec,
}
