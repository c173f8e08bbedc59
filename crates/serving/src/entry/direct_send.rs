//! Sends to targets without a sidecar, which keep no limit of their own.

use std::time::Duration;

use cv_dispatch::TargetChoice;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;

use crate::entry::entry_handler::EntryHandler;
use crate::entry::permit_client::PermitGranters;
use crate::load_listener::directory_peers;

/// Shortest time for which a target without a permit gets no requests.
const MIN_REST: Duration = Duration::from_millis(5);

/// A request that is about to be sent to a target without a sidecar.
pub(crate) struct DirectSend<'a, P> {
    /// The entry.
    pub handler: &'a EntryHandler<P>,
    /// Id of the request.
    pub request: &'a str,
}

impl<P> DirectSend<'_, P> {
    /// Returns whether the target takes the request. One that does not rests until it takes the
    /// next.
    pub async fn is_permitted(&self, choice: &TargetChoice) -> bool {
        let view = &self.handler.view;
        let limit = view.with_targets(|targets| targets.get(&choice.id)?.request_limit);
        let Some(limit) = limit else {
            return true;
        };
        let peers = directory_peers(view, &self.handler.identity);
        let granters = PermitGranters { keepers: &peers.keepers, sidecars: &peers.sidecars };
        let permit = self.handler.permits.request(choice.address, limit, granters).await;
        let Err(wait) = permit else {
            return true;
        };
        let now = view.clock.now();
        view.with_targets(|targets| {
            if let Some(row) = targets.get_mut(&choice.id) {
                row.rest(now, wait.max(MIN_REST));
            }
        });
        view.log.record(LinePriority::Routine, EventKind::Refused, self.request, || {
            let wait_ms = wait.as_millis();
            format!("target={} reason=rate_limited limit={limit} wait_ms={wait_ms}", choice.id)
        });
        false
    }
}
