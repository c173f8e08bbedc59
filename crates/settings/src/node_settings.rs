//! Settings of a node, a process whose settings file the platform writes.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::DocumentReader;
use crate::FindingList;
use crate::ProcessLimits;
use crate::SettingsDocument;

/// Default for [`NodeSettings::grace`], in seconds.
const DEFAULT_GRACE_S: f64 = 8.0;

/// Default for [`ZoneSettings::latency`], in seconds.
const DEFAULT_ZONE_LATENCY_S: f64 = 0.0015;

/// Default for [`ZoneSettings::transfer_cost`], in seconds: what the fixed penalty of 0.6 requests on
/// a target of eight slots is with requests of 0.4 s.
const DEFAULT_TRANSFER_COST_S: f64 = 0.03;

/// Settings of one node; the configuration and the list of peers are read from the coordination
/// store.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Time from the shutdown signal until the platform kills the process.
    pub grace: Duration,
    /// Address for calls from the system's other processes.
    pub internal_address: SocketAddr,
    /// Listen address for the HTTP requests among these calls; differs from `internal_address` only
    /// if they arrive through a proxy.
    pub internal_listen: SocketAddr,
    /// Memory and file descriptors of the instance.
    pub limits: ProcessLimits,
    /// Name of the instance.
    pub name: String,
    /// Role of the process.
    pub role: NodeRole,
    /// Addresses of instances that were started earlier; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Address of the coordination store.
    pub store: SocketAddr,
    /// Availability zone of the instance.
    pub zone: String,
}

/// Role of a node and the settings that only this role has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// Accepts callers' requests.
    Entry {
        /// Listen address for callers' requests.
        listen: SocketAddr,
        /// Listen address for the platform's readiness probes.
        ready: SocketAddr,
        /// What traffic between zones costs, if their load decides how much there is.
        zones: Option<ZoneSettings>,
    },
    /// Runs batch jobs.
    Keeper,
    /// Runs beside a model target and forwards requests to it.
    Sidecar {
        /// Address of the target.
        engine: SocketAddr,
    },
}

/// What traffic between availability zones costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneSettings {
    /// Latency between two zones in one direction.
    pub latency: Duration,
    /// Wait that a request accepts rather than to have its bytes sent between zones.
    pub transfer_cost: Duration,
}

impl NodeSettings {
    /// Parses and checks a settings file; `file` is its name in findings.
    ///
    /// # Errors
    /// All findings in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let document = SettingsDocument::parse(file, text);
        let settings = document.reader().and_then(read_node_settings);
        document.finish(settings)
    }
}

/// Reads the top-level fields.
fn read_node_settings(reader: DocumentReader<'_>) -> Option<NodeSettings> {
    let role = match reader.choice("role", &["entry", "keeper", "sidecar"]) {
        Some("entry") => reader.required_section("entry").and_then(read_entry_section),
        Some("keeper") => Some(NodeRole::Keeper),
        Some(_) => reader.required_section("sidecar").and_then(read_sidecar_section),
        None => {
            // Marks both sections as known: without a valid role, neither can be checked.
            let _ = (reader.section("entry"), reader.section("sidecar"));
            None
        }
    };
    let name = reader.text("name");
    let zone = reader.text("zone");
    let ip_text = reader.text("ip");
    let ip = ip_text.and_then(|text| text.parse::<IpAddr>().ok());
    if ip_text.is_some() && ip.is_none() {
        reader.report("ip", "`ip` is not an IP address", "an IPv4 or IPv6 address without a port");
    }
    let port = reader.required_number("inner_port", 1..=65_535);
    let has_listen = reader.optional_text("inner_listen").is_some();
    let internal_listen = has_listen.then(|| reader.address("inner_listen"));
    let seeds = reader.addresses("seeds");
    let store = reader.address("store");
    let grace = reader.seconds("grace_s", 0.0..=3_600.0, DEFAULT_GRACE_S);
    let limits = ProcessLimits::read(&reader);
    reader.finish();
    let internal_address = SocketAddr::new(ip?, u16::try_from(port?).ok()?);
    Some(NodeSettings {
        grace,
        internal_address,
        internal_listen: internal_listen.unwrap_or(Some(internal_address))?,
        limits,
        name: name?.to_owned(),
        role: role?,
        seeds,
        store: store?,
        zone: zone?.to_owned(),
    })
}

/// Reads the section of the entry role.
fn read_entry_section(reader: DocumentReader<'_>) -> Option<NodeRole> {
    let listen = reader.address("listen");
    let ready = reader.address("ready");
    let zones = reader.section("zones").map(|zones| {
        let latency = zones.seconds("latency_s", 0.0..=1.0, DEFAULT_ZONE_LATENCY_S);
        let transfer_cost = zones.seconds("transfer_cost_s", 0.0..=5.0, DEFAULT_TRANSFER_COST_S);
        zones.finish();
        ZoneSettings { latency, transfer_cost }
    });
    reader.finish();
    Some(NodeRole::Entry { listen: listen?, ready: ready?, zones })
}

/// Reads the section of the sidecar role.
fn read_sidecar_section(reader: DocumentReader<'_>) -> Option<NodeRole> {
    let engine = reader.address("engine");
    reader.finish();
    Some(NodeRole::Sidecar { engine: engine? })
}
