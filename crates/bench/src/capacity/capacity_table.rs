//! Computes the capacity table from the measured costs.

use std::fmt::Write;

use cv_policy::routing::status_polls_per_second;
use cv_policy::routing::subset_size;

use super::CapacitySlopes;

/// The design size: instances, rates and amounts that the system has to support.
const ENTRIES: f64 = 510.0;
const TARGETS: f64 = 6_900.0;
const MODELS: f64 = 4.0;
const ZONES: f64 = 13.0;
const REQUESTS_PER_SECOND: f64 = 46_000.0;
const TOKENS_PER_SECOND: f64 = 9_800_000.0;
const ITEMS_PER_DAY: f64 = 130_000_000.0;
const JOBS_PER_DAY: f64 = 3_500.0;
const ORGANISATIONS: f64 = 7_500.0;
const CHANGES_PER_DAY: f64 = 31_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Limits for control work on one node at the design size: share of a core, megabytes, bytes per
/// second.
const MAX_CORES: f64 = 0.017;
const MAX_MB: f64 = 32.0;
const MAX_BYTES_PER_S: f64 = 4_096.0;

/// Number of items in one chunk.
const ITEMS_PER_CHUNK: f64 = 500.0;

/// Number of entries with a disk, out of all entries.
const DISKS: f64 = 52.0;

/// Number of replicas of a journal.
const JOURNAL_REPLICAS: f64 = 3.0;

/// Number of entries per zone that watch the configuration.
const WATCHERS_PER_ZONE: f64 = 4.0;

/// One row of the table.
struct CapacityRow {
    bound: Option<f64>,
    name: &'static str,
    unit: &'static str,
    value: f64,
}

/// Renders the table in Markdown.
#[must_use]
pub fn capacity_table(slopes: &CapacitySlopes) -> String {
    let mut text =
        String::from("| what | at the design size | bound | within |\n|---|---|---|---|\n");
    for row in compute_rows(slopes) {
        let bound = row.bound.map_or("-".to_owned(), |bound| format!("{bound:.3}"));
        let within = row.bound.map_or("-", |bound| if row.value <= bound { "yes" } else { "NO" });
        let CapacityRow { name, unit, value, .. } = row;
        let _ = writeln!(text, "| {name} | {value:.3} {unit} | {bound} | {within} |");
    }
    text
}

/// Computes all rows.
fn compute_rows(slopes: &CapacitySlopes) -> Vec<CapacityRow> {
    let row = |name, value, unit, bound| CapacityRow { bound, name, unit, value };
    // An entry polls each target in its subset every 0.3 s, up to a maximum number of polls per
    // second over all targets.
    let subset = subset_size((TARGETS / MODELS) as usize, ENTRIES as usize);
    let polled = subset as f64 * MODELS;
    let polls = (polled / 0.3).min(status_polls_per_second(polled as usize));
    let sidecar_polls = polls * ENTRIES / TARGETS;
    let config_bytes = slopes.config_bytes_per_organisation * ORGANISATIONS;
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let requests_per_entry = REQUESTS_PER_SECOND / ENTRIES;
    let commits = ITEMS_PER_DAY / ITEMS_PER_CHUNK / SECONDS_PER_DAY;
    let job_writes = JOBS_PER_DAY * 4.0 / SECONDS_PER_DAY;
    vec![
        row(
            "entry: control, status calls",
            polls * slopes.status_us / 1e6,
            "cores",
            Some(MAX_CORES),
        ),
        row(
            "entry: control, status bytes",
            polls * slopes.status_bytes,
            "B/s",
            Some(MAX_BYTES_PER_S),
        ),
        row("entry: target table", polled * slopes.target_row_bytes / 1e6, "MB", Some(MAX_MB)),
        row(
            "entry: routing",
            requests_per_entry * polled / MODELS * slopes.route_ns_per_target / 1e9,
            "cores",
            None,
        ),
        row("entry: configuration in memory", config_bytes / 1e6, "MB", Some(MAX_MB)),
        row(
            "entry: configuration, whole document a change",
            changes * config_bytes,
            "B/s",
            Some(MAX_BYTES_PER_S),
        ),
        row(
            "entry and sidecar: small requests",
            requests_per_entry * slopes.request_us / 1e6,
            "cores an entry",
            None,
        ),
        row(
            "entry and sidecar: tokens",
            TOKENS_PER_SECOND / ENTRIES * slopes.token_us / 1e6,
            "cores an entry",
            None,
        ),
        row(
            "sidecar: control, status calls",
            sidecar_polls * slopes.status_us / 1e6,
            "cores",
            Some(MAX_CORES),
        ),
        row(
            "sidecar: control, status bytes",
            sidecar_polls * slopes.status_bytes,
            "B/s",
            Some(MAX_BYTES_PER_S),
        ),
        row("sidecar: timers when idle", slopes.sidecar_idle_us / 1e6, "cores", Some(MAX_CORES)),
        row("sidecar: memory when idle", slopes.sidecar_kb / 1e3, "MB", Some(MAX_MB)),
        row("key-value: chunk commits", commits, "writes/s", Some(300.0)),
        row("key-value: jobs (file, create, claim, end)", job_writes, "writes/s", Some(300.0)),
        row("key-value: lease renewals of the disks", DISKS / 2.5, "writes/s", Some(300.0)),
        row("key-value: configuration changes", changes, "writes/s", Some(300.0)),
        row(
            "key-value: watches (configuration, jobs, instances)",
            WATCHERS_PER_ZONE * ZONES + 2.0 * DISKS,
            "waiting reads",
            Some(2_000.0),
        ),
        row(
            "disk: journals written",
            ITEMS_PER_DAY / SECONDS_PER_DAY * slopes.journal_bytes_per_item * JOURNAL_REPLICAS
                / DISKS
                / 1e6,
            "MB/s a disk",
            None,
        ),
        row(
            "disk: journals kept for a week",
            ITEMS_PER_DAY * 7.0 * slopes.journal_bytes_per_item * JOURNAL_REPLICAS / DISKS / 1e9,
            "GB a disk",
            None,
        ),
    ]
}
