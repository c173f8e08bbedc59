//! The client of the platform's store against the store's stand-in.
//!
//! With one fixed timeout, a client never reads from a store that takes longer for each response.

use std::net::SocketAddr;
use std::time::Duration;

use cv_adapter::GrowersPlatform;
use cv_adapter_standin::PlatformStore;
use cv_adapter_standin::StandinThread;
use cv_runtime::block_on;
use cv_serving::CoordinationStore;
use cv_serving::PlatformAdapter;
use serde_json::json;

#[test]
fn the_timeout_grows_after_a_failed_call() {
    let store = PlatformStore::default();
    let thread = store.start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the store listens");
    // Longer than the timeout of the first call, and shorter than that of the second.
    store.set_read_delay("slow/", Duration::from_millis(1_100));
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        assert!(client.range("slow/").await.is_err(), "the first call does not time out");
        assert!(client.range("slow/").await.is_ok(), "the second call times out as well");
    })
    .expect("a runtime");
}

/// Starts a store that holds six keys with the prefix `many/`, on pages of two.
fn paged_store() -> (PlatformStore, StandinThread) {
    let store = PlatformStore::default();
    store.set_page_keys(2);
    for number in 0..6 {
        store.write(&format!("many/{number}"), &json!(number));
    }
    let thread = store.start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the store listens");
    (store, thread)
}

#[test]
fn the_recent_revision_counts_keys_behind_the_first_page() {
    let (store, thread) = paged_store();
    store.write("many/4", &json!("changed"));
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        let read = client.range("many/").await.expect("the store responds");
        let newest = read.items.iter().map(|item| item.revision).max();
        assert_eq!(client.recent_revision("many/").await.ok(), newest);
    })
    .expect("a runtime");
}
