//! All journals of an instance, behind a channel.

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

/// Requests that may wait for the disk.
const QUEUE: usize = 4_096;

/// Journals whose files stay open.
const OPEN_FILES: usize = 256;

/// Appends that share one sync of each file.
const GROUP: usize = 256;

/// Ending of journals' file names.
const EXTENSION: &str = "journal";

/// Why the disk did not do what it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JournalFault {
    /// Too many requests wait.
    Busy,
    /// The disk failed or is full.
    Disk,
    /// There is no such journal.
    NotFound,
    /// The journal's name is not made of letters, digits, `-` and `_`.
    InvalidName,
}

impl fmt::Display for JournalFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Busy => "too many requests wait for the disk",
            Self::Disk => "the disk failed or is full",
            Self::NotFound => "there is no such journal",
            Self::InvalidName => "the journal's name is not sound",
        })
    }
}

impl std::error::Error for JournalFault {}

/// What the disk's thread is asked for, with where the answer goes.
enum StoreRequest {
    Append(String, Vec<Vec<u8>>, oneshot::Sender<Result<(), JournalFault>>),
    List(oneshot::Sender<Vec<String>>),
    Read(String, u64, usize, oneshot::Sender<Result<RecordPage, JournalFault>>),
    Remove(String, oneshot::Sender<bool>),
}

/// The journals of one folder; clones share the thread.
#[derive(Clone, Debug)]
pub struct JournalStore {
    sender: SyncSender<StoreRequest>,
}

impl JournalStore {
    /// Opens a folder, which is made if it is not there, and starts its thread.
    ///
    /// # Errors
    /// Fails if the folder cannot be made.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let (sender, receiver) = sync_channel(QUEUE);
        let disk = DiskThread { files: BTreeMap::new(), folder: folder.to_owned() };
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || disk.run(&receiver))?;
        Ok(Self { sender })
    }

    /// Appends records and returns once they are on the disk.
    ///
    /// # Errors
    /// After a fault the records may or may not be kept.
    pub async fn append(&self, name: &str, records: Vec<Vec<u8>>) -> Result<(), JournalFault> {
        check_name(name)?;
        let (sender, receiver) = oneshot::channel();
        self.send(StoreRequest::Append(name.to_owned(), records, sender))?;
        receiver.await.unwrap_or(Err(JournalFault::Disk))
    }

    /// Reads records from a position on, about `most` bytes of them.
    ///
    /// # Errors
    /// `Missing` if there is no such journal.
    pub async fn read(
        &self,
        name: &str,
        position: u64,
        most: usize,
    ) -> Result<RecordPage, JournalFault> {
        check_name(name)?;
        let (sender, receiver) = oneshot::channel();
        self.send(StoreRequest::Read(name.to_owned(), position, most, sender))?;
        receiver.await.unwrap_or(Err(JournalFault::Disk))
    }

    /// Removes a journal; tells whether it is gone.
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
    /// `Busy` if too many requests wait.
    pub async fn list(&self) -> Result<Vec<String>, JournalFault> {
        let (sender, receiver) = oneshot::channel();
        self.send(StoreRequest::List(sender))?;
        receiver.await.map_err(|_| JournalFault::Disk)
    }

    /// Gives the thread a request without waiting.
    fn send(&self, request: StoreRequest) -> Result<(), JournalFault> {
        self.sender.try_send(request).map_err(|_| JournalFault::Busy)
    }
}

/// The thread that owns the files.
struct DiskThread {
    files: BTreeMap<String, JournalFile>,
    folder: PathBuf,
}

/// An append that waits for its file's sync.
type WaitingAppend = (String, oneshot::Sender<Result<(), JournalFault>>);

impl DiskThread {
    /// Serves requests until all stores are dropped.
    fn run(mut self, receiver: &Receiver<StoreRequest>) {
        while let Ok(request) = receiver.recv() {
            let mut appended = Vec::new();
            self.serve(request, &mut appended);
            while appended.len() < GROUP
                && let Ok(request) = receiver.try_recv()
            {
                self.serve(request, &mut appended);
            }
            self.sync(appended);
            self.close_idle();
        }
    }

    /// Serves one request; an append waits for the sync.
    fn serve(&mut self, request: StoreRequest, appended: &mut Vec<WaitingAppend>) {
        match request {
            StoreRequest::Append(name, records, sender) => {
                let written = self.open(&name, true).and_then(|file| file.append(&records));
                match written {
                    Ok(()) => appended.push((name, sender)),
                    Err(error) => {
                        log_fault(&name, &error);
                        let _ = sender.send(Err(JournalFault::Disk));
                    }
                }
            }
            StoreRequest::Read(name, position, most, sender) => {
                let page = self.open(&name, false).and_then(|file| file.read(position, most));
                let _ = sender.send(page.map_err(|error| match error.kind() {
                    io::ErrorKind::NotFound => JournalFault::NotFound,
                    _ => JournalFault::Disk,
                }));
            }
            StoreRequest::Remove(name, sender) => {
                self.files.remove(&name);
                let removed = std::fs::remove_file(self.path_of(&name));
                let gone = removed.is_ok() || !self.path_of(&name).exists();
                let _ = sender.send(gone);
            }
            StoreRequest::List(sender) => {
                let _ = sender.send(self.list());
            }
        }
    }

    /// Syncs the files of appends, each once, and answers.
    fn sync(&mut self, appended: Vec<WaitingAppend>) {
        let mut synced: BTreeMap<String, Result<(), JournalFault>> = BTreeMap::new();
        for (name, sender) in appended {
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

    /// Opens a journal.
    fn open(&mut self, name: &str, create: bool) -> io::Result<&mut JournalFile> {
        let path = self.path_of(name);
        // A file that was removed under us is not written to any more.
        if !path.exists() {
            self.files.remove(name);
            if !create {
                return Err(io::ErrorKind::NotFound.into());
            }
            std::fs::create_dir_all(&self.folder)?;
        }
        match self.files.entry(name.to_owned()) {
            std::collections::btree_map::Entry::Occupied(row) => Ok(row.into_mut()),
            std::collections::btree_map::Entry::Vacant(row) => {
                let file = JournalFile::open(&path)?;
                // A new name is durable only once its folder is.
                std::fs::File::open(&self.folder)?.sync_all()?;
                Ok(row.insert(file))
            }
        }
    }

    /// Closes files beyond the bound; they are opened again when needed.
    fn close_idle(&mut self) {
        while self.files.len() > OPEN_FILES {
            self.files.pop_first();
        }
    }

    /// Lists the journals' names.
    fn list(&self) -> Vec<String> {
        let Ok(entries) = std::fs::read_dir(&self.folder) else {
            return Vec::new();
        };
        let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
        let journals = paths.filter(|path| path.extension().is_some_and(|end| end == EXTENSION));
        let names = journals.filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()));
        names.collect()
    }

    /// Returns the path of a journal.
    fn path_of(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.{EXTENSION}"))
    }
}

/// Checks that a name leads to a file in the folder.
fn check_name(name: &str) -> Result<(), JournalFault> {
    let sound = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let valid = !name.is_empty() && name.len() <= 128 && name.bytes().all(sound);
    if valid { Ok(()) } else { Err(JournalFault::InvalidName) }
}

/// Logs what the disk reported.
fn log_fault(name: &str, error: &io::Error) {
    log::error!("journal {name}: {error}");
}
