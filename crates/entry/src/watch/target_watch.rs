//! Polls the sidecars for the status of their targets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_control::TargetStatus;
use cv_control::call_context;
use cv_policy::TargetId;
use cv_policy::routing::StatusPoller;
use cv_timeline::EventKind;
use cv_timer::TimerService;
use tarpc::client::RpcError;

use crate::entry_state::EntryState;

/// Interval between two polls of each sidecar.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(450);

/// Polls all targets and ejects outliers for as long as the entry runs.
pub(crate) async fn watch_targets(state: Rc<EntryState>, timers: TimerService) {
    let ticks = timers.subscribe(POLL_INTERVAL);
    let poller: Rc<RefCell<StatusPoller>> = Rc::default();
    loop {
        for (target, address) in due_targets(&state, &mut poller.borrow_mut()) {
            let (state, poller) = (Rc::clone(&state), Rc::clone(&poller));
            monoio::spawn(async move {
                let status = poll_sidecar(&state, address).await;
                let is_lost = match &status {
                    Some(status) => {
                        poller.borrow_mut().record_response(target, status.config_revision);
                        false
                    }
                    None => poller.borrow_mut().record_failure(target),
                };
                apply_status(&state, target, status, is_lost);
            });
        }
        let now = ticks.next().await;
        let before = ejected_names(&state);
        state.outliers.tick(now, &mut state.targets.borrow_mut());
        let after = ejected_names(&state);
        if before != after {
            let detail = format!("ejected={}", after.join(","));
            state.events.record(EventKind::TargetChanged, "", detail);
        }
    }
}

/// Returns the targets to poll in this round, with their addresses.
fn due_targets(state: &EntryState, poller: &mut StatusPoller) -> Vec<(TargetId, SocketAddr)> {
    let table = state.targets.borrow();
    let due = poller.begin_round(table.rows(), POLL_INTERVAL, state.config.borrow().revision());
    let rows = due.into_iter().filter_map(|id| table.get(id));
    rows.map(|row| (row.id, row.control)).collect()
}

/// Polls one sidecar, and offers it the active configuration if its own is older.
///
/// Returns `None` if the sidecar does not respond in time.
async fn poll_sidecar(state: &EntryState, address: SocketAddr) -> Option<TargetStatus> {
    let client = state.sidecars.client(address).await.ok()?;
    let document = {
        let config = state.config.borrow();
        config.document().cloned()
    };
    match client.status(call_context(POLL_TIMEOUT), state.call_metadata()).await {
        Ok(Some(mut status)) => {
            state.events.observe(status.clock);
            if let Some(document) = document
                && status.config_revision < document.revision
            {
                let context = call_context(POLL_TIMEOUT);
                // A lost offer is repeated with the next poll.
                if let Ok(revision) =
                    client.offer_config(context, state.call_metadata(), document).await
                {
                    status.config_revision = revision;
                }
            }
            Some(status)
        }
        Ok(None) => None,
        Err(error) => {
            if !matches!(error, RpcError::DeadlineExceeded) {
                state.sidecars.forget(address);
            }
            None
        }
    }
}

/// Updates a target's row from a poll, which has no status if the sidecar did not respond.
fn apply_status(state: &EntryState, target: TargetId, status: Option<TargetStatus>, is_lost: bool) {
    let now = state.clock.now();
    let mut lost = false;
    {
        let mut table = state.targets.borrow_mut();
        let Some(row) = table.get_mut(target) else {
            return;
        };
        let was_ready = row.ready;
        match status {
            Some(status) => {
                row.ready = status.target_up;
                // The sidecar's status overrides the platform's list, in both directions.
                row.draining = status.draining;
                row.reported_load = Some((now, status.load));
                row.incarnation = status.incarnation;
            }
            None if is_lost => row.ready = false,
            None => {}
        }
        if row.ready && !was_ready {
            row.started = now;
        }
        lost = lost || (was_ready && !row.ready);
    }
    let ready = state.targets.borrow().rows().iter().filter(|row| row.is_eligible()).count();
    state.metrics.targets_ready.set(ready.cast_signed() as i64);
    if lost {
        state.target_lost.notify_waiters();
    }
}

/// Returns the names of the ejected targets.
fn ejected_names(state: &EntryState) -> Vec<String> {
    let table = state.targets.borrow();
    let rows = table.rows().iter().filter(|row| row.ejected_until.is_some());
    rows.map(|row| row.name.clone()).collect()
}
