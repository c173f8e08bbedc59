//! The engine's scheduler: a batch of sequences that advances in steps.

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
use super::deterministic_text::hash_text;
use super::deterministic_text::hash_word;
use super::deterministic_text::next_word;
use super::prefix_cache::PrefixCache;

/// A request that waits or runs, with its remaining work.
#[derive(Debug)]
struct EngineSequence {
    tokens_left: usize,
    prefill_tokens_left: usize,
    sender: UnboundedSender<String>,
    hash_state: u64,
}

/// Work that an engine has done since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineCounts {
    pub cached_tokens: u64,
    pub generated_tokens: u64,
    pub peak_running: usize,
    pub prompt_tokens: u64,
    pub sequences: u64,
}

/// Runs sequences in steps with continuous batching: requests join the batch between two steps.
#[derive(Debug)]
pub(super) struct EngineCore {
    arrived: Notify,
    cache: RefCell<PrefixCache>,
    counts: Cell<EngineCounts>,
    running: RefCell<Vec<EngineSequence>>,
    settings: EngineSettings,
    /// Time of each step in percent of its normal time; shared with the handles that change it.
    step_time_percent: std::sync::Arc<std::sync::atomic::AtomicU32>,
    waiting: RefCell<VecDeque<EngineSequence>>,
}

impl EngineCore {
    /// Creates an idle engine.
    pub fn new(
        settings: EngineSettings,
        step_time_percent: std::sync::Arc<std::sync::atomic::AtomicU32>,
    ) -> Self {
        Self {
            arrived: Notify::new(),
            cache: RefCell::new(PrefixCache::new(settings.cache_blocks)),
            counts: Cell::default(),
            running: RefCell::default(),
            settings,
            step_time_percent,
            waiting: RefCell::default(),
        }
    }

    /// Queues a request for `tokens` words and returns the channel that receives them; dropping the
    /// receiver cancels the request at the next step.
    pub fn admit(&self, prompt: &str, tokens: usize) -> UnboundedReceiver<String> {
        let (sender, receiver) = unbounded_channel();
        let prompt_tokens = prompt.split_whitespace().count();
        let cached = self.cache.borrow_mut().look_up_and_insert(prompt);
        let mut counts = self.counts.get();
        counts.sequences += 1;
        counts.prompt_tokens += prompt_tokens as u64;
        counts.cached_tokens += cached as u64;
        self.counts.set(counts);
        self.waiting.borrow_mut().push_back(EngineSequence {
            tokens_left: tokens,
            // The last token of a prompt is always computed: it yields the first output token.
            prefill_tokens_left: prompt_tokens.saturating_sub(cached).max(1),
            sender,
            hash_state: hash_text(0, prompt),
        });
        self.arrived.notify_one();
        receiver
    }

    /// Returns the numbers of running and of waiting sequences.
    pub fn load(&self) -> (usize, usize) {
        (self.running.borrow().len(), self.waiting.borrow().len())
    }

    /// Returns the work done so far.
    pub fn counts(&self) -> EngineCounts {
        self.counts.get()
    }

    /// Executes steps forever; sleeps while there is no work.
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
            let delay = due.saturating_duration_since(Instant::now());
            monoio::time::sleep(delay).await;
            self.finish_step(prefilled);
        }
    }

    /// Returns whether no sequence runs or waits.
    fn is_idle(&self) -> bool {
        self.running.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    /// Removes cancelled sequences and moves waiting ones into the batch, in order of arrival.
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

    /// Returns the duration of the next step and the number of prompt tokens in it.
    fn plan_step(&self) -> (Duration, usize) {
        let running = self.running.borrow();
        let requested: usize = running.iter().map(|sequence| sequence.prefill_tokens_left).sum();
        let prefilled = requested.min(self.settings.prefill_tokens);
        let generating =
            running.iter().filter(|sequence| sequence.prefill_tokens_left == 0).count();
        let duration = self.settings.step_base
            + self.settings.step_per_sequence * generating as u32
            + self.settings.step_per_prompt_token * prefilled as u32;
        let step_time_percent = self.step_time_percent.load(std::sync::atomic::Ordering::Relaxed);
        (duration * step_time_percent / 100, prefilled)
    }

    /// Distributes the step's prompt tokens in order of arrival, and generates a token for each
    /// sequence whose prompt has been processed.
    fn finish_step(&self, mut prefilled: usize) {
        let mut counts = self.counts.get();
        let mut running = self.running.borrow_mut();
        for sequence in running.iter_mut() {
            if sequence.prefill_tokens_left > 0 {
                let processed = sequence.prefill_tokens_left.min(prefilled);
                sequence.prefill_tokens_left -= processed;
                prefilled -= processed;
                if sequence.prefill_tokens_left > 0 {
                    continue;
                }
            }
            let word = next_word(sequence.hash_state);
            sequence.hash_state = hash_word(sequence.hash_state, &word);
            sequence.tokens_left = sequence.tokens_left.saturating_sub(1);
            counts.generated_tokens += 1;
            // A closed channel means that the request was cancelled; the next step removes it.
            let _ = sequence.sender.send(word);
        }
        running.retain(|sequence| sequence.tokens_left > 0);
        self.counts.set(counts);
    }
}
