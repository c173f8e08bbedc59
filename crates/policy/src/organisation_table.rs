//! Numbers for the names of organisations.

use crate::OrganisationId;

/// Gives each name a number, the same one for as long as the process runs.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    /// Names with their numbers, sorted by name.
    rows: Vec<(String, OrganisationId)>,
}

impl OrganisationTable {
    /// Returns the number of a name, a new one for a new name.
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
