//! Asks the sidecars themselves how their targets are.

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

/// Time between two questions to each sidecar.
const PERIOD: Duration = Duration::from_millis(300);

/// Longest time that a sidecar has for its answer.
const PATIENCE: Duration = Duration::from_millis(450);

/// Follows all targets for as long as the entry runs.
pub(crate) async fn watch_targets(state: Rc<EntryState>, timers: TimerService) {
    let ticks = timers.subscribe(PERIOD);
    let round: Rc<RefCell<StatusPoller>> = Rc::default();
    loop {
        for (target, address) in due_targets(&state, &mut round.borrow_mut()) {
            let (state, round) = (Rc::clone(&state), Rc::clone(&round));
            monoio::spawn(async move {
                let status = ask(&state, address).await;
                let is_lost = match &status {
                    Some(status) => {
                        round.borrow_mut().record_response(target, status.config_revision);
                        false
                    }
                    None => round.borrow_mut().record_failure(target),
                };
                take(&state, target, status, is_lost);
            });
        }
        let now = ticks.next().await;
        let before = ejected(&state);
        state.outliers.tick(now, &mut state.targets.borrow_mut());
        let after = ejected(&state);
        if before != after {
            let detail = format!("ejected={}", after.join(","));
            state.events.record(EventKind::TargetChanged, "", detail);
        }
    }
}

/// Lists the targets to ask in this round, with their addresses.
fn due_targets(state: &EntryState, round: &mut StatusPoller) -> Vec<(TargetId, SocketAddr)> {
    let table = state.targets.borrow();
    let due = round.begin_round(table.rows(), PERIOD, state.config.borrow().revision());
    let rows = due.into_iter().filter_map(|id| table.get(id));
    rows.map(|row| (row.id, row.control)).collect()
}

/// Asks one sidecar, and offers it the configuration if it has an older one; `None` if it does not answer in time.
async fn ask(state: &EntryState, address: SocketAddr) -> Option<TargetStatus> {
    let client = state.sidecars.client(address).await.ok()?;
    let document = {
        let config = state.config.borrow();
        config.document().cloned()
    };
    match client.status(call_context(PATIENCE), state.call_metadata()).await {
        Ok(Some(mut status)) => {
            state.events.observe(status.clock);
            if let Some(document) = document
                && status.config_revision < document.revision
            {
                let context = call_context(PATIENCE);
                // A lost offer is made again with the next question.
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

/// Takes a sidecar's answer, or its silence.
fn take(state: &EntryState, target: TargetId, status: Option<TargetStatus>, is_lost: bool) {
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
                // The target's own word is the truth, in both directions.
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

/// Returns the names of the targets that are ejected.
fn ejected(state: &EntryState) -> Vec<String> {
    let table = state.targets.borrow();
    let rows = table.rows().iter().filter(|row| row.ejected_until.is_some());
    rows.map(|row| row.name.clone()).collect()
}
