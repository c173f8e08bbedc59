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
use futures::future::join;
use rstest::rstest;
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

#[test]
fn a_range_goes_on_at_the_page_that_was_refused() {
    let (store, thread) = paged_store();
    store.refuse_pages_after("many/3", 2);
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        let read = client.range("many/").await.expect("the refused page is read again");
        let keys: Vec<&str> = read.items.iter().map(|item| item.key.as_str()).collect();
        assert_eq!(keys, ["many/0", "many/1", "many/2", "many/3", "many/4", "many/5"]);
    })
    .expect("a runtime");
    assert_eq!(store.call_count("/kv-range"), 5, "no other page is read twice");
}

#[test]
fn a_range_fails_once_a_page_was_refused_a_few_times() {
    let (store, thread) = paged_store();
    store.refuse_pages_after("many/1", usize::MAX);
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        assert!(client.range("many/").await.is_err());
    })
    .expect("a runtime");
}

// Guards against a key that, sent unencoded, cuts the query short, reads as another key, or makes the
// call malformed.
#[rstest]
#[case::ampersand("&")]
#[case::plus("+")]
#[case::number_sign("#")]
#[case::percent_encoding("%2e")]
#[case::percent_sign("%")]
#[case::blank(" ")]
#[case::equals_sign("=")]
#[case::question_mark("?")]
#[case::slash("/")]
#[case::quote("\"")]
#[case::backslash("\\")]
#[case::line_end("\r\n")]
#[case::control_character("\u{0}")]
#[case::non_ascii("\u{e4}")]
fn a_key_may_hold_any_character(#[case] characters: &str) {
    let store = PlatformStore::default();
    store.set_page_keys(1);
    let odd_key = format!("many/0{characters}1");
    let mut keys = ["many/0", odd_key.as_str(), "many/0\u{e4}2", "many/1"];
    for key in keys {
        store.write(key, &json!(key));
    }
    keys.sort_unstable();
    let thread = store.start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the store listens");
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        let read = monoio::time::timeout(Duration::from_secs(5), client.range("many/")).await;
        let read = read.expect("the range ends").expect("the store responds");
        let read_keys: Vec<&str> = read.items.iter().map(|item| item.key.as_str()).collect();
        assert_eq!(read_keys, keys);
        let item = client.get(&odd_key).await.expect("the store responds").expect("the key exists");
        assert_eq!(item.key, odd_key);
        let below = client.range(&odd_key).await.expect("the store responds");
        assert_eq!(below.items, [item]);
        let watched = client.watch(&odd_key, 0, Duration::ZERO).await.expect("the store responds");
        assert_eq!(watched.changes.len(), 1);
        let newest = read.items.iter().map(|item| item.revision).max();
        assert_eq!(client.recent_revision("many/").await.ok(), newest);
    })
    .expect("a runtime");
}

// Guards against one unreadable value that makes the answers about all other keys unreadable.
#[test]
fn a_value_that_is_not_base64_leaves_the_others_readable() {
    let (store, thread) = paged_store();
    store.write_encoded("many/3", "not base64!");
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        let read = client.range("many/").await.expect("the other values can be read");
        let values: Vec<&[u8]> = read.items.iter().map(|item| item.value.as_slice()).collect();
        assert_eq!(values, [&b"0"[..], b"1", b"2", b"", b"4", b"5"]);
        let watched = client.watch("many/", 0, Duration::ZERO).await.expect("the store responds");
        assert_eq!(watched.changes.len(), 7);
        let item = client.get("many/3").await.expect("the store responds");
        assert!(item.is_some_and(|item| item.value.is_empty()));
    })
    .expect("a runtime");
}

#[test]
fn slow_reads_succeed_beside_quick_calls() {
    let store = PlatformStore::default();
    let thread = store.start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the store listens");
    store.set_read_delay("slow/keys/", Duration::from_millis(900));
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        let quick_call = async || {
            for _ in 0..20 {
                monoio::time::sleep(Duration::from_millis(50)).await;
                assert!(client.get("quick").await.is_ok());
            }
        };
        let (first, ()) = join(client.range("slow/keys/"), quick_call()).await;
        assert!(first.is_err(), "the first read does not time out");
        for _ in 0..2 {
            let (read, ()) = join(client.range("slow/keys/"), quick_call()).await;
            assert!(read.is_ok(), "a later read times out as well");
        }
    })
    .expect("a runtime");
}
