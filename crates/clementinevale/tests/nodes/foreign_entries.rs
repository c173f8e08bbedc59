//! Entries that another writer has left among the targets' registrations.

use std::time::Duration;

use cv_runtime::block_on;
use cv_tests::NodeFleet;
use cv_tests::NodeFleetSize;
use cv_tests::NodeProcess;
use cv_tests::node_caller::CallerOutcome;
use cv_tests::node_caller::request_plain;
use cv_tests::node_caller::request_stream;
use rstest::rstest;

use crate::job_checks::EVENTS_PER_ITEM;
use crate::job_checks::read_all_results;
use crate::job_checks::submit_until_accepted;

/// Time within which a deployment has to serve again once all its machines are back; the shortest of
/// the sites.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

// Guards against a key that ends a page and, sent unencoded in the query of the next read, names
// another position: the list then never ends, lacks targets, or cannot be read at all.
#[rstest]
#[case::ampersand("engine&x=1")]
#[case::plus("engine+x")]
#[case::number_sign("engine#x")]
#[case::percent_sign("engine%7e")]
#[case::blank("engine x")]
fn all_requests_are_served_after_a_restart_beside_a_foreign_entry(#[case] name: &str) {
    let size = NodeFleetSize { engines: 2, entries: 1, keepers: 2 };
    let mut fleet = NodeFleet::start(env!("CARGO_BIN_EXE_clementinevale"), size);
    let entries = fleet.entry_addresses();
    // Each key ends a page.
    fleet.store.set_page_keys(1);
    fleet.store.write_bytes(&format!("servers/{name}"), b"left here by another writer");
    fleet.nodes.iter_mut().for_each(NodeProcess::kill);
    fleet.nodes.iter_mut().for_each(NodeProcess::start);
    let is_ready = fleet.wait_for(RECOVERY_TIMEOUT, |fleet| fleet.is_ready(0));
    assert!(is_ready, "the entry is not ready within {RECOVERY_TIMEOUT:?}");
    block_on(async {
        for number in 0..8 {
            let stream = request_stream(entries[0], "advice", &format!("s{number}"), 12).await;
            assert_eq!(stream, CallerOutcome::Completed);
            let plain = request_plain(entries[0], "orders", &format!("p{number}")).await;
            assert_eq!(plain, CallerOutcome::Completed);
        }
        submit_until_accepted(&entries, "job", 4, EVENTS_PER_ITEM).await;
        read_all_results(&entries, "job", 4).await;
    })
    .expect("the runtime starts");
}
