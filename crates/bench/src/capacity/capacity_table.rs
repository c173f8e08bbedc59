//! Works the table out.

use std::fmt::Write;

use cv_policy::routing::status_polls_per_second;
use cv_policy::routing::subset_size;

use super::CapacitySlopes;

/// Sizes of the users' letter.
const ENTRIES: f64 = 510.0;
const REPLICAS: f64 = 6_900.0;
const MODELS: f64 = 4.0;
const ZONES: f64 = 13.0;
const REQUESTS_PER_SECOND: f64 = 46_000.0;
const TOKENS_PER_SECOND: f64 = 9_800_000.0;
const ITEMS_PER_DAY: f64 = 130_000_000.0;
const JOBS_PER_DAY: f64 = 3_500.0;
const ORGANISATIONS: f64 = 7_500.0;
const CHANGES_PER_DAY: f64 = 31_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Bounds of the letter for control on one node: share of a core, megabytes, bytes a second.
const CONTROL_CORE: f64 = 0.017;
const CONTROL_MB: f64 = 32.0;
const CONTROL_BYTES: f64 = 4_096.0;

/// Items in one chunk.
const CHUNK_ITEMS: f64 = 500.0;

/// Entries with a disk, of those of the letter.
const DISKS: f64 = 52.0;

/// Replicas of a journal.
const JOURNALS: f64 = 3.0;

/// Entries that watch the configuration in each zone.
const WATCHERS: f64 = 4.0;

/// One line of the table.
struct CapacityRow {
    bound: Option<f64>,
    name: &'static str,
    unit: &'static str,
    value: f64,
}

/// Returns the table in Markdown.
#[must_use]
pub fn capacity_table(slopes: &CapacitySlopes) -> String {
    let mut text =
        String::from("| what | at the letter's size | bound | within |\n|---|---|---|---|\n");
    for row in rows(slopes) {
        let bound = row.bound.map_or("-".to_owned(), |bound| format!("{bound:.3}"));
        let within = row.bound.map_or("-", |bound| if row.value <= bound { "yes" } else { "NO" });
        let CapacityRow { name, unit, value, .. } = row;
        let _ = writeln!(text, "| {name} | {value:.3} {unit} | {bound} | {within} |");
    }
    text
}

/// Works out all lines.
fn rows(slopes: &CapacitySlopes) -> Vec<CapacityRow> {
    let row = |name, value, unit, bound| CapacityRow { bound, name, unit, value };
    // An entry asks its targets in turn, at most this often a second in all.
    let of_model = subset_size((REPLICAS / MODELS) as usize, ENTRIES as usize);
    let asked = of_model as f64 * MODELS;
    let calls = (asked / 0.3).min(status_polls_per_second(asked as usize));
    let sidecar_calls = calls * ENTRIES / REPLICAS;
    let config_bytes = slopes.config_bytes_per_organisation * ORGANISATIONS;
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let per_entry = REQUESTS_PER_SECOND / ENTRIES;
    let commits = ITEMS_PER_DAY / CHUNK_ITEMS / SECONDS_PER_DAY;
    let jobs = JOBS_PER_DAY * 4.0 / SECONDS_PER_DAY;
    vec![
        row(
            "entry: control, status calls",
            calls * slopes.status_us / 1e6,
            "cores",
            Some(CONTROL_CORE),
        ),
        row(
            "entry: control, status bytes",
            calls * slopes.status_bytes,
            "B/s",
            Some(CONTROL_BYTES),
        ),
        row("entry: target table", asked * slopes.target_row_bytes / 1e6, "MB", Some(CONTROL_MB)),
        row(
            "entry: routing",
            per_entry * asked / MODELS * slopes.route_ns_per_target / 1e9,
            "cores",
            None,
        ),
        row("entry: configuration in memory", config_bytes / 1e6, "MB", Some(CONTROL_MB)),
        row(
            "entry: configuration, whole document a change",
            changes * config_bytes,
            "B/s",
            Some(CONTROL_BYTES),
        ),
        row(
            "entry and sidecar: small requests",
            per_entry * slopes.request_us / 1e6,
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
            sidecar_calls * slopes.status_us / 1e6,
            "cores",
            Some(CONTROL_CORE),
        ),
        row(
            "sidecar: control, status bytes",
            sidecar_calls * slopes.status_bytes,
            "B/s",
            Some(CONTROL_BYTES),
        ),
        row("sidecar: timers when idle", slopes.sidecar_idle_us / 1e6, "cores", Some(CONTROL_CORE)),
        row("sidecar: memory when idle", slopes.sidecar_kb / 1e3, "MB", Some(CONTROL_MB)),
        row("key-value: chunk commits", commits, "writes/s", Some(300.0)),
        row("key-value: jobs (file, create, claim, end)", jobs, "writes/s", Some(300.0)),
        row("key-value: lease renewals of the disks", DISKS / 2.5, "writes/s", Some(300.0)),
        row("key-value: configuration changes", changes, "writes/s", Some(300.0)),
        row(
            "key-value: watches (configuration, jobs, instances)",
            WATCHERS * ZONES + 2.0 * DISKS,
            "waiting reads",
            Some(2_000.0),
        ),
        row(
            "disk: journals written",
            ITEMS_PER_DAY / SECONDS_PER_DAY * slopes.journal_bytes_per_item * JOURNALS
                / DISKS
                / 1e6,
            "MB/s a disk",
            None,
        ),
        row(
            "disk: journals kept for a week",
            ITEMS_PER_DAY * 7.0 * slopes.journal_bytes_per_item * JOURNALS / DISKS / 1e9,
            "GB a disk",
            None,
        ),
    ]
}
