//! A deployment of real processes among stand-ins.

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

/// Number of entries, each with a disk in a zone of its own.
const ENTRIES: usize = 3;

/// Number of engines.
const ENGINES: usize = 2;

/// Time to live of the entries' leases, in milliseconds.
const LEASE_TTL_MS: u64 = 2_000;

/// Longest time until the fleet is ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Entries and sidecars as processes; engines, services and the platform as stand-ins.
#[derive(Debug)]
pub struct ProcessFleet {
    /// The entries; `None` where one was killed.
    pub entries: Vec<Option<ServerProcess>>,
    /// Counts the calls of the plain service.
    pub executions: ExecutionCounter,
    /// The key-value service.
    pub key_value: KeyValueStandin,
    /// Proxies between the entries and each sidecar.
    pub proxies: Vec<FaultProxy>,
    /// The sidecars: those of the engines, then that of the plain service.
    pub sidecars: Vec<Option<ServerProcess>>,
    binary: PathBuf,
    folder: TempDir,
    key_value_address: SocketAddr,
    list: InstanceListStandin,
    list_address: SocketAddr,
    targets: Vec<SocketAddr>,
    _standins: Vec<StandinThread>,
}

impl ProcessFleet {
    /// Starts a fleet of processes of the given binary and waits until it is ready.
    ///
    /// # Panics
    /// Panics if a part cannot start.
    #[must_use]
    pub fn start(binary: &str) -> Self {
        let key_value = KeyValueStandin::new(KeyValueFaults::default());
        let list = InstanceListStandin::new(Duration::from_millis(300));
        let executions = ExecutionCounter::default();
        let (store, served) = (key_value.clone(), list.clone());
        let mut standins = vec![
            start_standin("key-value", None, move |listener, gate| store.serve(listener, gate)),
            start_standin("instances", None, move |listener, gate| served.serve(listener, gate)),
        ];
        let (key_value_address, list_address) = (standins[0].address, standins[1].address);
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
            folder: TempDir::new().expect("a folder"),
            key_value,
            key_value_address,
            list,
            list_address,
            proxies: Vec::new(),
            sidecars: Vec::new(),
            targets,
            _standins: standins,
        };
        fleet.start_processes();
        fleet
    }

    /// Returns the address of the first entry that runs.
    ///
    /// # Panics
    /// Panics if no entry runs.
    #[must_use]
    pub fn entry_address(&self) -> SocketAddr {
        self.entries.iter().flatten().next().expect("an entry runs").data
    }

    /// Starts an entry in the place of one that was killed, with the same name and disk.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = None;
        self.entries[index] = Some(self.start_entry(index));
        self.publish_list();
    }

    /// Publishes the list of the processes that run.
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
        self.list.set(listings);
    }

    /// Starts all processes and the configuration.
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
        let answer = AdminClient::new(self.entry_address()).put_config(&config.to_string(), 0);
        assert!(answer.is_ok_and(|answer| answer.status.is_success()), "the configuration holds");
        self.wait_until_ready();
    }

    /// Waits until every entry that runs sees every sidecar that runs.
    ///
    /// # Panics
    /// Panics if that takes too long.
    pub fn wait_until_ready(&self) {
        let begin = Instant::now();
        let expected = self.sidecars.iter().flatten().count();
        for entry in self.entries.iter().flatten() {
            let client = AdminClient::new(entry.data);
            while count_ready_targets(&client) < expected {
                assert!(begin.elapsed() < START_TIMEOUT, "the fleet does not get ready");
                std::thread::sleep(CHECK_INTERVAL);
            }
        }
    }

    /// Starts the process of a sidecar.
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

    /// Starts the process of an entry.
    fn start_entry(&self, index: usize) -> ServerProcess {
        let name = format!("entry-{index}");
        let text = format!(
            "role: entry\nname: {name}\nzone: fraser-{index}\nlisten: 127.0.0.1:0\n\
             control_listen: 127.0.0.1:0\nsecret: test\nplatform:\n  key_value:\n    - {}\n  \
             instances: {}\nentry:\n  data_folder: {}\n  lease_ttl_ms: {LEASE_TTL_MS}\n",
            self.key_value_address,
            self.list_address,
            self.folder.path().join(format!("disk-{index}")).display(),
        );
        self.start_process(&name, &text)
    }

    /// Writes a settings file and starts a process with it.
    fn start_process(&self, name: &str, text: &str) -> ServerProcess {
        let path = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&path, text).expect("the settings can be written");
        ServerProcess::start(&self.binary, &path)
    }
}

/// Returns the service of a target.
fn service_of(index: usize) -> &'static str {
    if index < ENGINES { "assist-llm" } else { "orders-app" }
}

/// Makes a listing.
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

/// Counts the targets that an entry would send requests to; 0 without a configuration.
fn count_ready_targets(client: &AdminClient) -> usize {
    let config = client.get_json("/admin/config").unwrap_or_default();
    if config["revision"].as_u64().unwrap_or(0) == 0 {
        return 0;
    }
    let targets = client.get_json("/admin/targets").unwrap_or_default();
    let rows = targets["targets"].as_array().cloned().unwrap_or_default();
    rows.iter().filter(|row| row["ready"] == true).count()
}
