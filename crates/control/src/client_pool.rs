//! Open connections to peers, by address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::Config;

use crate::ControlFault;
use crate::EntryPeerClient;
use crate::SidecarControlClient;
use crate::open_transport;

/// Longest time to connect to a peer.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// Makes a directory of clients for one kind of peer.
macro_rules! client_pool {
    ($(#[$doc:meta])* $name:ident, $client:ident) => {
        $(#[$doc])*
        #[derive(Debug, Default)]
        pub struct $name {
            rows: RefCell<Vec<(SocketAddr, $client)>>,
        }

        impl $name {
            /// Returns a client for the peer at an address, connecting if there is none.
            ///
            /// # Errors
            /// `Unreachable` if no connection can be made.
            pub async fn client(&self, address: SocketAddr) -> Result<$client, ControlFault> {
                if let Some(client) = self.known(address) {
                    return Ok(client);
                }
                let transport = open_transport(address, CONNECT_PATIENCE).await?;
                let new = $client::new(Config::default(), transport);
                let client = new.client;
                let dispatch = new.dispatch;
                monoio::spawn(async move {
                    // A connection that ends fails its open calls, which tell their callers.
                    let _ = dispatch.await;
                });
                self.keep(address, client.clone());
                Ok(client)
            }

            /// Forgets a peer's connection after a call on it has failed.
            pub fn forget(&self, address: SocketAddr) {
                let mut rows = self.rows.borrow_mut();
                if let Ok(position) = rows.binary_search_by_key(&address, |row| row.0) {
                    rows.remove(position);
                }
            }

            /// Finds an open connection.
            fn known(&self, address: SocketAddr) -> Option<$client> {
                let rows = self.rows.borrow();
                let position = rows.binary_search_by_key(&address, |row| row.0).ok()?;
                Some(rows[position].1.clone())
            }

            /// Keeps a connection for later calls.
            fn keep(&self, address: SocketAddr, client: $client) {
                let mut rows = self.rows.borrow_mut();
                match rows.binary_search_by_key(&address, |row| row.0) {
                    Ok(position) => rows[position].1 = client,
                    Err(position) => rows.insert(position, (address, client)),
                }
            }
        }
    };
}

client_pool!(
    /// Clients of sidecars.
    SidecarClientPool,
    SidecarControlClient
);

client_pool!(
    /// Clients of other entries.
    EntryClientPool,
    EntryPeerClient
);
