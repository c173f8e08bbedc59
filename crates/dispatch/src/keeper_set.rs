//! The live keepers, and which of them owns a batch job.

use std::net::SocketAddr;

use cv_policy::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// A keeper: an instance that runs batch jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperRecord {
    /// Address of its control listener.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Name of the instance.
    pub name: String,
}

/// The live keepers, sorted by name.
///
/// Processes with the same set of keepers agree on the owner of each job.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeeperSet {
    keepers: Vec<KeeperRecord>,
}

impl KeeperRecord {
    /// Encodes the value of the keeper's registration, `ADDRESS ZONE`; its key holds the name.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        format!("{} {}", self.address, self.zone).into_bytes()
    }

    /// Decodes a registration; returns `None` if the value is malformed.
    #[must_use]
    pub fn decode(name: &str, value: &[u8]) -> Option<Self> {
        let (address, zone) = std::str::from_utf8(value).ok()?.split_once(' ')?;
        let (name, zone) = (name.to_owned(), zone.to_owned());
        Some(Self { address: address.parse().ok()?, zone, name })
    }
}

impl KeeperSet {
    /// Inserts a keeper, or replaces the record of the same name.
    pub fn upsert(&mut self, record: KeeperRecord) {
        match self.position(&record.name) {
            Ok(position) => self.keepers[position] = record,
            Err(position) => self.keepers.insert(position, record),
        }
    }

    /// Removes a keeper, if it is in the set.
    pub fn remove(&mut self, name: &str) {
        if let Ok(position) = self.position(name) {
            self.keepers.remove(position);
        }
    }

    /// Encodes the keepers' names, one per line.
    #[must_use]
    pub fn encode_names(&self) -> String {
        let names = self.keepers.iter().map(|keeper| keeper.name.as_str());
        names.collect::<Vec<_>>().join("\n")
    }

    /// Returns whether names encoded by [`Self::encode_names`] contain the given one.
    #[must_use]
    pub fn contains_name(encoded: &[u8], name: &str) -> bool {
        encoded.split(|byte| *byte == b'\n').any(|line| line == name.as_bytes())
    }

    /// Returns the keepers, sorted by name.
    #[must_use]
    pub fn keepers(&self) -> &[KeeperRecord] {
        &self.keepers
    }

    /// Ranks the keepers for a job by rendezvous hashing; the first is the job's owner.
    #[must_use]
    pub fn ranking_for(&self, job: &str) -> Vec<&KeeperRecord> {
        let mut ranked: Vec<(u64, &KeeperRecord)> =
            self.keepers.iter().map(|keeper| (stable_hash(&[job, &keeper.name]), keeper)).collect();
        ranked.sort_by_key(|(hash, _)| *hash);
        ranked.into_iter().map(|(_, keeper)| keeper).collect()
    }

    /// Returns whether the named keeper owns a job.
    #[must_use]
    pub fn is_owner(&self, name: &str, job: &str) -> bool {
        self.ranking_for(job).first().is_some_and(|keeper| keeper.name == name)
    }

    /// Returns the index of the named keeper, or the index at which to insert it.
    fn position(&self, name: &str) -> Result<usize, usize> {
        self.keepers.binary_search_by(|keeper| keeper.name.as_str().cmp(name))
    }
}
