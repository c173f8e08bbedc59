//! Keeps the configuration in force from ever going back.

use serde::Deserialize;
use serde::Serialize;

use super::FleetConfig;

/// One document of the configuration, as the key-value service holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDocument {
    /// Its JSON text.
    pub body: String,
    /// The service's revision of the last change to it.
    pub revision: u64,
}

/// The configuration in force in one process.
///
/// The key-value service's revision orders all changes. A document is taken from whichever source
/// offers it, but only at a higher revision than the one in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    config: FleetConfig,
    document: Option<ConfigDocument>,
    /// Token hashes with the positions of their organisations, sorted by hash.
    tokens: Vec<(String, usize)>,
}

impl ActiveConfig {
    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the document in force, for followers.
    #[must_use]
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }

    /// Returns the revision in force, 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    /// Tells whether callers have to show a token: as soon as one organisation has one.
    #[must_use]
    pub fn requires_tokens(&self) -> bool {
        !self.tokens.is_empty()
    }

    /// Finds the name of the organisation that a token's hash belongs to.
    #[must_use]
    pub fn organisation_of_token(&self, hash: &str) -> Option<&str> {
        let found = self.tokens.binary_search_by(|row| row.0.as_str().cmp(hash));
        let organisation = self.tokens[found.ok()?].1;
        Some(&self.config.organisations[organisation].name)
    }

    /// Brings a document into force if it is newer and well formed; tells whether it did.
    pub fn apply_if_newer(&mut self, document: ConfigDocument) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        let Ok(mut config) = serde_json::from_str::<FleetConfig>(&document.body) else {
            return false;
        };
        config.sort();
        self.tokens = token_index(&config);
        self.config = config;
        self.document = Some(document);
        true
    }
}

/// Lists the token hashes of all organisations, sorted by hash.
fn token_index(config: &FleetConfig) -> Vec<(String, usize)> {
    let mut index = Vec::new();
    for (position, organisation) in config.organisations.iter().enumerate() {
        index.extend(organisation.token_hashes.iter().map(|hash| (hash.clone(), position)));
    }
    index.sort();
    index
}
