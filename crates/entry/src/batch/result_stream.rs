//! Streams the results of a job's committed chunks.

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

/// The result file that a caller reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResultKind {
    /// Results of completed items.
    Output,
    /// Results of items that failed or whose outcome is unknown.
    Errors,
}

impl ResultKind {
    /// Returns whether a result of this state belongs to the file.
    fn includes(self, state: ResultState) -> bool {
        (self == Self::Output) == (state == ResultState::Completed)
    }
}

/// Streams the results of a job's committed chunks, one line each, page by page.
///
/// `missing` lists the committed chunks with their epochs, sorted. Chunks that one replica lacks
/// are read from the next; if no replica has a committed chunk, the response is truncated so that
/// the caller does not take it for complete.
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
            let page = coordinator.journals.read_from(replica, &record.id, position).await;
            let Some(page) = page.filter(|page| !page.records.is_empty()) else {
                break;
            };
            position = page.next_position;
            for bytes in &page.records {
                let lines = take_chunk_lines(bytes, kind, &mut missing);
                exchange.send_piece(&lines).await?;
            }
        }
    }
    if !missing.is_empty() {
        log::error!(
            "job {}: truncated the results, {} committed chunk(s) found on no replica",
            record.id,
            missing.len(),
        );
        return Err(HttpFault::Truncated);
    }
    exchange.finish_stream().await
}

/// Returns a job's committed chunks with their epochs, sorted by chunk.
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

/// Returns the result lines of a record if it is a missing chunk, and removes the chunk from
/// `missing`; otherwise returns nothing.
fn take_chunk_lines(bytes: &[u8], kind: ResultKind, missing: &mut Vec<(u32, u64)>) -> Bytes {
    let Some(JournalRecord::Chunk { chunk, epoch, results }) = decode_record(bytes) else {
        return Bytes::new();
    };
    let Ok(position) = missing.binary_search(&(chunk, epoch)) else {
        return Bytes::new();
    };
    missing.remove(position);
    join_lines(&results, kind)
}

/// Joins the results that belong to one file, one line each.
fn join_lines(results: &[ItemResult], kind: ResultKind) -> Bytes {
    let mut lines = String::new();
    for result in results.iter().filter(|result| kind.includes(result.state)) {
        lines.push_str(&result.body);
        lines.push('\n');
    }
    Bytes::from(lines)
}
