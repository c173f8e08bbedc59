//! Watches of the platform's store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use cv_adapter::GrowersPlatform;
use cv_adapter_standin::PlatformStore;
use cv_adapter_standin::StandinThread;
use cv_policy::SeededRandom;
use cv_runtime::block_on;
use cv_serving::PlatformAdapter;
use cv_serving::PrefixWatcher;
use cv_serving::StoreHealth;
use cv_serving::StoreUpdate;
use cv_serving::WatchedPrefix;
use cv_standin::FaultMode;
use cv_standin::FaultProxy;
use cv_timeline::LineLog;
use cv_timer::ProcessClock;
use serde_json::json;

/// Time in which a watch that misses a change is noticed once the store is back.
const NOTICE_TIME: Duration = Duration::from_secs(5);

/// Number of keys of each snapshot that a watcher has reported.
type SnapshotSizes = RefCell<Vec<usize>>;

/// Watches keys through a proxy while `script` runs; returns the sizes of all snapshots.
fn watch_during(
    address: SocketAddr,
    keys: WatchedPrefix<'_>,
    script: impl AsyncFnOnce(&SnapshotSizes, &StoreHealth),
) -> Vec<usize> {
    let sizes = SnapshotSizes::default();
    block_on(async {
        let store_health = StoreHealth::new(ProcessClock::new(), LineLog::disabled());
        let store = GrowersPlatform::store(address);
        let watcher = PrefixWatcher {
            interval: Duration::from_millis(20),
            store_health: &store_health,
            keys,
            random: SeededRandom::new(1),
            store: &store,
        };
        let apply = |update| {
            if let StoreUpdate::Snapshot(items) = update {
                sizes.borrow_mut().push(items.len());
            }
        };
        monoio::select! {
            () = watcher.run(apply) => {}
            () = script(&sizes, &store_health) => {}
        }
    })
    .expect("a runtime");
    sizes.into_inner()
}

/// Waits until the last of the snapshots has a number of keys, for [`NOTICE_TIME`] at most.
async fn wait_for_size(sizes: &SnapshotSizes, size: usize) {
    let wait = async {
        while sizes.borrow().last() != Some(&size) {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = monoio::time::timeout(NOTICE_TIME, wait).await;
}

/// Starts a store that holds two keys, and a proxy in front of it.
fn proxied_store() -> (PlatformStore, StandinThread, FaultProxy) {
    let store = PlatformStore::default();
    store.write("watched/dead", &json!(1));
    store.write("watched/live", &json!(1));
    let thread = store.start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the store listens");
    let proxy = FaultProxy::start(thread.address).expect("the proxy starts");
    (store, thread, proxy)
}

// Guards against a dead keeper that stays, because the watch that survived lacks its removal.
#[test]
fn keys_are_read_again_once_the_store_is_back() {
    let (store, _thread, proxy) = proxied_store();
    let sizes = watch_during(proxy.address(), "watched/".into(), async |sizes, _| {
        wait_for_size(sizes, 2).await;
        proxy.set_mode(FaultMode::HalfOpen);
        store.delete("watched/dead");
        monoio::time::sleep(Duration::from_secs(4)).await;
        proxy.set_mode(FaultMode::Pass);
        wait_for_size(sizes, 1).await;
    });
    assert_eq!(sizes, [2, 1]);
}

// Guards against a dead keeper that a peer's view has brought back.
#[test]
fn keys_are_read_again_after_a_view_was_copied() {
    let (_store, _thread, proxy) = proxied_store();
    let sizes = watch_during(proxy.address(), "watched/".into(), async |sizes, store_health| {
        wait_for_size(sizes, 2).await;
        sizes.borrow_mut().push(0);
        store_health.record_missed_changes();
        wait_for_size(sizes, 2).await;
    });
    assert_eq!(sizes, [2, 0, 2]);
}

// Guards against a marker that makes each change of its keys look like a missed one.
#[test]
fn changes_with_their_marker_leave_a_watch_alone() {
    let (store, _thread, proxy) = proxied_store();
    let keys = WatchedPrefix::from("watched/").with_marker("watched/newest");
    let sizes = watch_during(proxy.address(), keys, async |sizes, _| {
        wait_for_size(sizes, 2).await;
        for number in 0..3 {
            store.write("watched/newest", &json!(number));
            monoio::time::sleep(Duration::from_millis(1_100)).await;
        }
    });
    assert_eq!(sizes, [2]);
}
