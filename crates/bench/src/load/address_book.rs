//! The entry addresses that a load generator calls, as a load balancer would.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

/// Entry addresses that may change while a load runs; clones share one list.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl AddressBook {
    /// Creates an address book with the given addresses.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self { addresses: Arc::new(Mutex::new(addresses.to_vec())) }
    }

    /// Replaces all addresses.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn set(&self, addresses: &[SocketAddr]) {
        *self.addresses.lock().expect("no thread panics while it holds the lock") =
            addresses.to_vec();
    }

    /// Returns the address for the call with the given number, in round-robin order.
    ///
    /// # Panics
    /// Panics if there are no addresses.
    #[must_use]
    pub fn address_for(&self, call: u64) -> SocketAddr {
        let addresses = self.addresses.lock().expect("no thread panics while it holds the lock");
        assert!(!addresses.is_empty(), "the address book must hold at least one address");
        addresses[call as usize % addresses.len()]
    }
}
