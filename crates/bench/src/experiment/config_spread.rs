//! Time until a change of the configuration is in force on every entry and sidecar.

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

/// Sidecars that follow, on a few threads.
pub(crate) const FOLLOWERS: usize = 200;

/// Threads that they are spread over.
const THREADS: usize = 4;

/// Entries, in three zones.
const ENTRIES: usize = 6;

/// Time within which a change has to be in force everywhere.
const IN_FORCE_S: f64 = 2.0;

/// Longest wait for one change.
const PATIENCE: Duration = Duration::from_secs(30);

/// Changes that are made at least.
const FEWEST_CHANGES: u64 = 3;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Runs the experiment.
pub(crate) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let deployment = SmallDeployment::start(DeploymentSpec::builder().entries(ENTRIES).build());
    let (_threads, listings) = start_followers();
    let mut all = listings;
    all.extend(deployment.entry_records());
    deployment.list.set(all);
    let admin = deployment.admin();
    let mut revision = revision_of(&admin.get_json("/admin/config").unwrap_or_default());
    wait_until_in_force(&deployment, revision);
    let before = call_count(&deployment);
    let mut times = Vec::new();
    let mut conflicts = 0.0;
    let begin = Instant::now();
    for change in 0.. {
        if change >= FEWEST_CHANGES && begin.elapsed() >= options.length {
            break;
        }
        report.begin_phase(&format!("change {change}"));
        let document = json!({"defaults": {"deadline_ms": 20_000 + change}}).to_string();
        let answer = admin.put_config(&document, revision);
        let stale = admin.put_config(&document, revision);
        // Of two changes against one revision only one may be accepted.
        conflicts += f64::from(u8::from(stale.is_ok_and(|stale| stale.status == 409)));
        let begin = Instant::now();
        let body = answer.map(|response| response.body).unwrap_or_default();
        revision = revision_of(&serde_json::from_slice(&body).unwrap_or_default());
        times.push(wait_until_in_force(&deployment, revision).unwrap_or(begin.elapsed()));
    }
    times.sort();
    let seconds = |time: Option<&Duration>| time.map_or(f64::INFINITY, Duration::as_secs_f64);
    report.figure("followers", (FOLLOWERS + ENTRIES) as f64);
    report.figure("changes", times.len() as f64);
    report.figure("in_force_p50_s", seconds(times.get(times.len() / 2)));
    report.at_most("in_force_max_s", seconds(times.last()), IN_FORCE_S);
    report.at_least("races_refused_share", conflicts / times.len() as f64, 1.0);
    let calls = (call_count(&deployment) - before) as f64;
    report.figure("service_calls_per_change", calls / times.len() as f64);
}

/// Starts sidecars whose targets are not there, which follow the configuration all the same.
pub(crate) fn start_followers() -> (Vec<ServingThread>, Vec<ListedInstance>) {
    let (sender, receiver) = channel();
    let mut threads = Vec::new();
    for thread in 0..THREADS {
        let sender = sender.clone();
        threads.push(ServingThread::spawn("followers", move |shutdown| async move {
            for index in 0..FOLLOWERS / THREADS {
                let name = format!("follower-{thread}-{index}");
                let server = follower(&name);
                let addresses = (server.data_address(), server.control_address());
                let _ =
                    sender.send((name, addresses.0.expect("bound"), addresses.1.expect("bound")));
                monoio::spawn(server.run(shutdown.clone()));
            }
            shutdown.triggered().await;
        }));
    }
    drop(sender);
    let count = FOLLOWERS / THREADS * THREADS;
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

/// Binds one sidecar.
fn follower(name: &str) -> SidecarServer {
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    // Nothing listens on the discard port, so the target counts as down.
    let target = SocketAddr::from(([127, 0, 0, 1], 9));
    let section = SidecarSection::builder()
        .kind(ServiceKind::Model)
        .service("assist-llm")
        .target(target)
        .build();
    let settings = ServerSettings::builder()
        .control_listen(unset)
        .drain_limit(Duration::ZERO)
        .listen(unset)
        .name(name)
        .platform(PlatformSection::default())
        .role(RoleSection::Sidecar(Box::new(section.clone())))
        .secret(SmallDeployment::SECRET)
        .zone("fraser-a")
        .build();
    SidecarServer::bind(settings, section).expect("the sidecar binds its addresses")
}

/// Waits until a revision is in force everywhere and returns how long that took.
fn wait_until_in_force(deployment: &SmallDeployment, revision: u64) -> Option<Duration> {
    let admin = deployment.admin();
    let begin = Instant::now();
    while begin.elapsed() < PATIENCE {
        let status = admin.get_json("/admin/config/status").unwrap_or_default();
        let rows = status["instances"].as_array().cloned().unwrap_or_default();
        let current = |row: &Value| row["revision"].as_u64().is_some_and(|found| found >= revision);
        if rows.len() >= FOLLOWERS + ENTRIES && rows.iter().all(current) {
            return Some(begin.elapsed());
        }
        std::thread::sleep(LOOK_PAUSE);
    }
    None
}

/// Returns the revision in an answer.
fn revision_of(answer: &Value) -> u64 {
    answer["revision"].as_u64().unwrap_or(0)
}

/// Returns the number of calls that the key-value service has had.
fn call_count(deployment: &SmallDeployment) -> u64 {
    deployment.key_value.call_counts().values().sum()
}
