//! Targets for tests of routing.

use std::net::SocketAddr;

use cv_policy::routing::TargetListing;

/// Lists the targets of one model over 13 zones.
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
