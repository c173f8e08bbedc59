//! Measures the costs per unit on this machine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_control::CallMetadata;
use cv_control::SidecarClientPool;
use cv_control::call_context;
use cv_policy::MonotonicTime;
use cv_policy::WorkClass;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JournalRecord;
use cv_policy::batch::ResultState;
use cv_policy::routing::RouteRequest;
use cv_policy::routing::RoutingPolicy;
use cv_policy::routing::TargetListing;
use cv_policy::routing::TargetRouter;
use cv_policy::routing::TargetTable;
use cv_policy::stable_hash;
use cv_runtime::block_on_with_tarpc;
use serde_json::json;

use super::CapacitySlopes;
use crate::deployment::DeploymentSpec;
use crate::deployment::ModelSpec;
use crate::deployment::PlainSpec;
use crate::deployment::SmallDeployment;
use crate::experiment::config_spread::IDLE_SIDECARS;
use crate::experiment::config_spread::start_idle_sidecars;
use crate::experiment::shared_load::CompletionLoad;
use crate::experiment::shared_load::ServiceLoad;
use crate::experiment::shared_load::cpu_seconds;
use crate::experiment::shared_load::plan_for;

/// Duration of each timed measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

/// Number of polls in the status measurement.
const STATUS_POLLS: u32 = 20_000;

/// Number of targets in the routing measurement.
const ROUTED_TARGETS: usize = 1_700;

/// Number of decisions in the routing measurement.
const DECISIONS: u32 = 2_000;

/// Number of organisations in the configuration measurement.
const ORGANISATIONS: usize = 1_000;

/// Size of an input line and of a response in the journal measurement, in bytes.
const LINE_BYTES: usize = 400;

/// Number of items in the journal measurement.
const ITEMS: u32 = 500;

/// Measures all costs per unit.
#[must_use]
pub fn measure_slopes() -> CapacitySlopes {
    let sidecars = measure_sidecars();
    CapacitySlopes {
        config_bytes_per_organisation: measure_configuration(),
        journal_bytes_per_item: measure_journal(),
        request_us: measure_requests(),
        route_ns_per_target: measure_routing(),
        sidecar_idle_us: sidecars.idle_us,
        sidecar_kb: sidecars.memory_kb,
        status_bytes: sidecars.status_bytes,
        status_us: sidecars.status_us,
        target_row_bytes: measure_target_row(),
        token_us: measure_tokens(),
    }
}

/// Costs of idle sidecars and of status polls.
struct SidecarCosts {
    idle_us: f64,
    memory_kb: f64,
    status_bytes: f64,
    status_us: f64,
}

/// Measures idle sidecars, and then polls the status of one of them without delay.
fn measure_sidecars() -> SidecarCosts {
    let before_kb = resident_kb();
    let (_threads, listings) = start_idle_sidecars();
    let memory_kb = (resident_kb() - before_kb) / IDLE_SIDECARS as f64;
    std::thread::sleep(MEASUREMENT_DURATION);
    let before = cpu_seconds();
    std::thread::sleep(MEASUREMENT_DURATION);
    let idle_seconds = cpu_seconds() - before;
    let address = listings.first().expect("at least one sidecar is running").control;
    let (before, bytes, started_at) = (cpu_seconds(), loopback_bytes(), Instant::now());
    block_on_with_tarpc(poll_status(address)).expect("the runtime starts");
    let polls = f64::from(STATUS_POLLS);
    // The CPU time that the idle sidecars use during the polls is subtracted from the polls' cost.
    let idle_seconds_meanwhile =
        idle_seconds * started_at.elapsed().as_secs_f64() / MEASUREMENT_DURATION.as_secs_f64();
    SidecarCosts {
        idle_us: idle_seconds * 1e6 / MEASUREMENT_DURATION.as_secs_f64() / IDLE_SIDECARS as f64,
        memory_kb,
        status_bytes: (loopback_bytes() - bytes) / polls,
        status_us: (cpu_seconds() - before - idle_seconds_meanwhile) * 1e6 / polls,
    }
}

/// Polls the status of one sidecar [`STATUS_POLLS`] times.
async fn poll_status(address: SocketAddr) {
    let pool = SidecarClientPool::default();
    let client = pool.client(address).await.expect("the sidecar responds");
    for _ in 0..STATUS_POLLS {
        let metadata =
            CallMetadata { secret: SmallDeployment::SECRET.to_owned(), ..CallMetadata::default() };
        let status = client.status(call_context(MEASUREMENT_DURATION), metadata).await;
        assert!(matches!(status, Ok(Some(_))), "the sidecar responds");
    }
}

/// Measures the CPU time of a small request through entry and sidecar, in microseconds.
fn measure_requests() -> f64 {
    let echo = PlainSpec::builder()
        .name("echo")
        .repeatable(true)
        .replicas(2)
        .service_time(Duration::ZERO)
        .build();
    let deployment = SmallDeployment::start(DeploymentSpec::builder().plains(vec![echo]).build());
    let load = ServiceLoad {
        deadline: Duration::from_secs(5),
        name: "capacity".to_owned(),
        path: "/services/echo/notes",
    };
    let before = cpu_seconds();
    let report = load.spawn_closed(plan_for(&deployment, 0.0, MEASUREMENT_DURATION, 1), 32).join();
    (cpu_seconds() - before) * 1e6 / report.in_time.max(1) as f64
}

/// Measures the CPU time of a streamed token, in microseconds.
fn measure_tokens() -> f64 {
    let model = ModelSpec::builder().name("assist-llm").replicas(2).build();
    let deployment = SmallDeployment::start(DeploymentSpec::builder().models(vec![model]).build());
    let load = CompletionLoad::short("assist-llm", 1, 64);
    let before = cpu_seconds();
    load.spawn_closed(plan_for(&deployment, 0.0, MEASUREMENT_DURATION, 1), 48).join();
    let used = cpu_seconds() - before;
    let engines = deployment.targets.iter().filter_map(|target| target.engine.as_ref());
    let tokens: u64 = engines.map(|engine| engine.report().generated_tokens).sum();
    used * 1e6 / tokens.max(1) as f64
}

/// Measures the time of a routing decision per target, in nanoseconds.
fn measure_routing() -> f64 {
    let table = table_with(ROUTED_TARGETS);
    let mut router = TargetRouter::new(RoutingPolicy::BoundedAffinity, "fraser-a", 1);
    let started_at = Instant::now();
    for decision in 0..DECISIONS {
        let request = RouteRequest {
            affinity: Some(u64::from(decision)),
            strict_affinity: false,
            class: WorkClass::Online,
            excluded: &[],
            service: stable_hash(&["assist-llm"]),
        };
        let chosen = router.choose(MonotonicTime::from_millis(10_000), &table, &request);
        assert!(chosen.is_some(), "a target is chosen");
    }
    started_at.elapsed().as_nanos() as f64 / f64::from(DECISIONS) / ROUTED_TARGETS as f64
}

/// Measures the resident memory of a row in the target table, in bytes.
fn measure_target_row() -> f64 {
    let before = resident_kb();
    let tables: Vec<TargetTable> = (0..20).map(|_| table_with(ROUTED_TARGETS)).collect();
    (resident_kb() - before) * 1_024.0 / (tables.len() * ROUTED_TARGETS) as f64
}

/// Measures the size of the configuration per organisation, in bytes.
fn measure_configuration() -> f64 {
    let organisations: Vec<_> = (0..ORGANISATIONS)
        .map(|index| {
            json!({"name": format!("organisation-{index}"), "weight": 1,
                   "token_hashes": [cv_policy::hash_token(&index.to_string())]})
        })
        .collect();
    let empty = json!({"organisations": []}).to_string().len();
    let full = json!({"organisations": organisations}).to_string().len();
    (full - empty) as f64 / ORGANISATIONS as f64
}

/// Measures the journal's size per item, in bytes: its input line, its intent, its result and its
/// copy in the chunk's results.
fn measure_journal() -> f64 {
    let line = "x".repeat(LINE_BYTES);
    let results: Vec<ItemResult> = (0..ITEMS)
        .map(|item| ItemResult {
            body: line.clone(),
            item,
            state: ResultState::Completed,
            status: 200,
        })
        .collect();
    let records = [
        JournalRecord::Items { first: 0, lines: vec![line.clone(); ITEMS as usize] },
        JournalRecord::Intent { epoch: 9, items: (0..ITEMS).map(|item| (item, 1)).collect() },
        JournalRecord::Results { epoch: 9, results: results.clone() },
        JournalRecord::Chunk { chunk: 0, epoch: 9, results },
    ];
    let encoded = records.iter().filter_map(|record| postcard::to_stdvec(record).ok());
    encoded.map(|bytes| bytes.len()).sum::<usize>() as f64 / f64::from(ITEMS)
}

/// Creates a table of ready targets.
fn table_with(targets: usize) -> TargetTable {
    let listings: Vec<TargetListing> = (0..targets)
        .map(|index| TargetListing {
            control: std::net::SocketAddr::from(([127, 0, 0, 1], 2)),
            data: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            draining: false,
            name: format!("assist-llm-{index}"),
            service: "assist-llm".to_owned(),
            zone: format!("zone-{}", index % 13),
        })
        .collect();
    let mut table = TargetTable::default();
    table.apply(MonotonicTime::ZERO, &listings);
    for row in table.rows_mut() {
        row.ready = true;
    }
    table
}

/// Returns this process's resident memory, in kilobytes; 0 if it cannot be read.
fn resident_kb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0.0)
}

/// Returns the bytes received on the loopback interface so far; 0 if they cannot be read.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}
