//! Watches for accepted configurations and activates them.

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

/// The key of the configuration in the key-value service.
pub(crate) const CONFIG_KEY: &str = "clementinevale/config";

/// Base of the randomised delay before the configuration is read again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of entries per zone that watch the key-value service; the others poll peers.
const WATCHERS_PER_ZONE: usize = 4;

/// Timeout of a long poll of a peer; exceeds the peer's own wait of 10 seconds.
const PEER_POLL_TIMEOUT: Duration = Duration::from_secs(12);

/// Keeps the configuration up to date for as long as the entry runs.
pub(crate) async fn watch_config(state: Rc<EntryState>) {
    loop {
        let peer_responded = !is_watcher(&state) && poll_peer(&state).await;
        if !peer_responded && let Some(client) = &state.key_value {
            // When the watch fails, the last accepted configuration stays active.
            let _ = watch_key_value(&state, client).await;
        }
        let jitter = state.random.borrow_mut().fraction();
        monoio::time::sleep(RETRY_DELAY.mul_f64(0.1 + jitter)).await;
    }
}

/// Reads the configuration and then applies each change until the watch fails.
async fn watch_key_value(state: &EntryState, client: &KeyValueClient) -> Result<(), KeyValueFault> {
    let range = KeyRange::Single(CONFIG_KEY.to_owned());
    let page = client.range(CallPurpose::Config, &range, 1).await?;
    if let Some(entry) = page.entries.into_iter().next() {
        state.offer_config(to_document(&entry));
    }
    let mut watch = client.watch(&range, page.revision + 1).await?;
    loop {
        if let WatchEvent::Put(entry) = watch.next().await? {
            state.offer_config(to_document(&entry));
        }
    }
}

/// Long-polls a random peer for a newer configuration; returns whether the peer responded.
async fn poll_peer(state: &EntryState) -> bool {
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
    let context = call_context(PEER_POLL_TIMEOUT);
    let Ok(document) = client.wait_config(context, state.call_metadata(), revision).await else {
        state.peers.forget(address);
        return false;
    };
    if let Some(document) = document {
        state.offer_config(document);
    }
    true
}

/// Returns whether this entry watches the key-value service: it is among the first of its zone by
/// name.
fn is_watcher(state: &EntryState) -> bool {
    let instances = state.instances.borrow();
    let mut names: Vec<&str> = instances
        .iter()
        .filter(|record| record.role == "entry" && record.zone == state.settings.zone)
        .map(|record| record.name.as_str())
        .collect();
    names.sort_unstable();
    let position = names.binary_search(&state.settings.name.as_str());
    position.map_or(true, |position| position < WATCHERS_PER_ZONE)
}

/// Converts a stored entry to a configuration document.
fn to_document(entry: &KeyValueEntry) -> ConfigDocument {
    let body = String::from_utf8_lossy(&entry.value).into_owned();
    ConfigDocument { body, revision: entry.revision }
}
