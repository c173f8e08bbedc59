//! Writes a process's events without holding up the thread that serves.

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

/// Events that may wait for the writing thread; more are dropped and counted.
const QUEUE: usize = 65_536;

/// Longest time that an event stays in the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// A process's clock and its event file; clones share both.
#[derive(Clone, Debug)]
pub struct EventLog {
    state: Rc<RefCell<LogState>>,
}

/// What the clones share.
#[derive(Debug)]
struct LogState {
    clock: HybridClock,
    dropped: u64,
    process: String,
    sender: Option<SyncSender<EventRecord>>,
}

impl EventLog {
    /// Creates a log that only keeps the clock.
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
        let (sender, receiver) = sync_channel(QUEUE);
        std::thread::spawn(move || write_events(file, &receiver));
        Ok(Self::with_sender(process, Some(sender)))
    }

    /// Records an event.
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

    /// Tells whether events are written, so that their details are worth building.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.state.borrow().sender.is_some()
    }

    /// Takes a reading for a message that is about to be sent.
    #[must_use]
    pub fn next_timestamp(&self) -> HybridTimestamp {
        self.state.borrow_mut().clock.tick(wall_millis())
    }

    /// Takes the reading of a message that was received.
    pub fn observe(&self, received: HybridTimestamp) {
        self.state.borrow_mut().clock.observe(wall_millis(), received);
    }

    /// Returns the number of events that found the queue full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.state.borrow().dropped
    }

    /// Creates a log over the writing thread's channel.
    fn with_sender(process: &str, sender: Option<SyncSender<EventRecord>>) -> Self {
        let process = process.to_owned();
        let state = LogState { clock: HybridClock::default(), dropped: 0, process, sender };
        Self { state: Rc::new(RefCell::new(state)) }
    }
}

/// Writes events until the process drops its log.
fn write_events(file: File, receiver: &Receiver<EventRecord>) {
    let mut writer = BufWriter::new(file);
    loop {
        match receiver.recv_timeout(FLUSH_INTERVAL) {
            Ok(record) => {
                // An event that cannot be written is lost; serving goes on.
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
