//! The results of an experiment.

use std::collections::BTreeMap;

use serde::Serialize;

use super::ExperimentOptions;
use super::PhaseProgress;
use crate::load::GuaranteeCounts;
use crate::load::LoadReport;

/// A figure compared with its target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetCheck {
    /// The bound.
    pub bound: f64,
    /// The figure's name.
    pub figure: String,
    /// Whether the figure is within the bound.
    pub met: bool,
}

/// A latency distribution for plots, at the percentiles from 1 to 100.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyCurve {
    /// Name of the curve.
    pub name: String,
    /// Latency at each percentile, in milliseconds.
    pub values: Vec<f64>,
}

/// The figures and counts of one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Names of the violated guarantees.
    pub broken: Vec<&'static str>,
    /// Guarantee violations, refused and late calls of all loads.
    pub counts: GuaranteeCounts,
    /// Distributions for plots.
    #[serde(skip)]
    pub curves: Vec<LatencyCurve>,
    /// Figures by name; the names end in their units.
    pub figures: BTreeMap<String, f64>,
    /// Name of the experiment.
    pub name: &'static str,
    /// Names of the faults that could not be injected, or after which work did not continue.
    pub not_played: Vec<String>,
    /// Reports the start of each phase.
    #[serde(skip)]
    progress: PhaseProgress,
    /// Length of all measured phases together, in seconds.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Figures compared with their targets.
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

    /// Reports the start of a phase to the listener.
    pub fn begin_phase(&self, name: &str) {
        self.progress.begin_phase(name);
    }

    /// Records a fault that could not be injected, or after which work did not continue; either
    /// fails the experiment.
    pub fn record_failed_fault(&mut self, name: &str) {
        self.not_played.push(name.to_owned());
    }

    /// Returns whether all faults were injected and no guarantee was violated.
    #[must_use]
    pub fn has_passed(&self) -> bool {
        self.broken.is_empty() && self.not_played.is_empty()
    }

    /// Records a figure, rounded to four decimal places.
    pub fn record_figure(&mut self, name: impl Into<String>, value: f64) {
        let rounded = (value * 10_000.0).round() / 10_000.0;
        self.figures.insert(name.into(), rounded);
    }

    /// Records a figure whose target is at most `bound`.
    pub fn record_at_most(&mut self, name: impl Into<String>, value: f64, bound: f64) {
        self.record_target(name.into(), value, bound, value <= bound);
    }

    /// Records a figure whose target is at least `bound`.
    pub fn record_at_least(&mut self, name: impl Into<String>, value: f64, bound: f64) {
        self.record_target(name.into(), value, bound, value >= bound);
    }

    /// Adds the guarantee counts of a load.
    pub fn add_counts(&mut self, counts: &GuaranteeCounts) {
        self.counts.add(counts);
        self.broken = self.counts.violations();
    }

    /// Adds the distribution of a load's times to the first byte of the response.
    pub fn add_curve(&mut self, name: &str, load: &LoadReport) {
        let values =
            (1..=100).map(|percent| load.first_response_ms(f64::from(percent) / 100.0)).collect();
        self.curves.push(LatencyCurve { name: name.to_owned(), values });
    }

    /// Records a figure and whether it met its target.
    fn record_target(&mut self, name: String, value: f64, bound: f64, met: bool) {
        self.record_figure(name.clone(), value);
        self.targets.push(TargetCheck { bound, figure: name, met });
    }
}
