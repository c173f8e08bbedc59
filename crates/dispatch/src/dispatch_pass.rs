//! One pass over the waiting items of all jobs, in which services fill up one by one.

/// Tracks which services have no room left for items during one pass.
///
/// Items of all services wait in one order. A service without room says nothing about the others, so
/// the pass ends only once none of them has room.
#[derive(Clone, Debug, Default)]
pub struct DispatchPass {
    /// Services without room, sorted.
    full: Vec<String>,
    /// Services of the routes of all waiting items, sorted.
    services: Vec<String>,
}

impl DispatchPass {
    /// Adds a service to which waiting items may be sent.
    pub fn add_service(&mut self, service: &str) {
        insert_sorted(&mut self.services, service);
    }

    /// Records that a service has no room for another item.
    pub fn record_full(&mut self, service: &str) {
        insert_sorted(&mut self.full, service);
    }

    /// Returns whether an item of a service may still find room.
    #[must_use]
    pub fn may_have_room(&self, service: &str) -> bool {
        self.full.binary_search_by(|full| full.as_str().cmp(service)).is_err()
    }

    /// Returns whether no service has room.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.services.iter().all(|service| !self.may_have_room(service))
    }
}

/// Inserts a name into a sorted list unless the list has it.
fn insert_sorted(names: &mut Vec<String>, name: &str) {
    if let Err(position) = names.binary_search_by(|other| other.as_str().cmp(name)) {
        names.insert(position, name.to_owned());
    }
}
