//! Writes a process's events as lines on standard output, in bounded volume.

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

/// Batches that may wait for the writing thread; more are dropped and counted.
const WAITING_BATCHES: usize = 4;

/// Routine lines between two flushes; failures are kept beyond that.
const ROUTINE_LINES: usize = 24;

/// Lines between two flushes in all, so that a storm of failures cannot fill the memory.
const ALL_LINES: usize = 400;

/// How much a line matters when there are too many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinePriority {
    /// The line explains a failure or a change of belief, and is kept.
    Essential,
    /// The line tells of a success, and may be left out.
    Routine,
}

/// A process's log; clones share it.
///
/// Lines are collected in the serving thread and written by another, so that a reader that stalls
/// never holds up a request.
#[derive(Clone, Debug)]
pub struct LineLog {
    state: Rc<RefCell<LineState>>,
}

/// What the clones share.
#[derive(Debug)]
struct LineState {
    clock: HybridClock,
    /// Lines left out since the last flush.
    dropped: u64,
    lines: Vec<EventRecord>,
    process: String,
    sender: Option<SyncSender<Vec<EventRecord>>>,
}

impl LineLog {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    /// Fails if the machine gives no thread.
    pub fn to_stdout(process: &str) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(WAITING_BATCHES);
        let thread = std::thread::Builder::new().name("log".to_owned()).stack_size(64 * 1024);
        thread.spawn(move || write_batches(&receiver))?;
        Ok(Self::with_sender(process, Some(sender)))
    }

    /// Creates a log that writes nothing.
    #[must_use]
    pub fn disabled() -> Self {
        Self::with_sender("", None)
    }

    /// Records an event whose detail `describe` gives, unless there are too many.
    pub fn record(
        &self,
        weight: LinePriority,
        kind: EventKind,
        subject: &str,
        describe: impl FnOnce() -> String,
    ) {
        let mut state = self.state.borrow_mut();
        if state.sender.is_none() {
            return;
        }
        let limit = match weight {
            LinePriority::Essential => ALL_LINES,
            LinePriority::Routine => ROUTINE_LINES,
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

    /// Hands the collected lines to the writing thread; call it a few times a second.
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

    /// Creates a log over the writing thread's channel.
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

/// Writes batches until the process drops its log.
fn write_batches(receiver: &Receiver<Vec<EventRecord>>) {
    let mut text = Vec::new();
    while let Ok(lines) = receiver.recv() {
        text.clear();
        for line in &lines {
            // Records hold only texts and numbers, which always have a JSON form.
            if serde_json::to_writer(&mut text, line).is_ok() {
                text.push(b'\n');
            }
        }
        // A reader that has gone away takes the lines with it; serving goes on.
        let _ = std::io::stdout().write_all(&text);
        let _ = std::io::stdout().flush();
    }
}
