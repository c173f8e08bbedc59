//! The entries that a balancer would send calls to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

/// Addresses that may change while a load runs; clones share them.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl AddressBook {
    /// Creates a book of addresses.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self { addresses: Arc::new(Mutex::new(addresses.to_vec())) }
    }

    /// Replaces the addresses.
    ///
    /// # Panics
    /// Panics if a holder of the book has panicked.
    pub fn set(&self, addresses: &[SocketAddr]) {
        *self.addresses.lock().expect("no holder panics") = addresses.to_vec();
    }

    /// Returns the address for a call, each in turn.
    ///
    /// # Panics
    /// Panics if the book is empty.
    #[must_use]
    pub fn pick(&self, call: u64) -> SocketAddr {
        let addresses = self.addresses.lock().expect("no holder panics");
        assert!(!addresses.is_empty(), "the address book is empty");
        addresses[call as usize % addresses.len()]
    }
}
