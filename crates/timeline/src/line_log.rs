//! Writes a process's events to standard output, with a limit on their number.

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use cv_policy::HybridClock;

use crate::EventKind;
use crate::EventRecord;
use crate::event_log::wall_millis;

/// Maximum number of batches that wait for the writing thread; more are dropped and counted.
const MAX_QUEUED_BATCHES: usize = 4;

/// Maximum number of lines per flush before routine lines are dropped; essential ones are kept
/// beyond it.
const MAX_ROUTINE_LINES: usize = 24;

/// Maximum number of lines per flush, so that a burst of failures cannot exhaust memory.
const MAX_LINES: usize = 400;

/// Which lines are kept when there are too many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinePriority {
    /// The line reports a failure or a state change, and is kept up to the overall limit.
    Essential,
    /// The line reports a success, and may be dropped.
    Routine,
}

/// A process's event log on standard output; clones share it.
///
/// Lines are collected in the serving thread and written by another, so that a stalled reader of
/// the output never blocks a request.
#[derive(Clone, Debug)]
pub struct LineLog {
    state: Rc<RefCell<LineState>>,
}

/// State shared by the clones of a log.
#[derive(Debug)]
struct LineState {
    clock: HybridClock,
    /// Lines dropped since the last flush.
    dropped: u64,
    lines: Vec<EventRecord>,
    process: String,
    sender: Option<SyncSender<Vec<EventRecord>>>,
}

impl LineLog {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn to_stdout(process: &str) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_BATCHES);
        let thread = std::thread::Builder::new().name("log".to_owned()).stack_size(64 * 1024);
        thread.spawn(move || write_batches(&receiver))?;
        Ok(Self::with_sender(process, Some(sender)))
    }

    /// Creates a log that writes nothing.
    #[must_use]
    pub fn disabled() -> Self {
        Self::with_sender("", None)
    }

    /// Records an event with the detail that `describe` returns, or drops it if there are too many.
    pub fn record(
        &self,
        priority: LinePriority,
        kind: EventKind,
        subject: &str,
        describe: impl FnOnce() -> String,
    ) {
        let mut state = self.state.borrow_mut();
        if state.sender.is_none() {
            return;
        }
        let limit = match priority {
            LinePriority::Essential => MAX_LINES,
            LinePriority::Routine => MAX_ROUTINE_LINES,
        };
        if state.lines.len() >= limit {
            state.dropped += 1;
            return;
        }
        let clock = state.clock.tick(wall_millis());
        let process = state.process.clone();
        let subject = subject.to_owned();
        state.lines.push(EventRecord { clock, detail: describe(), kind, process, subject });
    }

    /// Passes the collected lines to the writing thread; call it a few times a second.
    pub fn flush(&self) {
        let mut state = self.state.borrow_mut();
        if state.lines.is_empty() {
            return;
        }
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            let clock = state.clock.tick(wall_millis());
            let process = state.process.clone();
            let detail = format!("lines={dropped}");
            let (kind, subject) = (EventKind::LinesDropped, String::new());
            state.lines.push(EventRecord { clock, detail, kind, process, subject });
        }
        let lines = std::mem::take(&mut state.lines);
        if let Some(sender) = &state.sender
            && let Err(fault) = sender.try_send(lines)
        {
            let lost = match fault {
                std::sync::mpsc::TrySendError::Full(lines)
                | std::sync::mpsc::TrySendError::Disconnected(lines) => lines.len(),
            };
            state.dropped += lost as u64;
        }
    }

    /// Creates a log that sends to the writing thread's channel, if there is one.
    fn with_sender(process: &str, sender: Option<SyncSender<Vec<EventRecord>>>) -> Self {
        let state = LineState {
            clock: HybridClock::default(),
            dropped: 0,
            lines: Vec::new(),
            process: process.to_owned(),
            sender,
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }
}

/// Writes batches until all clones of the log are dropped.
fn write_batches(receiver: &Receiver<Vec<EventRecord>>) {
    let mut text = Vec::new();
    while let Ok(lines) = receiver.recv() {
        text.clear();
        for line in &lines {
            // Records hold only strings and numbers, so their encoding does not fail.
            if serde_json::to_writer(&mut text, line).is_ok() {
                text.push(b'\n');
            }
        }
        // Lines are lost if the output is closed; serving continues.
        let _ = std::io::stdout().write_all(&text);
        let _ = std::io::stdout().flush();
    }
}
