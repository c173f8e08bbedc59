//! Response timeouts of calls to a store that may be slow for some calls alone.

use std::time::Duration;

/// Response timeouts. A healthy store responds within milliseconds, a slow one within hundreds or
/// more, one that hangs never.
const TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(700), Duration::from_millis(1_500), Duration::from_millis(2_500)];

/// A read that awaits its response.
#[derive(Clone, Copy, Debug)]
pub struct PendingRead {
    /// Response timeout of the read.
    pub timeout: Duration,
    /// Number of responses to other calls when it was sent.
    responses: u64,
}

/// Chooses the response timeouts of calls: all use the same ones in turn while no call gets a
/// response, and reads that are slow beside quick calls get longer ones of their own.
#[derive(Clone, Debug, Default)]
pub struct CallTimeouts {
    /// Failed calls since the last response.
    consecutive_failures: usize,
    /// Number of responses so far.
    responses: u64,
    /// Kinds of reads that need more than the first timeout, sorted, each with the index of its own.
    slow_reads: Vec<(String, usize)>,
}

impl CallTimeouts {
    /// Returns the response timeout of the next call that is no read.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        TIMEOUTS[self.shared_index()]
    }

    /// Begins a read of a kind whose reads take about the same time.
    #[must_use]
    pub fn begin_read(&self, kind: &str) -> PendingRead {
        let own_index = self.position(kind).map_or(0, |position| self.slow_reads[position].1);
        let timeout = TIMEOUTS[self.shared_index().max(own_index)];
        PendingRead { timeout, responses: self.responses }
    }

    /// Records that a call got a response.
    pub fn record_response(&mut self) {
        self.consecutive_failures = 0;
        self.responses += 1;
    }

    /// Records that a call got no response.
    pub fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Records how long a read took, which leaves the next one of its kind half as much again.
    pub fn record_read(&mut self, kind: &str, elapsed: Duration) {
        let needed = elapsed + elapsed / 2;
        let index = TIMEOUTS.iter().position(|timeout| *timeout >= needed);
        self.set_index(kind, index.unwrap_or(TIMEOUTS.len() - 1));
    }

    /// Records that a read has timed out; the next one of its kind gets the next timeout if other
    /// calls got responses meanwhile.
    pub fn record_timeout(&mut self, kind: &str, read: PendingRead) {
        if self.responses == read.responses {
            return;
        }
        let index = TIMEOUTS.iter().position(|timeout| *timeout > read.timeout);
        self.set_index(kind, index.unwrap_or(0));
    }

    /// Returns the index of the timeout that all calls use.
    fn shared_index(&self) -> usize {
        self.consecutive_failures % TIMEOUTS.len()
    }

    /// Sets the index of the timeout of a kind of reads.
    fn set_index(&mut self, kind: &str, index: usize) {
        match self.position(kind) {
            Ok(position) if index == 0 => {
                self.slow_reads.remove(position);
            }
            Ok(position) => self.slow_reads[position].1 = index,
            Err(_) if index == 0 => {}
            Err(position) => self.slow_reads.insert(position, (kind.to_owned(), index)),
        }
    }

    /// Returns the index of a slow kind, or the index at which to insert it.
    fn position(&self, kind: &str) -> Result<usize, usize> {
        self.slow_reads.binary_search_by(|(other, _)| other.as_str().cmp(kind))
    }
}
