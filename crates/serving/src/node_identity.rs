//! Who this process is.

use std::net::IpAddr;
use std::net::SocketAddr;

/// The identity and the addresses of one process.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Address of the instance.
    pub ip: IpAddr,
    /// Name of the instance.
    pub name: String,
    /// Port of the calls between the system's own processes, the same on all instances.
    pub internal_port: u16,
    /// Where instances that were there first take calls from the system's own processes.
    pub seeds: Vec<SocketAddr>,
    /// Availability zone of the instance.
    pub zone: String,
}

impl NodeIdentity {
    /// Returns where calls from the system's own processes arrive.
    #[must_use]
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port)
    }

    /// Returns where the sidecar of a target at `address` takes calls.
    #[must_use]
    pub fn sidecar_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(address.ip(), self.internal_port)
    }
}
