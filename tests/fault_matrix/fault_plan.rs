//! The faults of one test case, each at one occurrence of a step.

use crate::batch_cases::BatchFault;
use crate::batch_cases::BatchStep;

/// The faults to inject in one test case, and the steps counted so far.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    occurrences: Vec<(BatchStep, u32)>,
    faults: Vec<(BatchStep, u32, BatchFault)>,
}

impl FaultPlan {
    /// Creates a plan that injects each fault at the given occurrence, from 0, of its step.
    pub fn new(faults: Vec<(BatchStep, u32, BatchFault)>) -> Self {
        Self { occurrences: Vec::new(), faults }
    }

    /// Counts an occurrence of a step and returns the faults to inject at it.
    pub fn next_faults(&mut self, step: BatchStep) -> Vec<BatchFault> {
        let position = self.occurrences.iter().position(|row| row.0 == step);
        let occurrence = if let Some(position) = position {
            self.occurrences[position].1 += 1;
            self.occurrences[position].1
        } else {
            self.occurrences.push((step, 0));
            0
        };
        let due = |fault: &&(BatchStep, u32, BatchFault)| fault.0 == step && fault.1 == occurrence;
        self.faults.iter().filter(due).map(|fault| fault.2).collect()
    }
}
