//! Whether a keeper knows which jobs are closed.

/// A point in time from which a read of the closed jobs began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CloseMark(u64);

/// A keeper's knowledge of which jobs are closed, and the read that restores it.
///
/// A read that began before the keeper forgot says nothing about what has been closed since, however
/// late it ends; and it keeps no other read from beginning. A read during which the store was silent
/// counts, see [`Self::lapse`].
#[derive(Clone, Copy, Debug, Default)]
pub struct CloseKnowledge {
    /// Number of times that the keeper has forgotten.
    forgotten: u64,
    is_known: bool,
    /// Value of `forgotten` when the read in progress began.
    reading: Option<u64>,
}

impl CloseKnowledge {
    /// Returns whether all jobs that others have closed are known to be.
    #[must_use]
    pub fn is_known(self) -> bool {
        self.is_known
    }

    /// Returns the mark of a read that begins now.
    #[must_use]
    pub fn mark(self) -> CloseMark {
        CloseMark(self.forgotten)
    }

    /// Begins a read, unless the closed jobs are known or one that counts is in progress.
    pub fn begin_read(&mut self) -> Option<CloseMark> {
        if self.is_known || self.reading == Some(self.forgotten) {
            return None;
        }
        self.reading = Some(self.forgotten);
        Some(self.mark())
    }

    /// Ends a read that was begun; returns whether the closed jobs are known now.
    pub fn finish_read(&mut self, mark: CloseMark, is_complete: bool) -> bool {
        if self.reading == Some(mark.0) {
            self.reading = None;
        }
        if is_complete {
            self.confirm(mark);
        }
        self.is_known
    }

    /// Records that all jobs closed until a mark are known.
    pub fn confirm(&mut self, mark: CloseMark) {
        if mark == self.mark() {
            self.is_known = true;
        }
    }

    /// Records that the store has been silent for a while. A read in progress ends the silence and
    /// counts: on a slow store a later one would be overtaken by the next silence.
    pub fn lapse(&mut self) {
        self.is_known = false;
    }

    /// Records that responses may be old, or that others may have closed jobs unnoticed; reads in
    /// progress do not count.
    pub fn forget(&mut self) {
        self.is_known = false;
        self.forgotten += 1;
    }
}
