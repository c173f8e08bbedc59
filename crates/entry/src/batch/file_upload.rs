//! Takes an uploaded file line by line, checks it, and keeps it in chunks on several disks.

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

use super::batch_document::InputLine;
use super::journal_client::JournalClient;

/// Longest line, in bytes.
const LINE_BYTES: usize = 1024 * 1024;

/// Most items in one file.
const MAX_ITEMS: u32 = 200_000;

/// Findings that are told; the rest is counted.
const MAX_FINDINGS: usize = 200;

/// Why a file was not taken.
pub(crate) enum UploadFault {
    /// The connection failed.
    Http(HttpFault),
    /// Lines were at fault; all findings, the last one with the number of those left out.
    Findings(Vec<Value>),
    /// Too few disks have kept the file.
    NotKept,
}

impl From<HttpFault> for UploadFault {
    fn from(fault: HttpFault) -> Self {
        Self::Http(fault)
    }
}

/// An upload under way; it never holds more than one chunk.
pub(crate) struct FileUpload<'a> {
    bytes: u64,
    chunk: Vec<String>,
    chunk_items: u32,
    config: &'a FleetConfig,
    custom_ids: Vec<u64>,
    digest: Sha256,
    findings: Vec<Value>,
    findings_in_all: usize,
    items: u32,
    journal: String,
    line_number: usize,
    link: &'a JournalClient,
    min_replicas: usize,
    replicas: Vec<String>,
    repeatable: bool,
    tail: BytesMut,
}

impl<'a> FileUpload<'a> {
    /// Starts an upload.
    pub fn new(
        link: &'a JournalClient,
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
            custom_ids: Vec::new(),
            digest: Sha256::new(),
            findings: Vec::new(),
            findings_in_all: 0,
            items: 0,
            journal: journal.to_owned(),
            line_number: 0,
            link,
            min_replicas,
            replicas: link.pick_replicas(journal, &[]),
            repeatable: true,
            tail: BytesMut::new(),
        }
    }

    /// Takes the whole body of a request; after a fault nothing is kept.
    pub async fn take(
        mut self,
        exchange: &mut ServerExchange<'_>,
    ) -> Result<FileRecord, UploadFault> {
        let result = self.take_pieces(exchange).await;
        if result.is_err() {
            for replica in &self.replicas {
                self.link.remove_at(replica, &self.journal).await;
            }
        }
        result
    }

    /// Takes piece after piece.
    async fn take_pieces(
        &mut self,
        exchange: &mut ServerExchange<'_>,
    ) -> Result<FileRecord, UploadFault> {
        if self.replicas.len() < self.min_replicas {
            return Err(UploadFault::NotKept);
        }
        while let Some(piece) = exchange.read_piece().await? {
            self.bytes += piece.len() as u64;
            self.digest.update(&piece);
            self.tail.extend_from_slice(&piece);
            while let Some(end) = memchr::memchr(b'\n', &self.tail) {
                let line = self.tail.split_to(end + 1);
                self.take_line(&line[..end]).await?;
            }
            if self.tail.len() > LINE_BYTES {
                return Err(HttpFault::BodyTooLarge.into());
            }
        }
        let last = self.tail.split();
        self.take_line(&last).await?;
        self.flush().await?;
        self.check_custom_ids();
        if self.items == 0 {
            self.find("the file has no items", "write one request a line");
        }
        if self.findings_in_all > 0 {
            let mut findings = std::mem::take(&mut self.findings);
            let left_out = self.findings_in_all - findings.len();
            if left_out > 0 {
                findings.push(json!({"message": format!("{left_out} further finding(s)")}));
            }
            return Err(UploadFault::Findings(findings));
        }
        Ok(self.record())
    }

    /// Takes one line.
    async fn take_line(&mut self, bytes: &[u8]) -> Result<(), UploadFault> {
        self.line_number += 1;
        let Ok(line) = std::str::from_utf8(bytes) else {
            self.find("the line is not UTF-8", "encode the file as UTF-8");
            return Ok(());
        };
        let line = line.trim();
        if line.is_empty() {
            return Ok(());
        }
        match self.check_line(line) {
            Ok(custom_id) => self.custom_ids.push(custom_id),
            Err((message, hint)) => self.find(&message, hint),
        }
        self.items += 1;
        if self.items > MAX_ITEMS {
            return Err(HttpFault::BodyTooLarge.into());
        }
        self.chunk.push(line.to_owned());
        if self.chunk.len() >= self.chunk_items as usize {
            self.flush().await?;
        }
        Ok(())
    }

    /// Checks one line and returns the hash of its name.
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

    /// Finds names that two lines share.
    fn check_custom_ids(&mut self) {
        self.custom_ids.sort_unstable();
        let repeated = self.custom_ids.windows(2).filter(|pair| pair[0] == pair[1]).count();
        if repeated > 0 {
            let message = format!("{repeated} line(s) share a `custom_id` with an earlier one");
            self.find(&message, "give each line a name of its own");
        }
    }

    /// Writes the chunk, unless findings have already ruled the file out.
    async fn flush(&mut self) -> Result<(), UploadFault> {
        let lines = std::mem::take(&mut self.chunk);
        if lines.is_empty() || self.findings_in_all > 0 {
            return Ok(());
        }
        let first = self.items - lines.len() as u32;
        let record = JournalRecord::Items { first, lines };
        let kept = self.link.append(&self.replicas, &self.journal, &[record]).await;
        // A replica that missed a chunk is no replica of this file.
        if kept.len() < self.min_replicas {
            return Err(UploadFault::NotKept);
        }
        self.replicas = kept;
        Ok(())
    }

    /// Notes a finding about the current line.
    fn find(&mut self, message: &str, hint: &str) {
        self.findings_in_all += 1;
        if self.findings.len() < MAX_FINDINGS {
            let finding = json!({"line": self.line_number, "message": message, "hint": hint});
            self.findings.push(finding);
        }
    }

    /// Returns the file's record.
    fn record(&mut self) -> FileRecord {
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
