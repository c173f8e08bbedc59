//! Receives an uploaded file, validates it line by line, and stores it in chunks on several disks.

use bytes::BytesMut;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_policy::batch::FileRecord;
use cv_policy::batch::JournalRecord;
use cv_policy::config::FleetConfig;
use cv_policy::stable_hash;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use super::batch_lines::InputLine;
use super::journal_client::JournalClient;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Maximum number of items in a file.
const MAX_ITEMS: u32 = 200_000;

/// Maximum number of findings in the response; further ones are only counted.
const MAX_FINDINGS: usize = 200;

/// Why a file was not stored.
pub(crate) enum UploadFault {
    /// The connection failed, or the body is too large.
    Http(HttpFault),
    /// The file is invalid; a last entry gives the number of findings left out, if any.
    Findings(Vec<Value>),
    /// Fewer replicas than required have synced the file.
    TooFewReplicas,
}

impl From<HttpFault> for UploadFault {
    fn from(fault: HttpFault) -> Self {
        Self::Http(fault)
    }
}

/// An upload in progress; holds at most one chunk of lines in memory.
pub(crate) struct FileUpload<'a> {
    /// Bytes received so far.
    bytes: u64,
    /// Lines of the chunk that is being filled.
    chunk: Vec<String>,
    chunk_items: u32,
    config: &'a FleetConfig,
    /// Hashes of the `custom_id`s of all valid lines.
    custom_id_hashes: Vec<u64>,
    digest: Sha256,
    findings: Vec<Value>,
    /// Number of findings, including those left out of `findings`.
    finding_count: usize,
    items: u32,
    /// Name of the journal that stores the lines, which is the id of the file.
    journal: String,
    /// Number of the current line, counted from 1.
    line_number: usize,
    journals: &'a JournalClient,
    min_replicas: usize,
    /// Replicas that have synced all chunks so far.
    replicas: Vec<String>,
    /// Whether every item may run more than once.
    repeatable: bool,
    /// Start of the next line, whose end has not been received yet.
    partial_line: BytesMut,
}

impl<'a> FileUpload<'a> {
    /// Creates an upload into a new journal and chooses its replicas.
    pub fn new(
        journals: &'a JournalClient,
        config: &'a FleetConfig,
        journal: &str,
        chunk_items: u32,
        min_replicas: usize,
    ) -> Self {
        Self {
            bytes: 0,
            chunk: Vec::new(),
            chunk_items,
            config,
            custom_id_hashes: Vec::new(),
            digest: Sha256::new(),
            findings: Vec::new(),
            finding_count: 0,
            items: 0,
            journal: journal.to_owned(),
            line_number: 0,
            journals,
            min_replicas,
            replicas: journals.choose_replicas(journal, &[]),
            repeatable: true,
            partial_line: BytesMut::new(),
        }
    }

    /// Receives the whole request body; after a fault, removes the journal from its replicas.
    pub async fn receive(
        mut self,
        exchange: &mut ServerExchange<'_>,
    ) -> Result<FileRecord, UploadFault> {
        let result = self.read_pieces(exchange).await;
        if result.is_err() {
            for replica in &self.replicas {
                self.journals.remove_from(replica, &self.journal).await;
            }
        }
        result
    }

    /// Reads the request body, splits it into lines and stores them.
    async fn read_pieces(
        &mut self,
        exchange: &mut ServerExchange<'_>,
    ) -> Result<FileRecord, UploadFault> {
        if self.replicas.len() < self.min_replicas {
            return Err(UploadFault::TooFewReplicas);
        }
        while let Some(piece) = exchange.read_piece().await? {
            self.bytes += piece.len() as u64;
            self.digest.update(&piece);
            self.partial_line.extend_from_slice(&piece);
            while let Some(end) = memchr::memchr(b'\n', &self.partial_line) {
                let line = self.partial_line.split_to(end + 1);
                self.add_line(&line[..end]).await?;
            }
            if self.partial_line.len() > MAX_LINE_BYTES {
                return Err(HttpFault::BodyTooLarge.into());
            }
        }
        let last = self.partial_line.split();
        self.add_line(&last).await?;
        self.flush_chunk().await?;
        self.check_duplicate_ids();
        if self.items == 0 {
            self.add_finding("the file has no items", "write one request a line");
        }
        if self.finding_count > 0 {
            let mut findings = std::mem::take(&mut self.findings);
            let left_out = self.finding_count - findings.len();
            if left_out > 0 {
                findings.push(json!({"message": format!("{left_out} further finding(s)")}));
            }
            return Err(UploadFault::Findings(findings));
        }
        Ok(self.file_record())
    }

    /// Validates one line and adds it to the current chunk.
    async fn add_line(&mut self, bytes: &[u8]) -> Result<(), UploadFault> {
        self.line_number += 1;
        let Ok(line) = std::str::from_utf8(bytes) else {
            self.add_finding("the line is not UTF-8", "encode the file as UTF-8");
            return Ok(());
        };
        let line = line.trim();
        if line.is_empty() {
            return Ok(());
        }
        match self.check_line(line) {
            Ok(custom_id) => self.custom_id_hashes.push(custom_id),
            Err((message, hint)) => self.add_finding(&message, hint),
        }
        self.items += 1;
        if self.items > MAX_ITEMS {
            return Err(HttpFault::BodyTooLarge.into());
        }
        self.chunk.push(line.to_owned());
        if self.chunk.len() >= self.chunk_items as usize {
            self.flush_chunk().await?;
        }
        Ok(())
    }

    /// Validates one line and returns the hash of its `custom_id`; the error is a message and hint.
    fn check_line(&mut self, line: &str) -> Result<u64, (String, &'static str)> {
        let form = "{\"custom_id\": …, \"method\": \"POST\", \"url\": …, \"body\": {…}}";
        let parsed = InputLine::parse(line).map_err(|error| (error, form))?;
        if parsed.custom_id.is_empty() {
            return Err(("`custom_id` is empty".to_owned(), "give each line a name of its own"));
        }
        let (service, _) = parsed.route().map_err(|error| (error, form))?;
        let Some(policy) = self.config.service(&service) else {
            let message = format!("there is no service `{service}`");
            return Err((message, "name a service of the configuration"));
        };
        self.repeatable &= policy.repeatable;
        Ok(stable_hash(&[&parsed.custom_id]))
    }

    /// Adds a finding if several lines share a `custom_id`.
    fn check_duplicate_ids(&mut self) {
        self.custom_id_hashes.sort_unstable();
        let duplicates = self.custom_id_hashes.windows(2).filter(|pair| pair[0] == pair[1]).count();
        if duplicates > 0 {
            let message = format!("{duplicates} line(s) share a `custom_id` with an earlier one");
            self.add_finding(&message, "give each line a name of its own");
        }
    }

    /// Writes the current chunk, unless findings have already made the file invalid.
    async fn flush_chunk(&mut self) -> Result<(), UploadFault> {
        let lines = std::mem::take(&mut self.chunk);
        if lines.is_empty() || self.finding_count > 0 {
            return Ok(());
        }
        let first = self.items - lines.len() as u32;
        let record = JournalRecord::Items { first, lines };
        let synced = self.journals.append(&self.replicas, &self.journal, &[record]).await;
        // A replica that has missed a chunk is no longer a replica of this file.
        if synced.len() < self.min_replicas {
            return Err(UploadFault::TooFewReplicas);
        }
        self.replicas = synced;
        Ok(())
    }

    /// Adds a finding about the current line.
    fn add_finding(&mut self, message: &str, hint: &str) {
        self.finding_count += 1;
        if self.findings.len() < MAX_FINDINGS {
            let finding = json!({"line": self.line_number, "message": message, "hint": hint});
            self.findings.push(finding);
        }
    }

    /// Builds the record of the file; the caller fills in the creation time, organisation and write
    /// id.
    fn file_record(&mut self) -> FileRecord {
        let digest = std::mem::take(&mut self.digest).finalize();
        let digits = digest.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
        FileRecord {
            bytes: self.bytes,
            chunk_items: self.chunk_items,
            created_ms: 0,
            digest: digits.filter_map(|digit| char::from_digit(digit.into(), 16)).collect(),
            id: self.journal.clone(),
            items: self.items,
            organisation: String::new(),
            repeatable: self.repeatable,
            replicas: self.replicas.clone(),
            write_id: String::new(),
        }
    }
}
