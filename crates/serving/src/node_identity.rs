//! The identity of this process.

use std::net::IpAddr;
use std::net::SocketAddr;

/// The name and the addresses of one process.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// IP address of the instance.
    pub ip: IpAddr,
    /// Name of the instance.
    pub name: String,
    /// Address on which requests from the system's own processes are accepted.
    pub internal_listen: SocketAddr,
    /// Port for requests between the system's own processes, the same on all instances.
    pub internal_port: u16,
    /// Internal addresses of the seed instances, which can be asked before the view is loaded.
    pub seeds: Vec<SocketAddr>,
    /// Availability zone of the instance.
    pub zone: String,
}

impl NodeIdentity {
    /// Returns the address for requests from the system's own processes.
    #[must_use]
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port)
    }

    /// Returns the address of the sidecar of a target at `address`.
    #[must_use]
    pub fn sidecar_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(address.ip(), self.internal_port)
    }
}
