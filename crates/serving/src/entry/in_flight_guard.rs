//! Counts the requests that are in flight at targets.

use crate::entry::entry_handler::EntryHandler;

/// Counts a request as in flight at a target until the guard is dropped.
pub(crate) struct InFlightGuard<'a, P> {
    handler: &'a EntryHandler<P>,
    target: String,
}

impl<'a, P> InFlightGuard<'a, P> {
    /// Counts a request that is about to be sent.
    pub fn begin(handler: &'a EntryHandler<P>, target: &str) -> Self {
        handler.view.with_targets(|targets| targets.begin_request(target));
        Self { handler, target: target.to_owned() }
    }
}

impl<P> Drop for InFlightGuard<'_, P> {
    fn drop(&mut self) {
        self.handler.view.with_targets(|targets| targets.end_request(&self.target));
    }
}
