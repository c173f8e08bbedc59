//! Reads the results of a job's committed chunks.

use bytes::Bytes;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_key_value::CallPurpose;
use cv_key_value::KeyRange;
use cv_key_value::KeyValueFault;
use cv_policy::batch::ChunkCommit;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JobRecord;
use cv_policy::batch::JournalRecord;
use cv_policy::batch::ResultState;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use super::batch_coordinator::BatchCoordinator;
use super::journal_client::decode_record;

/// Which results are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResultKind {
    /// Those of completed items.
    Output,
    /// Those of items that failed or of which nobody knows.
    Errors,
}

impl ResultKind {
    /// Tells whether a result belongs to this kind.
    fn takes(self, state: ResultState) -> bool {
        (self == Self::Output) == (state == ResultState::Completed)
    }
}

/// Sends the results of a job's committed chunks, one line each, page by page.
///
/// A replica that lacks chunks is followed by the next one; if none has a committed chunk, the
/// answer is cut off rather than ended short.
pub(crate) async fn stream_results(
    coordinator: &BatchCoordinator,
    exchange: &mut ServerExchange<'_>,
    record: &JobRecord,
    kind: ResultKind,
    mut missing: Vec<(u32, u64)>,
) -> Result<(), HttpFault> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/jsonl"));
    exchange.start_stream(StatusCode::OK, &headers).await?;
    for replica in &record.replicas {
        let mut position = 0;
        while !missing.is_empty() {
            let page = coordinator.journals.read_at(replica, &record.id, position).await;
            let Some(page) = page.filter(|page| !page.records.is_empty()) else {
                break;
            };
            position = page.next_position;
            for bytes in &page.records {
                let lines = take_chunk(bytes, kind, &mut missing);
                exchange.send_piece(&lines).await?;
            }
        }
    }
    if !missing.is_empty() {
        log::error!("job {}: {} committed chunk(s) not found", record.id, missing.len());
        return Err(HttpFault::Truncated);
    }
    exchange.finish_stream().await
}

/// Lists a job's committed chunks with their epochs, sorted by chunk.
pub(crate) async fn committed_chunks(
    coordinator: &BatchCoordinator,
    job: &str,
) -> Result<Vec<(u32, u64)>, KeyValueFault> {
    let Some(client) = &coordinator.state.key_value else {
        return Ok(Vec::new());
    };
    let range = KeyRange::Prefix(ChunkCommit::prefix_of(job));
    let page = client.range(CallPurpose::Job, &range, 0).await?;
    let chunks = page.entries.iter().filter_map(|entry| {
        let commit = serde_json::from_slice::<ChunkCommit>(&entry.value).ok()?;
        Some((ChunkCommit::chunk_of(&entry.key)?, commit.epoch))
    });
    Ok(chunks.collect())
}

/// Returns the lines of a record if it is a committed chunk that is still missing.
fn take_chunk(bytes: &[u8], kind: ResultKind, missing: &mut Vec<(u32, u64)>) -> Bytes {
    let Some(JournalRecord::Chunk { chunk, epoch, results }) = decode_record(bytes) else {
        return Bytes::new();
    };
    let Ok(position) = missing.binary_search(&(chunk, epoch)) else {
        return Bytes::new();
    };
    missing.remove(position);
    lines_of(&results, kind)
}

/// Joins the lines of results of one kind.
fn lines_of(results: &[ItemResult], kind: ResultKind) -> Bytes {
    let mut lines = String::new();
    for result in results.iter().filter(|result| kind.takes(result.state)) {
        lines.push_str(&result.body);
        lines.push('\n');
    }
    Bytes::from(lines)
}
