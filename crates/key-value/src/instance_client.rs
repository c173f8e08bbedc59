//! A client of the platform's list of instances.

use std::net::SocketAddr;
use std::time::Duration;

use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpLimits;
use cv_policy::routing::TargetListing;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// Timeout for connecting, and for the response to begin.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// One instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Address for control calls.
    pub control: SocketAddr,
    /// Address for requests.
    pub data: SocketAddr,
    /// Whether it has a disk.
    #[serde(default)]
    pub disk: bool,
    /// Whether it is draining.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Its name.
    pub name: String,
    /// Its role, `entry` or `sidecar`.
    pub role: String,
    /// The service of a sidecar's target.
    #[serde(default)]
    pub service: String,
    /// Its availability zone.
    pub zone: String,
}

impl InstanceRecord {
    /// Returns the listing of a sidecar's target; `None` for other roles.
    #[must_use]
    pub fn target_listing(&self) -> Option<TargetListing> {
        (self.role == "sidecar").then(|| TargetListing {
            control: self.control,
            data: self.data,
            draining: self.draining,
            name: self.name.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
        })
    }
}

/// Reads the list of instances.
pub struct InstanceClient {
    address: SocketAddr,
    pool: ConnectionPool,
}

impl InstanceClient {
    /// Creates a client.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: ConnectionPool::new(HttpLimits::default()) }
    }

    /// Reads the list; `None` if the platform does not respond with a valid one.
    pub async fn list(&self) -> Option<Vec<InstanceRecord>> {
        let request = ClientRequest::new(Method::GET, "/instances", "");
        let response =
            self.pool.exchange(self.address, &request, READ_TIMEOUT, MAX_LIST_BYTES).await.ok()?;
        if response.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&response.body).ok()
    }
}
