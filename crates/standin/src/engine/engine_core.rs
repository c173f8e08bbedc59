//! The batch that an engine steps through.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use super::EngineSettings;
use super::prefix_cache::PrefixCache;
use super::token_text::absorb;
use super::token_text::absorb_word;
use super::token_text::next_word;

/// A request as the engine runs it.
#[derive(Debug)]
struct EngineSequence {
    left: usize,
    prefill_left: usize,
    sender: UnboundedSender<String>,
    state: u64,
}

/// Counts of an engine's work since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineCounts {
    pub cached_tokens: u64,
    pub generated_tokens: u64,
    pub peak_running: usize,
    pub prompt_tokens: u64,
    pub sequences: u64,
}

/// Runs sequences in steps; requests are admitted as they arrive.
#[derive(Debug)]
pub(super) struct EngineCore {
    arrived: Notify,
    cache: RefCell<PrefixCache>,
    counts: Cell<EngineCounts>,
    running: RefCell<Vec<EngineSequence>>,
    settings: EngineSettings,
    /// Factor on the time of each step, in percent, shared with whoever makes the engine slow.
    slowness: std::sync::Arc<std::sync::atomic::AtomicU32>,
    waiting: RefCell<VecDeque<EngineSequence>>,
}

impl EngineCore {
    /// Creates an idle engine.
    pub fn new(
        settings: EngineSettings,
        slowness: std::sync::Arc<std::sync::atomic::AtomicU32>,
    ) -> Self {
        Self {
            arrived: Notify::new(),
            cache: RefCell::new(PrefixCache::new(settings.cache_blocks)),
            counts: Cell::default(),
            running: RefCell::default(),
            settings,
            slowness,
            waiting: RefCell::default(),
        }
    }

    /// Admits a request; dropping the receiver cancels it at the next step.
    pub fn admit(&self, prompt: &str, tokens: usize) -> UnboundedReceiver<String> {
        let (sender, receiver) = unbounded_channel();
        let length = prompt.split_whitespace().count();
        let cached = self.cache.borrow_mut().look_up(prompt);
        let mut counts = self.counts.get();
        counts.sequences += 1;
        counts.prompt_tokens += length as u64;
        counts.cached_tokens += cached as u64;
        self.counts.set(counts);
        self.waiting.borrow_mut().push_back(EngineSequence {
            left: tokens,
            // The last token of a prompt is always computed, since it yields the first answer.
            prefill_left: length.saturating_sub(cached).max(1),
            sender,
            state: absorb(0, prompt),
        });
        self.arrived.notify_one();
        receiver
    }

    /// Returns the number of running and of waiting sequences.
    pub fn load(&self) -> (usize, usize) {
        (self.running.borrow().len(), self.waiting.borrow().len())
    }

    /// Returns the work counts.
    pub fn counts(&self) -> EngineCounts {
        self.counts.get()
    }

    /// Steps for ever; sleeps while there is no work.
    pub async fn run(self: Rc<Self>) {
        let mut due = Instant::now();
        loop {
            if self.is_idle() {
                self.arrived.notified().await;
                due = Instant::now();
            }
            self.admit_waiting();
            let (duration, prefilled) = self.plan_step();
            due += duration;
            let pause = due.saturating_duration_since(Instant::now());
            monoio::time::sleep(pause).await;
            self.finish_step(prefilled);
        }
    }

    /// Tells whether nothing runs or waits.
    fn is_idle(&self) -> bool {
        self.running.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    /// Drops cancelled sequences and moves waiting ones into the batch, in order of arrival.
    fn admit_waiting(&self) {
        let mut running = self.running.borrow_mut();
        let mut waiting = self.waiting.borrow_mut();
        running.retain(|sequence| !sequence.sender.is_closed());
        waiting.retain(|sequence| !sequence.sender.is_closed());
        while running.len() < self.settings.max_sequences
            && let Some(sequence) = waiting.pop_front()
        {
            running.push(sequence);
        }
        let mut counts = self.counts.get();
        counts.peak_running = counts.peak_running.max(running.len());
        self.counts.set(counts);
    }

    /// Returns the time that the next step takes and the prompt tokens in it.
    fn plan_step(&self) -> (Duration, usize) {
        let running = self.running.borrow();
        let wanted: usize = running.iter().map(|sequence| sequence.prefill_left).sum();
        let prefilled = wanted.min(self.settings.prefill_tokens);
        let generating = running.iter().filter(|row| row.prefill_left == 0).count();
        let duration = self.settings.step_base
            + self.settings.step_per_sequence * generating as u32
            + self.settings.step_per_prompt_token * prefilled as u32;
        let slowness = self.slowness.load(std::sync::atomic::Ordering::Relaxed);
        (duration * slowness / 100, prefilled)
    }

    /// Gives each generating sequence a token and spreads the prompt tokens in order of arrival.
    fn finish_step(&self, mut prefilled: usize) {
        let mut counts = self.counts.get();
        let mut running = self.running.borrow_mut();
        for sequence in running.iter_mut() {
            if sequence.prefill_left > 0 {
                let taken = sequence.prefill_left.min(prefilled);
                sequence.prefill_left -= taken;
                prefilled -= taken;
                if sequence.prefill_left > 0 {
                    continue;
                }
            }
            let word = next_word(sequence.state);
            sequence.state = absorb_word(sequence.state, &word);
            sequence.left = sequence.left.saturating_sub(1);
            counts.generated_tokens += 1;
            // A closed channel is a cancelled request, which the next step drops.
            let _ = sequence.sender.send(word);
        }
        running.retain(|sequence| sequence.left > 0);
        self.counts.set(counts);
    }
}
