//! Measures the time until a configuration change is active on every entry and sidecar.

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use cv_policy::config::ServiceKind;
use cv_runtime::ServingThread;
use cv_settings::PlatformSection;
use cv_settings::RoleSection;
use cv_settings::ServerSettings;
use cv_settings::SidecarSection;
use cv_sidecar::SidecarServer;
use cv_standin::ListedInstance;
use serde_json::Value;
use serde_json::json;

use super::ExperimentReport;
use super::PhaseOptions;
use crate::deployment::DeploymentSpec;
use crate::deployment::SmallDeployment;

/// Number of sidecars that load the configuration.
pub(crate) const IDLE_SIDECARS: usize = 200;

/// Number of threads that run these sidecars.
const THREADS: usize = 4;

/// Number of entries, in three zones.
const ENTRIES: usize = 6;

/// Maximum time until a change is active everywhere, in seconds.
const MAX_ACTIVATION_SECONDS: f64 = 2.0;

/// Timeout for one change to become active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum number of changes.
const MIN_CHANGES: u64 = 3;

/// Time between two polls of the configuration status.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the experiment and records its figures.
pub(crate) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let deployment = SmallDeployment::start(DeploymentSpec::builder().entries(ENTRIES).build());
    let (_threads, listings) = start_idle_sidecars();
    let mut all = listings;
    all.extend(deployment.entry_records());
    deployment.list.set(all);
    let admin = deployment.admin();
    let mut revision = revision_of(&admin.get_json("/admin/config").unwrap_or_default());
    wait_until_active(&deployment, revision);
    let before = call_count(&deployment);
    let mut times = Vec::new();
    let mut conflicts = 0.0;
    let started_at = Instant::now();
    for change in 0.. {
        if change >= MIN_CHANGES && started_at.elapsed() >= options.length {
            break;
        }
        report.begin_phase(&format!("change {change}"));
        let document = json!({"defaults": {"deadline_ms": 20_000 + change}}).to_string();
        let response = admin.put_config(&document, revision);
        let conflicting = admin.put_config(&document, revision);
        // Of two changes that expect the same revision, only one may be accepted.
        conflicts +=
            f64::from(u8::from(conflicting.is_ok_and(|conflicting| conflicting.status == 409)));
        let started_at = Instant::now();
        let body = response.map(|response| response.body).unwrap_or_default();
        revision = revision_of(&serde_json::from_slice(&body).unwrap_or_default());
        times.push(wait_until_active(&deployment, revision).unwrap_or(started_at.elapsed()));
    }
    times.sort();
    let seconds = |time: Option<&Duration>| time.map_or(f64::INFINITY, Duration::as_secs_f64);
    report.record_figure("followers", (IDLE_SIDECARS + ENTRIES) as f64);
    report.record_figure("changes", times.len() as f64);
    report.record_figure("in_force_p50_s", seconds(times.get(times.len() / 2)));
    report.record_at_most("in_force_max_s", seconds(times.last()), MAX_ACTIVATION_SECONDS);
    report.record_at_least("races_refused_share", conflicts / times.len() as f64, 1.0);
    let calls = (call_count(&deployment) - before) as f64;
    report.record_figure("service_calls_per_change", calls / times.len() as f64);
}

/// Starts sidecars without a running target, which load the configuration nevertheless.
pub(crate) fn start_idle_sidecars() -> (Vec<ServingThread>, Vec<ListedInstance>) {
    let (sender, receiver) = channel();
    let mut threads = Vec::new();
    for thread in 0..THREADS {
        let sender = sender.clone();
        threads.push(ServingThread::spawn("followers", move |shutdown| async move {
            for index in 0..IDLE_SIDECARS / THREADS {
                let name = format!("follower-{thread}-{index}");
                let server = bind_idle_sidecar(&name);
                let addresses = (server.data_address(), server.control_address());
                let _ =
                    sender.send((name, addresses.0.expect("bound"), addresses.1.expect("bound")));
                monoio::spawn(server.run(shutdown.clone()));
            }
            shutdown.triggered().await;
        }));
    }
    drop(sender);
    let count = IDLE_SIDECARS / THREADS * THREADS;
    let listings = receiver.iter().take(count).map(|(name, data, control)| ListedInstance {
        control,
        data,
        disk: false,
        draining: false,
        name,
        role: "sidecar".to_owned(),
        service: "assist-llm".to_owned(),
        zone: "fraser-a".to_owned(),
    });
    (threads, listings.collect())
}

/// Creates a sidecar without a running target, bound to free ports.
fn bind_idle_sidecar(name: &str) -> SidecarServer {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    // Nothing listens on the discard port, so the target counts as down.
    let target = SocketAddr::from(([127, 0, 0, 1], 9));
    let section = SidecarSection::builder()
        .kind(ServiceKind::Model)
        .service("assist-llm")
        .target(target)
        .build();
    let settings = ServerSettings::builder()
        .control_listen(any_port)
        .drain_limit(Duration::ZERO)
        .listen(any_port)
        .name(name)
        .platform(PlatformSection::default())
        .role(RoleSection::Sidecar(Box::new(section.clone())))
        .secret(SmallDeployment::SECRET)
        .zone("fraser-a")
        .build();
    SidecarServer::bind(settings, section).expect("the sidecar binds its addresses")
}

/// Waits until a revision is active everywhere and returns how long that took; `None` on timeout.
fn wait_until_active(deployment: &SmallDeployment, revision: u64) -> Option<Duration> {
    let admin = deployment.admin();
    let started_at = Instant::now();
    while started_at.elapsed() < ACTIVATION_TIMEOUT {
        let status = admin.get_json("/admin/config/status").unwrap_or_default();
        let rows = status["instances"].as_array().cloned().unwrap_or_default();
        let is_current =
            |row: &Value| row["revision"].as_u64().is_some_and(|found| found >= revision);
        if rows.len() >= IDLE_SIDECARS + ENTRIES && rows.iter().all(is_current) {
            return Some(started_at.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Returns the revision in a response body; 0 if there is none.
fn revision_of(response: &Value) -> u64 {
    response["revision"].as_u64().unwrap_or(0)
}

/// Returns the number of calls that the key-value stand-in has received.
fn call_count(deployment: &SmallDeployment) -> u64 {
    deployment.key_value.call_counts().values().sum()
}
