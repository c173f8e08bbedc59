//! JSON objects that the batch API returns for files and jobs.

use cv_policy::batch::FileRecord;
use cv_policy::batch::JobCounts;
use cv_policy::batch::JobRecord;
use serde_json::Value;
use serde_json::json;

/// Parses a duration like `24h` or `90m` into milliseconds; the units are `d`, `h`, `m` and `s`.
pub(super) fn parse_window_ms(text: &str) -> Option<u64> {
    let unit = text.chars().last()?;
    let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
    let unit_ms = match unit {
        'd' => 86_400_000,
        'h' => 3_600_000,
        'm' => 60_000,
        's' => 1_000,
        _ => return None,
    };
    number.checked_mul(unit_ms)
}

/// Returns the API object of a file.
pub(super) fn file_object(file: &FileRecord) -> Value {
    json!({
        "bytes": file.bytes,
        "created_at": file.created_ms / 1_000,
        "digest": file.digest,
        "id": file.id,
        "items": file.items,
        "object": "file",
        "purpose": "batch",
    })
}

/// Returns the API object of a job.
pub(super) fn job_object(record: &JobRecord, counts: JobCounts) -> Value {
    json!({
        "created_at": record.created_ms / 1_000,
        "due_ms": record.due_ms,
        "ended_ms": record.ended_ms,
        "error_file_id": format!("{}-errors", record.id),
        "id": record.id,
        "input_file_id": record.file,
        "object": "batch",
        "output_file_id": format!("{}-output", record.id),
        "owner": record.owner.as_ref().map(|owner| owner.instance.clone()),
        "priority": record.priority,
        "request_counts": {
            "completed": counts.completed,
            "failed": counts.failed,
            "total": record.items,
            "unknown": counts.unknown,
        },
        "status": record.state,
    })
}
