//! Sample target lists for routing tests.

use std::net::SocketAddr;

use cv_policy::routing::TargetListing;

/// Returns `count` targets of one model, spread over 13 zones.
pub(crate) fn listings(count: usize) -> Vec<TargetListing> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    (0..count)
        .map(|index| TargetListing {
            control: address,
            data: address,
            draining: false,
            name: format!("replica-{index}"),
            service: "assist-llm".to_owned(),
            zone: format!("zone-{}", index % 13),
        })
        .collect()
}
