//! The settings of a process on a platform that fills them in.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::DocumentReader;
use crate::FindingList;
use crate::SettingsDocument;

/// Time between a shutdown signal and the process's forced end, in seconds.
const GRACE_S: f64 = 8.0;

/// The settings of one process, whose configuration and peers lie in a coordination store.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Time between a shutdown signal and the process's forced end.
    pub grace: Duration,
    /// Where calls from the system's own processes arrive.
    pub internal_address: SocketAddr,
    /// Name of the instance.
    pub name: String,
    /// What the process is.
    pub role: NodeRole,
    /// Addresses of instances that were there first; the ports do not matter.
    pub seeds: Vec<SocketAddr>,
    /// Where the coordination store listens.
    pub store: SocketAddr,
    /// Availability zone of the instance.
    pub zone: String,
}

/// What a process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// Takes callers' requests.
    Entry {
        /// Where callers' requests arrive.
        listen: SocketAddr,
        /// Where the platform asks whether the entry takes requests.
        ready: SocketAddr,
    },
    /// Runs batch jobs.
    Keeper,
    /// Stands beside a model target.
    Sidecar {
        /// Where the target listens.
        engine: SocketAddr,
    },
}

impl NodeSettings {
    /// Reads and checks the settings in a document.
    ///
    /// # Errors
    /// All findings together.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let document = SettingsDocument::parse(file, text);
        let settings = document.reader().and_then(read_node);
        document.finish(settings)
    }
}

/// Reads the top level.
fn read_node(reader: DocumentReader<'_>) -> Option<NodeSettings> {
    let role = match reader.choice("role", &["entry", "keeper", "sidecar"]) {
        Some("entry") => reader.required_section("entry").and_then(read_entry),
        Some("keeper") => Some(NodeRole::Keeper),
        Some(_) => reader.required_section("sidecar").and_then(read_sidecar),
        None => {
            // The sections' fields cannot be judged without a role.
            let _ = (reader.section("entry"), reader.section("sidecar"));
            None
        }
    };
    let name = reader.text("name");
    let zone = reader.text("zone");
    let ip = reader.text("ip").and_then(|text| text.parse::<IpAddr>().ok());
    if ip.is_none() {
        reader.report("ip", "`ip` is no address", "write an IP number");
    }
    let port = reader.number("inner_port", 1..=65_535, 0);
    if port == 0 {
        reader.report("inner_port", "`inner_port` is missing", "name a port that is free");
    }
    let seeds = reader.addresses("seeds");
    let store = reader.address("store");
    let grace = reader.seconds("grace_s", 0.0..=3_600.0, GRACE_S);
    reader.finish();
    Some(NodeSettings {
        grace,
        internal_address: SocketAddr::new(ip?, u16::try_from(port).ok()?),
        name: name?.to_owned(),
        role: role?,
        seeds,
        store: store?,
        zone: zone?.to_owned(),
    })
}

/// Reads the section of an entry.
fn read_entry(reader: DocumentReader<'_>) -> Option<NodeRole> {
    let listen = reader.address("listen");
    let ready = reader.address("ready");
    reader.finish();
    Some(NodeRole::Entry { listen: listen?, ready: ready? })
}

/// Reads the section of a sidecar.
fn read_sidecar(reader: DocumentReader<'_>) -> Option<NodeRole> {
    let engine = reader.address("engine");
    reader.finish();
    Some(NodeRole::Sidecar { engine: engine? })
}
