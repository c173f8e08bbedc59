//! One journal.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Bytes before a record's payload: its length and its checksum.
const HEADER_BYTES: u64 = 8;

/// Longest payload, in bytes; a longer length can only be damage.
const PAYLOAD_BYTES: u32 = 64 * 1024 * 1024;

/// A file of records.
#[derive(Debug)]
pub struct JournalFile {
    end: u64,
    file: File,
}

/// A part of a journal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordPage {
    /// Records whose bytes no longer match their checksum, and that were skipped.
    pub corrupt_records: u32,
    /// Position after the last record.
    pub next_position: u64,
    /// The records' payloads.
    pub records: Vec<Vec<u8>>,
}

/// What stands at a position of a journal.
enum Frame {
    /// A record whose checksum fits.
    Sound(Vec<u8>, u64),
    /// A record whose checksum does not fit; the next one begins at this position.
    Damaged(u64),
    /// The end, or a record that was not written whole.
    End,
}

impl JournalFile {
    /// Opens or creates a journal and cuts off a torn tail.
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
    /// Fails if they cannot all be written; the journal is then as it was.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for payload in payloads {
            bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
            bytes.extend_from_slice(payload);
        }
        if let Err(error) = self.file.write_all_at(&bytes, self.end) {
            // Whatever was written lies behind the end, and the next append overwrites it.
            let _ = self.file.set_len(self.end);
            return Err(error);
        }
        self.end += bytes.len() as u64;
        Ok(())
    }

    /// Makes appended records durable.
    ///
    /// # Errors
    /// Fails if the disk does; the records may be lost then.
    pub fn sync(&self) -> io::Result<()> {
        self.file.sync_data()
    }

    /// Reads records from a position on, about `most` bytes of them.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn read(&self, position: u64, most: usize) -> io::Result<RecordPage> {
        let mut page = RecordPage { next_position: position, ..RecordPage::default() };
        let mut bytes = 0;
        while bytes < most {
            match self.frame_at(page.next_position)? {
                Frame::Sound(payload, next) => {
                    bytes += payload.len();
                    page.records.push(payload);
                    page.next_position = next;
                }
                Frame::Damaged(next) => {
                    page.corrupt_records += 1;
                    page.next_position = next;
                }
                Frame::End => break,
            }
        }
        Ok(page)
    }

    /// Finds the position after the last record that was written whole.
    fn find_end(&self) -> io::Result<u64> {
        let mut position = 0;
        let mut sound_end = 0;
        loop {
            match self.frame_at(position)? {
                Frame::Sound(_, next) => {
                    position = next;
                    sound_end = next;
                }
                // Damage with sound records behind it is no torn tail.
                Frame::Damaged(next) => position = next,
                Frame::End => return Ok(sound_end),
            }
        }
    }

    /// Reads what stands at a position.
    fn frame_at(&self, position: u64) -> io::Result<Frame> {
        if position + HEADER_BYTES > self.end {
            return Ok(Frame::End);
        }
        let mut header = [0; HEADER_BYTES as usize];
        self.file.read_exact_at(&mut header, position)?;
        let (length, checksum) = header.split_at(4);
        let length = u32::from_le_bytes(length.try_into().unwrap_or_default());
        let checksum = u32::from_le_bytes(checksum.try_into().unwrap_or_default());
        let next = position + HEADER_BYTES + u64::from(length);
        if length == 0 || length > PAYLOAD_BYTES || next > self.end {
            return Ok(Frame::End);
        }
        let mut payload = vec![0; length as usize];
        self.file.read_exact_at(&mut payload, position + HEADER_BYTES)?;
        if crc32fast::hash(&payload) == checksum {
            Ok(Frame::Sound(payload, next))
        } else {
            Ok(Frame::Damaged(next))
        }
    }
}
