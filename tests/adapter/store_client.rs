//! The client of the platform's store against its stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use cv_adapter::GrowersPlatform;
use cv_adapter_standin::PlatformStore;
use cv_runtime::block_on;
use cv_serving::CoordinationStore;
use cv_serving::PlatformAdapter;

#[test]
fn a_store_that_is_slow_is_given_more_time() {
    let store = PlatformStore::default();
    let thread = store.start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the store listens");
    // Longer than a first call waits, and shorter than the next one does.
    store.set_read_delay("slow/", Duration::from_millis(1_100));
    block_on(async {
        let client = GrowersPlatform::store(thread.address);
        assert!(client.range("slow/").await.is_err(), "a usual store answers sooner");
        assert!(client.range("slow/").await.is_ok(), "a slow one is never heard");
    })
    .expect("a runtime");
}
