//! Starts the servers and stand-ins of a deployment and connects them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_policy::admission::AdmissionSettings;
use cv_policy::config::ServiceKind;
use cv_settings::AdmissionSection;
use cv_settings::EntrySection;
use cv_settings::PlatformSection;
use cv_settings::RoleSection;
use cv_settings::ServerSettings;
use cv_settings::SidecarSection;
use cv_standin::EngineStandin;
use cv_standin::ExecutionCounter;
use cv_standin::FaultProxy;
use cv_standin::InstanceListStandin;
use cv_standin::KeyValueStandin;
use cv_standin::ListedInstance;
use cv_standin::PlainServiceStandin;
use serde_json::json;

use super::AdminClient;
use super::DeploymentSpec;
use super::EntryThread;
use super::ModelSpec;
use super::PlainSpec;
use super::SidecarThread;
use super::StandinThread;
use super::start_entry;
use super::start_sidecar;
use super::start_standin;

/// Timeout until every entry sees every target.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A target with its sidecar.
#[derive(Debug)]
pub struct TargetHandle {
    /// The engine; `None` for a plain service.
    pub engine: Option<EngineStandin>,
    /// Its record in the instance list.
    pub listing: ListedInstance,
    /// The fault proxy between the entries and the sidecar; `None` without `proxied`.
    pub proxy: Option<FaultProxy>,
    /// The sidecar; `None` once it was stopped.
    pub sidecar: Option<SidecarThread>,
    /// The target itself; `None` once it was killed.
    pub target: Option<StandinThread>,
}

/// A running deployment.
#[derive(Debug)]
pub struct SmallDeployment {
    /// The entries; `None` for one that was stopped.
    pub entries: Vec<Option<EntryThread>>,
    /// Counts the executions of each request to plain services.
    pub executions: ExecutionCounter,
    /// Handle of the key-value stand-in.
    pub key_value: KeyValueStandin,
    /// Handle of the instance list stand-in.
    pub list: InstanceListStandin,
    /// The targets, in the order of the specification.
    pub targets: Vec<TargetHandle>,
    entry_listings: Vec<ListedInstance>,
    key_value_address: SocketAddr,
    list_address: SocketAddr,
    spec: DeploymentSpec,
    _platform: Vec<StandinThread>,
}

impl SmallDeployment {
    /// The secret shared by the deployment's servers.
    pub const SECRET: &'static str = "loopback";

    /// Starts all servers and stand-ins and waits until every entry sees every target.
    ///
    /// # Panics
    /// Panics if one cannot start.
    #[must_use]
    pub fn start(spec: DeploymentSpec) -> Self {
        let key_value = KeyValueStandin::new(spec.key_value.clone());
        let list = InstanceListStandin::new(spec.list_lag);
        let (served_store, served_list) = (key_value.clone(), list.clone());
        let store_thread = start_standin("key-value", None, move |listener, gate| {
            served_store.serve(listener, gate)
        });
        let list_thread = start_standin("instances", None, move |listener, gate| {
            served_list.serve(listener, gate)
        });
        let mut deployment = Self {
            entries: Vec::new(),
            entry_listings: Vec::new(),
            executions: ExecutionCounter::default(),
            key_value,
            key_value_address: store_thread.address,
            list,
            list_address: list_thread.address,
            spec,
            targets: Vec::new(),
            _platform: vec![store_thread, list_thread],
        };
        for spec in deployment.spec.models.clone() {
            for index in 0..spec.replicas {
                deployment.add_model(&spec, index);
            }
        }
        for spec in deployment.spec.plains.clone() {
            for index in 0..spec.replicas {
                deployment.add_plain(&spec, index);
            }
        }
        for index in 0..deployment.spec.entries {
            deployment.add_entry(index);
        }
        deployment.publish_list();
        deployment.write_config();
        deployment.wait_until_ready();
        deployment
    }

    /// Returns the addresses of the running entries.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().flatten().map(|entry| entry.data).collect()
    }

    /// Returns a client of the first running entry's admin API.
    ///
    /// # Panics
    /// Panics if no entry is running.
    #[must_use]
    pub fn admin(&self) -> AdminClient {
        AdminClient::new(*self.entry_addresses().first().expect("at least one entry is running"))
    }

    /// Returns the instance list records of the running entries.
    #[must_use]
    pub fn entry_records(&self) -> Vec<ListedInstance> {
        let entries = self.entries.iter().zip(&self.entry_listings);
        let running = entries.filter(|(entry, _)| entry.is_some());
        running.map(|(_, listing)| listing.clone()).collect()
    }

    /// Publishes the instance list with every instance that was not stopped.
    pub fn publish_list(&self) {
        let mut listings = self.entry_records();
        let targets = self.targets.iter().filter(|target| target.sidecar.is_some());
        listings.extend(targets.map(|target| target.listing.clone()));
        self.list.set(listings);
    }

    /// Stops an entry if it is running, and starts it with its name and disk at new addresses.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = None;
        let (entry, listing) = self.launch_entry(index);
        self.entries[index] = Some(entry);
        self.entry_listings[index] = listing;
        self.publish_list();
    }

    /// Stops a sidecar if it is running, and starts it at new addresses.
    ///
    /// # Panics
    /// Panics if its target was killed.
    pub fn restart_sidecar(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.sidecar = None;
        let address = target.target.as_ref().expect("the target is running").address;
        let listing = target.listing.clone();
        let kind = if target.engine.is_some() { ServiceKind::Model } else { ServiceKind::Plain };
        let admission = self.admission_for(&listing.service);
        let sidecar = self.launch_sidecar(&listing, kind, address, admission);
        let target = &mut self.targets[index];
        target.listing.control = sidecar.control;
        target.listing.data = sidecar.data;
        target.sidecar = Some(sidecar);
        self.publish_list();
    }

    /// Waits until every entry is ready and sees all running targets.
    ///
    /// # Panics
    /// Panics if that takes longer than 30 seconds.
    pub fn wait_until_ready(&self) {
        let expected = self.targets.iter().filter(|target| target.sidecar.is_some()).count();
        let started_at = Instant::now();
        for address in self.entry_addresses() {
            let client = AdminClient::new(address);
            while count_ready_targets(&client) < expected {
                assert!(
                    started_at.elapsed() < START_TIMEOUT,
                    "entry {address} does not see all targets in time"
                );
                std::thread::sleep(READINESS_CHECK_INTERVAL);
            }
        }
    }

    /// Starts a replica of a model service.
    fn add_model(&mut self, spec: &ModelSpec, index: usize) {
        let name = format!("{}-{index}", spec.name);
        let engine = EngineStandin::new(spec.engine.clone());
        let served = engine.clone();
        let target = start_standin(&format!("e-{name}"), None, move |listener, gate| {
            served.serve(listener, gate)
        });
        let admission = spec.admission.clone();
        self.add_target(&name, &spec.name, ServiceKind::Model, target, Some(engine), admission);
    }

    /// Starts a replica of a plain service.
    fn add_plain(&mut self, spec: &PlainSpec, index: usize) {
        let name = format!("{}-{index}", spec.name);
        let service = PlainServiceStandin::new(self.executions.clone(), spec.service_time);
        let target = start_standin(&format!("p-{name}"), None, move |listener, gate| {
            service.serve(listener, gate)
        });
        let admission = spec.admission.clone();
        self.add_target(&name, &spec.name, ServiceKind::Plain, target, None, admission);
    }

    /// Starts the target's sidecar and adds both to the deployment.
    fn add_target(
        &mut self,
        name: &str,
        service: &str,
        kind: ServiceKind,
        target: StandinThread,
        engine: Option<EngineStandin>,
        admission: AdmissionSettings,
    ) {
        let zone = self.spec.zones[self.targets.len() % self.spec.zones.len()].clone();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut listing = ListedInstance {
            control: any_port,
            data: any_port,
            disk: false,
            draining: false,
            name: name.to_owned(),
            role: "sidecar".to_owned(),
            service: service.to_owned(),
            zone,
        };
        let sidecar = self.launch_sidecar(&listing, kind, target.address, admission);
        listing.control = sidecar.control;
        listing.data = sidecar.data;
        let proxy = self
            .spec
            .proxied
            .then(|| FaultProxy::start(sidecar.data).expect("the proxy binds a free port"));
        if let Some(proxy) = &proxy {
            listing.data = proxy.address();
        }
        let (sidecar, target) = (Some(sidecar), Some(target));
        self.targets.push(TargetHandle { engine, listing, proxy, sidecar, target });
    }

    /// Starts an entry and adds it to the deployment.
    fn add_entry(&mut self, index: usize) {
        let (entry, listing) = self.launch_entry(index);
        self.entries.push(Some(entry));
        self.entry_listings.push(listing);
    }

    /// Starts a sidecar and returns its thread.
    fn launch_sidecar(
        &self,
        listing: &ListedInstance,
        kind: ServiceKind,
        target: SocketAddr,
        admission: AdmissionSettings,
    ) -> SidecarThread {
        let section = SidecarSection::builder()
            .admission(AdmissionSection(admission))
            .kind(kind)
            .service(listing.service.clone())
            .target(target)
            .build();
        let role = RoleSection::Sidecar(Box::new(section.clone()));
        start_sidecar(self.settings(&listing.name, &listing.zone, role), section)
    }

    /// Starts an entry and returns its thread and its record in the instance list.
    fn launch_entry(&self, index: usize) -> (EntryThread, ListedInstance) {
        let name = format!("entry-{index}");
        let zone = self.spec.zones[index % self.spec.zones.len()].clone();
        let section = EntrySection::builder()
            .maybe_data_folder(self.spec.data.as_ref().map(|folder| folder.join(&name)))
            .lease_ttl(self.spec.lease_ttl)
            .routing(self.spec.routing)
            .build();
        let role = RoleSection::Entry(section.clone());
        let disk = section.data_folder.is_some();
        let entry = start_entry(self.settings(&name, &zone, role), section);
        let listing = ListedInstance {
            control: entry.control,
            data: entry.data,
            disk,
            draining: false,
            name,
            role: "entry".to_owned(),
            service: String::new(),
            zone,
        };
        (entry, listing)
    }

    /// Returns the settings of one server with free ports on the loopback interface.
    fn settings(&self, name: &str, zone: &str, role: RoleSection) -> ServerSettings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformSection {
            instances: Some(self.list_address),
            key_value: vec![self.key_value_address],
        };
        let events = self.spec.events.as_ref().map(|folder| folder.join(format!("{name}.jsonl")));
        ServerSettings::builder()
            .control_listen(any_port)
            .maybe_event_file(events)
            .listen(any_port)
            .name(name)
            .platform(platform)
            .role(role)
            .secret(Self::SECRET)
            .zone(zone)
            .build()
    }

    /// Returns the admission settings of a service's sidecars.
    fn admission_for(&self, service: &str) -> AdmissionSettings {
        let models = self.spec.models.iter().map(|spec| (&spec.name, &spec.admission));
        let plains = self.spec.plains.iter().map(|spec| (&spec.name, &spec.admission));
        let found = models.chain(plains).find(|(name, _)| *name == service);
        found.map_or_else(|| AdmissionSettings::builder().build(), |(_, found)| found.clone())
    }

    /// Writes the configuration for the deadline and services of the specification.
    fn write_config(&self) {
        let models = self
            .spec
            .models
            .iter()
            .map(|spec| json!({"name": spec.name, "kind": "model", "repeatable": true}));
        let plains =
            self.spec.plains.iter().map(
                |spec| json!({"name": spec.name, "kind": "plain", "repeatable": spec.repeatable}),
            );
        let config = json!({
            "defaults": {"deadline_ms": self.spec.deadline.as_millis() as u64},
            "services": models.chain(plains).collect::<Vec<_>>(),
        });
        let response = self.admin().put_config(&config.to_string(), 0);
        let status = response.map(|response| response.status);
        assert!(
            status.is_ok_and(|status| status.is_success()),
            "the first entry must accept the configuration"
        );
    }
}

/// Counts the ready targets of an entry that are not draining; 0 while it has no configuration.
fn count_ready_targets(client: &AdminClient) -> usize {
    let revision = client
        .get_json("/admin/config")
        .map_or(0, |response| response["revision"].as_u64().unwrap_or(0));
    if revision == 0 {
        return 0;
    }
    let Some(response) = client.get_json("/admin/targets") else {
        return 0;
    };
    let rows = response["targets"].as_array().cloned().unwrap_or_default();
    rows.iter().filter(|row| row["ready"] == true && row["leaving"] == false).count()
}

impl Drop for SmallDeployment {
    fn drop(&mut self) {
        // Entries and sidecars drain at the same time; the targets stop after them, so that open
        // requests can finish.
        for entry in self.entries.iter().flatten() {
            entry.thread.request_shutdown();
        }
        for sidecar in self.targets.iter().filter_map(|target| target.sidecar.as_ref()) {
            sidecar.thread.request_shutdown();
        }
        self.entries.clear();
        for target in &mut self.targets {
            target.sidecar = None;
        }
        for target in self.targets.iter().filter_map(|target| target.target.as_ref()) {
            target.thread.request_shutdown();
        }
    }
}
