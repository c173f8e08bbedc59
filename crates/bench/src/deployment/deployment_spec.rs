//! What a deployment consists of.

use std::path::PathBuf;
use std::time::Duration;

use bon::Builder;
use cv_policy::admission::AdmissionSettings;
use cv_policy::routing::RoutingPolicy;
use cv_standin::EngineSettings;
use cv_standin::KeyValueFaults;

/// A service of model engines.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct ModelSpec {
    /// The sidecars' queues.
    #[builder(default = AdmissionSettings::builder().build())]
    pub admission: AdmissionSettings,
    /// The engines.
    #[builder(default = EngineSettings::builder().build())]
    pub engine: EngineSettings,
    /// Its name.
    pub name: String,
    /// Number of replicas.
    pub replicas: usize,
}

/// A plain service.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct PlainSpec {
    /// The sidecars' queues.
    #[builder(default = AdmissionSettings::builder().build())]
    pub admission: AdmissionSettings,
    /// Its name.
    pub name: String,
    /// Whether a request may run more than once.
    #[builder(default)]
    pub repeatable: bool,
    /// Number of replicas.
    pub replicas: usize,
    /// Time of one call.
    #[builder(default = Duration::from_millis(5))]
    pub service_time: Duration,
}

/// A deployment.
#[derive(Builder, Clone, Debug)]
pub struct DeploymentSpec {
    /// Folder for the disks of the entries; without it no entry has a disk.
    pub data: Option<PathBuf>,
    /// Deadline of requests that name none.
    #[builder(default = Duration::from_secs(30))]
    pub deadline: Duration,
    /// Number of entries.
    #[builder(default = 2)]
    pub entries: usize,
    /// Folder for the event files; without it no events are written.
    pub events: Option<PathBuf>,
    /// Faults and limits of the key-value service.
    #[builder(default)]
    pub key_value: KeyValueFaults,
    /// Time to live of the entries' leases.
    #[builder(default = Duration::from_secs(10))]
    pub lease_ttl: Duration,
    /// Time after which changes of the list of instances show.
    #[builder(default = Duration::from_millis(500))]
    pub list_lag: Duration,
    /// Services of model engines.
    #[builder(default)]
    pub models: Vec<ModelSpec>,
    /// Plain services.
    #[builder(default)]
    pub plains: Vec<PlainSpec>,
    /// Whether a fault proxy stands between the entries and each sidecar.
    #[builder(default)]
    pub proxied: bool,
    /// How entries choose targets.
    #[builder(default)]
    pub routing: RoutingPolicy,
    /// Availability zones, over which everything is spread in turn.
    #[builder(default = vec!["fraser-a".to_owned(), "fraser-b".to_owned(), "fraser-c".to_owned()])]
    pub zones: Vec<String>,
}
