//! The file of one journal.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Size of the length and the checksum before a record's payload, in bytes.
const HEADER_BYTES: u64 = 8;

/// Maximum size of a payload, in bytes; a record with a greater length is corrupt.
const MAX_PAYLOAD_BYTES: u32 = 64 * 1024 * 1024;

/// An append-only file of records with checksums.
#[derive(Debug)]
pub struct JournalFile {
    /// Position after the last complete record.
    end: u64,
    file: File,
}

/// A range of records of a journal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordPage {
    /// Number of records that were skipped because their bytes do not match their checksum.
    pub corrupt_records: u32,
    /// Position after the last record read, in bytes.
    pub next_position: u64,
    /// The records' payloads.
    pub records: Vec<Vec<u8>>,
}

/// The data at a position of a journal.
enum Frame {
    /// The payload of a valid record, and the position of the next one.
    Valid(Vec<u8>, u64),
    /// A record with a wrong checksum; holds the position of the next one.
    Corrupt(u64),
    /// The end of the journal, or an incomplete record.
    End,
}

impl JournalFile {
    /// Opens or creates a journal and truncates a torn tail.
    ///
    /// # Errors
    /// Fails if the file cannot be read or written.
    pub fn open(path: &Path) -> io::Result<Self> {
        let options =
            OpenOptions::new().create(true).read(true).write(true).truncate(false).clone();
        let file = options.open(path)?;
        let mut journal = Self { end: 0, file };
        let length = journal.file.metadata()?.len();
        journal.end = length;
        journal.end = journal.find_end()?;
        if journal.end < length {
            journal.file.set_len(journal.end)?;
        }
        Ok(journal)
    }

    /// Appends records without syncing them.
    ///
    /// # Errors
    /// Fails if not all of them can be written; the journal is then unchanged.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for payload in payloads {
            bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
            bytes.extend_from_slice(payload);
        }
        if let Err(error) = self.file.write_all_at(&bytes, self.end) {
            // Bytes written past the end are ignored, and the next append overwrites them.
            let _ = self.file.set_len(self.end);
            return Err(error);
        }
        self.end += bytes.len() as u64;
        Ok(())
    }

    /// Makes appended records durable.
    ///
    /// # Errors
    /// Fails if the disk fails; the records may then be lost.
    pub fn sync(&self) -> io::Result<()> {
        self.file.sync_data()
    }

    /// Reads records starting at a position, up to and including the one that reaches `max_bytes`.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn read(&self, position: u64, max_bytes: usize) -> io::Result<RecordPage> {
        let mut page = RecordPage { next_position: position, ..RecordPage::default() };
        let mut bytes = 0;
        while bytes < max_bytes {
            match self.read_frame(page.next_position)? {
                Frame::Valid(payload, next) => {
                    bytes += payload.len();
                    page.records.push(payload);
                    page.next_position = next;
                }
                Frame::Corrupt(next) => {
                    page.corrupt_records += 1;
                    page.next_position = next;
                }
                Frame::End => break,
            }
        }
        Ok(page)
    }

    /// Finds the position after the last valid record.
    fn find_end(&self) -> io::Result<u64> {
        let mut position = 0;
        let mut valid_end = 0;
        loop {
            match self.read_frame(position)? {
                Frame::Valid(_, next) => {
                    position = next;
                    valid_end = next;
                }
                // A corrupt record before a valid one is not part of a torn tail.
                Frame::Corrupt(next) => position = next,
                Frame::End => return Ok(valid_end),
            }
        }
    }

    /// Reads the data at a position.
    fn read_frame(&self, position: u64) -> io::Result<Frame> {
        if position + HEADER_BYTES > self.end {
            return Ok(Frame::End);
        }
        let mut header = [0; HEADER_BYTES as usize];
        self.file.read_exact_at(&mut header, position)?;
        let (length, checksum) = header.split_at(4);
        let length = u32::from_le_bytes(length.try_into().unwrap_or_default());
        let checksum = u32::from_le_bytes(checksum.try_into().unwrap_or_default());
        let next = position + HEADER_BYTES + u64::from(length);
        if length == 0 || length > MAX_PAYLOAD_BYTES || next > self.end {
            return Ok(Frame::End);
        }
        let mut payload = vec![0; length as usize];
        self.file.read_exact_at(&mut payload, position + HEADER_BYTES)?;
        if crc32fast::hash(&payload) == checksum {
            Ok(Frame::Valid(payload, next))
        } else {
            Ok(Frame::Corrupt(next))
        }
    }
}
