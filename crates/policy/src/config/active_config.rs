//! The active configuration of a process, whose revision only increases.

use serde::Deserialize;
use serde::Serialize;

use super::FleetConfig;

/// A revision of the configuration document, as stored in the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDocument {
    /// JSON text of a [`FleetConfig`].
    pub body: String,
    /// Revision of the key-value service at which the document was last changed.
    pub revision: u64,
}

/// The active configuration of one process.
///
/// Revisions of the key-value service order all changes. A document may come from any source, but
/// replaces the active one only if its revision is higher.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    config: FleetConfig,
    document: Option<ConfigDocument>,
    /// Token hashes with the indices of their organisations, sorted by hash.
    token_index: Vec<(String, usize)>,
}

impl ActiveConfig {
    /// Returns the active configuration.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the active document, for distribution to other processes.
    #[must_use]
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }

    /// Returns the active revision, 0 before the first document.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    /// Returns whether callers must authenticate, which holds once any organisation has a token.
    #[must_use]
    pub fn requires_tokens(&self) -> bool {
        !self.token_index.is_empty()
    }

    /// Returns the name of the organisation that a token hash belongs to.
    #[must_use]
    pub fn organisation_of_token(&self, hash: &str) -> Option<&str> {
        let found = self.token_index.binary_search_by(|row| row.0.as_str().cmp(hash));
        let organisation = self.token_index[found.ok()?].1;
        Some(&self.config.organisations[organisation].name)
    }

    /// Activates a document if it is newer than the active one and valid. Returns whether it did.
    pub fn apply_if_newer(&mut self, document: ConfigDocument) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        let Ok(mut config) = serde_json::from_str::<FleetConfig>(&document.body) else {
            return false;
        };
        config.sort();
        self.token_index = build_token_index(&config);
        self.config = config;
        self.document = Some(document);
        true
    }
}

/// Returns the token hashes of all organisations with the organisations' indices, sorted by hash.
fn build_token_index(config: &FleetConfig) -> Vec<(String, usize)> {
    let mut index = Vec::new();
    for (position, organisation) in config.organisations.iter().enumerate() {
        index.extend(organisation.token_hashes.iter().map(|hash| (hash.clone(), position)));
    }
    index.sort();
    index
}
