//! Rewrites chunked responses into ones that end with their connection.

use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Copies a response from a server without its framing, and at most `limit` bytes of its body; one
/// that is not chunked is copied as it is. The caller closes the connection afterwards.
pub(crate) async fn copy_unframed<R: AsyncReadRent, W: AsyncWriteRent>(
    from: &mut R,
    to: &mut W,
    mut received: Vec<u8>,
    limit: usize,
) {
    let mut sent = 0;
    let mut has_head = false;
    loop {
        if !has_head && let Some(head) = take_head(&mut received) {
            has_head = true;
            if to.write_all(head).await.0.is_err() {
                return;
            }
        }
        while has_head && let Some(mut chunk) = take_chunk(&mut received) {
            let is_last = chunk.is_empty() || sent + chunk.len() > limit;
            chunk.truncate(limit.saturating_sub(sent));
            sent += chunk.len();
            if to.write_all(chunk).await.0.is_err() || is_last {
                return;
            }
        }
        let (result, buffer) = from.read(Vec::with_capacity(READ_BUFFER_BYTES)).await;
        match result {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return,
        }
    }
}

/// Takes a whole head without the header that announces chunks.
fn take_head(received: &mut Vec<u8>) -> Option<Vec<u8>> {
    const CHUNKED: &[u8] = b"transfer-encoding: chunked\r\n";
    let end = find(received, b"\r\n\r\n")? + 4;
    let mut head: Vec<u8> = received.drain(..end).collect();
    if let Some(position) = find(&head, CHUNKED) {
        head.drain(position..position + CHUNKED.len());
    }
    Some(head)
}

/// Takes the data of a whole chunk; that of the last one is empty.
fn take_chunk(received: &mut Vec<u8>) -> Option<Vec<u8>> {
    let line = find(received, b"\r\n")?;
    let length = std::str::from_utf8(&received[..line]).ok()?;
    let length = usize::from_str_radix(length, 16).ok()?;
    let end = line + 2 + length;
    if received.len() < end + 2 {
        return None;
    }
    let data = received[line + 2..end].to_vec();
    received.drain(..end + 2);
    Some(data)
}

/// Returns the position of a pattern.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
