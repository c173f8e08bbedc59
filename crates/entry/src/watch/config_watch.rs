//! Brings accepted configurations into force.

use std::rc::Rc;
use std::time::Duration;

use cv_control::call_context;
use cv_key_value::CallPurpose;
use cv_key_value::KeyRange;
use cv_key_value::KeyValueClient;
use cv_key_value::KeyValueEntry;
use cv_key_value::KeyValueFault;
use cv_key_value::WatchEvent;
use cv_policy::config::ConfigDocument;

use crate::entry_state::EntryState;

/// The key that holds the configuration.
pub(crate) const CONFIG_KEY: &str = "clementinevale/config";

/// Longest pause before the service is asked again.
const PAUSE: Duration = Duration::from_secs(1);

/// Entries that watch the service themselves; the others follow them.
const WATCHERS: usize = 4;

/// Longest time for which a followed entry holds a question open.
const FOLLOW_PATIENCE: Duration = Duration::from_secs(12);

/// Follows the configuration for as long as the entry runs.
pub(crate) async fn watch_config(state: Rc<EntryState>) {
    loop {
        let followed = !is_watcher(&state) && follow_peer(&state).await;
        if !followed && let Some(client) = &state.key_value {
            // A watch that ends leaves the last accepted configuration in force.
            let _ = watch_service(&state, client).await;
        }
        let share = state.random.borrow_mut().fraction();
        monoio::time::sleep(PAUSE.mul_f64(0.1 + share)).await;
    }
}

/// Reads the configuration and then takes each change until the watch ends.
async fn watch_service(state: &EntryState, client: &KeyValueClient) -> Result<(), KeyValueFault> {
    let range = KeyRange::Single(CONFIG_KEY.to_owned());
    let page = client.range(CallPurpose::Config, &range, 1).await?;
    if let Some(entry) = page.entries.into_iter().next() {
        state.offer_config(document_of(&entry));
    }
    let mut watch = client.watch(&range, page.revision + 1).await?;
    loop {
        if let WatchEvent::Put(entry) = watch.next().await? {
            state.offer_config(document_of(&entry));
        }
    }
}

/// Takes one newer configuration from a peer that watches; tells whether a peer answered.
async fn follow_peer(state: &EntryState) -> bool {
    let peers = state.other_entries();
    if peers.is_empty() {
        return false;
    }
    let index = state.random.borrow_mut().below(peers.len());
    let address = peers[index].control;
    let Ok(client) = state.peers.client(address).await else {
        return false;
    };
    let revision = state.config.borrow().revision();
    let context = call_context(FOLLOW_PATIENCE);
    let Ok(document) = client.wait_config(context, state.call_metadata(), revision).await else {
        state.peers.forget(address);
        return false;
    };
    if let Some(document) = document {
        state.offer_config(document);
    }
    true
}

/// Tells whether this entry watches the service itself: it is among the first of its zone.
fn is_watcher(state: &EntryState) -> bool {
    let instances = state.instances.borrow();
    let mut names: Vec<&str> = instances
        .iter()
        .filter(|record| record.role == "entry" && record.zone == state.settings.zone)
        .map(|record| record.name.as_str())
        .collect();
    names.sort_unstable();
    let position = names.binary_search(&state.settings.name.as_str());
    position.map_or(true, |position| position < WATCHERS)
}

/// Makes a document of a stored entry.
fn document_of(entry: &KeyValueEntry) -> ConfigDocument {
    let body = String::from_utf8_lossy(&entry.value).into_owned();
    ConfigDocument { body, revision: entry.revision }
}
