//! Fault injection at every step, singly and in pairs, checked against the delivery guarantees.
//!
//! The state machines of `cv-policy` run in virtual time against simulated peers. The checkers are
//! independent of them: they compare what callers were told with what targets and the store did.
//! Deliberate bugs show that the checkers can fail. `FAULT_SEED` sets the seed of the schedules.

mod action_queue;
mod batch_cases;
mod batch_matrix;
mod batch_simulation;
mod fault_plan;
mod online_matrix;
mod online_simulation;
mod replicated_journal;
mod simulated_store;

/// Seed of the schedules unless `FAULT_SEED` is set.
const DEFAULT_SEED: u64 = 20_261_204;

/// Returns the seed of the schedules, from `FAULT_SEED` or the default.
fn fault_seed() -> u64 {
    let text = std::env::var("FAULT_SEED").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED)
}
