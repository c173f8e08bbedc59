//! Pools of connected clients, by peer address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::Config;

use crate::ControlFault;
use crate::EntryPeerClient;
use crate::SidecarControlClient;
use crate::open_transport;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Defines a pool of clients for one kind of peer.
macro_rules! define_client_pool {
    ($(#[$doc:meta])* $name:ident, $client:ident) => {
        $(#[$doc])*
        #[derive(Debug, Default)]
        pub struct $name {
            clients: RefCell<Vec<(SocketAddr, $client)>>,
        }

        impl $name {
            /// Returns the client for the peer at an address, connecting if the pool has none.
            ///
            /// # Errors
            /// `Unreachable` if no connection can be made.
            pub async fn client(&self, address: SocketAddr) -> Result<$client, ControlFault> {
                if let Some(client) = self.get(address) {
                    return Ok(client);
                }
                let transport = open_transport(address, CONNECT_TIMEOUT).await?;
                let new = $client::new(Config::default(), transport);
                let client = new.client;
                let dispatch = new.dispatch;
                monoio::spawn(async move {
                    // When the connection closes, its pending calls return the error.
                    let _ = dispatch.await;
                });
                self.insert(address, client.clone());
                Ok(client)
            }

            /// Removes a peer's client after a call on its connection has failed.
            pub fn forget(&self, address: SocketAddr) {
                let mut clients = self.clients.borrow_mut();
                if let Ok(position) = clients.binary_search_by_key(&address, |row| row.0) {
                    clients.remove(position);
                }
            }

            /// Looks up the client of an address.
            fn get(&self, address: SocketAddr) -> Option<$client> {
                let clients = self.clients.borrow();
                let position = clients.binary_search_by_key(&address, |row| row.0).ok()?;
                Some(clients[position].1.clone())
            }

            /// Adds a client, or replaces the one of the same address.
            fn insert(&self, address: SocketAddr, client: $client) {
                let mut clients = self.clients.borrow_mut();
                match clients.binary_search_by_key(&address, |row| row.0) {
                    Ok(position) => clients[position].1 = client,
                    Err(position) => clients.insert(position, (address, client)),
                }
            }
        }
    };
}

define_client_pool!(
    /// Clients for calls to sidecars.
    SidecarClientPool,
    SidecarControlClient
);

define_client_pool!(
    /// Clients for calls to other entries.
    EntryClientPool,
    EntryPeerClient
);
