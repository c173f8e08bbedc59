//! Decodes the chunks of a message body.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::HttpFault;

/// Maximum length of the line that gives the size of a chunk, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 1024;

/// Maximum size of all chunk extensions of a body, in bytes.
const MAX_EXTENSION_BYTES: usize = 16 * 1024;

/// Maximum size of the trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Size from which a piece made of several chunks is returned, in bytes.
const PIECE_BYTES: usize = 32 * 1024;

/// Decodes a chunked body. Pieces are returned as they arrive, whatever the size of their chunks, so
/// that no more of the body is buffered than one read.
#[derive(Clone, Debug, Default)]
pub struct ChunkDecoder {
    /// Size of the extensions so far, in bytes.
    extension_bytes: usize,
    stage: ChunkStage,
    /// Size of the trailers so far, in bytes.
    trailer_bytes: usize,
}

/// The part of a chunked body that comes next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ChunkStage {
    /// The size of a chunk.
    #[default]
    Size,
    /// This many bytes of a chunk.
    Data(u64),
    /// The line end after a chunk.
    DataEnd,
    /// A trailer, or the empty line that ends the body.
    Trailer,
}

/// What a decoder has found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkStep {
    /// The next bytes of the body.
    Piece(Bytes),
    /// The buffer holds nothing more of the body.
    NeedsBytes,
    /// The end of the body.
    End,
}

impl ChunkDecoder {
    /// Takes as much of the body as the buffer holds.
    ///
    /// # Errors
    /// `Malformed` for an invalid or overlong size, extension or trailer.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<ChunkStep, HttpFault> {
        let mut piece = BytesMut::new();
        while piece.len() < PIECE_BYTES {
            match self.stage {
                ChunkStage::Size => {
                    let Some(line) = take_line(buffer, MAX_SIZE_LINE_BYTES)? else { break };
                    let (size, extension) = parse_size_line(&line)?;
                    self.extension_bytes += extension;
                    if self.extension_bytes > MAX_EXTENSION_BYTES {
                        return Err(HttpFault::Malformed("chunk extensions too long"));
                    }
                    self.stage =
                        if size == 0 { ChunkStage::Trailer } else { ChunkStage::Data(size) };
                }
                ChunkStage::Data(left) => {
                    let available = left.min(buffer.len() as u64);
                    if available == 0 {
                        break;
                    }
                    let data = buffer.split_to(available as usize);
                    if piece.is_empty() {
                        piece = data;
                    } else {
                        piece.extend_from_slice(&data);
                    }
                    self.stage = match left - available {
                        0 => ChunkStage::DataEnd,
                        rest => ChunkStage::Data(rest),
                    };
                }
                ChunkStage::DataEnd => {
                    if buffer.len() < 2 {
                        break;
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(HttpFault::Malformed("chunk without line end"));
                    }
                    buffer.advance(2);
                    self.stage = ChunkStage::Size;
                }
                // The end is returned by itself, after the last piece.
                ChunkStage::Trailer if !piece.is_empty() => break,
                ChunkStage::Trailer => {
                    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES)? else { break };
                    if line.is_empty() {
                        return Ok(ChunkStep::End);
                    }
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(HttpFault::Malformed("trailers too long"));
                    }
                }
            }
        }
        Ok(if piece.is_empty() { ChunkStep::NeedsBytes } else { ChunkStep::Piece(piece.freeze()) })
    }
}

/// Takes a line without its end, or `None` if the buffer holds no whole line.
fn take_line(buffer: &mut BytesMut, max_length: usize) -> Result<Option<BytesMut>, HttpFault> {
    let searched = &buffer[..buffer.len().min(max_length + 2)];
    let Some(end) = memchr::memchr(b'\n', searched) else {
        if buffer.len() > max_length {
            return Err(HttpFault::Malformed("line of a chunked body too long"));
        }
        return Ok(None);
    };
    let mut line = buffer.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(HttpFault::Malformed("line of a chunked body without carriage return"));
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Parses the line before a chunk into the size of the chunk and the length of the extension.
fn parse_size_line(line: &[u8]) -> Result<(u64, usize), HttpFault> {
    let invalid = || HttpFault::Malformed("invalid chunk");
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (size, rest) = line.split_at(digits);
    if !matches!(rest.trim_ascii_start().first(), None | Some(b';')) {
        return Err(invalid());
    }
    let size = std::str::from_utf8(size).map_err(|_| invalid())?;
    let size = u64::from_str_radix(size, 16).map_err(|_| invalid())?;
    Ok((size, rest.len()))
}
