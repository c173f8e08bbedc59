//! Polls the platform's list of instances, which only proposes targets: their sidecars decide
//! whether they are ready.

use std::rc::Rc;
use std::time::Duration;

use cv_key_value::InstanceClient;
use cv_key_value::InstanceRecord;
use cv_policy::routing::TargetListing;
use cv_policy::routing::pick_subset;
use cv_timer::TimerService;

use crate::entry_state::EntryState;

/// Interval between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the list up to date for as long as the entry runs.
pub(crate) async fn watch_instances(state: Rc<EntryState>, timers: TimerService) {
    let Some(address) = state.settings.platform.instances else {
        return;
    };
    let client = InstanceClient::new(address);
    let ticks = timers.subscribe(LIST_INTERVAL);
    loop {
        // Without a response the last list stays in use; target polls detect lost targets.
        if let Some(records) = client.list().await {
            apply_list(&state, records);
        }
        let now = ticks.next().await;
        state.key_claims.borrow_mut().expire(now);
    }
}

/// Applies a new list to the target table.
fn apply_list(state: &EntryState, records: Vec<InstanceRecord>) {
    let listings: Vec<TargetListing> =
        records.iter().filter_map(InstanceRecord::target_listing).collect();
    let settings = &state.settings;
    let entries = records.iter().filter(|record| record.role == "entry").count();
    let subset = pick_subset(&settings.name, &settings.zone, entries, &listings);
    state.targets.borrow_mut().apply(state.clock.now(), &subset);
    *state.instances.borrow_mut() = records;
    state.target_lost.notify_waiters();
}
