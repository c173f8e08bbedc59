//! A fleet of server processes, with stand-ins for the platform and the targets.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use cv_bench::deployment::AdminClient;
use cv_bench::deployment::StandinThread;
use cv_bench::deployment::start_standin;
use cv_standin::EngineSettings;
use cv_standin::EngineStandin;
use cv_standin::ExecutionCounter;
use cv_standin::FaultProxy;
use cv_standin::InstanceListStandin;
use cv_standin::KeyValueFaults;
use cv_standin::KeyValueStandin;
use cv_standin::ListedInstance;
use cv_standin::PlainServiceStandin;
use serde_json::json;
use tempfile::TempDir;

use crate::ServerProcess;

/// Number of entries, each with its own disk and in its own zone.
const ENTRIES: usize = 3;

/// Number of model engines.
const ENGINES: usize = 2;

/// Time to live of the entries' leases, in milliseconds.
const LEASE_TTL_MS: u64 = 2_000;

/// Maximum time until the fleet is ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which readiness is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Entries and sidecars as processes; engines, plain service and platform as stand-ins.
#[derive(Debug)]
pub struct ProcessFleet {
    /// The entries; set one to `None` to kill its process.
    pub entries: Vec<Option<ServerProcess>>,
    /// Counts the executions of the plain service by idempotency key.
    pub executions: ExecutionCounter,
    /// The key-value store.
    pub key_value: KeyValueStandin,
    /// One proxy for each sidecar, between the entries and its data address.
    pub proxies: Vec<FaultProxy>,
    /// The sidecars, first those of the engines; set one to `None` to kill its process.
    pub sidecars: Vec<Option<ServerProcess>>,
    binary: PathBuf,
    folder: TempDir,
    key_value_address: SocketAddr,
    instance_list: InstanceListStandin,
    instance_list_address: SocketAddr,
    targets: Vec<SocketAddr>,
    _standins: Vec<StandinThread>,
}

impl ProcessFleet {
    /// Starts a fleet of processes of the given binary and waits until it is ready.
    ///
    /// # Panics
    /// Panics if a process or stand-in does not start, or the fleet is not ready in time.
    #[must_use]
    pub fn start(binary: &str) -> Self {
        let key_value = KeyValueStandin::new(KeyValueFaults::default());
        let instance_list = InstanceListStandin::new(Duration::from_millis(300));
        let executions = ExecutionCounter::default();
        let (store, served) = (key_value.clone(), instance_list.clone());
        let mut standins = vec![
            start_standin("key-value", None, move |listener, gate| store.serve(listener, gate)),
            start_standin("instances", None, move |listener, gate| served.serve(listener, gate)),
        ];
        let (key_value_address, instance_list_address) = (standins[0].address, standins[1].address);
        let mut targets = Vec::new();
        for _ in 0..ENGINES {
            let settings = EngineSettings::builder().step_base(Duration::from_millis(3)).build();
            let engine = EngineStandin::new(settings);
            let thread =
                start_standin("engine", None, move |listener, gate| engine.serve(listener, gate));
            targets.push(thread.address);
            standins.push(thread);
        }
        let service = PlainServiceStandin::new(executions.clone(), Duration::from_millis(100));
        let thread =
            start_standin("service", None, move |listener, gate| service.serve(listener, gate));
        targets.push(thread.address);
        standins.push(thread);
        let mut fleet = Self {
            binary: PathBuf::from(binary),
            entries: Vec::new(),
            executions,
            folder: TempDir::new().expect("a temporary folder can be created"),
            key_value,
            key_value_address,
            instance_list,
            instance_list_address,
            proxies: Vec::new(),
            sidecars: Vec::new(),
            targets,
            _standins: standins,
        };
        fleet.start_processes();
        fleet
    }

    /// Returns the data address of the first running entry.
    ///
    /// # Panics
    /// Panics if no entry runs.
    #[must_use]
    pub fn entry_address(&self) -> SocketAddr {
        self.entries.iter().flatten().next().expect("an entry is running").data
    }

    /// Kills an entry if it is running and starts it again with the same name and disk.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = None;
        self.entries[index] = Some(self.start_entry(index));
        self.publish_list();
    }

    /// Publishes the running processes in the instance list.
    fn publish_list(&self) {
        let entries = self.entries.iter().enumerate();
        let mut listings: Vec<ListedInstance> = entries
            .filter_map(|(index, entry)| {
                let entry = entry.as_ref()?;
                Some(listing(
                    &format!("entry-{index}"),
                    "entry",
                    "",
                    index,
                    entry.data,
                    entry.control,
                ))
            })
            .collect();
        for (index, sidecar) in self.sidecars.iter().enumerate() {
            if let Some(sidecar) = sidecar {
                let data = self.proxies[index].address();
                let name = format!("target-{index}");
                let service = service_of(index);
                listings.push(listing(&name, "sidecar", service, index, data, sidecar.control));
            }
        }
        self.instance_list.set(listings);
    }

    /// Starts all processes, sets the configuration and waits until the fleet is ready.
    fn start_processes(&mut self) {
        for index in 0..self.targets.len() {
            let sidecar = self.start_sidecar(index);
            self.proxies.push(FaultProxy::start(sidecar.data).expect("the proxy binds a port"));
            self.sidecars.push(Some(sidecar));
        }
        for index in 0..ENTRIES {
            let entry = self.start_entry(index);
            self.entries.push(Some(entry));
        }
        self.publish_list();
        let config = json!({"services": [
            {"kind": "model", "name": "assist-llm"},
            {"kind": "plain", "name": "orders-app"},
        ]});
        let response = AdminClient::new(self.entry_address()).put_config(&config.to_string(), 0);
        assert!(
            response.is_ok_and(|response| response.status.is_success()),
            "the configuration is accepted"
        );
        self.wait_until_ready();
    }

    /// Waits until every running entry reports all running sidecars as ready.
    ///
    /// # Panics
    /// Panics if that takes longer than 30 seconds.
    pub fn wait_until_ready(&self) {
        let started_at = Instant::now();
        let expected = self.sidecars.iter().flatten().count();
        for entry in self.entries.iter().flatten() {
            let client = AdminClient::new(entry.data);
            while count_ready_targets(&client) < expected {
                assert!(
                    started_at.elapsed() < START_TIMEOUT,
                    "the fleet is not ready within {START_TIMEOUT:?}"
                );
                std::thread::sleep(CHECK_INTERVAL);
            }
        }
    }

    /// Starts the sidecar of a target.
    fn start_sidecar(&self, index: usize) -> ServerProcess {
        let kind = if service_of(index) == "assist-llm" { "model" } else { "plain" };
        let text = format!(
            "role: sidecar\nname: target-{index}\nzone: fraser-a\nlisten: 127.0.0.1:0\n\
             control_listen: 127.0.0.1:0\nsecret: test\nsidecar:\n  service: {}\n  kind: {kind}\n  \
             target: {}\n",
            service_of(index),
            self.targets[index],
        );
        self.start_process(&format!("target-{index}"), &text)
    }

    /// Starts an entry.
    fn start_entry(&self, index: usize) -> ServerProcess {
        let name = format!("entry-{index}");
        let text = format!(
            "role: entry\nname: {name}\nzone: fraser-{index}\nlisten: 127.0.0.1:0\n\
             control_listen: 127.0.0.1:0\nsecret: test\nplatform:\n  key_value:\n    - {}\n  \
             instances: {}\nentry:\n  data_folder: {}\n  lease_ttl_ms: {LEASE_TTL_MS}\n",
            self.key_value_address,
            self.instance_list_address,
            self.folder.path().join(format!("disk-{index}")).display(),
        );
        self.start_process(&name, &text)
    }

    /// Writes a settings file and starts a process with it.
    fn start_process(&self, name: &str, text: &str) -> ServerProcess {
        let path = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&path, text).expect("the settings file can be written");
        ServerProcess::start(&self.binary, &path)
    }
}

/// Returns the name of the service that a target serves.
fn service_of(index: usize) -> &'static str {
    if index < ENGINES { "assist-llm" } else { "orders-app" }
}

/// Returns the record of a process in the instance list.
fn listing(
    name: &str,
    role: &str,
    service: &str,
    zone: usize,
    data: SocketAddr,
    control: SocketAddr,
) -> ListedInstance {
    ListedInstance {
        control,
        data,
        disk: role == "entry",
        draining: false,
        name: name.to_owned(),
        role: role.to_owned(),
        service: service.to_owned(),
        zone: format!("fraser-{zone}"),
    }
}

/// Counts the targets that an entry reports as ready; 0 without a configuration.
fn count_ready_targets(client: &AdminClient) -> usize {
    let config = client.get_json("/admin/config").unwrap_or_default();
    if config["revision"].as_u64().unwrap_or(0) == 0 {
        return 0;
    }
    let targets = client.get_json("/admin/targets").unwrap_or_default();
    let rows = targets["targets"].as_array().cloned().unwrap_or_default();
    rows.iter().filter(|row| row["ready"] == true).count()
}
