//! A fleet of node processes on loopback addresses, with stand-ins for the platform.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::CrashRule;
use cv_adapter_standin::PlatformStore;
use cv_adapter_standin::PlatformTarget;
use cv_adapter_standin::RepeatRule;
use cv_adapter_standin::StandinThread;
use cv_adapter_standin::TargetKind;
use cv_adapter_standin::TargetLog;
use cv_adapter_standin::TargetThread;
use cv_standin::FaultProxy;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::node_caller::CALLER_KEY;
use crate::node_caller::CALLER_NAME;
use crate::process_status::limit_descriptors;
use crate::process_status::open_descriptors;
use crate::process_status::peak_memory;

/// Port of the calls between node processes.
const INTERNAL_PORT: u16 = 17_660;

/// Host of a fleet's addresses that only reserves them.
const RESERVED_HOST: u8 = 254;

/// Port on which entries accept callers' requests.
const ENTRY_PORT: u16 = 18_144;

/// Port on which entries serve their readiness check.
const READY_PORT: u16 = 18_140;

/// Port of the targets.
const TARGET_PORT: u16 = 18_400;

/// Time after which an engine that has ended starts again.
const ENGINE_DOWN_TIME: Duration = Duration::from_millis(1_500);

/// Maximum time until the fleet is ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Third octet of the next fleet's addresses, so that fleets of one process never share one.
static NEXT_BLOCK: AtomicU8 = AtomicU8::new(1);

/// Number of processes of each role.
#[derive(Clone, Copy, Debug)]
pub struct NodeFleetSize {
    /// Number of model engines, each with a sidecar.
    pub engines: u8,
    /// Number of entries.
    pub entries: u8,
    /// Number of keepers.
    pub keepers: u8,
}

/// What stands between the parts of a fleet, and how its targets take requests.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each switches one part of the fleet on")]
pub struct FleetOptions {
    /// Whether entries choose between zones by load. The engines with odd numbers are then in another
    /// zone than all else.
    pub chooses_zones: bool,
    /// Requests that wait at an engine whose slots are taken; it rejects more.
    pub engine_queue: u32,
    /// Whether the configuration names customers, so that each request needs a key.
    pub has_customers: bool,
    /// Whether proxies stand between sidecars and engines. Through a proxy an engine that has ended
    /// still accepts connections.
    pub has_engine_proxies: bool,
    /// Whether proxies stand before the processes: between them, and between callers and entries.
    pub has_node_proxies: bool,
    /// Memory in megabytes and number of file descriptors in the processes' settings; `None` for
    /// what they find out themselves.
    pub process_limits: Option<(u32, u32)>,
    /// Number of targets of the plain service.
    pub plain_targets: u8,
    /// Tokens that may wait on each batch route.
    pub queued_tokens: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            chooses_zones: false,
            engine_queue: 0,
            has_customers: false,
            has_engine_proxies: true,
            has_node_proxies: false,
            process_limits: None,
            plain_targets: 1,
            queued_tokens: 100_000,
        }
    }
}

/// A node process, its settings file and the proxies of its connections.
#[derive(Debug)]
pub struct NodeProcess {
    binary: PathBuf,
    child: Option<Child>,
    /// Proxy between callers and an entry, if there is one.
    pub caller_proxy: Option<FaultProxy>,
    /// Name of the instance.
    pub name: String,
    /// Proxy between the other processes and this one, if there is one.
    pub node_proxy: Option<FaultProxy>,
    settings: PathBuf,
    started_at: Instant,
    /// Time for which the process was stopped since its start, and since when it is stopped now.
    stops: Mutex<(Duration, Option<Instant>)>,
    /// Proxy between the process and the store.
    pub store_proxy: FaultProxy,
    /// Proxy between a sidecar and its engine, if there is one.
    pub target_proxy: Option<FaultProxy>,
}

/// Entries, sidecars and keepers as processes; the platform as stand-ins.
#[derive(Debug)]
pub struct NodeFleet {
    /// Second and third octet of the fleet's addresses.
    address_block: [u8; 2],
    /// Keeps other processes from using the same addresses.
    _reservation: TcpListener,
    /// Prompts and requests that end the targets.
    pub crash_rule: CrashRule,
    /// Whether the engines' streams have no chunks and end with their connection.
    pub has_unframed_streams: Arc<AtomicBool>,
    /// Requests that the targets refuse, and answers that they repeat.
    pub repeat_rule: RepeatRule,
    /// Status of the targets' responses to requests that resume a stream; 0 if they serve them.
    pub resume_status: Arc<AtomicU16>,
    /// Limit that all targets name, in requests in a hundred seconds; 0 for none.
    pub request_limit: Arc<AtomicU32>,
    /// All processes: sidecars, entries, keepers.
    pub nodes: Vec<NodeProcess>,
    /// Host of the next keeper that replaces another one.
    next_keeper_host: u8,
    options: FleetOptions,
    size: NodeFleetSize,
    /// The platform's store.
    pub store: PlatformStore,
    /// The runs of all targets.
    pub target_log: TargetLog,
    folder: TempDir,
    store_thread: StandinThread,
    target_threads: Vec<TargetThread>,
}

impl NodeProcess {
    /// Starts the process unless it is running; its output is appended to its log file.
    ///
    /// # Panics
    /// Panics if the log file cannot be opened or the binary cannot be run.
    pub fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let log = self.settings.with_extension("log");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file can be opened");
        let stderr = log.try_clone().expect("the file handle can be cloned");
        let mut command = Command::new(&self.binary);
        command.arg("node").arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(stderr);
        self.child = Some(command.spawn().expect("the binary can be run"));
        self.started_at = Instant::now();
        *self.lock_stops() = (Duration::ZERO, None);
    }

    /// Returns the time since the process was last started, without that for which it was stopped.
    #[must_use]
    pub fn age(&self) -> Duration {
        let (stopped, since) = *self.lock_stops();
        let stopped = stopped + since.map_or(Duration::ZERO, |since| since.elapsed());
        self.started_at.elapsed().saturating_sub(stopped)
    }

    /// Locks the stops; ignores poisoning, as each change to them is complete in itself.
    fn lock_stops(&self) -> MutexGuard<'_, (Duration, Option<Instant>)> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a signal to the process; does nothing if it is not running.
    pub fn signal(&self, signal: Signal) {
        let mut stops = self.lock_stops();
        if signal == Signal::STOP {
            stops.1.get_or_insert_with(Instant::now);
        } else if signal == Signal::CONT
            && let Some(since) = stops.1.take()
        {
            stops.0 += since.elapsed();
        }
        let id = self.child.as_ref().map(|child| child.id().cast_signed());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // The only expected error is that the process has exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the id of the process, or `None` if it is not running.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the largest resident memory that the process has had, in bytes, or `None` if it is
    /// not running.
    #[must_use]
    pub fn peak_memory(&self) -> Option<u64> {
        peak_memory(self.id()?)
    }

    /// Returns the number of open file descriptors, or `None` if it is not running.
    #[must_use]
    pub fn open_descriptors(&self) -> Option<usize> {
        open_descriptors(self.id()?)
    }

    /// Lowers the number of file descriptors that the running process may open.
    ///
    /// # Panics
    /// Panics if the process does not run.
    pub fn limit_descriptors(&self, maximum: u64) {
        limit_descriptors(self.id().expect("the process runs"), maximum);
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits until the process has exited; kills it after the timeout.
    ///
    /// # Errors
    /// Returns the exit status unless it is success, or says that the timeout passed.
    pub fn terminate(&mut self, timeout: Duration) -> Result<(), String> {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            match child.try_wait() {
                Ok(Some(status)) if status.success() => return Ok(()),
                Ok(Some(status)) => return Err(status.to_string()),
                Ok(None) => std::thread::sleep(CHECK_INTERVAL),
                Err(_) => break,
            }
        }
        let _ = child.kill();
        let _ = child.wait();
        Err(format!("still running after {timeout:?}"))
    }

    /// Returns the exit status if the process was started and has exited by itself.
    pub fn unexpected_exit(&mut self) -> Option<String> {
        match self.child.as_mut()?.try_wait() {
            Ok(None) => None,
            Ok(Some(status)) => Some(status.to_string()),
            Err(error) => Some(error.to_string()),
        }
    }

    /// Returns what the process has written to standard output and standard error.
    #[must_use]
    pub fn output(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl NodeFleet {
    /// Starts a fleet of processes of the given binary and waits until it is ready.
    ///
    /// # Panics
    /// Panics if a process or stand-in does not start, or the fleet is not ready in time.
    #[must_use]
    pub fn start(binary: &str, size: NodeFleetSize) -> Self {
        Self::start_with(binary, size, FleetOptions::default())
    }

    /// Starts a fleet whose engines may end, without proxies between them and their sidecars.
    ///
    /// # Panics
    /// Panics if a process or stand-in does not start, or the fleet is not ready in time.
    #[must_use]
    pub fn start_without_engine_proxies(binary: &str, size: NodeFleetSize) -> Self {
        let options = FleetOptions { has_engine_proxies: false, ..FleetOptions::default() };
        Self::start_with(binary, size, options)
    }

    /// Starts a fleet with options and waits until it is ready.
    ///
    /// # Panics
    /// Panics if a process or stand-in does not start, or the fleet is not ready in time.
    #[must_use]
    pub fn start_with(binary: &str, size: NodeFleetSize, options: FleetOptions) -> Self {
        let (address_block, reservation) = reserve_block();
        let folder = TempDir::new().expect("a temporary folder can be created");
        let store = PlatformStore::default();
        let store_thread = store.start(SocketAddr::new(ip_address(address_block, 1), 0));
        let mut fleet = Self {
            address_block,
            _reservation: reservation,
            crash_rule: CrashRule::new(ENGINE_DOWN_TIME),
            has_unframed_streams: Arc::default(),
            repeat_rule: RepeatRule::default(),
            resume_status: Arc::default(),
            request_limit: Arc::default(),
            nodes: Vec::new(),
            next_keeper_host: 70 + size.keepers,
            options,
            size,
            store,
            target_log: TargetLog::default(),
            folder,
            store_thread: store_thread.expect("the store listens"),
            target_threads: Vec::new(),
        };
        fleet.start_targets();
        fleet.write_config(1, 2);
        for index in 0..size.engines {
            fleet.register(&engine_id(index), "ready");
        }
        for index in 0..options.plain_targets {
            fleet.register(&plain_id(index), "ready");
        }
        fleet.add_nodes(binary);
        for node in &mut fleet.nodes {
            node.start();
        }
        fleet.wait_until_ready();
        fleet
    }

    /// Returns a name that no other running fleet has.
    #[must_use]
    pub fn label(&self) -> String {
        let [process, number] = self.address_block;
        format!("{process}-{number}")
    }

    /// Returns the addresses on which the entries accept callers' requests.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        (0..self.size.entries).map(|index| self.socket_address(50 + index, ENTRY_PORT)).collect()
    }

    /// Ends a target as in a crash; it starts again after a while. Targets are numbered like engines.
    pub fn restart_target(&self, index: usize) {
        self.target_threads[index].restart();
    }

    /// Returns the address of an engine for callers other than its sidecar.
    #[must_use]
    pub fn engine_address(&self, index: u8) -> SocketAddr {
        self.socket_address(10 + index, TARGET_PORT)
    }

    /// Returns the address of a host for calls between the processes.
    #[must_use]
    pub fn internal_address(&self, host: u8) -> SocketAddr {
        self.socket_address(host, INTERNAL_PORT)
    }

    /// Returns the address of a host's target.
    #[must_use]
    pub fn target_address(&self, host: u8) -> SocketAddr {
        self.socket_address(host, TARGET_PORT)
    }

    /// Returns the address of an entry's readiness check.
    #[must_use]
    pub fn ready_address(&self, index: u8) -> SocketAddr {
        self.socket_address(50 + index, READY_PORT)
    }

    /// Starts another sidecar, of an engine at the given address.
    pub fn start_sidecar(&mut self, host: u8, engine: SocketAddr) {
        let binary = self.nodes[0].binary.display().to_string();
        let section = format!("sidecar:\n  engine: \"{engine}\"\n");
        self.add_node(&binary, "sidecar", host, &section, None);
        if let Some(node) = self.nodes.last_mut() {
            node.start();
        }
    }

    /// Removes a keeper with its disk, and starts one with a new name and address in its place.
    pub fn replace_keeper(&mut self, index: usize) {
        let binary = self.nodes[index].binary.display().to_string();
        let host = self.next_keeper_host;
        self.next_keeper_host += 1;
        self.add_node(&binary, "keeper", host, "", None);
        let mut removed = self.nodes.swap_remove(index);
        removed.kill();
        self.nodes[index].start();
    }

    /// Returns whether the configuration names customers.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        self.options.has_customers
    }

    /// Returns the number of model engines.
    #[must_use]
    pub fn engine_count(&self) -> u8 {
        self.size.engines
    }

    /// Writes a configuration with a route of each kind, and another batch route, `reports`, whose
    /// service has no target.
    pub fn write_config(&self, version: u64, max_attempts: u32) {
        self.write_config_with(version, max_attempts, |_| {});
    }

    /// Writes the configuration of [`Self::write_config`] after a change to it.
    pub fn write_config_with(
        &self,
        version: u64,
        max_attempts: u32,
        change: impl FnOnce(&mut Value),
    ) {
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": "growers.example", "prefix": format!("/{name}/"),
                "kind": kind, "service": service, "timeoutMs": 5_000, "sloMs": 300, "priority": 0,
                "maxAttempts": max_attempts, "resumable": name == "advice", "sticky": false,
                "runSloMs": 20_000, "maxQueueS": 60,
                "maxQueuedTokens": self.options.queued_tokens,
            })
        };
        let mut config = json!({
            "version": version,
            "routes": [
                route("advice", "streaming", "llm"),
                route("hints", "streaming", "llm"),
                route("plans", "batch", "llm"),
                route("reports", "batch", "nightly"),
                route("orders", "unsafe", "desk"),
                route("status", "safe", "desk"),
            ],
            "services": [
                { "name": "llm", "engine": { "slots": 4 } },
                { "name": "desk" },
                { "name": "nightly", "engine": { "slots": 4 } },
            ],
            "limits": { "maxBodyBytes": 8_000_000 },
        });
        if self.options.has_customers {
            config["tenants"] = json!([
                { "name": CALLER_NAME, "apiKeys": [CALLER_KEY], "priority": 1 },
                { "name": "others", "apiKeys": ["key-others"], "priority": 0 },
            ]);
        }
        change(&mut config);
        self.store.write("op/config", &config);
    }

    /// Writes the configuration of [`Self::write_config`] with customers and an anonymous route, `open`.
    ///
    /// # Panics
    /// Panics if the configuration has no routes.
    pub fn write_customers(&self, version: u64, customers: &Value) {
        self.write_config_with(version, 2, |config| {
            config["tenants"] = customers.clone();
            let routes = config["routes"].as_array_mut().expect("the configuration has routes");
            let mut open = routes[5].clone();
            for (field, value) in
                [("name", json!("open")), ("prefix", json!("/open/")), ("anonymous", json!(true))]
            {
                open[field] = value;
            }
            routes.push(open);
        });
    }

    /// Writes a configuration whose only route is `added`, to the plain service.
    pub fn write_added_route(&self, version: u64) {
        let routes = json!([{
            "name": "added", "host": "growers.example", "prefix": "/added/", "kind": "safe",
            "service": "desk", "timeoutMs": 1_000, "sloMs": 300, "maxAttempts": 1,
        }]);
        let services = json!([{ "name": "desk" }]);
        let config = json!({ "version": version, "routes": routes, "services": services });
        self.store.write("op/config", &config);
    }

    /// Registers a target. `ghost-N` registers a target that no longer exists, at the address that
    /// `engine-N` now has.
    ///
    /// # Panics
    /// Panics if `id` names an engine, ghost or raw target without a valid number.
    pub fn register(&self, id: &str, state: &str) {
        let (service, host) = match id.split_once('-') {
            Some(("raw", rest)) => {
                let (service, host) = rest.split_once('-').expect("the id names a service");
                let service = if service == "engine" { "llm" } else { "desk" };
                (service, host.parse::<u8>().expect("the id ends in a host"))
            }
            Some(("engine" | "ghost", index)) => {
                ("llm", 10 + index.parse::<u8>().expect("the id ends in an index"))
            }
            Some(("plain", index)) => {
                ("desk", 30 + index.parse::<u8>().expect("the id ends in an index"))
            }
            _ => ("desk", 30),
        };
        let is_away = self.options.chooses_zones && service == "llm" && host % 2 == 1;
        let zone = if is_away { "zone-1" } else { "zone-0" };
        let record: Value = json!({
            "service": service, "address": self.socket_address(host, TARGET_PORT).to_string(),
            "zone": zone, "version": "v1", "slots": 4, "state": state, "coldLeftMs": 0,
            "callSeq": 1,
        });
        self.store.write(&format!("servers/{id}"), &record);
    }

    /// Removes a target's registration.
    pub fn deregister(&self, id: &str) {
        self.store.delete(&format!("servers/{id}"));
    }

    /// Copies the processes' logs, those of removed ones too, to a folder that outlives the fleet.
    ///
    /// # Errors
    /// Fails if the folder or a file in it cannot be written.
    pub fn copy_logs(&self, folder: &std::path::Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        for entry in std::fs::read_dir(self.folder.path())? {
            let path = entry?.path();
            if let Some(name) =
                path.file_name().filter(|_| path.extension() == Some("log".as_ref()))
            {
                std::fs::copy(&path, folder.join(name))?;
            }
        }
        Ok(())
    }

    /// Waits until a condition holds; returns whether it did within the timeout.
    pub fn wait_for(&self, timeout: Duration, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            if holds(self) {
                return true;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        false
    }

    /// Starts the stand-ins of the engines and of the plain service.
    fn start_targets(&mut self) {
        let queue = self.options.engine_queue;
        let event_interval = Duration::from_millis(8);
        let engine = TargetKind::Engine { event_interval, queue, slots: 4 };
        let plain = TargetKind::Plain { processing_time: Duration::from_millis(5) };
        let engines = (0..self.size.engines).map(|index| (engine_id(index), 10 + index, engine));
        let plains =
            (0..self.options.plain_targets).map(|index| (plain_id(index), 30 + index, plain));
        let targets: Vec<_> = engines.chain(plains).collect();
        for (id, host, kind) in targets {
            let crash_rule = self.crash_rule.clone();
            let is_unframed = Arc::clone(&self.has_unframed_streams);
            let log = self.target_log.clone();
            let repeat_rule = self.repeat_rule.clone();
            let request_limit = Arc::clone(&self.request_limit);
            let resume_status = Arc::clone(&self.resume_status);
            let target = PlatformTarget {
                crash_rule,
                id,
                is_unframed,
                kind,
                log,
                repeat_rule,
                request_limit,
                resume_status,
            };
            let thread =
                target.start(self.socket_address(host, TARGET_PORT)).expect("the target listens");
            self.target_threads.push(thread);
        }
    }

    /// Adds all processes and writes their settings.
    fn add_nodes(&mut self, binary: &str) {
        for index in 0..self.size.engines {
            let address = self.socket_address(10 + index, TARGET_PORT + 1);
            let proxy = self
                .options
                .has_engine_proxies
                .then(|| FaultProxy::start(address).expect("the proxy starts"));
            let engine = proxy.as_ref().map_or(address, FaultProxy::address);
            let section = format!("sidecar:\n  engine: \"{engine}\"\n");
            self.add_node(binary, "sidecar", 10 + index, &section, proxy);
        }
        for index in 0..self.size.entries {
            let host = 50 + index;
            let section = format!(
                "entry:\n  listen: \"{}\"\n  ready: \"{}\"\n{}",
                self.socket_address(
                    host,
                    if self.options.has_node_proxies { ENTRY_PORT + 1 } else { ENTRY_PORT }
                ),
                self.socket_address(host, READY_PORT),
                if self.options.chooses_zones { "  zones: {}\n" } else { "" },
            );
            self.add_node(binary, "entry", host, &section, None);
            if self.options.has_node_proxies
                && let Some(node) = self.nodes.last_mut()
            {
                let block = self.address_block;
                let address = |port| SocketAddr::new(ip_address(block, host), port);
                let proxy = FaultProxy::start_at(address(ENTRY_PORT), address(ENTRY_PORT + 1));
                node.caller_proxy = Some(proxy.expect("the proxy starts"));
            }
        }
        for index in 0..self.size.keepers {
            self.add_node(binary, "keeper", 70 + index, "", None);
        }
    }

    /// Adds one process and writes its settings.
    fn add_node(
        &mut self,
        binary: &str,
        role: &str,
        host: u8,
        section: &str,
        target_proxy: Option<FaultProxy>,
    ) {
        let name = format!("{role}-{host}");
        let store_proxy = FaultProxy::start(self.store_thread.address).expect("the proxy starts");
        let settings = self.folder.path().join(format!("{name}.yaml"));
        let mut listen = String::new();
        let node_proxy = self.options.has_node_proxies.then(|| {
            let upstream = self.socket_address(host, INTERNAL_PORT + 1);
            listen = format!("inner_listen: \"{upstream}\"\n");
            let proxy = FaultProxy::start_at(self.socket_address(host, INTERNAL_PORT), upstream);
            proxy.expect("the proxy starts")
        });
        let limits =
            self.options.process_limits.map_or_else(String::new, |(memory_mb, max_fds)| {
                format!("memory_mb: {memory_mb}\nmax_fds: {max_fds}\n")
            });
        let text = format!(
            "name: {name}\nrole: {role}\nzone: zone-0\nip: \"{}\"\ninner_port: {INTERNAL_PORT}\n\
             seeds: [\"{}\"]\nstore: \"{}\"\ngrace_s: 4\n{listen}{limits}{section}",
            ip_address(self.address_block, host),
            self.socket_address(50, INTERNAL_PORT),
            store_proxy.address(),
        );
        std::fs::write(&settings, text).expect("the settings file can be written");
        let binary = PathBuf::from(binary);
        self.nodes.push(NodeProcess {
            binary,
            child: None,
            caller_proxy: None,
            name,
            node_proxy,
            settings,
            started_at: Instant::now(),
            stops: Mutex::default(),
            store_proxy,
            target_proxy,
        });
    }

    /// Waits until all keepers are registered, and all entries are ready and know a keeper.
    fn wait_until_ready(&self) {
        let keepers = usize::from(self.size.keepers);
        let is_fleet_ready = self.wait_for(START_TIMEOUT, |fleet| {
            let is_ready =
                |index| fleet.is_ready(index) && (keepers == 0 || fleet.reaches_keeper(index));
            fleet.store.keys("cv/keeper/").len() == keepers && (0..fleet.size.entries).all(is_ready)
        });
        let outputs: Vec<String> = self.nodes.iter().map(NodeProcess::output).collect();
        assert!(
            is_fleet_ready,
            "the fleet is not ready within {START_TIMEOUT:?}: {}",
            outputs.join("\n")
        );
    }

    /// Returns whether an entry's readiness check responds with status 200.
    #[must_use]
    pub fn is_ready(&self, index: u8) -> bool {
        responds(self.socket_address(50 + index, READY_PORT), "/ready", b"200")
    }

    /// Returns whether an entry knows a keeper, which responds that a job does not exist.
    fn reaches_keeper(&self, index: u8) -> bool {
        responds(self.socket_address(50 + index, ENTRY_PORT), "/lots/none?after=0", b"404")
    }

    /// Returns the socket address of a host of the fleet.
    fn socket_address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip_address(self.address_block, host), port)
    }
}

/// Reserves a block of addresses that no other fleet uses, also none of another process.
fn reserve_block() -> ([u8; 2], TcpListener) {
    loop {
        let number = NEXT_BLOCK.fetch_add(1, Ordering::Relaxed);
        let block = [100 + (std::process::id() % 100) as u8, number];
        let address = SocketAddr::new(ip_address(block, RESERVED_HOST), INTERNAL_PORT);
        match TcpListener::bind(address) {
            Ok(listener) => return (block, listener),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => panic!("{address} cannot be reserved: {error}"),
        }
    }
}

/// Returns whether a GET request gets a response with a status.
fn responds(address: SocketAddr, path: &str, status: &[u8]) -> bool {
    let Ok(mut stream) = std::net::TcpStream::connect(address) else {
        return false;
    };
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: x\r\nApi-Key: {CALLER_KEY}\r\nConnection: close\r\n\r\n"
    );
    let mut status_line = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut status_line).is_ok()
        && status_line.ends_with(status)
}

/// Returns the id of an engine.
#[must_use]
pub fn engine_id(index: u8) -> String {
    format!("engine-{index}")
}

/// Returns the id of a target of the plain service.
fn plain_id(index: u8) -> String {
    format!("plain-{index}")
}

/// Returns the loopback address of a host in a fleet's address block.
fn ip_address(block: [u8; 2], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, block[0], block[1], host))
}
