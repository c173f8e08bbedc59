//! The specification of a deployment.

use std::path::PathBuf;
use std::time::Duration;

use bon::Builder;
use cv_policy::admission::AdmissionSettings;
use cv_policy::routing::RoutingPolicy;
use cv_standin::EngineSettings;
use cv_standin::KeyValueFaults;

/// A model service and its engines.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct ModelSpec {
    /// Admission settings of the sidecars' queues.
    #[builder(default = AdmissionSettings::builder().build())]
    pub admission: AdmissionSettings,
    /// Settings of the engines.
    #[builder(default = EngineSettings::builder().build())]
    pub engine: EngineSettings,
    /// Name of the service.
    pub name: String,
    /// Number of replicas.
    pub replicas: usize,
}

/// A plain service.
#[derive(Builder, Clone, Debug)]
#[builder(on(String, into))]
pub struct PlainSpec {
    /// Admission settings of the sidecars' queues.
    #[builder(default = AdmissionSettings::builder().build())]
    pub admission: AdmissionSettings,
    /// Name of the service.
    pub name: String,
    /// Whether a request may run more than once.
    #[builder(default)]
    pub repeatable: bool,
    /// Number of replicas.
    pub replicas: usize,
    /// Processing time of one call.
    #[builder(default = Duration::from_millis(5))]
    pub service_time: Duration,
}

/// A deployment of entries, services and platform stand-ins.
#[derive(Builder, Clone, Debug)]
pub struct DeploymentSpec {
    /// Folder for the data folders of the entries; without it no entry has a disk.
    pub data: Option<PathBuf>,
    /// Deadline of requests that set none.
    #[builder(default = Duration::from_secs(30))]
    pub deadline: Duration,
    /// Number of entries.
    #[builder(default = 2)]
    pub entries: usize,
    /// Folder for the event files; without it no events are written.
    pub events: Option<PathBuf>,
    /// Faults and limits of the key-value stand-in.
    #[builder(default)]
    pub key_value: KeyValueFaults,
    /// Time to live of the entries' leases.
    #[builder(default = Duration::from_secs(10))]
    pub lease_ttl: Duration,
    /// Delay until changes of the instance list become visible.
    #[builder(default = Duration::from_millis(500))]
    pub list_lag: Duration,
    /// Services of model engines.
    #[builder(default)]
    pub models: Vec<ModelSpec>,
    /// Plain services.
    #[builder(default)]
    pub plains: Vec<PlainSpec>,
    /// Whether calls from entries to each sidecar pass through a fault proxy.
    #[builder(default)]
    pub proxied: bool,
    /// Policy by which entries choose targets.
    #[builder(default)]
    pub routing: RoutingPolicy,
    /// Availability zones, to which entries and targets are assigned in round-robin order.
    #[builder(default = vec!["fraser-a".to_owned(), "fraser-b".to_owned(), "fraser-c".to_owned()])]
    pub zones: Vec<String>,
}
