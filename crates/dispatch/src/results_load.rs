//! Whether a keeper holds the results that a job's earlier owners have listed.

/// Identifies one load of a job's results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadId(u64);

/// Stage of the load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LoadStage {
    /// Another keeper may have listed results that are not held.
    #[default]
    NotLoaded,
    /// The results are being read.
    Loading,
    /// All listed results are held, for as long as the keeper owns the job.
    Loaded,
}

/// The load of one job's results.
///
/// A load that began before the keeper lost the job says nothing about what the next owner has listed
/// since, however late it ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResultsLoad {
    /// Number of the last load, or of the loss of the job after it.
    number: u64,
    stage: LoadStage,
}

impl ResultsLoad {
    /// Returns whether all listed results are held.
    #[must_use]
    pub fn is_loaded(self) -> bool {
        self.stage == LoadStage::Loaded
    }

    /// Begins a load, unless the results are held or being read.
    pub fn begin(&mut self) -> Option<LoadId> {
        if self.stage != LoadStage::NotLoaded {
            return None;
        }
        self.number += 1;
        self.stage = LoadStage::Loading;
        Some(LoadId(self.number))
    }

    /// Returns whether a load has been neither ended nor overtaken by the loss of the job.
    #[must_use]
    pub fn is_current(self, load: LoadId) -> bool {
        load == LoadId(self.number)
    }

    /// Ends a load; returns whether the results are held now.
    pub fn finish(&mut self, load: LoadId, is_complete: bool) -> bool {
        if !self.is_current(load) {
            return false;
        }
        self.stage = if is_complete { LoadStage::Loaded } else { LoadStage::NotLoaded };
        is_complete
    }

    /// Records that this keeper has accepted the job, of which no results are listed yet.
    pub fn record_new(&mut self) {
        self.number += 1;
        self.stage = LoadStage::Loaded;
    }

    /// Records that the keeper has lost the job.
    pub fn invalidate(&mut self) {
        self.number += 1;
        self.stage = LoadStage::NotLoaded;
    }
}
