//! A target of a fleet that responds with raw bytes.

use cv_standin::RawResponder;
use cv_standin::RawServer;

use crate::NodeFleet;

/// What a raw target stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RawTargetKind {
    /// A replica of the plain service.
    Plain,
    /// An engine without a sidecar.
    Engine,
    /// An engine with a sidecar.
    EngineWithSidecar,
}

/// A target that responds with raw bytes, and its sidecar if it has one.
#[derive(Debug)]
pub struct RawTarget {
    /// Last octet of its address.
    pub host: u8,
    /// The id by which it is registered.
    pub id: String,
    /// The server of the raw bytes.
    pub server: RawServer,
}

impl RawTarget {
    /// Adds a target to a fleet, which responds as `respond` decides.
    ///
    /// # Panics
    /// Panics if its server or its sidecar does not start.
    pub fn add(fleet: &mut NodeFleet, kind: RawTargetKind, respond: impl RawResponder) -> Self {
        let index =
            fleet.nodes.iter().filter(|node| node.name.starts_with("sidecar")).count() as u8;
        let host = 40 + index;
        let address = fleet.target_address(host);
        let server = RawServer::start(address, respond).expect("the raw server starts");
        if kind == RawTargetKind::EngineWithSidecar {
            fleet.start_sidecar(host, address);
        }
        let service = if kind == RawTargetKind::Plain { "plain" } else { "engine" };
        let id = format!("raw-{service}-{host}");
        fleet.register(&id, "ready");
        Self { host, id, server }
    }
}
