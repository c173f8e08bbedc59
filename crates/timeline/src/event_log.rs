//! Writes a process's events to a file without blocking the serving thread.

use std::cell::RefCell;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cv_policy::HybridClock;
use cv_policy::HybridTimestamp;

use crate::EventKind;
use crate::EventRecord;

/// Maximum number of events that wait for the writing thread; more are dropped and counted.
const MAX_QUEUED_EVENTS: usize = 65_536;

/// Time without an event after which the buffer is flushed.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// A process's clock and its event file; clones share both.
#[derive(Clone, Debug)]
pub struct EventLog {
    state: Rc<RefCell<LogState>>,
}

/// State shared by the clones of a log.
#[derive(Debug)]
struct LogState {
    clock: HybridClock,
    dropped: u64,
    process: String,
    sender: Option<SyncSender<EventRecord>>,
}

impl EventLog {
    /// Creates a log that keeps the clock but writes no events.
    #[must_use]
    pub fn disabled(process: &str) -> Self {
        Self::with_sender(process, None)
    }

    /// Opens an event file for appending and starts the thread that writes it.
    ///
    /// # Errors
    /// Fails if the file cannot be opened.
    pub fn open(process: &str, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (sender, receiver) = sync_channel(MAX_QUEUED_EVENTS);
        std::thread::spawn(move || write_events(file, &receiver));
        Ok(Self::with_sender(process, Some(sender)))
    }

    /// Records an event, or drops and counts it if the queue is full.
    pub fn record(&self, kind: EventKind, subject: &str, detail: String) {
        let mut state = self.state.borrow_mut();
        let clock = state.clock.tick(wall_millis());
        if let Some(sender) = &state.sender {
            let record = EventRecord {
                clock,
                detail,
                kind,
                process: state.process.clone(),
                subject: subject.to_owned(),
            };
            if sender.try_send(record).is_err() {
                state.dropped += 1;
            }
        }
    }

    /// Returns whether events are written; otherwise callers can skip formatting details.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.state.borrow().sender.is_some()
    }

    /// Advances the clock and returns the timestamp for a message that is about to be sent.
    #[must_use]
    pub fn next_timestamp(&self) -> HybridTimestamp {
        self.state.borrow_mut().clock.tick(wall_millis())
    }

    /// Merges the timestamp of a received message into the clock.
    pub fn observe(&self, received: HybridTimestamp) {
        self.state.borrow_mut().clock.observe(wall_millis(), received);
    }

    /// Returns the number of events that were dropped because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.state.borrow().dropped
    }

    /// Creates a log that sends to the writing thread's channel, if there is one.
    fn with_sender(process: &str, sender: Option<SyncSender<EventRecord>>) -> Self {
        let process = process.to_owned();
        let state = LogState { clock: HybridClock::default(), dropped: 0, process, sender };
        Self { state: Rc::new(RefCell::new(state)) }
    }
}

/// Writes events until all clones of the log are dropped.
fn write_events(file: File, receiver: &Receiver<EventRecord>) {
    let mut writer = BufWriter::new(file);
    loop {
        match receiver.recv_timeout(FLUSH_INTERVAL) {
            Ok(record) => {
                // An event that cannot be written is dropped, so that serving continues.
                let _ = serde_json::to_writer(&mut writer, &record);
                let _ = writer.write_all(b"\n");
            }
            Err(RecvTimeoutError::Timeout) => {
                let _ = writer.flush();
            }
            Err(RecvTimeoutError::Disconnected) => {
                let _ = writer.flush();
                return;
            }
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
