//! Interned organisation names.

use crate::OrganisationId;

/// Assigns an id to each organisation name, which stays the same while the process runs.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    /// Names with their ids, sorted by name.
    rows: Vec<(String, OrganisationId)>,
}

impl OrganisationTable {
    /// Returns the id of a name, after assigning one if the name is new.
    pub fn intern(&mut self, name: &str) -> OrganisationId {
        match self.rows.binary_search_by(|row| row.0.as_str().cmp(name)) {
            Ok(position) => self.rows[position].1,
            Err(position) => {
                let id = OrganisationId(self.rows.len() as u32);
                self.rows.insert(position, (name.to_owned(), id));
                id
            }
        }
    }
}
