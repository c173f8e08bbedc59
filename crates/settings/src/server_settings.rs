//! Settings of a server process, which is an entry or a sidecar.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bon::Builder;
use cv_policy::admission::AdmissionSettings;
use cv_policy::admission::LimitPolicy;
use cv_policy::admission::QueueOrder;
use cv_policy::config::ServiceKind;
use cv_policy::routing::RoutingPolicy;

use crate::DocumentReader;
use crate::FindingList;
use crate::ProcessLimits;
use crate::SettingsDocument;

/// Default for [`ServerSettings::drain_limit`], in milliseconds.
const DEFAULT_DRAIN_LIMIT_MS: u64 = 60_000;

/// Default for [`ServerSettings::max_body_bytes`].
const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// Default for [`EntrySection::lease_ttl`], in milliseconds.
const DEFAULT_LEASE_TTL_MS: u64 = 10_000;

/// Default for [`EntrySection::chunk_items`].
const DEFAULT_CHUNK_ITEMS: u64 = 500;

/// Default for [`EntrySection::replicas`].
const DEFAULT_REPLICAS: u64 = 3;

/// Default for [`EntrySection::min_replicas`].
const DEFAULT_MIN_REPLICAS: u64 = 2;

/// Default for [`EntrySection::batch_window`].
const DEFAULT_BATCH_WINDOW: u64 = 256;

/// Settings of one server process.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct ServerSettings {
    /// Listen address for control calls from the system's other processes.
    pub control_listen: SocketAddr,
    /// Maximum time that running requests may take to finish after a shutdown signal.
    #[builder(default = Duration::from_millis(DEFAULT_DRAIN_LIMIT_MS))]
    pub drain_limit: Duration,
    /// File that events are appended to; without it no events are written.
    pub event_file: Option<PathBuf>,
    /// Memory and file descriptors of the machine.
    #[builder(default)]
    pub limits: ProcessLimits,
    /// Listen address for requests.
    pub listen: SocketAddr,
    /// Maximum length of a request body.
    #[builder(default = DEFAULT_MAX_BODY_BYTES as usize)]
    pub max_body_bytes: usize,
    /// Name of the instance.
    pub name: String,
    /// Addresses of the platform's services.
    pub platform: PlatformSection,
    /// Region of the availability zone.
    #[builder(default = String::new())]
    pub region: String,
    /// Role of the process.
    pub role: RoleSection,
    /// Secret shared by the system's processes, which authenticates control calls.
    #[builder(default = String::new())]
    pub secret: String,
    /// Availability zone of the instance.
    pub zone: String,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Default)]
pub struct PlatformSection {
    /// Address of the service that lists the instances.
    pub instances: Option<SocketAddr>,
    /// Addresses of the key-value store; the first that responds is used.
    pub key_value: Vec<SocketAddr>,
}

/// Role of a process and the settings that only this role has.
#[derive(Clone, Debug)]
pub enum RoleSection {
    /// Accepts callers' requests.
    Entry(EntrySection),
    /// Runs beside a target and forwards requests to it.
    Sidecar(Box<SidecarSection>),
}

/// Settings of the entry role.
#[derive(Builder, Clone, Debug)]
pub struct EntrySection {
    /// Maximum number of batch requests in flight.
    #[builder(default = DEFAULT_BATCH_WINDOW as usize)]
    pub batch_window: usize,
    /// Number of items in one chunk of a job; one commit covers one chunk.
    #[builder(default = DEFAULT_CHUNK_ITEMS as u32)]
    pub chunk_items: u32,
    /// Folder for bulk data; set only on the few instances that have a disk.
    pub data_folder: Option<PathBuf>,
    /// Time to live of the instance's lease.
    #[builder(default = Duration::from_millis(DEFAULT_LEASE_TTL_MS))]
    pub lease_ttl: Duration,
    /// Number of disks that must hold a record before it counts as durable.
    #[builder(default = DEFAULT_MIN_REPLICAS as usize)]
    pub min_replicas: usize,
    /// Number of disks that a journal is written to.
    #[builder(default = DEFAULT_REPLICAS as usize)]
    pub replicas: usize,
    /// How targets are chosen.
    #[builder(default)]
    pub routing: RoutingPolicy,
}

/// Settings of the sidecar role.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct SidecarSection {
    /// Settings of the admission queue in front of the target.
    #[builder(default)]
    pub admission: AdmissionSection,
    /// Whether the target itself rejects orders with an outdated fencing number.
    #[builder(default)]
    pub checks_fencing: bool,
    /// Kind of the service.
    #[builder(default)]
    pub kind: ServiceKind,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address of the target.
    pub target: SocketAddr,
}

/// Settings of a sidecar's admission queue.
#[derive(Clone, Debug)]
pub struct AdmissionSection(pub AdmissionSettings);

impl Default for AdmissionSection {
    fn default() -> Self {
        Self(AdmissionSettings::builder().build())
    }
}

impl ServerSettings {
    /// Parses and checks a settings file; `file` is its name in findings.
    ///
    /// # Errors
    /// All findings in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let document = SettingsDocument::parse(file, text);
        let settings = document.reader().and_then(|reader| read_server_settings(reader));
        document.finish(settings)
    }
}

/// Reads the top-level fields.
fn read_server_settings(reader: DocumentReader<'_>) -> Option<ServerSettings> {
    let role = match reader.choice("role", &["entry", "sidecar"]) {
        Some("entry") => {
            let section = reader.section("entry");
            Some(RoleSection::Entry(section.map_or_else(default_entry_section, read_entry_section)))
        }
        Some(_) => reader
            .required_section("sidecar")
            .and_then(read_sidecar_section)
            .map(|section| RoleSection::Sidecar(Box::new(section))),
        None => {
            // Marks both sections as known: without a valid role, neither can be checked.
            let _ = (reader.section("entry"), reader.section("sidecar"));
            None
        }
    };
    let name = reader.text("name");
    let zone = reader.text("zone");
    let region = reader.optional_text("region").unwrap_or_default();
    let listen = reader.address("listen");
    let control_listen = reader.address("control_listen");
    let platform = reader.section("platform").map(read_platform_section).unwrap_or_default();
    let event_file = reader.optional_text("events").map(PathBuf::from);
    let drain_limit = reader.millis("drain_limit_ms", 0..=3_600_000, DEFAULT_DRAIN_LIMIT_MS);
    let max_body_bytes =
        reader.number("max_body_bytes", 1_024..=67_108_864, DEFAULT_MAX_BODY_BYTES) as usize;
    let secret = reader.optional_text("secret").unwrap_or_default();
    if listen.is_some_and(|address| address.port() != 0) && listen == control_listen {
        reader.report("control_listen", "`control_listen` equals `listen`", "use a different port");
    }
    let limits = ProcessLimits::read(&reader);
    reader.finish();
    Some(ServerSettings {
        control_listen: control_listen?,
        drain_limit,
        event_file,
        limits,
        listen: listen?,
        max_body_bytes,
        name: name?.to_owned(),
        platform,
        region: region.to_owned(),
        role: role?,
        secret: secret.to_owned(),
        zone: zone?.to_owned(),
    })
}

/// Reads the addresses of the platform's services.
fn read_platform_section(reader: DocumentReader<'_>) -> PlatformSection {
    let key_value = reader.addresses("key_value");
    let instances = reader.optional_text("instances").and_then(|_| reader.address("instances"));
    reader.finish();
    PlatformSection { instances, key_value }
}

/// Returns the settings of an entry whose file has no `entry` section.
fn default_entry_section() -> EntrySection {
    EntrySection::builder().build()
}

/// Reads the section of the entry role.
fn read_entry_section(reader: DocumentReader<'_>) -> EntrySection {
    let data_folder = reader.optional_text("data_folder").map(PathBuf::from);
    let batch_window = reader.number("batch_window", 1..=100_000, DEFAULT_BATCH_WINDOW) as usize;
    let chunk_items = reader.number("chunk_items", 1..=5_000, DEFAULT_CHUNK_ITEMS) as u32;
    let lease_ttl = reader.millis("lease_ttl_ms", 1_000..=600_000, DEFAULT_LEASE_TTL_MS);
    let replicas = reader.number("replicas", 1..=5, DEFAULT_REPLICAS) as usize;
    let min_replicas = reader.number("min_replicas", 1..=5, DEFAULT_MIN_REPLICAS) as usize;
    if min_replicas > replicas {
        let hint = "set it to at most `replicas`";
        reader.report("min_replicas", "`min_replicas` is greater than `replicas`", hint);
    }
    let routing = match reader
        .optional_text("routing")
        .map(|_| reader.choice("routing", &["bounded_affinity", "two_choices", "round_robin"]))
    {
        Some(Some("two_choices")) => RoutingPolicy::TwoChoices,
        Some(Some("round_robin")) => RoutingPolicy::RoundRobin,
        _ => RoutingPolicy::BoundedAffinity,
    };
    reader.finish();
    EntrySection {
        batch_window,
        chunk_items,
        data_folder,
        lease_ttl,
        min_replicas,
        replicas,
        routing,
    }
}

/// Reads the section of the sidecar role.
fn read_sidecar_section(reader: DocumentReader<'_>) -> Option<SidecarSection> {
    let service = reader.text("service");
    let target = reader.address("target");
    let kind = match reader.choice("kind", &["model", "plain"]) {
        Some("model") => ServiceKind::Model,
        _ => ServiceKind::Plain,
    };
    let checks_fencing = reader.flag("checks_fencing", false);
    let admission = reader.section("admission").map(read_admission_section).unwrap_or_default();
    reader.finish();
    Some(SidecarSection {
        admission,
        checks_fencing,
        kind,
        service: service?.to_owned(),
        target: target?,
    })
}

/// Reads the settings of a sidecar's admission queue.
fn read_admission_section(reader: DocumentReader<'_>) -> AdmissionSection {
    let slots = reader.number("slots", 1..=100_000, 32) as u32;
    let batch_beside_online = reader.number("batch_beside_online", 0..=100_000, 8) as u32;
    let settings = AdmissionSettings::builder()
        .limit(if reader.flag("adaptive", true) {
            LimitPolicy::Adaptive
        } else {
            LimitPolicy::Fixed
        })
        .batch_beside_online(batch_beside_online)
        .batch_start_interval(reader.millis("batch_start_interval_ms", 0..=10_000, 5))
        .early_refusal(reader.flag("early_refusal", true))
        .order(if reader.flag("fair", true) { QueueOrder::FairShare } else { QueueOrder::Fifo })
        .preemption(reader.flag("preemption", true))
        .reserved_slots(reader.number("reserve", 0..=100_000, 1) as u32)
        .slots(slots)
        .max_waiting(reader.number("waiting", 1..=1_000_000, 256) as usize)
        .build();
    if settings.reserved_slots >= slots {
        reader.report(
            "reserve",
            "`reserve` leaves no slot for batch requests",
            "set it below `slots`",
        );
    }
    reader.finish();
    AdmissionSection(settings)
}
