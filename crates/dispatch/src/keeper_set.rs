//! Which of the instances that run batch jobs owns a job.

use std::net::SocketAddr;

use cv_policy::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// An instance that runs batch jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperRecord {
    /// Where its control calls arrive.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Name of the instance.
    pub name: String,
}

/// The live keepers, sorted by name; every process that knows the same keepers agrees on owners.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeeperSet {
    keepers: Vec<KeeperRecord>,
}

impl KeeperRecord {
    /// Returns the record as it is registered, without its name.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        format!("{} {}", self.address, self.zone).into_bytes()
    }

    /// Reads a record from its registration.
    #[must_use]
    pub fn decode(name: &str, value: &[u8]) -> Option<Self> {
        let (address, zone) = std::str::from_utf8(value).ok()?.split_once(' ')?;
        let (name, zone) = (name.to_owned(), zone.to_owned());
        Some(Self { address: address.parse().ok()?, zone, name })
    }
}

impl KeeperSet {
    /// Takes a keeper's record.
    pub fn upsert(&mut self, record: KeeperRecord) {
        match self.position(&record.name) {
            Ok(position) => self.keepers[position] = record,
            Err(position) => self.keepers.insert(position, record),
        }
    }

    /// Forgets a keeper.
    pub fn remove(&mut self, name: &str) {
        if let Ok(position) = self.position(name) {
            self.keepers.remove(position);
        }
    }

    /// Returns the names of the keepers, one a line.
    #[must_use]
    pub fn encode_names(&self) -> String {
        let names = self.keepers.iter().map(|keeper| keeper.name.as_str());
        names.collect::<Vec<_>>().join("\n")
    }

    /// Tells whether a list of names has the given one.
    #[must_use]
    pub fn contains_name(encoded: &[u8], name: &str) -> bool {
        encoded.split(|byte| *byte == b'\n').any(|line| line == name.as_bytes())
    }

    /// Returns the keepers, sorted by name.
    #[must_use]
    pub fn keepers(&self) -> &[KeeperRecord] {
        &self.keepers
    }

    /// Returns the keepers in the order in which they own a job, by rendezvous hashing.
    #[must_use]
    pub fn ranking_for(&self, job: &str) -> Vec<&KeeperRecord> {
        let mut ranked: Vec<(u64, &KeeperRecord)> =
            self.keepers.iter().map(|keeper| (stable_hash(&[job, &keeper.name]), keeper)).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, keeper)| keeper).collect()
    }

    /// Tells whether the named keeper owns a job.
    #[must_use]
    pub fn is_owner(&self, name: &str, job: &str) -> bool {
        self.ranking_for(job).first().is_some_and(|keeper| keeper.name == name)
    }

    /// Finds the place of a name.
    fn position(&self, name: &str) -> Result<usize, usize> {
        self.keepers.binary_search_by(|keeper| keeper.name.as_str().cmp(name))
    }
}
