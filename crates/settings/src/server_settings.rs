//! The settings of a server process.

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
use crate::SettingsDocument;

/// Time for which running requests may go on after a shutdown signal, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 60_000;

/// Longest request body, in bytes.
const BODY_BYTES: u64 = 4 * 1024 * 1024;

/// Time to live of an instance's lease, in milliseconds.
const LEASE_TTL_MS: u64 = 10_000;

/// Items in one chunk of a job, which is what one commit covers.
const CHUNK_ITEMS: u64 = 500;

/// Disks that a journal is written to.
const REPLICAS: u64 = 3;

/// Disks that have to hold a record before it counts as kept.
const MIN_REPLICAS: u64 = 2;

/// Batch requests that an entry keeps under way.
const BATCH_WINDOW: u64 = 256;

/// The settings of one process.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct ServerSettings {
    /// Where control calls from the system's own processes arrive.
    pub control_listen: SocketAddr,
    /// Time for which running requests may go on after a shutdown signal.
    #[builder(default = Duration::from_millis(DRAIN_LIMIT_MS))]
    pub drain_limit: Duration,
    /// The file that events are appended to.
    pub event_file: Option<PathBuf>,
    /// Where requests arrive.
    pub listen: SocketAddr,
    /// Longest request body, in bytes.
    #[builder(default = BODY_BYTES as usize)]
    pub max_body_bytes: usize,
    /// Name of the instance.
    pub name: String,
    /// The platform's services.
    pub platform: PlatformSection,
    /// Region of the availability zone.
    #[builder(default = String::new())]
    pub region: String,
    /// What the process is.
    pub role: RoleSection,
    /// Secret shared by the system's own processes.
    #[builder(default = String::new())]
    pub secret: String,
    /// Availability zone of the instance.
    pub zone: String,
}

/// Where the platform's services are.
#[derive(Clone, Debug, Default)]
pub struct PlatformSection {
    /// The list of instances.
    pub instances: Option<SocketAddr>,
    /// The key-value service; the first that answers is used.
    pub key_value: Vec<SocketAddr>,
}

/// What a process is.
#[derive(Clone, Debug)]
pub enum RoleSection {
    /// An entry instance.
    Entry(EntrySection),
    /// The process beside a target.
    Sidecar(Box<SidecarSection>),
}

/// Settings of an entry.
#[derive(Builder, Clone, Debug)]
pub struct EntrySection {
    /// Batch requests kept under way.
    #[builder(default = BATCH_WINDOW as usize)]
    pub batch_window: usize,
    /// Items in one chunk of a job.
    #[builder(default = CHUNK_ITEMS as u32)]
    pub chunk_items: u32,
    /// Folder for bulk data, on the few instances that have a disk.
    pub data_folder: Option<PathBuf>,
    /// Time to live of the instance's lease.
    #[builder(default = Duration::from_millis(LEASE_TTL_MS))]
    pub lease_ttl: Duration,
    /// Disks that have to hold a record before it counts as kept.
    #[builder(default = MIN_REPLICAS as usize)]
    pub min_replicas: usize,
    /// Disks that a journal is written to.
    #[builder(default = REPLICAS as usize)]
    pub replicas: usize,
    /// How targets are chosen.
    #[builder(default)]
    pub routing: RoutingPolicy,
}

/// Settings of a sidecar.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct SidecarSection {
    /// The queue in front of the target.
    #[builder(default)]
    pub admission: AdmissionSection,
    /// Whether the target refuses orders with an old fencing number.
    #[builder(default)]
    pub checks_fencing: bool,
    /// What the target is.
    #[builder(default)]
    pub kind: ServiceKind,
    /// The service that the target belongs to.
    pub service: String,
    /// Where the target listens.
    pub target: SocketAddr,
}

/// Settings of a sidecar's queue.
#[derive(Clone, Debug)]
pub struct AdmissionSection(pub AdmissionSettings);

impl Default for AdmissionSection {
    fn default() -> Self {
        Self(AdmissionSettings::builder().build())
    }
}

impl ServerSettings {
    /// Reads and checks the settings in a document.
    ///
    /// # Errors
    /// All findings together.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let document = SettingsDocument::parse(file, text);
        let settings = document.reader().and_then(|reader| read_server(reader));
        document.finish(settings)
    }
}

/// Reads the top level.
fn read_server(reader: DocumentReader<'_>) -> Option<ServerSettings> {
    let role = match reader.choice("role", &["entry", "sidecar"]) {
        Some("entry") => {
            let section = reader.section("entry");
            Some(RoleSection::Entry(section.map_or_else(default_entry, read_entry)))
        }
        Some(_) => reader
            .required_section("sidecar")
            .and_then(read_sidecar)
            .map(|section| RoleSection::Sidecar(Box::new(section))),
        None => {
            // The other section's fields cannot be judged without a role.
            let _ = (reader.section("entry"), reader.section("sidecar"));
            None
        }
    };
    let name = reader.text("name");
    let zone = reader.text("zone");
    let region = reader.optional_text("region").unwrap_or_default();
    let listen = reader.address("listen");
    let control_listen = reader.address("control_listen");
    let platform = reader.section("platform").map(read_platform).unwrap_or_default();
    let event_file = reader.optional_text("events").map(PathBuf::from);
    let drain_limit = reader.millis("drain_limit_ms", 0..=3_600_000, DRAIN_LIMIT_MS);
    let max_body_bytes = reader.number("max_body_bytes", 1_024..=67_108_864, BODY_BYTES) as usize;
    let secret = reader.optional_text("secret").unwrap_or_default();
    if listen.is_some_and(|address| address.port() != 0) && listen == control_listen {
        reader.report("control_listen", "`control_listen` equals `listen`", "use another port");
    }
    reader.finish();
    Some(ServerSettings {
        control_listen: control_listen?,
        drain_limit,
        event_file,
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

/// Reads where the platform's services are.
fn read_platform(reader: DocumentReader<'_>) -> PlatformSection {
    let key_value = reader.addresses("key_value");
    let instances = reader.optional_text("instances").and_then(|_| reader.address("instances"));
    reader.finish();
    PlatformSection { instances, key_value }
}

/// Returns the settings of an entry that names none.
fn default_entry() -> EntrySection {
    EntrySection::builder().build()
}

/// Reads the settings of an entry.
fn read_entry(reader: DocumentReader<'_>) -> EntrySection {
    let data_folder = reader.optional_text("data_folder").map(PathBuf::from);
    let batch_window = reader.number("batch_window", 1..=100_000, BATCH_WINDOW) as usize;
    let chunk_items = reader.number("chunk_items", 1..=5_000, CHUNK_ITEMS) as u32;
    let lease_ttl = reader.millis("lease_ttl_ms", 1_000..=600_000, LEASE_TTL_MS);
    let replicas = reader.number("replicas", 1..=5, REPLICAS) as usize;
    let min_replicas = reader.number("min_replicas", 1..=5, MIN_REPLICAS) as usize;
    if min_replicas > replicas {
        let hint = "make it at most `replicas`";
        reader.report("min_replicas", "`min_replicas` is more than `replicas`", hint);
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

/// Reads the settings of a sidecar.
fn read_sidecar(reader: DocumentReader<'_>) -> Option<SidecarSection> {
    let service = reader.text("service");
    let target = reader.address("target");
    let kind = match reader.choice("kind", &["model", "plain"]) {
        Some("model") => ServiceKind::Model,
        _ => ServiceKind::Plain,
    };
    let checks_fencing = reader.flag("checks_fencing", false);
    let admission = reader.section("admission").map(read_admission).unwrap_or_default();
    reader.finish();
    Some(SidecarSection {
        admission,
        checks_fencing,
        kind,
        service: service?.to_owned(),
        target: target?,
    })
}

/// Reads the settings of a sidecar's queue.
fn read_admission(reader: DocumentReader<'_>) -> AdmissionSection {
    let slots = reader.number("slots", 1..=100_000, 32) as u32;
    let beside = reader.number("batch_beside_online", 0..=100_000, 8) as u32;
    let settings = AdmissionSettings::builder()
        .limit(if reader.flag("adaptive", true) {
            LimitPolicy::Adaptive
        } else {
            LimitPolicy::Fixed
        })
        .batch_beside_online(beside)
        .batch_start_interval(reader.millis("batch_start_interval_ms", 0..=10_000, 5))
        .early_refusal(reader.flag("early_refusal", true))
        .order(if reader.flag("fair", true) { QueueOrder::FairShare } else { QueueOrder::Fifo })
        .preemption(reader.flag("preemption", true))
        .reserved_slots(reader.number("reserve", 0..=100_000, 1) as u32)
        .slots(slots)
        .max_waiting(reader.number("waiting", 1..=1_000_000, 256) as usize)
        .build();
    if settings.reserved_slots >= slots {
        reader.report("reserve", "`reserve` leaves no slot", "make it smaller than `slots`");
    }
    reader.finish();
    AdmissionSection(settings)
}
