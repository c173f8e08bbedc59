//! What an experiment has measured.

use std::collections::BTreeMap;

use serde::Serialize;

use super::ExperimentOptions;
use super::PhaseProgress;
use crate::load::GuaranteeCounts;
use crate::load::LoadReport;

/// A figure held against its target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetCheck {
    /// The bound.
    pub bound: f64,
    /// The figure's name.
    pub figure: String,
    /// Whether the figure is within the bound.
    pub met: bool,
}

/// A distribution for plots: values in milliseconds at the percentiles from 1 to 100.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyCurve {
    /// What was measured.
    pub name: String,
    /// Values, in milliseconds.
    pub values: Vec<f64>,
}

/// The figures and counts of one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Promises that were broken; empty if all is well.
    pub broken: Vec<&'static str>,
    /// Counts of what the system promises.
    pub counts: GuaranteeCounts,
    /// Distributions for plots.
    #[serde(skip)]
    pub curves: Vec<LatencyCurve>,
    /// Figures by name; the names end in their units.
    pub figures: BTreeMap<String, f64>,
    /// The experiment.
    pub name: &'static str,
    /// Faults that the experiment was to bring about and could not.
    pub not_played: Vec<String>,
    /// Tells how far the experiment is.
    #[serde(skip)]
    progress: PhaseProgress,
    /// Length of all measured phases together, in seconds.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Figures held against their targets.
    pub targets: Vec<TargetCheck>,
}

impl ExperimentReport {
    /// Creates an empty report.
    #[must_use]
    pub fn new(name: &'static str, options: ExperimentOptions, progress: PhaseProgress) -> Self {
        Self {
            broken: Vec::new(),
            counts: GuaranteeCounts::default(),
            curves: Vec::new(),
            figures: BTreeMap::new(),
            name,
            not_played: Vec::new(),
            progress,
            seconds: options.seconds,
            seed: options.seed,
            targets: Vec::new(),
        }
    }

    /// Tells that a phase begins.
    pub fn begin_phase(&self, name: &str) {
        self.progress.begin_phase(name);
    }

    /// Notes that a fault could not be brought about, which fails the experiment.
    pub fn skip_fault(&mut self, name: &str) {
        self.not_played.push(name.to_owned());
    }

    /// Returns whether all faults were played and no promise was broken.
    #[must_use]
    pub fn has_passed(&self) -> bool {
        self.broken.is_empty() && self.not_played.is_empty()
    }

    /// Notes a figure.
    pub fn figure(&mut self, name: impl Into<String>, value: f64) {
        let rounded = (value * 10_000.0).round() / 10_000.0;
        self.figures.insert(name.into(), rounded);
    }

    /// Notes a figure that should be at most `bound`.
    pub fn at_most(&mut self, name: impl Into<String>, value: f64, bound: f64) {
        self.check(name.into(), value, bound, value <= bound);
    }

    /// Notes a figure that should be at least `bound`.
    pub fn at_least(&mut self, name: impl Into<String>, value: f64, bound: f64) {
        self.check(name.into(), value, bound, value >= bound);
    }

    /// Adds the counts of a load.
    pub fn count(&mut self, promises: &GuaranteeCounts) {
        self.counts.add(promises);
        self.broken = self.counts.violations();
    }

    /// Notes the distribution of a load's first responses.
    pub fn curve(&mut self, name: &str, load: &LoadReport) {
        let values =
            (1..=100).map(|percent| load.first_response_ms(f64::from(percent) / 100.0)).collect();
        self.curves.push(LatencyCurve { name: name.to_owned(), values });
    }

    /// Notes a figure and whether it is within its bound.
    fn check(&mut self, name: String, value: f64, bound: f64, met: bool) {
        self.figure(name.clone(), value);
        self.targets.push(TargetCheck { bound, figure: name, met });
    }
}
