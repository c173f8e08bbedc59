//! The journals of an instance.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use tokio::sync::oneshot;

use crate::JournalFile;
use crate::RecordPage;

/// Maximum number of requests that wait for the disk thread.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Maximum number of journal files that stay open.
const MAX_OPEN_FILES: usize = 256;

/// Maximum number of appends that share one sync of each file.
const MAX_APPENDS_PER_SYNC: usize = 256;

/// File extension of journals.
const EXTENSION: &str = "journal";

/// Why a request to the disk thread failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JournalFault {
    /// Too many requests wait.
    Busy,
    /// The disk failed or is full.
    Disk,
    /// The journal does not exist.
    NotFound,
    /// The journal's name is not 1 to 128 ASCII letters, digits, `-` and `_`.
    InvalidName,
}

impl fmt::Display for JournalFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Busy => "too many requests wait for the disk",
            Self::Disk => "the disk failed or is full",
            Self::NotFound => "the journal does not exist",
            Self::InvalidName => "the journal's name is not 1 to 128 letters, digits, `-` or `_`",
        })
    }
}

impl std::error::Error for JournalFault {}

/// A request to the disk thread, with the sender of its response.
enum StoreRequest {
    Append(String, Vec<Vec<u8>>, oneshot::Sender<Result<(), JournalFault>>),
    List(oneshot::Sender<Vec<String>>),
    Read(String, u64, usize, oneshot::Sender<Result<RecordPage, JournalFault>>),
    Remove(String, oneshot::Sender<bool>),
}

/// The journals of one folder; clones share the disk thread.
#[derive(Clone, Debug)]
pub struct JournalStore {
    sender: SyncSender<StoreRequest>,
}

impl JournalStore {
    /// Opens or creates a folder and starts its disk thread.
    ///
    /// # Errors
    /// Fails if the folder cannot be created or the thread cannot be started.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let (sender, receiver) = sync_channel(MAX_QUEUED_REQUESTS);
        let disk = DiskThread { files: BTreeMap::new(), folder: folder.to_owned() };
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || disk.run(&receiver))?;
        Ok(Self { sender })
    }

    /// Appends records and returns once they are durable.
    ///
    /// # Errors
    /// After an error the records may or may not be durable.
    pub async fn append(&self, name: &str, records: Vec<Vec<u8>>) -> Result<(), JournalFault> {
        check_name(name)?;
        let (sender, receiver) = oneshot::channel();
        self.send(StoreRequest::Append(name.to_owned(), records, sender))?;
        receiver.await.unwrap_or(Err(JournalFault::Disk))
    }

    /// Reads records starting at a position, up to and including the one that reaches `max_bytes`.
    ///
    /// # Errors
    /// `NotFound` if the journal does not exist.
    pub async fn read(
        &self,
        name: &str,
        position: u64,
        max_bytes: usize,
    ) -> Result<RecordPage, JournalFault> {
        check_name(name)?;
        let (sender, receiver) = oneshot::channel();
        self.send(StoreRequest::Read(name.to_owned(), position, max_bytes, sender))?;
        receiver.await.unwrap_or(Err(JournalFault::Disk))
    }

    /// Removes a journal; returns whether it no longer exists.
    pub async fn remove(&self, name: &str) -> bool {
        if check_name(name).is_err() {
            return false;
        }
        let (sender, receiver) = oneshot::channel();
        let sent = self.send(StoreRequest::Remove(name.to_owned(), sender));
        sent.is_ok() && receiver.await.unwrap_or(false)
    }

    /// Lists the journals' names.
    ///
    /// # Errors
    /// `Busy` if too many requests wait for the disk thread.
    pub async fn list(&self) -> Result<Vec<String>, JournalFault> {
        let (sender, receiver) = oneshot::channel();
        self.send(StoreRequest::List(sender))?;
        receiver.await.map_err(|_| JournalFault::Disk)
    }

    /// Queues a request without waiting.
    fn send(&self, request: StoreRequest) -> Result<(), JournalFault> {
        self.sender.try_send(request).map_err(|_| JournalFault::Busy)
    }
}

/// The thread that owns the files.
struct DiskThread {
    files: BTreeMap<String, JournalFile>,
    folder: PathBuf,
}

/// A written append that waits for the sync of its file.
type PendingAppend = (String, oneshot::Sender<Result<(), JournalFault>>);

impl DiskThread {
    /// Handles requests until all stores are dropped.
    fn run(mut self, receiver: &Receiver<StoreRequest>) {
        while let Ok(request) = receiver.recv() {
            let mut appends = Vec::new();
            self.handle(request, &mut appends);
            while appends.len() < MAX_APPENDS_PER_SYNC
                && let Ok(request) = receiver.try_recv()
            {
                self.handle(request, &mut appends);
            }
            self.sync(appends);
            self.close_excess_files();
        }
    }

    /// Handles one request; an append gets its response after its sync.
    fn handle(&mut self, request: StoreRequest, appends: &mut Vec<PendingAppend>) {
        match request {
            StoreRequest::Append(name, records, sender) => {
                let result = self.open(&name, true).and_then(|file| file.append(&records));
                match result {
                    Ok(()) => appends.push((name, sender)),
                    Err(error) => {
                        log_fault(&name, &error);
                        let _ = sender.send(Err(JournalFault::Disk));
                    }
                }
            }
            StoreRequest::Read(name, position, max_bytes, sender) => {
                let page = self.open(&name, false).and_then(|file| file.read(position, max_bytes));
                let _ = sender.send(page.map_err(|error| match error.kind() {
                    io::ErrorKind::NotFound => JournalFault::NotFound,
                    _ => JournalFault::Disk,
                }));
            }
            StoreRequest::Remove(name, sender) => {
                self.files.remove(&name);
                let removed = std::fs::remove_file(self.path_of(&name));
                let is_removed = removed.is_ok() || !self.path_of(&name).exists();
                let _ = sender.send(is_removed);
            }
            StoreRequest::List(sender) => {
                let _ = sender.send(self.list());
            }
        }
    }

    /// Syncs each file of the appends once and responds to them.
    fn sync(&mut self, appends: Vec<PendingAppend>) {
        let mut synced: BTreeMap<String, Result<(), JournalFault>> = BTreeMap::new();
        for (name, sender) in appends {
            let result = *synced.entry(name.clone()).or_insert_with(|| {
                let file = self.files.get(&name);
                let result = file.map_or(Ok(()), JournalFile::sync);
                result.map_err(|error| {
                    log_fault(&name, &error);
                    JournalFault::Disk
                })
            });
            let _ = sender.send(result);
        }
    }

    /// Returns the open file of a journal, and creates it if `create` is set.
    fn open(&mut self, name: &str, create: bool) -> io::Result<&mut JournalFile> {
        let path = self.path_of(name);
        // Appends to a deleted file would be lost, so a missing file is closed and created again.
        if !path.exists() {
            self.files.remove(name);
            if !create {
                return Err(io::ErrorKind::NotFound.into());
            }
            std::fs::create_dir_all(&self.folder)?;
        }
        match self.files.entry(name.to_owned()) {
            std::collections::btree_map::Entry::Occupied(entry) => Ok(entry.into_mut()),
            std::collections::btree_map::Entry::Vacant(entry) => {
                let file = JournalFile::open(&path)?;
                // A new file survives a crash only once its folder is synced.
                std::fs::File::open(&self.folder)?.sync_all()?;
                Ok(entry.insert(file))
            }
        }
    }

    /// Closes files beyond the maximum; they are opened again when needed.
    fn close_excess_files(&mut self) {
        while self.files.len() > MAX_OPEN_FILES {
            self.files.pop_first();
        }
    }

    /// Lists the journals' names.
    fn list(&self) -> Vec<String> {
        let Ok(entries) = std::fs::read_dir(&self.folder) else {
            return Vec::new();
        };
        let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
        let journals =
            paths.filter(|path| path.extension().is_some_and(|extension| extension == EXTENSION));
        let names = journals.filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()));
        names.collect()
    }

    /// Returns the path of a journal.
    fn path_of(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.{EXTENSION}"))
    }
}

/// Checks that a name is safe as a file name, so that it cannot lead out of the folder.
fn check_name(name: &str) -> Result<(), JournalFault> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let is_valid = !name.is_empty() && name.len() <= 128 && name.bytes().all(is_allowed);
    if is_valid { Ok(()) } else { Err(JournalFault::InvalidName) }
}

/// Logs an error of the disk.
fn log_fault(name: &str, error: &io::Error) {
    log::error!("cannot write journal {name}, rejecting its appends: {error}");
}
