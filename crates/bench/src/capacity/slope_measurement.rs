//! Measures the slopes on this machine.

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

/// Length of each measurement.
const PHASE: Duration = Duration::from_secs(4);

/// Status calls in their measurement.
const STATUS_CALLS: u32 = 20_000;

/// Targets in the routing measurement.
const ROUTED_TARGETS: usize = 1_700;

/// Decisions in the routing measurement.
const DECISIONS: u32 = 2_000;

/// Organisations in the configuration measurement.
const ORGANISATIONS: usize = 1_000;

/// Length of an input line and of an answer in the journal measurement, in bytes.
const LINE_BYTES: usize = 400;

/// Items in the journal measurement.
const ITEMS: u32 = 500;

/// Measures all slopes.
#[must_use]
pub fn measure_slopes() -> CapacitySlopes {
    let followers = measure_followers();
    CapacitySlopes {
        config_bytes_per_organisation: measure_configuration(),
        journal_bytes_per_item: measure_journal(),
        request_us: measure_requests(),
        route_ns_per_target: measure_routing(),
        sidecar_idle_us: followers.idle_us,
        sidecar_kb: followers.memory_kb,
        status_bytes: followers.status_bytes,
        status_us: followers.status_us,
        target_row_bytes: measure_target_row(),
        token_us: measure_tokens(),
    }
}

/// What idle sidecars and questions to them cost.
struct FollowerCosts {
    idle_us: f64,
    memory_kb: f64,
    status_bytes: f64,
    status_us: f64,
}

/// Measures idle sidecars, and then status calls to one of them as fast as they go.
fn measure_followers() -> FollowerCosts {
    let before_kb = resident_kb();
    let (_threads, listings) = start_idle_sidecars();
    let memory_kb = (resident_kb() - before_kb) / IDLE_SIDECARS as f64;
    std::thread::sleep(PHASE);
    let before = cpu_seconds();
    std::thread::sleep(PHASE);
    let idle = cpu_seconds() - before;
    let address = listings.first().expect("a sidecar runs").control;
    let (before, bytes, begin) = (cpu_seconds(), loopback_bytes(), Instant::now());
    block_on_with_tarpc(ask_often(address)).expect("the runtime starts");
    let calls = f64::from(STATUS_CALLS);
    // What the idle sidecars use meanwhile is not the calls'.
    let idle_meanwhile = idle * begin.elapsed().as_secs_f64() / PHASE.as_secs_f64();
    FollowerCosts {
        idle_us: idle * 1e6 / PHASE.as_secs_f64() / IDLE_SIDECARS as f64,
        memory_kb,
        status_bytes: (loopback_bytes() - bytes) / calls,
        status_us: (cpu_seconds() - before - idle_meanwhile) * 1e6 / calls,
    }
}

/// Asks one sidecar for its status many times.
async fn ask_often(address: SocketAddr) {
    let pool = SidecarClientPool::default();
    let client = pool.client(address).await.expect("the sidecar answers");
    for _ in 0..STATUS_CALLS {
        let metadata =
            CallMetadata { secret: SmallDeployment::SECRET.to_owned(), ..CallMetadata::default() };
        let status = client.status(call_context(PHASE), metadata).await;
        assert!(matches!(status, Ok(Some(_))), "the sidecar answers");
    }
}

/// Measures small requests through the path.
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
    let report = load.spawn_closed(plan_for(&deployment, 0.0, PHASE, 1), 32).join();
    (cpu_seconds() - before) * 1e6 / report.in_time.max(1) as f64
}

/// Measures streamed tokens.
fn measure_tokens() -> f64 {
    let model = ModelSpec::builder().name("assist-llm").replicas(2).build();
    let deployment = SmallDeployment::start(DeploymentSpec::builder().models(vec![model]).build());
    let load = CompletionLoad::short("assist-llm", 1, 64);
    let before = cpu_seconds();
    load.spawn_closed(plan_for(&deployment, 0.0, PHASE, 1), 48).join();
    let used = cpu_seconds() - before;
    let engines = deployment.targets.iter().filter_map(|target| target.engine.as_ref());
    let tokens: u64 = engines.map(|engine| engine.report().generated_tokens).sum();
    used * 1e6 / tokens.max(1) as f64
}

/// Measures one routing decision among many targets.
fn measure_routing() -> f64 {
    let table = table_of(ROUTED_TARGETS);
    let mut router = TargetRouter::new(RoutingPolicy::BoundedAffinity, "fraser-a", 1);
    let begin = Instant::now();
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
    begin.elapsed().as_nanos() as f64 / f64::from(DECISIONS) / ROUTED_TARGETS as f64
}

/// Measures the memory of a target's row.
fn measure_target_row() -> f64 {
    let before = resident_kb();
    let tables: Vec<TargetTable> = (0..20).map(|_| table_of(ROUTED_TARGETS)).collect();
    (resident_kb() - before) * 1_024.0 / (tables.len() * ROUTED_TARGETS) as f64
}

/// Measures the configuration of many organisations.
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

/// Measures the journals' bytes for each item: its line, intent, result, and the chunk's results.
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

/// Makes a table of ready targets.
fn table_of(targets: usize) -> TargetTable {
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

/// Returns this process's resident memory, in kilobytes.
fn resident_kb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0.0)
}

/// Returns the bytes that have passed the loopback interface.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}
