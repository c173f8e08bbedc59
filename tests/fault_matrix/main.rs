//! Every fault at every step, singly and in pairs, against the promises of the brief.
//!
//! The decisions of `cv-policy` run in virtual time among small fakes. The checkers know nothing of
//! the decisions: they compare what callers were told with what targets and the service did. Planted
//! bugs show that they can fail. `FAULT_SEED` changes the seed of the schedules.

mod action_queue;
mod batch_cases;
mod batch_matrix;
mod batch_simulation;
mod fault_plan;
mod online_matrix;
mod online_simulation;
mod replicated_journal;
mod simulated_store;

/// Seed of the schedules where the environment names none.
const DEFAULT_SEED: u64 = 20_261_204;

/// Returns the seed of the schedules.
fn fault_seed() -> u64 {
    let text = std::env::var("FAULT_SEED").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED)
}
