//! Asks the sidecars themselves how their targets are.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_control::TargetStatus;
use cv_control::call_context;
use cv_policy::TargetId;
use cv_policy::routing::status_calls_per_second;
use cv_timeline::EventKind;
use cv_timer::TimerService;
use tarpc::client::RpcError;

use crate::entry_state::EntryState;

/// Time between two questions to each sidecar.
const PERIOD: Duration = Duration::from_millis(300);

/// Longest time that a sidecar has for its answer.
const PATIENCE: Duration = Duration::from_millis(450);

/// Targets that are not ready and are asked out of turn.
const UNREADY_CALLS: usize = 16;

/// Questions in a row without an answer after which a target counts as lost.
const FAILURES: u32 = 2;

/// Follows all targets for as long as the entry runs.
pub(crate) async fn watch_targets(state: Rc<EntryState>, timers: TimerService) {
    let ticks = timers.subscribe(PERIOD);
    let mut round = 0;
    let asked: Rc<std::cell::RefCell<Vec<(TargetId, u32)>>> = Rc::default();
    loop {
        round += 1;
        let due = due_targets(&state, round);
        for (target, address) in due {
            let (state, asked) = (Rc::clone(&state), Rc::clone(&asked));
            monoio::spawn(async move {
                let status = ask(&state, address).await;
                let failures = count_failures(&mut asked.borrow_mut(), target, status.is_some());
                take(&state, target, status, failures);
            });
        }
        let now = ticks.next().await;
        let before = ejected(&state);
        state.outliers.tick(now, &mut state.table.borrow_mut());
        let after = ejected(&state);
        if before != after {
            let detail = format!("ejected={}", after.join(","));
            state.events.record(EventKind::TargetChanged, "", detail);
        }
    }
}

/// Lists the targets whose turn it is, and a few of those that are not ready.
///
/// With many targets each is asked less often; its answers to requests tell the rest.
fn due_targets(state: &EntryState, round: usize) -> Vec<(TargetId, SocketAddr)> {
    let table = state.table.borrow();
    let rows = table.rows();
    let calls = status_calls_per_second(rows.len()) * PERIOD.as_secs_f64();
    let turns = (rows.len() as f64 / calls).ceil().max(1.0) as usize;
    let in_turn = rows.iter().skip(round % turns).step_by(turns);
    let mut due: Vec<(TargetId, SocketAddr)> = in_turn.map(|row| (row.id, row.control)).collect();
    for row in rows.iter().filter(|row| !row.ready).take(UNREADY_CALLS) {
        if !due.iter().any(|known| known.0 == row.id) {
            due.push((row.id, row.control));
        }
    }
    due
}

/// Asks one sidecar; `None` if it does not answer in time.
async fn ask(state: &EntryState, address: SocketAddr) -> Option<TargetStatus> {
    let client = state.sidecars.client(address).await.ok()?;
    let document = {
        let config = state.config.borrow();
        config.document().cloned()
    };
    match client.status(call_context(PATIENCE), state.stamp()).await {
        Ok(Some(status)) => {
            state.events.observe(status.clock);
            if let Some(document) = document
                && status.config_revision < document.revision
            {
                // A lost offer is made again with the next question.
                let _ = client.offer_config(call_context(PATIENCE), state.stamp(), document).await;
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

/// Counts a target's questions in a row without an answer.
fn count_failures(asked: &mut Vec<(TargetId, u32)>, target: TargetId, answered: bool) -> u32 {
    let position = match asked.binary_search_by_key(&target, |row| row.0) {
        Ok(position) => position,
        Err(position) => {
            asked.insert(position, (target, 0));
            position
        }
    };
    let failures = if answered { 0 } else { asked[position].1 + 1 };
    asked[position].1 = failures;
    failures
}

/// Takes a sidecar's answer, or its silence.
fn take(state: &EntryState, target: TargetId, status: Option<TargetStatus>, failures: u32) {
    let now = state.clock.now();
    let mut lost = false;
    {
        let mut table = state.table.borrow_mut();
        let Some(row) = table.get_mut(target) else {
            return;
        };
        let was_ready = row.ready;
        match status {
            Some(status) => {
                row.ready = status.target_up;
                // The target's own word is the truth, in both directions.
                row.leaving = status.leaving;
                row.reading = Some((now, status.reading));
                row.incarnation = status.incarnation;
            }
            None if failures >= FAILURES => row.ready = false,
            None => {}
        }
        if row.ready && !was_ready {
            row.started = now;
        }
        lost = lost || (was_ready && !row.ready);
    }
    let ready = state.table.borrow().rows().iter().filter(|row| row.is_eligible()).count();
    state.metrics.targets_ready.set(ready.cast_signed() as i64);
    if lost {
        state.target_lost.notify_waiters();
    }
}

/// Returns the names of the targets that are ejected.
fn ejected(state: &EntryState) -> Vec<String> {
    let table = state.table.borrow();
    let rows = table.rows().iter().filter(|row| row.ejected_until.is_some());
    rows.map(|row| row.name.clone()).collect()
}
